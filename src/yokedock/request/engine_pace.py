"""How fast each engine reads prompts and makes tokens, as this router sees it.

What was measured of one engine fades towards what is typical of all, so that one that was slow is
tried again.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Iterable

import msgspec

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
    """A smoothed figure and when it was last measured (monotonic s)."""

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


class EnginePace:
    """Read rates (tokens/s) and pauses between events (s) by engine."""

    def __init__(self, clock: Callable[[], float] = time.monotonic, is_used: bool = True) -> None:
        """Start with nothing measured; without ``is_used`` it stays so: all engines are alike."""
        self._clock = clock
        self._is_used = is_used
        self._read_rates: dict[str, Measured] = {}
        self._pauses: dict[str, Measured] = {}
        self._reading_ratio = FIRST_READING_RATIO

    def note_read(self, engine: str, tokens: int, took_s: float) -> None:
        """Note that ``engine`` read ``tokens``, those that waited before included."""
        self._note(self._read_rates, engine, tokens / max(0.001, took_s))

    def note_pause(self, engine: str, pause_s: float, is_reading: bool) -> None:
        """Note a pause between two events; ``is_reading``: the engine read a prompt meanwhile."""
        if not is_reading:
            self._note(self._pauses, engine, pause_s)
            return
        plain = self._pauses.get(engine)
        if plain is not None and pause_s > plain.value:
            ratio = pause_s / max(0.001, plain.value)
            weight = RISE_WEIGHT if ratio > self._reading_ratio else FALL_WEIGHT
            self._reading_ratio += weight * (ratio - self._reading_ratio)

    def read_rate(self, engine: str) -> float:
        """Return how many prompt tokens ``engine`` reads in a second."""
        typical = _median((m.value for m in self._read_rates.values()), FIRST_READ_RATE)
        return self._faded(self._read_rates, engine, typical, READ_HALF_LIFE_S)

    def slowness(self, engine: str) -> float:
        """Return the engine's pauses over the typical ones: 1 for an ordinary engine."""
        typical = _median((m.value for m in self._pauses.values()), 0.0)
        if typical <= 0:
            return 1.0
        return self._faded(self._pauses, engine, typical, PAUSE_HALF_LIFE_S) / typical

    def reading_pause_s(self, engine: str) -> float:
        """Return the pause to expect on ``engine`` while it reads a prompt itself."""
        typical = _median((m.value for m in self._pauses.values()), 0.0)
        pause_s = self._faded(self._pauses, engine, typical, PAUSE_HALF_LIFE_S)
        return pause_s * self._reading_ratio

    def keep_only(self, engines: Collection[str]) -> None:
        """Drop what was measured of all other engines: they are gone."""
        for table in (self._read_rates, self._pauses):
            for engine in [name for name in table if name not in engines]:
                del table[engine]

    def size(self) -> int:
        """Return how many figures are kept."""
        return len(self._read_rates) + len(self._pauses)

    def recent(self, engine: str) -> tuple[int, int]:
        """Return the pause (ms) and read rate (tokens/ms) measured a moment ago, 0 for none."""
        pause, rate = self._pauses.get(engine), self._read_rates.get(engine)
        pause_ms = round(pause.value * MS_A_SECOND) if pause and self._is_recent(pause) else 0
        per_ms = round(rate.value / MS_A_SECOND) if rate and self._is_recent(rate) else 0
        return pause_ms, per_ms

    def heard(self, engine: str, pause_ms: int, read_tokens_per_ms: int) -> None:
        """Take in what another router measured, where this one has nothing as new."""
        if pause_ms and not self._is_recent(self._pauses.get(engine)):
            self._note(self._pauses, engine, pause_ms / MS_A_SECOND)
        if read_tokens_per_ms and not self._is_recent(self._read_rates.get(engine)):
            self._note(self._read_rates, engine, read_tokens_per_ms * MS_A_SECOND)

    def _note(self, table: dict[str, Measured], engine: str, value: float) -> None:
        if not self._is_used:
            return
        now_s = self._clock()
        measured = table.get(engine)
        if measured is None:
            table[engine] = Measured(value, now_s)
        else:
            measured.note(value, now_s)

    def _faded(
        self, table: dict[str, Measured], engine: str, typical: float, half_life_s: float
    ) -> float:
        measured = table.get(engine)
        if measured is None:
            return typical
        return measured.faded(typical, self._clock(), half_life_s)

    def _is_recent(self, measured: Measured | None) -> bool:
        return measured is not None and self._clock() - measured.noted_s < RECENT_S


def _median(values: Iterable[float], default: float) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else default
