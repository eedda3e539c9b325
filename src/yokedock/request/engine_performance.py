"""Prefill rate and inter-event latency of each engine, as measured by this router.

The estimate for an engine decays towards the median of all engines, so that an engine that was slow
is tried again.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable, Collection

import msgspec

from yokedock.base.clock import boot_time_s

INITIAL_PREFILL_RATE = 40_000.0
"""Initial estimate of the prefill rate in tokens/s, used until a rate has been measured."""
INITIAL_PREFILL_PAUSE_RATIO = 5.0
"""Initial ratio of the pause between events during a prefill on the same engine to the pause
without one."""
WEIGHT = 0.25
"""Smoothing factor of the moving averages."""
RATIO_RISE_WEIGHT = 0.5
RATIO_FALL_WEIGHT = 0.01
"""The pause ratio rises quickly and falls slowly, so that it follows the longest pauses: many
pauses overlap with the prefill only in part."""
PREFILL_RATE_HALF_LIFE_S = 5.0
PAUSE_HALF_LIFE_S = 20.0
RECENT_S = 2.0
"""Measurements up to this age are shared with other routers; older ones are replaced by theirs."""
MS_PER_SECOND = 1000


class SmoothedValue(msgspec.Struct):
    """An exponential moving average and the time of its last sample (boot time, s)."""

    value: float
    noted_s: float

    def note(self, value: float, now_s: float) -> None:
        """Add a sample to the moving average."""
        self.value += WEIGHT * (value - self.value)
        self.noted_s = now_s

    def decayed_towards(self, typical: float, now_s: float, half_life_s: float) -> float:
        """Return the average, decayed towards ``typical`` with its age."""
        trust = float(0.5 ** ((now_s - self.noted_s) / half_life_s))
        return typical + (self.value - typical) * trust


class SmoothedValueTable:
    """A smoothed value per engine and the median of all of them.

    Every placement reads the median once for each candidate engine, so the values are kept sorted
    and the median is updated on each change.
    """

    def __init__(self, first: float, half_life_s: float) -> None:
        """Initialize an empty table; ``first`` is the median until a value is measured."""
        self._initial = first
        self._half_life_s = half_life_s
        self._measured: dict[str, SmoothedValue] = {}
        self._ordered: list[float] = []
        self.typical = first
        """The median of all engines' values."""

    def __len__(self) -> int:
        """Return the number of engines with a value."""
        return len(self._measured)

    def get(self, engine: str) -> SmoothedValue | None:
        """Return the value of an engine, or None if nothing was measured."""
        return self._measured.get(engine)

    def note(self, engine: str, value: float, now_s: float) -> None:
        """Add a sample for an engine."""
        measured = self._measured.get(engine)
        if measured is None:
            measured = SmoothedValue(value, now_s)
            self._measured[engine] = measured
        else:
            self._remove(measured.value)
            measured.note(value, now_s)
        self._insert(measured.value)

    def keep_only(self, engines: Collection[str]) -> None:
        """Remove the values of all other engines."""
        for engine in [name for name in self._measured if name not in engines]:
            self._remove(self._measured.pop(engine).value)

    def expected(self, engine: str, now_s: float) -> float:
        """Return the value of an engine, decayed towards the median with its age."""
        measured = self._measured.get(engine)
        if measured is None:
            return self.typical
        return measured.decayed_towards(self.typical, now_s, self._half_life_s)

    def _insert(self, value: float) -> None:
        bisect.insort(self._ordered, value)
        self._update_median()

    def _remove(self, value: float) -> None:
        del self._ordered[bisect.bisect_left(self._ordered, value)]
        self._update_median()

    def _update_median(self) -> None:
        ordered = self._ordered
        self.typical = ordered[len(ordered) // 2] if ordered else self._initial


class EnginePerformance:
    """Prefill rates (tokens/s) and pauses between stream events (s) by engine."""

    def __init__(self, clock: Callable[[], float] = boot_time_s, is_used: bool = True) -> None:
        """Initialize without measurements.

        If ``is_used`` is false, measurements are discarded and all engines get the same estimates.
        """
        self._clock = clock
        self._is_used = is_used
        self._prefill_rates = SmoothedValueTable(INITIAL_PREFILL_RATE, PREFILL_RATE_HALF_LIFE_S)
        self._pauses = SmoothedValueTable(0.0, PAUSE_HALF_LIFE_S)
        self._prefill_pause_ratio = INITIAL_PREFILL_PAUSE_RATIO

    def note_prefill(self, engine: str, tokens: int, took_s: float) -> None:
        """Record that ``engine`` prefilled ``tokens`` in ``took_s``.

        ``tokens`` includes the prompts that were queued ahead of this one.
        """
        self._note(self._prefill_rates, engine, tokens / max(0.001, took_s), self._clock())

    def note_pause(self, engine: str, pause_s: float, is_reading: bool) -> None:
        """Record a pause between two events; ``is_reading``: a prefill ran on the engine then."""
        if not is_reading:
            self._note(self._pauses, engine, pause_s, self._clock())
            return
        plain = self._pauses.get(engine)
        if plain is not None and pause_s > plain.value:
            ratio = pause_s / max(0.001, plain.value)
            weight = RATIO_RISE_WEIGHT if ratio > self._prefill_pause_ratio else RATIO_FALL_WEIGHT
            self._prefill_pause_ratio += weight * (ratio - self._prefill_pause_ratio)

    def prefill_rate(self, engine: str) -> float:
        """Return the estimated prefill rate of ``engine`` in tokens/s."""
        return self._prefill_rates.expected(engine, self._clock())

    def slowness(self, engine: str) -> float:
        """Return the ratio of the engine's pauses to the median of all engines."""
        typical = self._pauses.typical
        if typical <= 0:
            return 1.0
        return self._pauses.expected(engine, self._clock()) / typical

    def typical_pause_s(self) -> float:
        """Return the median pause between events of all engines, 0 if none was measured."""
        return self._pauses.typical

    def prefilling_pause_s(self, engine: str) -> float:
        """Return the expected pause between events on ``engine`` during a prefill there."""
        return self._pauses.expected(engine, self._clock()) * self._prefill_pause_ratio

    def keep_only(self, engines: Collection[str]) -> None:
        """Remove the measurements of all other engines, which no longer exist."""
        for table in (self._prefill_rates, self._pauses):
            table.keep_only(engines)

    def size(self) -> int:
        """Return the number of stored values."""
        return len(self._prefill_rates) + len(self._pauses)

    def recent(self, engine: str) -> tuple[int, int]:
        """Return the pause (ms) and prefill rate (tokens/ms); 0 without a recent measurement."""
        pause, rate = self._pauses.get(engine), self._prefill_rates.get(engine)
        now_s = self._clock()
        pause_ms = round(pause.value * MS_PER_SECOND) if pause and _is_recent(pause, now_s) else 0
        rate_per_ms = round(rate.value / MS_PER_SECOND) if rate and _is_recent(rate, now_s) else 0
        return pause_ms, rate_per_ms

    def heard(
        self, engine: str, pause_ms: int, read_tokens_per_ms: int, told_s: float | None = None
    ) -> None:
        """Merge another router's measurements where this router has no recent ones.

        ``told_s`` is when they were reported (boot time); None means now.
        """
        told_s = self._clock() if told_s is None else told_s
        if pause_ms and not _is_recent(self._pauses.get(engine), told_s):
            self._note(self._pauses, engine, pause_ms / MS_PER_SECOND, told_s)
        if read_tokens_per_ms and not _is_recent(self._prefill_rates.get(engine), told_s):
            self._note(self._prefill_rates, engine, read_tokens_per_ms * MS_PER_SECOND, told_s)

    def _note(self, table: SmoothedValueTable, engine: str, value: float, noted_s: float) -> None:
        if self._is_used:
            table.note(engine, value, noted_s)


def _is_recent(measured: SmoothedValue | None, at_s: float) -> bool:
    return measured is not None and at_s - measured.noted_s < RECENT_S
