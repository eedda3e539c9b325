"""How fast each engine reads prompts and makes tokens, as this router sees it.

What was measured of one engine fades towards what is typical of all, so that one that was slow is
tried again.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable, Collection

import msgspec

from yokedock.base.clock import boot_time_s

FIRST_READ_RATE = 40_000.0
"""Prompt tokens an engine reads in a second, before any was measured."""
FIRST_READING_RATIO = 5.0
"""Pauses between events while the engine reads a prompt itself, over those while it does not."""
WEIGHT = 0.25
RISE_WEIGHT = 0.5
FALL_WEIGHT = 0.01
"""The ratio of pauses follows the longest: many fall only partly into the time of reading."""
READ_HALF_LIFE_S = 5.0
PAUSE_HALF_LIFE_S = 20.0
RECENT_S = 2.0
"""What was measured within this time is told to other routers; older figures give way to theirs."""
MS_A_SECOND = 1000


class Measured(msgspec.Struct):
    """A smoothed figure and when it was last measured (boot time, s)."""

    value: float
    noted_s: float

    def note(self, value: float, now_s: float) -> None:
        """Take in another measurement."""
        self.value += WEIGHT * (value - self.value)
        self.noted_s = now_s

    def faded(self, typical: float, now_s: float, half_life_s: float) -> float:
        """Return the figure, the nearer to ``typical`` the older it is."""
        trust = float(0.5 ** ((now_s - self.noted_s) / half_life_s))
        return typical + (self.value - typical) * trust


class MeasuredTable:
    """One figure of each engine, and the median of all: the typical one.

    The median is read for every engine that a placement looks at; values are kept in order, so that
    it is there at once.
    """

    def __init__(self, first: float, half_life_s: float) -> None:
        """``first`` is typical before anything was measured."""
        self._first = first
        self._half_life_s = half_life_s
        self._measured: dict[str, Measured] = {}
        self._ordered: list[float] = []
        self.typical = first
        """The median."""

    def __len__(self) -> int:
        """Return how many figures are kept."""
        return len(self._measured)

    def get(self, engine: str) -> Measured | None:
        """Return the figure of an engine."""
        return self._measured.get(engine)

    def note(self, engine: str, value: float, now_s: float) -> None:
        """Take in a measurement."""
        measured = self._measured.get(engine)
        if measured is None:
            measured = Measured(value, now_s)
            self._measured[engine] = measured
        else:
            self._take_out(measured.value)
            measured.note(value, now_s)
        self._take_in(measured.value)

    def keep_only(self, engines: Collection[str]) -> None:
        """Drop the figures of all other engines."""
        for engine in [name for name in self._measured if name not in engines]:
            self._take_out(self._measured.pop(engine).value)

    def expected(self, engine: str, now_s: float) -> float:
        """Return the figure of an engine, the nearer to the typical one the older it is."""
        measured = self._measured.get(engine)
        if measured is None:
            return self.typical
        return measured.faded(self.typical, now_s, self._half_life_s)

    def _take_in(self, value: float) -> None:
        bisect.insort(self._ordered, value)
        self._note_typical()

    def _take_out(self, value: float) -> None:
        del self._ordered[bisect.bisect_left(self._ordered, value)]
        self._note_typical()

    def _note_typical(self) -> None:
        ordered = self._ordered
        self.typical = ordered[len(ordered) // 2] if ordered else self._first


class EnginePace:
    """Read rates (tokens/s) and pauses between events (s) by engine."""

    def __init__(self, clock: Callable[[], float] = boot_time_s, is_used: bool = True) -> None:
        """Start with nothing measured; without ``is_used`` it stays so: all engines are alike."""
        self._clock = clock
        self._is_used = is_used
        self._read_rates = MeasuredTable(FIRST_READ_RATE, READ_HALF_LIFE_S)
        self._pauses = MeasuredTable(0.0, PAUSE_HALF_LIFE_S)
        self._reading_ratio = FIRST_READING_RATIO

    def note_read(self, engine: str, tokens: int, took_s: float) -> None:
        """Note that ``engine`` read ``tokens``, those that waited before included."""
        self._note(self._read_rates, engine, tokens / max(0.001, took_s), self._clock())

    def note_pause(self, engine: str, pause_s: float, is_reading: bool) -> None:
        """Note a pause between two events; ``is_reading``: the engine read a prompt meanwhile."""
        if not is_reading:
            self._note(self._pauses, engine, pause_s, self._clock())
            return
        plain = self._pauses.get(engine)
        if plain is not None and pause_s > plain.value:
            ratio = pause_s / max(0.001, plain.value)
            weight = RISE_WEIGHT if ratio > self._reading_ratio else FALL_WEIGHT
            self._reading_ratio += weight * (ratio - self._reading_ratio)

    def read_rate(self, engine: str) -> float:
        """Return how many prompt tokens ``engine`` reads in a second."""
        return self._read_rates.expected(engine, self._clock())

    def slowness(self, engine: str) -> float:
        """Return the engine's pauses over the typical ones: 1 for an ordinary engine."""
        typical = self._pauses.typical
        if typical <= 0:
            return 1.0
        return self._pauses.expected(engine, self._clock()) / typical

    def reading_pause_s(self, engine: str) -> float:
        """Return the pause to expect on ``engine`` while it reads a prompt itself."""
        return self._pauses.expected(engine, self._clock()) * self._reading_ratio

    def keep_only(self, engines: Collection[str]) -> None:
        """Drop what was measured of all other engines: they are gone."""
        for table in (self._read_rates, self._pauses):
            table.keep_only(engines)

    def size(self) -> int:
        """Return how many figures are kept."""
        return len(self._read_rates) + len(self._pauses)

    def recent(self, engine: str) -> tuple[int, int]:
        """Return the pause (ms) and read rate (tokens/ms) measured a moment ago, 0 for none."""
        pause, rate = self._pauses.get(engine), self._read_rates.get(engine)
        now_s = self._clock()
        pause_ms = round(pause.value * MS_A_SECOND) if pause and _is_recent(pause, now_s) else 0
        per_ms = round(rate.value / MS_A_SECOND) if rate and _is_recent(rate, now_s) else 0
        return pause_ms, per_ms

    def heard(
        self, engine: str, pause_ms: int, read_tokens_per_ms: int, told_s: float | None = None
    ) -> None:
        """Take in what another router measured, where this one has nothing as new.

        It was told just now, or at ``told_s`` (boot time).
        """
        told_s = self._clock() if told_s is None else told_s
        if pause_ms and not _is_recent(self._pauses.get(engine), told_s):
            self._note(self._pauses, engine, pause_ms / MS_A_SECOND, told_s)
        if read_tokens_per_ms and not _is_recent(self._read_rates.get(engine), told_s):
            self._note(self._read_rates, engine, read_tokens_per_ms * MS_A_SECOND, told_s)

    def _note(self, table: MeasuredTable, engine: str, value: float, noted_s: float) -> None:
        if self._is_used:
            table.note(engine, value, noted_s)


def _is_recent(measured: Measured | None, at_s: float) -> bool:
    return measured is not None and at_s - measured.noted_s < RECENT_S
