"""Orders to a model engine. ``EngineDialect`` is the narrow base for engines of other makes."""

from __future__ import annotations

import abc
from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec
import urllib3

from yokedock.connection.engine_protocol import (
    FENCING_HEADER,
    CacheEvents,
    DecodeOrder,
    Held,
    ImportOrder,
    Load,
    PrefillOrder,
    PrefillResult,
    RequestOrder,
    ResumeOrder,
    ResumeResult,
    RoleOrder,
    Step,
)
from yokedock.errors import EngineLost, EngineRejected, EngineUnavailable, ErrorResponse

Result = TypeVar("Result")
_Nothing = type(None)
STEP_SILENCE_S = 3.0
"""The engine sends a line at least twice a second; longer silence counts as a lost connection."""
CONNECTIONS = 64


class EngineDialect(abc.ABC):
    """What an agent asks of an engine, whatever its make.

    Every method raises ``EngineUnavailable`` when the order was not handed over,
    ``EngineRejected`` when the engine refused it, ``EngineLost`` when its fate is not known.
    """

    @abc.abstractmethod
    def prefill(self, order: PrefillOrder, timeout_s: float) -> PrefillResult:
        """Compute a KV cache and wait for it."""

    @abc.abstractmethod
    def import_cache(self, order: ImportOrder, timeout_s: float) -> None:
        """Pull a KV cache from another engine and wait for it."""

    @abc.abstractmethod
    def decode(self, order: DecodeOrder) -> None:
        """Start to generate from the imported cache."""

    @abc.abstractmethod
    def resume(self, order: ResumeOrder) -> ResumeResult:
        """Return a stream's tokens from a sequence number on."""

    @abc.abstractmethod
    def cancel(self, request: str) -> None:
        """End whatever runs or is held for a request."""

    @abc.abstractmethod
    def change_role(self, role: str) -> None:
        """Change the engine's role; it must be drained."""

    @abc.abstractmethod
    def held(self) -> Held:
        """Return everything that holds memory."""

    @abc.abstractmethod
    def load(self) -> Load:
        """Return the engine's own load report, which lags."""

    @abc.abstractmethod
    def cache_events(self, after: int) -> CacheEvents:
        """Return prefix-cache events after a number."""

    @abc.abstractmethod
    def steps(self) -> Iterator[Step]:
        """Yield the tokens of each decode step until the connection is lost."""


class HttpEngineClient(EngineDialect):
    """Speaks the engines' HTTP interface."""

    def __init__(
        self, url: str, fencing_token: int, connect_timeout_s: float, order_timeout_s: float
    ) -> None:
        """Every order carries ``fencing_token``, the incarnation of the agent."""
        self._url = url.rstrip("/")
        self._headers = {FENCING_HEADER: str(fencing_token), "Content-Type": "application/json"}
        self._connect_timeout_s = connect_timeout_s
        self._order_timeout_s = order_timeout_s
        self._pool = urllib3.PoolManager(maxsize=CONNECTIONS, retries=False, block=False)

    def prefill(self, order: PrefillOrder, timeout_s: float) -> PrefillResult:
        """Compute a KV cache and wait for it."""
        return self._post("/v1/prefill", order, PrefillResult, timeout_s)

    def import_cache(self, order: ImportOrder, timeout_s: float) -> None:
        """Pull a KV cache from another engine and wait for it."""
        self._post("/v1/kv/import", order, _Nothing, timeout_s)

    def decode(self, order: DecodeOrder) -> None:
        """Start to generate from the imported cache."""
        self._post("/v1/decode", order, _Nothing, self._order_timeout_s)

    def resume(self, order: ResumeOrder) -> ResumeResult:
        """Return a stream's tokens from a sequence number on."""
        return self._post("/v1/resume", order, ResumeResult, self._order_timeout_s)

    def cancel(self, request: str) -> None:
        """End whatever runs or is held for a request."""
        self._post("/v1/cancel", RequestOrder(request), _Nothing, self._order_timeout_s)

    def change_role(self, role: str) -> None:
        """Change the engine's role; it must be drained."""
        self._post("/v1/role", RoleOrder(role), _Nothing, self._order_timeout_s)

    def held(self) -> Held:
        """Return everything that holds memory."""
        return self._get("/v1/held", Held)

    def load(self) -> Load:
        """Return the engine's own load report, which lags."""
        return self._get("/v1/load", Load)

    def cache_events(self, after: int) -> CacheEvents:
        """Return prefix-cache events after a number."""
        return self._get(f"/v1/cache-events?after={after}", CacheEvents)

    def steps(self) -> Iterator[Step]:
        """Yield the tokens of each decode step until the connection is lost."""
        response = self._request("GET", "/v1/steps", b"", STEP_SILENCE_S, preload_content=False)
        decoder = msgspec.json.Decoder(Step)
        rest = b""
        try:
            for part in response.stream(None):
                *lines, rest = (rest + part).split(b"\n")
                for line in lines:
                    yield decoder.decode(line)
        except (urllib3.exceptions.HTTPError, OSError, msgspec.MsgspecError) as error:
            raise EngineLost(f"the engine's steps ended ({error}); is it running?") from None
        finally:
            response.close()
        raise EngineLost("the engine closed its steps; is it running?")

    def _post(self, path: str, body: Any, kind: type[Result], timeout_s: float) -> Result:
        response = self._request("POST", path, msgspec.json.encode(body), timeout_s)
        return self._read(response, kind)

    def _get(self, path: str, kind: type[Result]) -> Result:
        return self._read(self._request("GET", path, b"", self._order_timeout_s), kind)

    def _request(
        self, method: str, path: str, body: bytes, timeout_s: float, preload_content: bool = True
    ) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(connect=self._connect_timeout_s, read=timeout_s)
        try:
            return self._pool.request(
                method,
                self._url + path,
                body=body,
                headers=self._headers,
                timeout=timeout,
                preload_content=preload_content,
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            raise EngineUnavailable(f"no engine answers at {self._url}; start it") from None
        except urllib3.exceptions.HTTPError as error:
            raise EngineLost(f"the engine at {self._url} was lost ({error})") from None

    def _read(self, response: urllib3.BaseHTTPResponse, kind: type[Result]) -> Result:
        if response.status != 200:
            raise EngineRejected(rejection_text(response))
        try:
            return msgspec.json.decode(response.data, type=kind)
        except msgspec.MsgspecError:
            raise EngineLost("the engine's answer cannot be read; check its version") from None


def rejection_text(response: urllib3.BaseHTTPResponse) -> str:
    """Return the message of a back end's error answer."""
    try:
        return msgspec.json.decode(response.data, type=ErrorResponse).error.message
    except msgspec.MsgspecError:
        return f"the back end answered with status {response.status}; look at its logs"
