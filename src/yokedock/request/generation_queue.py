"""Generations queued for one service, in deadline order."""

from __future__ import annotations

import bisect
from collections.abc import Iterator

from yokedock.request.waiter import Turn, Waiter


class GenerationQueue:
    """Waiters sorted by deadline on insertion.

    A dispatch mostly stops at the first waiter, so it must not require sorting the whole queue.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiters: list[Waiter] = []
        self._pinned: list[Waiter] = []

    def __len__(self) -> int:
        """Return the number of waiters."""
        return len(self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over a snapshot of the waiters, earliest deadline first."""
        return iter(self._waiters.copy())

    def first(self) -> Waiter | None:
        """Return the waiter with the earliest deadline, None if the queue is empty."""
        return self._waiters[0] if self._waiters else None

    def add(self, waiter: Waiter) -> None:
        """Insert a waiter."""
        bisect.insort(self._waiters, waiter, key=Waiter.turn)
        if waiter.progress.version is not None:
            self._pinned.append(waiter)

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter; return whether it was queued."""
        if waiter not in self._waiters:
            return False
        self._waiters.remove(waiter)
        if waiter.progress.version is not None:
            self._pinned.remove(waiter)
        return True

    def pinned(self) -> list[Waiter]:
        """Return the streams that have to go on at one software version."""
        return self._pinned.copy()

    def in_time(self, now_s: float) -> Iterator[Waiter]:
        """Return the waiters that can still meet their target, earliest deadline first."""
        return (waiter for waiter in self if waiter.is_in_time(now_s))

    def late(self, now_s: float) -> list[Waiter]:
        """Return the late waiters: those with a cached prompt first, then by arrival.

        The prefill of a cached prompt would be wasted without capacity to decode it.
        """
        late = [waiter for waiter in self._waiters if not waiter.is_in_time(now_s)]
        return sorted(late, key=lambda waiter: (not waiter.progress.cached_at, waiter.since_s))

    def by_arrival(self) -> list[Waiter]:
        """Return all waiters in order of arrival."""
        return sorted(self._waiters, key=lambda waiter: waiter.since_s)

    def next_turn(self, now_s: float, may_take_any: bool = False) -> Turn | None:
        """Return the turn of the next waiter, None if the queue is empty.

        With ``may_take_any``, only waiters count that are not bound to one software version.
        """
        waiters = self._waiters
        if may_take_any:
            waiters = [waiter for waiter in waiters if waiter.progress.version is None]
        first = next((waiter for waiter in waiters if waiter.is_in_time(now_s)), None)
        if first is None and waiters:
            first = waiters[0]
        return first.turn_at(now_s) if first is not None else None
