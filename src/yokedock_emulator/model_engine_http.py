"""Serves an emulated model engine over HTTP."""

from __future__ import annotations

import msgspec
import urllib3

from yokedock.connection.engine_protocol import (
    FENCING_HEADER,
    DecodeOrder,
    ImportOrder,
    PrefillOrder,
    PullOrder,
    PullResult,
    RequestOrder,
    ResumeOrder,
    RoleOrder,
)
from yokedock.connection.http_server import HttpRequest, HttpResponse, HttpRouter, HttpServer
from yokedock.errors import BadRequest
from yokedock_emulator.engine_state import EngineProfile, Gone
from yokedock_emulator.ledgers import HoldOrder, LinkState
from yokedock_emulator.model_engine import ModelEngine

PULL_TIMEOUT_S = 30.0
HTTP_THREADS = 128


class ModelEngineServer:
    """An emulated engine and its HTTP server."""

    def __init__(self, profile: EngineProfile, address: str = "127.0.0.1:0") -> None:
        """Start to serve at ``address``."""
        self.engine = ModelEngine(profile)
        self._http = urllib3.PoolManager(maxsize=32, retries=False)
        router = HttpRouter()
        router.add("POST", "/v1/prefill", self._prefill)
        router.add("POST", "/v1/kv/import", self._import)
        router.add("POST", "/v1/kv/pull", self._pull)
        router.add("POST", "/v1/decode", self._decode)
        router.add("POST", "/v1/resume", self._resume)
        router.add("POST", "/v1/cancel", self._cancel)
        router.add("POST", "/v1/role", self._role)
        router.add("GET", "/v1/steps", self._steps)
        router.add("GET", "/v1/held", lambda request: HttpResponse.of(self.engine.held()))
        router.add("GET", "/v1/load", lambda request: HttpResponse.of(self.engine.load()))
        router.add("GET", "/v1/cache-events", self._cache_events)
        router.add("GET", "/ledger", lambda request: HttpResponse.of(self.engine.ledger()))
        router.add("POST", "/test/hold", self._hold)
        router.add("POST", "/test/link", self._link)
        self._server = HttpServer(router, address, HTTP_THREADS)
        self.url = self._server.url
        self._server.start()

    def _check_order(self, request: HttpRequest) -> None:
        try:
            self.engine.check_order(int(request.header(FENCING_HEADER) or 0))
        except ValueError:
            raise BadRequest("the fencing token must be a whole number") from None

    def _prefill(self, request: HttpRequest) -> HttpResponse:
        self._check_order(request)
        return HttpResponse.of(self.engine.prefill(request.json(PrefillOrder)))

    def _import(self, request: HttpRequest) -> HttpResponse:
        self._check_order(request)
        order = request.json(ImportOrder)
        self.engine.begin_import(order.request)
        pulled = None
        try:
            pulled = self._pull_from(order)
        finally:
            self.engine.end_import(order.request, pulled)
        return HttpResponse.of(None)

    def _pull_from(self, order: ImportOrder) -> PullResult:
        """Pull the cache from its source."""
        try:
            response = self._http.request(
                "POST",
                f"{order.source_url}/v1/kv/pull",
                body=msgspec.json.encode(PullOrder(order.handle)),
                timeout=PULL_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            raise Gone("the source engine does not answer; prefill again") from None
        if response.status != 200:
            raise Gone("the source engine no longer keeps the cache; prefill again")
        return msgspec.json.decode(response.data, type=PullResult)

    def _pull(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse.of(self.engine.pull(request.json(PullOrder).handle))

    def _decode(self, request: HttpRequest) -> HttpResponse:
        self._check_order(request)
        self.engine.decode(request.json(DecodeOrder))
        return HttpResponse.of(None)

    def _resume(self, request: HttpRequest) -> HttpResponse:
        order = request.json(ResumeOrder)
        return HttpResponse.of(self.engine.resume(order.request, order.from_sequence))

    def _cancel(self, request: HttpRequest) -> HttpResponse:
        self._check_order(request)
        self.engine.cancel(request.json(RequestOrder).request)
        return HttpResponse.of(None)

    def _role(self, request: HttpRequest) -> HttpResponse:
        self._check_order(request)
        self.engine.change_role(request.json(RoleOrder).role)
        return HttpResponse.of(None)

    def _steps(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(content_type="application/x-ndjson", parts=self.engine.steps())

    def _cache_events(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse.of(self.engine.cache_events(int(request.query("after", "0"))))

    def _link(self, request: HttpRequest) -> HttpResponse:
        self.engine.link.is_stalled = request.json(LinkState).is_stalled
        return HttpResponse.of(None)

    def _hold(self, request: HttpRequest) -> HttpResponse:
        self.engine.hold_at(request.json(HoldOrder).step)
        return HttpResponse.of(None)
