"""How far one generation has come over all its attempts, and what the logs tell of it."""

from __future__ import annotations

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.request.backend_life import Backend
from yokedock.request.engine_placement import Placement, Progress
from yokedock.request.prompt_reads import PromptReads
from yokedock.request.retry_allowance import RequestRetries
from yokedock.request.routed_call import RoutedCall
from yokedock.request.stream_relay import StreamRelay

_log = logger("generation")

CACHED_S = 1.0
"""An engine that used a prompt so long ago may have dropped it from its prefix cache."""


class GenerationState(msgspec.Struct, eq=False):
    """How far one generation has come over all its attempts."""

    relay: StreamRelay
    retries: RequestRetries
    reads: PromptReads
    refused_by: set[str] = msgspec.field(default_factory=set)
    source: str | None = None
    """Where the prompt's memory is kept, until ``source_until_s``, after a refused decode."""
    source_until_s: float = 0.0
    source_engine: Backend | None = None
    """The life that keeps it."""
    prefills: int = 0
    """Prefills that reached an engine."""
    prefills_refused: int = 0
    read_at: dict[str, float] = msgspec.field(default_factory=dict)
    """Engines that have read the prompt, and when they last used it (boot time, s)."""
    engines: list[str] = msgspec.field(default_factory=list)
    """Where it was placed, one ``prefill>decode`` for each attempt."""
    placed_s: float = 0.0
    read_s: float = 0.0

    def note_placement(self, placement: Placement) -> None:
        """Note a placement for the logs."""
        reader = placement.prefill or placement.fetch_from
        self.engines.append(f"{reader.name if reader else ''}>{placement.decode.name}")
        self.placed_s = boot_time_s()

    def is_extra_prefill(self) -> bool:
        """Return whether one more prefill spends the retry budget: the first does not."""
        return self.prefills > 0

    def is_extra_run(self, call: RoutedCall) -> bool:
        """Return whether one more run spends the retry budget.

        The first does not, unless all prefills were refused: those are arrivals like runs.
        """
        return call.arrivals > 0 or 0 < self.prefills == self.prefills_refused

    def note_silent(self, placement: Placement) -> None:
        """Avoid the engine that fell silent: the decode engine, once the prompt was read."""
        prefill = placement.prefill
        is_read = prefill is None or prefill.name in self.read_at
        silent = placement.decode if prefill is None or is_read else prefill
        self.refused_by.add(silent.name)

    def progress(self, call: RoutedCall) -> Progress:
        """Return what bears on the next placement."""
        return Progress(
            made=self.relay.events * tokens_per_event(call),
            avoid=frozenset(self.refused_by),
            cached_at=self._cached_at(),
            silent_since_s=self.silent_since_s(call),
        )

    def note_prompt_at(self, *engines: str) -> None:
        """Note that engines keep the prompt now."""
        self.read_at |= dict.fromkeys(engines, boot_time_s())

    def _cached_at(self) -> frozenset[str]:
        """Return the engines that used the prompt so lately that they should still keep it."""
        oldest_s = boot_time_s() - CACHED_S
        return frozenset(name for name, used_s in self.read_at.items() if used_s >= oldest_s)

    def silent_since_s(self, call: RoutedCall) -> float:
        """Return since when the caller has heard nothing (boot time, s)."""
        return self.relay.last_s or call.arrived_s

    def note_lapse(self) -> None:
        """Note that the prompt's memory was kept too long ago to be used."""
        if self.source is not None and self.kept_source() is None:
            self.reads.lost("lapsed after", self.reads.loss)
            self.reads.end(is_whole=False)

    def must_read(self, placement: Placement) -> bool:
        """Return whether the decode engine reads the prompt itself."""
        is_read = self.kept_source() is not None or placement.fetch_from is not None
        return not is_read and placement.decode.name not in self.read_at

    def kept_source(self) -> str | None:
        """Return the prompt's memory if it is still kept."""
        has_ended = self.source_engine is not None and self.source_engine.has_ended
        return self.source if boot_time_s() < self.source_until_s and not has_ended else None


def tokens_per_event(call: RoutedCall) -> int:
    """Return how many tokens one event of the stream holds."""
    return call.service.engine.tokens_per_event if call.service.engine else 1


def log_placed(call: RoutedCall, state: GenerationState) -> None:
    """Tell where a stream goes, so that one whose router dies leaves a trace."""
    engine = state.engines[-1]
    tokens = call.terms.generation.prompt_tokens if call.terms.generation else 0
    _log.info(
        "placed",
        request=call.request_id,
        route=call.route.name,
        engines=[engine],
        prompt_tokens=tokens,
    )


def log_stream(call: RoutedCall, state: GenerationState) -> None:
    """Tell how a stream went: when it was placed, read and begun, and its longest pause."""
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
    """Return the milliseconds from the arrival to ``then_s``, None if that never came."""
    return round((then_s - call.arrived_s) * 1000) if then_s else None
