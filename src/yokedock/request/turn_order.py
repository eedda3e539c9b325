"""Who takes room that came free, where several routers see it at the same moment.

Each router tells whose turn is next with it. Whoever has as many routers with an earlier turn
before it as there are places waits for each one too many as long as the news of a promise take; it
finds the room taken then, or takes it where those before it did not.
"""

from __future__ import annotations

from collections.abc import Callable

from yokedock.request.waiter import Turn, Waiter

STEP_S = 0.015
"""From a promise until the other routers know of it: a router speaks at most every 10 ms, and the
way of a datagram."""


class TurnOrder:
    """The order in which the routers' generations take room, as far as this one knows it."""

    def __init__(self, remote_turns: Callable[[str], list[Turn]]) -> None:
        """``remote_turns`` returns whose turn is next at each other router, by service."""
        self._remote_turns = remote_turns

    def is_alone(self, service: str) -> bool:
        """Return whether nothing waits for the engines of a service at other routers."""
        return not self._remote_turns(service)

    def wait_s(self, waiter: Waiter, places: int, now_s: float) -> float:
        """Return after what time a waiter may take one of ``places`` that are free."""
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
