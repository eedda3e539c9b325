"""Decides whether a router asks its load balancer for new connections."""

from __future__ import annotations

from collections.abc import Callable

from yokedock.connection.router_gossip import OtherRouter
from yokedock.process.state_follower import StateFollower
from yokedock.request.link_admission import LinkAdmission
from yokedock.request.stop_admission import StopState

MIN_AVAILABLE_SHARE = 0.5
"""Share of the live routers that must be left to the balancer: with fewer, those few would get the
connections of all others."""


class Readiness:
    """The answer of one router to its readiness probe."""

    def __init__(
        self,
        follower: StateFollower,
        stop: StopState,
        admission: LinkAdmission,
        alive: Callable[[], list[OtherRouter]],
    ) -> None:
        """``alive`` returns the other live routers."""
        self._follower = follower
        self._stop = stop
        self._admission = admission
        self._alive = alive

    @property
    def is_ready(self) -> bool:
        """Return whether this router accepts new connections.

        One whose link is full leaves them to the others, if enough of these have room.
        """
        if not self._follower.is_known or self._stop.is_stopping:
            return False
        return not self.is_overloaded or not self._can_leave()

    @property
    def is_overloaded(self) -> bool:
        """Return whether other routers should get the new connections, if they can take them."""
        return not self._admission.should_get_new()

    def _can_leave(self) -> bool:
        """Return whether enough other routers have room for what this one refuses."""
        states = [other.state for other in self._alive() if other.state is not None]
        available = sum(not state.is_leaving and not state.is_overloaded for state in states)
        return available >= MIN_AVAILABLE_SHARE * (1 + len(states))
