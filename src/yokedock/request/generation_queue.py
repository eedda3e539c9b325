"""The generations that wait for room at the engines of one service, in the order of their turns."""

from __future__ import annotations

import bisect
from collections.abc import Iterator

from yokedock.request.waiter import Turn, Waiter


class GenerationQueue:
    """Waiters with the least time left first, kept in order as they come.

    Looking for room mostly ends at the first waiter, so it must not begin with sorting all.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        """Return all that wait, the least time left first; the queue may change meanwhile."""
        return iter(self._waiters.copy())

    def first(self) -> Waiter | None:
        """Return the one with the least time left, None if nobody waits."""
        return self._waiters[0] if self._waiters else None

    def add(self, waiter: Waiter) -> None:
        """Let a waiter stand in the queue."""
        bisect.insort(self._waiters, waiter, key=Waiter.turn)

    def remove(self, waiter: Waiter) -> bool:
        """Take a waiter out; return whether it stood in the queue."""
        if waiter not in self._waiters:
            return False
        self._waiters.remove(waiter)
        return True

    def in_time(self, now_s: float) -> Iterator[Waiter]:
        """Return those that can still meet their target, in the order of their turns."""
        return (waiter for waiter in self if waiter.is_in_time(now_s))

    def late(self, now_s: float) -> list[Waiter]:
        """Return the others: those whose prompt is cached first, then who came first.

        What was read for a prompt would be lost without room for its answer.
        """
        late = [waiter for waiter in self._waiters if not waiter.is_in_time(now_s)]
        return sorted(late, key=lambda waiter: (not waiter.progress.cached_at, waiter.since_s))

    def by_arrival(self) -> list[Waiter]:
        """Return all that wait, who came first first."""
        return sorted(self._waiters, key=lambda waiter: waiter.since_s)

    def next_turn(self, now_s: float) -> Turn | None:
        """Return the turn of whoever is next, None if none waits."""
        first = next(self.in_time(now_s), None)
        if first is None and self._waiters:
            first = self._waiters[0]
        return first.turn_at(now_s) if first is not None else None
