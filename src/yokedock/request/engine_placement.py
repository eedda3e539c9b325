"""Where a prompt is read and where its answer is made: what a scheduler gets, and what it gives.

A narrow base class, so that the scheduler can be replaced; ``QueuedPlacement`` is the one in use.
"""

from __future__ import annotations

import abc

import msgspec

from yokedock.request.backend_life import Backend
from yokedock.request.engine_ledger import StreamDemand
from yokedock.request.routed_call import RoutedCall

PREFILL_ROLE = "prefill"
DECODE_ROLE = "decode"


class Progress(msgspec.Struct, frozen=True):
    """What earlier attempts of a request left behind, as far as it bears on the next placement."""

    made: int = 0
    """Tokens made, and passed on, by an engine that was lost."""
    avoid: frozenset[str] = frozenset()
    """Engines that refused it."""
    cached_at: frozenset[str] = frozenset()
    """Engines that read its prompt a moment ago and may still keep it in their prefix cache."""
    silent_since_s: float | None = None
    """Since when the caller has heard nothing (boot time, s), None for since it asked."""


class Placement(msgspec.Struct, frozen=True):
    """Where a request is read and where its answer is made; its memory is promised."""

    decode: Backend
    prefill: Backend | None
    """None: the decode engine reads the prompt itself."""
    tokens: int
    """Prompt tokens to be read, including those already made."""
    demand: StreamDemand
    promise: int
    """Key of the promise in the ledger; whoever gets the placement closes it."""
    fetch_from: Backend | None = None
    """An engine that keeps the prompt, where the decode engine does not."""
    has_decode_permit: bool = False
    """A permit of a limited decode engine was taken: a prompt must not be read without one."""
    has_prefill_permit: bool = False
    """The same of the prefill engine."""


class EnginePlacement(abc.ABC):
    """Chooses engines for a generation."""

    @abc.abstractmethod
    async def place(self, call: RoutedCall, progress: Progress) -> Placement:
        """Return where the request goes; waits for room, raises ``Refused`` if none will come."""

    @abc.abstractmethod
    def gives_up_s(self, call: RoutedCall, progress: Progress) -> float:
        """Return when the caller of a silent stream gives up (boot time, s)."""

    @abc.abstractmethod
    def return_after_s(self, call: RoutedCall) -> float:
        """Return when a caller who is refused now should come back, in seconds."""

    @abc.abstractmethod
    def waiting_in_time(self) -> int:
        """Return how many requests wait for room that can still meet their target."""
