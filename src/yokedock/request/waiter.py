"""One generation in the queue for room: until when it may be placed, and what was predicted."""

from __future__ import annotations

import asyncio

import msgspec

from yokedock.request.engine_placement import Placement, Progress
from yokedock.request.routed_call import RoutedCall


class Waiter(msgspec.Struct, eq=False):
    """One generation that waits for room. Times are monotonic seconds."""

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

    def turn(self) -> float:
        """Return its place among those in time: who has the least time left goes first."""
        deadline_s = self.call.terms.deadline_s
        return self.call.arrived_s + (self.call.limit_s if deadline_s is None else deadline_s)

    def is_in_time(self, now_s: float) -> bool:
        """Return whether a placement now would meet the target."""
        return self.in_time_until_s >= now_s
