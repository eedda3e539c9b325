"""Client for model engines. ``EngineDialect`` is the abstract interface to other engine types."""

from __future__ import annotations

import abc
from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec
import urllib3

from yokedock.base.decoding import DECODING_ERRORS
from yokedock.connection.bounded_http import (
    PART_BYTES,
    BoundedConnection,
    WholeResponse,
    bounded_pool_manager,
    read_whole,
)
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
_NoneType = type(None)
STEP_TIMEOUT_S = 3.0
"""Maximum time to a step on the step stream: the engine sends a line at least twice a second."""
MAX_STEP_BYTES = 1_048_576
POOL_SIZE = 64


class EngineDialect(abc.ABC):
    """Interface between an agent and an engine of any type.

    Every method raises ``EngineUnavailable`` if the command was not delivered, ``EngineRejected``
    if the engine refused it, and ``EngineLost`` if its outcome is unknown.
    """

    @abc.abstractmethod
    def prefill(self, order: PrefillOrder, timeout_s: float) -> PrefillResult:
        """Compute a KV cache and wait until it is ready."""

    @abc.abstractmethod
    def import_cache(self, order: ImportOrder, timeout_s: float) -> None:
        """Pull a KV cache from another engine and wait until the transfer is complete."""

    @abc.abstractmethod
    def decode(self, order: DecodeOrder) -> None:
        """Start generating from the imported cache."""

    @abc.abstractmethod
    def resume(self, order: ResumeOrder) -> ResumeResult:
        """Return a stream's tokens, starting at a sequence number."""

    @abc.abstractmethod
    def cancel(self, request: str) -> None:
        """Cancel all work and free all memory held for a request."""

    @abc.abstractmethod
    def change_role(self, role: str) -> None:
        """Change the role of the engine, which must be drained."""

    @abc.abstractmethod
    def held(self) -> Held:
        """Return all items that hold engine memory."""

    @abc.abstractmethod
    def load(self) -> Load:
        """Return the engine's own load report, which may be outdated."""

    @abc.abstractmethod
    def cache_events(self, after: int) -> CacheEvents:
        """Return the prefix-cache events after an event number."""

    @abc.abstractmethod
    def steps(self) -> Iterator[Step]:
        """Yield the tokens of each decode step until the connection is lost."""


class HttpEngineClient(EngineDialect):
    """Client for the HTTP interface of engines."""

    def __init__(
        self, url: str, fencing_token: int, connect_timeout_s: float, order_timeout_s: float
    ) -> None:
        """Every request carries ``fencing_token``, the incarnation of the agent."""
        self._url = url.rstrip("/")
        self._headers = {FENCING_HEADER: str(fencing_token), "Content-Type": "application/json"}
        self._connect_timeout_s = connect_timeout_s
        self._order_timeout_s = order_timeout_s
        self._pool = bounded_pool_manager(POOL_SIZE)

    def prefill(self, order: PrefillOrder, timeout_s: float) -> PrefillResult:
        """Compute a KV cache and wait until it is ready."""
        return self._post("/v1/prefill", order, PrefillResult, timeout_s)

    def import_cache(self, order: ImportOrder, timeout_s: float) -> None:
        """Pull a KV cache from another engine and wait until the transfer is complete."""
        self._post("/v1/kv/import", order, _NoneType, timeout_s)

    def decode(self, order: DecodeOrder) -> None:
        """Start generating from the imported cache."""
        self._post("/v1/decode", order, _NoneType, self._order_timeout_s)

    def resume(self, order: ResumeOrder) -> ResumeResult:
        """Return a stream's tokens, starting at a sequence number."""
        return self._post("/v1/resume", order, ResumeResult, self._order_timeout_s)

    def cancel(self, request: str) -> None:
        """Cancel all work and free all memory held for a request."""
        self._post("/v1/cancel", RequestOrder(request), _NoneType, self._order_timeout_s)

    def change_role(self, role: str) -> None:
        """Change the role of the engine, which must be drained."""
        self._post("/v1/role", RoleOrder(role), _NoneType, self._order_timeout_s)

    def held(self) -> Held:
        """Return all items that hold engine memory."""
        return self._get("/v1/held", Held)

    def load(self) -> Load:
        """Return the engine's own load report, which may be outdated."""
        return self._get("/v1/load", Load)

    def cache_events(self, after: int) -> CacheEvents:
        """Return the prefix-cache events after an event number."""
        return self._get(f"/v1/cache-events?after={after}", CacheEvents)

    def steps(self) -> Iterator[Step]:
        """Yield the tokens of each decode step until the connection is lost."""
        response = self._request("GET", "/v1/steps", b"", STEP_TIMEOUT_S)
        decoder = msgspec.json.Decoder(Step)
        rest = bytearray()
        try:
            for part in response.stream(PART_BYTES):
                rest += part
                if b"\n" in part:
                    *lines, rest = rest.split(b"\n")
                    _allow_more(response)
                    for line in lines:
                        yield decoder.decode(line)
                if len(rest) > MAX_STEP_BYTES:
                    raise EngineLost(f"a step exceeds {MAX_STEP_BYTES} bytes; check the engine")
        except (urllib3.exceptions.HTTPError, OSError, *DECODING_ERRORS) as error:
            raise EngineLost(
                f"the engine's step stream failed ({error}); check whether it is running"
            ) from None
        finally:
            response.close()
        raise EngineLost("the engine closed its step stream; check whether it is running")

    def _post(self, path: str, body: Any, kind: type[Result], timeout_s: float) -> Result:
        return self._read(self._whole("POST", path, msgspec.json.encode(body), timeout_s), kind)

    def _get(self, path: str, kind: type[Result]) -> Result:
        return self._read(self._whole("GET", path, b"", self._order_timeout_s), kind)

    def _whole(self, method: str, path: str, body: bytes, timeout_s: float) -> WholeResponse:
        response = self._request(method, path, body, timeout_s)
        try:
            return read_whole(response)
        except urllib3.exceptions.HTTPError as error:
            raise self._lost(error) from None

    def _request(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(connect=self._connect_timeout_s, read=timeout_s)
        try:
            return self._pool.request(
                method,
                self._url + path,
                body=body,
                headers=self._headers,
                timeout=timeout,
                preload_content=False,
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            raise EngineUnavailable(
                f"cannot connect to the engine at {self._url}; start it"
            ) from None
        except urllib3.exceptions.HTTPError as error:
            raise self._lost(error) from None

    def _lost(self, error: Exception) -> EngineLost:
        return EngineLost(f"the connection to the engine at {self._url} was lost ({error})")

    def _read(self, response: WholeResponse, kind: type[Result]) -> Result:
        if response.status != 200:
            raise EngineRejected(rejection_text(response))
        try:
            return msgspec.json.decode(response.data, type=kind)
        except DECODING_ERRORS:
            raise EngineLost("the engine's response cannot be decoded; check its version") from None


def _allow_more(response: urllib3.BaseHTTPResponse) -> None:
    """Wait for the next step as long as for the first one."""
    if isinstance(response.connection, BoundedConnection):
        response.connection.allow_more(STEP_TIMEOUT_S)


def rejection_text(response: WholeResponse) -> str:
    """Return the message of a backend's error response."""
    try:
        return msgspec.json.decode(response.data, type=ErrorResponse).error.message
    except DECODING_ERRORS:
        return f"the backend responded with status {response.status}; check its logs"
