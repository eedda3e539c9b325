"""Types of the request and response bodies of the model engines' published HTTP interface.

All commands are POST requests with JSON bodies and carry the sender's fencing token in the header
``X-Fencing-Token``. Engines that check it reject tokens below the highest they have seen (409).
"""

from __future__ import annotations

import msgspec

from yokedock.messages import Sampling

FENCING_HEADER = "X-Fencing-Token"


class PrefillOrder(msgspec.Struct, frozen=True):
    """``POST /v1/prefill``: compute the KV cache of ``prompt``; responds when it is ready."""

    request: str
    model: str
    adapter: str
    prompt: str
    priority: int = 5


class PrefillResult(msgspec.Struct, frozen=True):
    """Result of a prefill: the cache is kept under ``handle`` for ``kept_ms``, then discarded."""

    handle: str
    prompt_tokens: int
    cached_tokens: int
    kv_bytes: int
    kept_ms: int


class ImportOrder(msgspec.Struct, frozen=True):
    """``POST /v1/kv/import``: pull a KV cache from another engine; responds when it has arrived."""

    request: str
    source_url: str
    handle: str


class PullOrder(msgspec.Struct, frozen=True):
    """``POST /v1/kv/pull``, engine to engine; responds when the transfer is complete."""

    handle: str


class PullResult(msgspec.Struct, frozen=True):
    """Size of the pulled cache."""

    kv_bytes: int
    tokens: int
    computed_tokens: int


class DecodeOrder(msgspec.Struct, frozen=True):
    """``POST /v1/decode``: generate from an imported cache. ``/v1/steps`` delivers the tokens.

    ``text`` is the prompt with all tokens so far; ``first_sequence`` is the next token's number.
    """

    request: str
    text: str
    first_sequence: int
    max_tokens: int
    priority: int = 5
    sampling: Sampling = Sampling()


class RequestOrder(msgspec.Struct, frozen=True):
    """``POST /v1/cancel`` and ``/v1/kv/release``: cancel a request, or free a kept cache."""

    request: str = ""
    handle: str = ""


class ResumeOrder(msgspec.Struct, frozen=True):
    """``POST /v1/resume``: return the tokens from ``from_sequence`` on."""

    request: str
    from_sequence: int


class ResumeResult(msgspec.Struct, frozen=True):
    """Tokens from the requested sequence number on; ``finish`` is empty while the stream runs."""

    tokens: tuple[str, ...]
    finish: str


class StepToken(msgspec.Struct, frozen=True, array_like=True):
    """One stream's token in one decode step.

    The token is empty, and not counted, if the stream ends before a stop sequence.
    """

    request: str
    sequence: int
    token: str
    finish: str


class Step(msgspec.Struct, frozen=True):
    """One line of ``GET /v1/steps``: the tokens of one decode step."""

    tokens: tuple[StepToken, ...]


class RoleOrder(msgspec.Struct, frozen=True):
    """``POST /v1/role``: change the engine's role."""

    role: str


class HeldItem(msgspec.Struct, frozen=True):
    """An item that holds engine memory; ``kind`` is prefill, export, import or decode."""

    request: str
    handle: str
    kind: str
    tokens: int


class Held(msgspec.Struct, frozen=True):
    """``GET /v1/held``: all items that hold engine memory, except the prefix cache."""

    items: tuple[HeldItem, ...]


class Load(msgspec.Struct, frozen=True):
    """``GET /v1/load``: the engine's load, which may be outdated."""

    role: str
    slots: int
    running: int
    queued_prefill_tokens: int


class CacheEvents(msgspec.Struct, frozen=True):
    """``GET /v1/cache-events?after=N``: prompt blocks cached and evicted; late, and with gaps.

    ``complete`` is false if events between ``after`` and the first one listed were lost.
    """

    next: int
    cached: tuple[int, ...]
    evicted: tuple[int, ...]
    complete: bool
