"""A generation queued for capacity: its deadlines and the wait predicted for it."""

from __future__ import annotations

import asyncio

import msgspec

from yokedock.request.engine_placement import Placement, Progress
from yokedock.request.routed_call import RoutedCall

TIE_S = 0.02
"""Turns closer together than this count as tied: datagram latency, and the delay before sending,
limit how precisely routers know each other's turns."""


class Turn(msgspec.Struct, frozen=True):
    """Position in the order of taking capacity: on-time before late, then by earliest deadline."""

    is_late: bool
    until_s: float
    """Deadline of its caller (boot time)."""
    wins_ties: bool = False
    """Whether it precedes any turn tied with it, as decided by the routers' names."""

    def is_before(self, other: Turn) -> bool:
        """Return whether this turn, of another router, precedes ``other``."""
        if self.is_late != other.is_late:
            return other.is_late
        if abs(self.until_s - other.until_s) < TIE_S:
            return self.wins_ties
        return self.until_s < other.until_s


class Waiter(msgspec.Struct, eq=False):
    """A generation queued for capacity. Times are seconds of boot time."""

    call: RoutedCall
    progress: Progress
    in_time_until_s: float
    """Latest placement time at which the first token still meets its target."""
    gives_up_s: float
    """Latest placement time at which the first token still arrives before the caller times out."""
    placed: asyncio.Future[Placement]
    since_s: float
    predicted_s: float = 0.0
    """The latest predicted wait, made at ``predicted_at_s``."""
    predicted_at_s: float = 0.0
    is_late: bool = False
    """Whether that prediction assumed a turn after all on-time waiters."""
    capacity_seen_s: float | None = None
    """Since when there has been capacity that others may take first; None if there is none."""

    def turn(self) -> float:
        """Return its sort key among on-time waiters: the earliest deadline goes first."""
        deadline_s = self.call.terms.deadline_s
        return self.call.arrived_s + (self.call.limit_s if deadline_s is None else deadline_s)

    def turn_at(self, now_s: float) -> Turn:
        """Return its turn among all waiters, with late ones after on-time ones."""
        return Turn(not self.is_in_time(now_s), self.turn())

    def is_in_time(self, now_s: float) -> bool:
        """Return whether a placement now would meet the target."""
        return self.in_time_until_s >= now_s
