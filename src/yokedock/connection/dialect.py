"""What callers' and backends' headers mean: the terms in which the router decides, one interface.

A dialect only translates between these terms and the headers of one side.
"""

from __future__ import annotations

import abc

import msgspec

from yokedock.connection.http_heads import AnswerHead, Header, RequestHead
from yokedock.connection.short_call import ShortCall


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt: an identifier that other prompts may share, and its tokens."""

    part_id: str
    tokens: int


class GenerationTerms(msgspec.Struct, frozen=True):
    """What a caller says about a generation; tokens of the prompt and the most to be made."""

    model: str
    prompt_tokens: int
    most_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    output_hint: int | None = None


class CallTerms(msgspec.Struct, frozen=True):
    """What the head of a request says besides its route."""

    request_id: str
    deadline_s: float | None
    """Seconds that the caller will wait, None if it does not say."""
    last_event_id: int | None = None
    generation: GenerationTerms | None = None


class BackendOrder(msgspec.Struct, frozen=True):
    """What the router adds to a request for one backend."""

    instance: str
    """Only this incarnation of the backend may run the request."""
    deadline_ms: int | None = None
    is_prefill: bool = False
    kv_source: str | None = None
    """Address and handle of the engine that holds the prompt's memory."""
    fetch_from: str | None = None
    """Address of an engine that keeps the prompt in its prefix cache: it is copied, not read."""
    last_event_id: int | None = None


class BackendLoad(msgspec.Struct, frozen=True):
    """A backend's own count of its work."""

    running: int
    waiting: int
    slots: int


class AnswerNotes(msgspec.Struct, frozen=True):
    """What the head of an answer says about the run."""

    request_id: str | None
    is_not_run: bool
    """The backend states that it did not and will not run the request."""
    is_signed: bool
    is_elsewhere: bool = False
    """Another incarnation has the address: the one that was meant is gone."""
    load: BackendLoad | None = None
    is_leaving: bool = False
    """The backend will end soon; it says so in all its answers from then on."""
    rest_s: float | None = None
    """Seconds for which the backend that turned the request away wants no other from here."""
    limit_per_s: float | None = None
    """Requests a second that the backend takes from all routers together, None if it names none."""
    is_limit_odd: bool = False
    """It names something that is no limit: what it takes is as it was."""


class RoleOrder(msgspec.Struct, frozen=True):
    """An order to an engine to change its role."""

    instance: str
    role: str
    holder: str
    token: int
    """Fencing token: never lower than in an earlier order."""


class EncodedOrder(msgspec.Struct, frozen=True):
    """An order as it is sent, by POST."""

    target: bytes
    headers: list[Header]
    body: bytes


class PrefillResult(msgspec.Struct, frozen=True):
    """What an engine answers to a prefill; ``handle`` names the memory that it keeps."""

    handle: str
    tokens: int = 0


class CachedPart(msgspec.Struct, frozen=True, array_like=True):
    """One part of prompts that an engine keeps ``tokens`` of."""

    tenant: str
    part_id: str
    tokens: int


class Dialect(abc.ABC):
    """Translates heads of requests and answers."""

    not_understood = 0
    """Values in heads of answers that were none of what may stand there, since the start."""

    @abc.abstractmethod
    def call_terms(self, head: RequestHead) -> CallTerms:
        """Return what a caller asks; raises ``BadRequest`` for what makes no sense."""

    @abc.abstractmethod
    def backend_headers(self, head: RequestHead, order: BackendOrder) -> list[Header]:
        """Return the headers of the request as one backend gets it."""

    @abc.abstractmethod
    def answer_notes(self, head: AnswerHead) -> AnswerNotes:
        """Return what an answer says about the run."""

    @abc.abstractmethod
    def prefill_result(self, body: bytes) -> PrefillResult:
        """Parse the answer to a prefill; raises ``EngineRejected`` if it is none."""

    @abc.abstractmethod
    def role_order(self, order: RoleOrder) -> EncodedOrder:
        """Return an order to change a role as it is sent."""

    @abc.abstractmethod
    def cache_list_call(self) -> ShortCall:
        """Return the call that asks an engine what its prefix cache keeps."""

    @abc.abstractmethod
    def cached_parts(self, body: bytes) -> dict[str, int]:
        """Return the tokens kept of each part, by the answer to that call.

        Raises ``EngineRejected`` if it is none.
        """

    @abc.abstractmethod
    def release_target(self, handle: str) -> bytes:
        """Return the path at which DELETE releases what a prefill keeps."""
