"""The interface between HTTP headers and the router's own request and response metadata.

A dialect only translates: it maps these types to and from the headers that callers and backends
use.
"""

from __future__ import annotations

import abc

import msgspec

from yokedock.connection.http_heads import Header, RequestHead, ResponseHead
from yokedock.connection.short_call import ShortCall


class PromptPart(msgspec.Struct, frozen=True):
    """A segment of a prompt, with an identifier that other prompts may share, and its length."""

    part_id: str
    tokens: int


class GenerationParameters(msgspec.Struct, frozen=True):
    """Parameters of a generation request: prompt length, output limit and prompt segments."""

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    output_hint: int | None = None


class RequestMetadata(msgspec.Struct, frozen=True):
    """Metadata from the head of a request, other than its route."""

    request_id: str
    deadline_s: float | None
    """How long the caller will wait, in seconds; None if it does not say."""
    last_event_id: int | None = None
    generation: GenerationParameters | None = None
    resumes: str | None = None
    """Id of the caller's request that received the first event of the stream it resumes."""


class ForwardingOrder(msgspec.Struct, frozen=True):
    """What the router adds to a request when it forwards it to a backend."""

    instance: str
    """Identifier of the only backend process that may run the request."""
    deadline_ms: int | None = None
    is_prefill: bool = False
    kv_source: str | None = None
    """Address of the engine that holds the prompt's KV cache, and the handle of that cache."""
    fetch_from: str | None = None
    """Address of an engine with the prompt in its prefix cache; it is copied, not recomputed."""
    last_event_id: int | None = None


class BackendLoad(msgspec.Struct, frozen=True):
    """A backend's self-reported load."""

    running: int
    waiting: int
    slots: int


class ResponseMetadata(msgspec.Struct, frozen=True):
    """Metadata from the head of a response."""

    request_id: str | None
    is_not_run: bool
    """The backend states that it has not run the request and will not run it."""
    is_signed: bool
    is_misdirected: bool = False
    """Another backend process has taken over the address: the intended one is gone."""
    load: BackendLoad | None = None
    is_leaving: bool = False
    """The backend is draining; all its responses say so from then on."""
    rest_s: float | None = None
    """Seconds for which a backend that rejected the request wants no further requests from here."""
    limit_per_s: float | None = None
    """Requests per second that the backend accepts from all routers; None if it sets no limit."""
    is_limit_invalid: bool = False
    """The limit header is invalid; the previous limit stays in force."""


class RoleOrder(msgspec.Struct, frozen=True):
    """An order to an engine to change its role."""

    instance: str
    role: str
    holder: str
    token: int
    """Fencing token; never lower than in an earlier order."""


class EncodedRequest(msgspec.Struct, frozen=True):
    """A role order encoded as a POST request."""

    target: bytes
    headers: list[Header]
    body: bytes


class PrefillResult(msgspec.Struct, frozen=True):
    """An engine's response to a prefill; ``handle`` identifies the KV cache that it retains."""

    handle: str
    tokens: int = 0


class CachedPart(msgspec.Struct, frozen=True, array_like=True):
    """A prompt segment of which an engine has ``tokens`` in its prefix cache."""

    tenant: str
    part_id: str
    tokens: int


class Dialect(abc.ABC):
    """Translates the heads of requests and responses."""

    invalid_values = 0
    """Number of invalid header values in responses since the process started."""

    @abc.abstractmethod
    def request_metadata(self, head: RequestHead) -> RequestMetadata:
        """Return the metadata of a request; raises ``BadRequest`` for invalid values."""

    @abc.abstractmethod
    def backend_headers(self, head: RequestHead, order: ForwardingOrder) -> list[Header]:
        """Return the headers of the request as it is forwarded to a backend."""

    @abc.abstractmethod
    def response_metadata(self, head: ResponseHead) -> ResponseMetadata:
        """Return the metadata of a response."""

    @abc.abstractmethod
    def prefill_result(self, body: bytes | bytearray) -> PrefillResult:
        """Parse the response body of a prefill; raises ``EngineRejected`` if it is invalid."""

    @abc.abstractmethod
    def role_order(self, order: RoleOrder) -> EncodedRequest:
        """Encode an order to change a role."""

    @abc.abstractmethod
    def cache_list_request(self) -> ShortCall:
        """Return the request that lists the contents of an engine's prefix cache."""

    @abc.abstractmethod
    def cached_parts(self, body: bytes) -> dict[str, int]:
        """Return the cached tokens of each prompt segment, from the response to that request.

        Raises ``EngineRejected`` if the body is invalid.
        """

    @abc.abstractmethod
    def release_target(self, handle: str) -> bytes:
        """Return the path on which DELETE releases the KV cache that a prefill retains."""
