"""Decaying averages of the arrival rate and output length of requests at one engine, by
priority."""

from __future__ import annotations

import dataclasses
import math

TIME_CONSTANT_S = 5.0
"""Time constant of the exponential decay."""


@dataclasses.dataclass(frozen=True)
class ExpectedWork:
    """Expected work: arrivals per second and their mean output in tokens."""

    per_s: float
    mean_tokens: float


@dataclasses.dataclass
class DecayingSum:
    """Exponentially decaying sums of arrivals and their tokens."""

    arrivals: float = 0.0
    tokens: float = 0.0
    updated_s: float = 0.0

    def decay(self, now: float) -> None:
        """Apply the decay up to ``now``."""
        share = math.exp(-(now - self.updated_s) / TIME_CONSTANT_S)
        self.arrivals *= share
        self.tokens *= share
        self.updated_s = now


class ArrivalRates:
    """Arrivals by priority. Not thread-safe: callers hold the owner's lock."""

    def __init__(self) -> None:
        """Start with no arrivals."""
        self._sums: dict[int, DecayingSum] = {}

    def arrived(self, priority: int, tokens: int, now: float) -> None:
        """Record an arrival with ``tokens`` of output at boot time ``now``, in seconds."""
        known = self._sums.setdefault(priority, DecayingSum(updated_s=now))
        known.decay(now)
        known.arrivals += 1
        known.tokens += tokens

    def above(self, priority: int, now: float) -> ExpectedWork:
        """Return the expected work of all higher priorities."""
        higher = [known for rank, known in self._sums.items() if rank > priority]
        for known in higher:
            known.decay(now)
        arrivals = sum(known.arrivals for known in higher)
        tokens = sum(known.tokens for known in higher)
        return ExpectedWork(arrivals / TIME_CONSTANT_S, tokens / arrivals if arrivals else 0.0)
