"""How fast each engine reads prompts and makes tokens, as this router sees it.

What was measured of one engine fades towards what is typical of all, so that one that was slow is
tried again.
"""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable, Iterable

FIRST_READ_RATE = 40_000.0
"""Prompt tokens an engine reads in a second, before any was measured."""
FIRST_READING_RATIO = 5.0
"""Pauses between events while the engine reads a prompt itself, over those while it does not."""
WEIGHT = 0.15
HALF_LIFE_S = 5.0


@dataclasses.dataclass
class Measured:
    """A smoothed figure and when it was last measured (monotonic s)."""

    value: float
    noted_s: float

    def note(self, value: float, now_s: float) -> None:
        """Take in another measurement."""
        self.value += WEIGHT * (value - self.value)
        self.noted_s = now_s

    def faded(self, typical: float, now_s: float) -> float:
        """Return the figure, the nearer to ``typical`` the older it is."""
        trust = float(0.5 ** ((now_s - self.noted_s) / HALF_LIFE_S))
        return typical + (self.value - typical) * trust


class EnginePace:
    """Read rates (tokens/s) and pauses between events (s) by engine."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start with nothing measured."""
        self._clock = clock
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
            self._reading_ratio += WEIGHT * (ratio - self._reading_ratio)

    def read_rate(self, engine: str) -> float:
        """Return how many prompt tokens ``engine`` reads in a second."""
        typical = _median((m.value for m in self._read_rates.values()), FIRST_READ_RATE)
        return self._faded(self._read_rates, engine, typical)

    def slowness(self, engine: str) -> float:
        """Return the engine's pauses over the typical ones: 1 for an ordinary engine."""
        typical = _median((m.value for m in self._pauses.values()), 0.0)
        if typical <= 0:
            return 1.0
        return self._faded(self._pauses, engine, typical) / typical

    def reading_pause_s(self, engine: str) -> float:
        """Return the pause to expect on ``engine`` while it reads a prompt itself."""
        typical = _median((m.value for m in self._pauses.values()), 0.0)
        return self._faded(self._pauses, engine, typical) * self._reading_ratio

    def forget(self, engines: Iterable[str]) -> None:
        """Drop what was measured of engines that are gone."""
        for engine in engines:
            self._read_rates.pop(engine, None)
            self._pauses.pop(engine, None)

    def _note(self, table: dict[str, Measured], engine: str, value: float) -> None:
        now_s = self._clock()
        measured = table.get(engine)
        if measured is None:
            table[engine] = Measured(value, now_s)
        else:
            measured.note(value, now_s)

    def _faded(self, table: dict[str, Measured], engine: str, typical: float) -> float:
        measured = table.get(engine)
        return typical if measured is None else measured.faded(typical, self._clock())


def _median(values: Iterable[float], default: float) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else default
