"""How often the memory of a prompt could be handed over lately, by the engine that keeps it.

An engine that refuses a prompt read elsewhere does not say why: it may lack the room, or whoever
keeps the memory cannot send it. One refusal tells nothing; several, at engines that have room, do.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

import msgspec

WINDOW_S = 2.0
"""Attempts of this time count: an engine whose link is slow keeps a move waiting for as long."""


class HandoverCount(msgspec.Struct, frozen=True):
    """Attempts to hand memory over."""

    taken: int = 0
    lost: int = 0

    def plus(self, other: HandoverCount) -> HandoverCount:
        """Return the sum."""
        return HandoverCount(self.taken + other.taken, self.lost + other.lost)

    def lost_share(self) -> float:
        """Return the share that was lost, as if one more had been taken: one tells nothing."""
        return self.lost / (self.taken + self.lost + 1)


class Handovers:
    """What this router has seen in the window."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with nothing seen."""
        self._clock = clock
        self._seen: collections.deque[tuple[float, str, bool]] = collections.deque()

    def note(self, keeper: str, is_taken: bool) -> None:
        """Note whether a prompt that ``keeper`` kept was taken over."""
        self._seen.append((self._clock(), keeper, is_taken))

    def recent(self) -> dict[str, HandoverCount]:
        """Return what was seen in the window, by the engine that kept the prompt."""
        oldest_s = self._clock() - WINDOW_S
        while self._seen and self._seen[0][0] < oldest_s:
            self._seen.popleft()
        counts: dict[str, HandoverCount] = {}
        for _, keeper, is_taken in self._seen:
            one = HandoverCount(int(is_taken), int(not is_taken))
            counts[keeper] = counts.get(keeper, HandoverCount()).plus(one)
        return counts
