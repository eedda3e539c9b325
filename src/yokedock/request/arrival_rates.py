"""How often work of each priority is asked for at one engine, and how long it is: running means."""

from __future__ import annotations

import dataclasses
import math

TIME_CONSTANT_S = 5.0
"""A burst is forgotten over about this time."""


@dataclasses.dataclass(frozen=True)
class ExpectedWork:
    """Work that is expected: arrivals a second, and the mean output of one, tokens."""

    per_s: float
    mean_tokens: float


@dataclasses.dataclass
class DecayingSum:
    """Arrivals and their tokens, each weighing less the older it is."""

    arrivals: float = 0.0
    tokens: float = 0.0
    updated_s: float = 0.0

    def decay(self, now: float) -> None:
        """Let what is summed up fade until ``now``."""
        share = math.exp(-(now - self.updated_s) / TIME_CONSTANT_S)
        self.arrivals *= share
        self.tokens *= share
        self.updated_s = now


class ArrivalRates:
    """Arrivals by priority. Not safe for several threads: the owner's lock guards it."""

    def __init__(self) -> None:
        """Start with no arrival."""
        self._sums: dict[int, DecayingSum] = {}

    def arrived(self, priority: int, tokens: int, now: float) -> None:
        """Note one arrival of ``tokens`` output at the boot time ``now``, seconds."""
        known = self._sums.setdefault(priority, DecayingSum(updated_s=now))
        known.decay(now)
        known.arrivals += 1
        known.tokens += tokens

    def above(self, priority: int, now: float) -> ExpectedWork:
        """Return the work of all higher priorities."""
        higher = [known for rank, known in self._sums.items() if rank > priority]
        for known in higher:
            known.decay(now)
        arrivals = sum(known.arrivals for known in higher)
        tokens = sum(known.tokens for known in higher)
        return ExpectedWork(arrivals / TIME_CONSTANT_S, tokens / arrivals if arrivals else 0.0)
