"""State of a generation across its attempts, and its log records."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.request.backend_incarnation import Backend
from yokedock.request.engine_placement import Placement, Progress
from yokedock.request.prefill_tracker import PrefillTracker
from yokedock.request.retry_allowance import RequestRetries
from yokedock.request.routed_call import RoutedCall
from yokedock.request.stream_move import StreamMove
from yokedock.request.stream_relay import StreamRelay

_log = logger("generation")

PREFIX_CACHE_TTL_S = 1.0
"""An engine may have evicted a prompt from its prefix cache when it last used it this long ago."""


class GenerationState(msgspec.Struct, eq=False):
    """State of one generation across all its attempts."""

    relay: StreamRelay
    retries: RequestRetries
    reads: PrefillTracker
    excluded_engines: set[str] = msgspec.field(default_factory=set)
    """Engines that refused, broke off or were silent; they are avoided by later placements."""
    source: str | None = None
    """Address and handle of the prefill's KV cache, valid until ``source_expires_s``.

    A decode that was refused leaves it in place for the next attempt.
    """
    source_expires_s: float = 0.0
    source_engine: Backend | None = None
    """The engine instance that holds the KV cache."""
    prefills: int = 0
    """Number of prefills that reached an engine."""
    prefills_refused: int = 0
    read_at: dict[str, float] = msgspec.field(default_factory=dict)
    """Engines that have prefilled the prompt, and when they last used it (boot time, s)."""
    engines: list[str] = msgspec.field(default_factory=list)
    """Placements as ``prefill>decode``, one per attempt."""
    unreachable_since_s: float = 0.0
    """When the engine chosen could first not be reached (boot time, s), 0 if it was not tried."""
    placed_s: float = 0.0
    read_s: float = 0.0
    move: StreamMove | None = None
    """The move that is under way, None once its engine has begun."""
    serve_elsewhere: Callable[[], Coroutine[Any, Any, None]] | None = None
    """Serves the rest of the stream on other engines than that of the current attempt."""

    def begin_move(self) -> None:
        """Record that the current engine has begun: the one before it is left for good."""
        if self.move is not None:
            self.move.begin()
            self.move = None

    def note_placement(self, placement: Placement) -> None:
        """Record a placement for the logs."""
        reader = placement.prefill or placement.fetch_from
        self.engines.append(f"{reader.name if reader else ''}>{placement.decode.name}")
        self.placed_s = boot_time_s()

    def is_extra_prefill(self) -> bool:
        """Return whether another prefill counts against the retry budget: the first does not."""
        return self.prefills > 0

    def is_extra_run(self, call: RoutedCall) -> bool:
        """Return whether another run counts against the retry budget.

        The first does not, unless all prefills were refused: refused prefills are arrivals too.
        """
        return call.arrivals > 0 or 0 < self.prefills == self.prefills_refused

    def exclude_silent_engine(self, placement: Placement) -> None:
        """Exclude the engine that stopped responding: after the prefill, the decode engine."""
        prefill = placement.prefill
        is_read = prefill is None or prefill.name in self.read_at
        silent = placement.decode if prefill is None or is_read else prefill
        self.excluded_engines.add(silent.name)

    def progress(self, call: RoutedCall) -> Progress:
        """Return the inputs for the next placement."""
        return Progress(
            made=self.relay.events * call.tokens_per_event(),
            avoid=frozenset(self.excluded_engines),
            cached_at=self._cached_at(),
            version=call.version,
            is_unstated=call.is_unstated,
            silent_since_s=self.silent_since_s(call),
        )

    def note_prompt_cached(self, *engines: str) -> None:
        """Record that engines have the prompt in their prefix cache now."""
        self.read_at |= dict.fromkeys(engines, boot_time_s())

    def _cached_at(self) -> frozenset[str]:
        """Return the engines that used the prompt recently enough to still have it cached."""
        oldest_s = boot_time_s() - PREFIX_CACHE_TTL_S
        return frozenset(name for name, used_s in self.read_at.items() if used_s >= oldest_s)

    def silent_since_s(self, call: RoutedCall) -> float:
        """Return when the caller last received an event, or the arrival time (boot time, s)."""
        return self.relay.last_s or call.arrived_s

    def note_expired_source(self) -> None:
        """Record the prefill as wasted if its KV cache has expired."""
        if self.source is not None and self.valid_source() is None:
            self.reads.lost("expired after", self.reads.loss)
            self.reads.end(is_whole=False)

    def must_read(self, placement: Placement) -> bool:
        """Return whether the decode engine has to prefill the prompt itself."""
        is_read = self.valid_source() is not None or placement.fetch_from is not None
        return not is_read and placement.decode.name not in self.read_at

    def valid_source(self) -> str | None:
        """Return ``source`` if the KV cache there is still valid."""
        has_ended = self.source_engine is not None and self.source_engine.has_ended
        return self.source if boot_time_s() < self.source_expires_s and not has_ended else None


def log_placement(call: RoutedCall, state: GenerationState, placement: Placement) -> None:
    """Log the placement up front, so that a stream whose router crashes can still be traced."""
    engine = state.engines[-1]
    tokens = call.terms.generation.prompt_tokens if call.terms.generation else 0
    _log.info(
        "placed",
        request=call.request_id,
        route=call.route.name,
        engines=[engine],
        prompt_tokens=tokens,
        version=placement.decode.entry.version,
        events=state.relay.events,
        resumes=call.terms.resumes or "",
        last_event_id=call.terms.last_event_id or 0,
    )


def log_stream_summary(call: RoutedCall, state: GenerationState) -> None:
    """Log the times of placement, prefill and first event, and the longest pause of a stream."""
    relay = state.relay
    _log.info(
        "stream",
        request=call.request_id,
        engines=state.engines,
        placed_ms=_since_ms(call, state.placed_s),
        read_ms=_since_ms(call, state.read_s),
        first_ms=_since_ms(call, relay.first_s or 0.0),
        gap_ms=round(relay.longest_gap_s * 1000),
        events=relay.events,
    )


def _since_ms(call: RoutedCall, then_s: float) -> int | None:
    """Return the milliseconds from the arrival to ``then_s``, None if ``then_s`` is not set."""
    return round((then_s - call.arrived_s) * 1000) if then_s else None
