"""An emulated plain service: it runs every call that reaches it, and keeps a ledger of them."""

from __future__ import annotations

import threading
import time

import msgspec

from yokedock.connection.http_server import HttpRequest, HttpResponse, HttpRouter, HttpServer
from yokedock_emulator.ledgers import Execution, HoldOrder, ServiceLedger

HTTP_THREADS = 64
MAX_BODY_BYTES = 1_000_000
HOLD_BEFORE = "executing"
HOLD_AFTER = "executed"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"


class ServiceReceipt(msgspec.Struct, frozen=True):
    """The answer of the emulated service."""

    service: str
    key: str
    execution: int
    echo: str


class PlainService:
    """Runs calls one by one in threads; it does not know about keys, it only records them."""

    def __init__(self, address: str = "127.0.0.1:0", duration_ms: float = 5.0) -> None:
        """Start to serve at ``address``."""
        self._duration_s = duration_ms / 1000
        self._lock = threading.Lock()
        self._executions: list[Execution] = []
        self._held_step = ""
        self._arrived = 0
        router = HttpRouter()
        router.add("GET", "/ledger", lambda request: HttpResponse.of(self.ledger()))
        router.add("POST", "/test/hold", self._hold)
        router.add("POST", "/", self._call)
        self._server = HttpServer(router, address, HTTP_THREADS)
        self.url = self._server.url
        self._server.start()

    def ledger(self) -> ServiceLedger:
        """Return what really ran."""
        with self._lock:
            return ServiceLedger(tuple(self._executions), self._arrived)

    def _call(self, request: HttpRequest) -> HttpResponse:
        body = request.body(MAX_BODY_BYTES)
        with self._lock:
            self._arrived += 1
        self._wait_while_held(HOLD_BEFORE)
        time.sleep(self._duration_s)
        key = request.header(IDEMPOTENCY_KEY_HEADER) or ""
        service = request.path.lstrip("/")
        with self._lock:
            self._executions.append(Execution(service, key, body.decode(errors="replace")))
            number = len(self._executions)
        self._wait_while_held(HOLD_AFTER)
        return HttpResponse.of(ServiceReceipt(service, key, number, body.decode(errors="replace")))

    def _hold(self, request: HttpRequest) -> HttpResponse:
        self._held_step = request.json(HoldOrder).step
        return HttpResponse.of(None)

    def _wait_while_held(self, step: str) -> None:
        while self._held_step == step:
            time.sleep(0.005)
