"""One generation in the queue for room: until when it may be placed, and what was predicted."""

from __future__ import annotations

import asyncio

import msgspec

from yokedock.request.engine_placement import Placement, Progress
from yokedock.request.routed_call import RoutedCall

TIE_S = 0.02
"""Turns nearer to each other than this are tied: routers know each other's turns as exactly as the
way of a datagram, and the wait before it, allow."""


class Turn(msgspec.Struct, frozen=True):
    """Place in the order in which room is taken: the late go last, the least time left first."""

    is_late: bool
    until_s: float
    """When its caller's time ends (boot time)."""
    wins_ties: bool = False
    """Whether it goes before any that is tied with it; the routers' names decide."""

    def is_before(self, other: Turn) -> bool:
        """Return whether this turn, of another router, goes before ``other``."""
        if self.is_late != other.is_late:
            return other.is_late
        if abs(self.until_s - other.until_s) < TIE_S:
            return self.wins_ties
        return self.until_s < other.until_s


class Waiter(msgspec.Struct, eq=False):
    """One generation that waits for room. Times are seconds of boot time."""

    call: RoutedCall
    progress: Progress
    in_time_until_s: float
    """Placed by then, its first token is in time."""
    gives_up_s: float
    """Placed by then, its first token still finds its caller."""
    placed: asyncio.Future[Placement]
    since_s: float
    predicted_s: float = 0.0
    """The wait that was predicted last, at ``predicted_at_s``."""
    predicted_at_s: float = 0.0
    is_late: bool = False
    """Whether that prediction was for a turn behind all that are in time."""
    capacity_seen_s: float | None = None
    """Since when there has been room that others may take first, None if there is none."""

    def turn(self) -> float:
        """Return its place among those in time: who has the least time left goes first."""
        deadline_s = self.call.terms.deadline_s
        return self.call.arrived_s + (self.call.limit_s if deadline_s is None else deadline_s)

    def turn_at(self, now_s: float) -> Turn:
        """Return its place among all that wait, the late behind those in time."""
        return Turn(not self.is_in_time(now_s), self.turn())

    def is_in_time(self, now_s: float) -> bool:
        """Return whether a placement now would meet the target."""
        return self.in_time_until_s >= now_s
