"""Order in which several routers take capacity that they all see become free.

Each router announces the turn of its next waiter. If at least as many routers have an earlier turn
as there are free slots, a waiter delays by one propagation time per turn by which it misses a slot.
After that it sees the capacity as reserved, or takes it if the routers ahead did not.
"""

from __future__ import annotations

from collections.abc import Callable

from yokedock.request.waiter import Turn, Waiter

STEP_S = 0.015
"""Time until a reservation is known to the other routers: the minimum interval of 10 ms between a
router's messages, plus datagram latency."""


class TurnOrder:
    """The order in which the routers' waiters take capacity, as far as known to this router."""

    def __init__(self, remote_turns: Callable[[str], list[Turn]]) -> None:
        """``remote_turns`` returns the next turn at each other router for a service."""
        self._remote_turns = remote_turns

    def is_alone(self, service: str) -> bool:
        """Return whether no generation waits for the service at another router."""
        return not self._remote_turns(service)

    def wait_s(self, waiter: Waiter, places: int, now_s: float) -> float:
        """Return the delay before a waiter may take one of the ``places`` free slots."""
        if places < 1:
            waiter.capacity_seen_s = None
            return 0.0
        if waiter.capacity_seen_s is None:
            waiter.capacity_seen_s = now_s
        own = waiter.turn_at(now_s)
        others = self._remote_turns(waiter.call.service.name)
        before = sum(turn.is_before(own) for turn in others)
        steps = max(0, before - places + 1)
        return max(0.0, waiter.capacity_seen_s + steps * STEP_S - now_s)
