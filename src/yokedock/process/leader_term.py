"""The term in which a router may give orders to engines, with the fencing token of its orders.

``Leadership`` keeps two leaders a lease apart among routers that know each other. Two groups that
do not know each other may each have a leader. Therefore every router reports its term to the
others, and a router that learns of another term suspends its orders for a lease:

    a term is reported for ``REPORTED_S`` after its end, which is longer than the time in which two
    datagrams are lost and an order is still on its way; so the pause of another router ends more
    than a lease after the last order.

With the next term comes a higher token than any that is known by then.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from yokedock.base.clock import boot_time_s, wall_clock_ms
from yokedock.base.logs import logger

_log = logger("router")

REPORTED_S = 2.0
"""With a lease, it stays below the time after which a vote changes: a regular change of the leader
causes no pause."""


class LeaderTerm:
    """Tracks the term of one router and what others report about theirs."""

    def __init__(
        self,
        lease_s: float,
        clock: Callable[[], float] = boot_time_s,
        wall_clock: Callable[[], int] = wall_clock_ms,
    ) -> None:
        """``lease_s`` is the minimum time between the orders of two leaders."""
        self._lease_s = lease_s
        self._clock = clock
        self._wall_clock = wall_clock
        self._token: int | None = None
        self._reported_token = 0
        self._held_s = -math.inf
        """When this router was last allowed to give orders."""
        self._paused_until_s = -math.inf
        self.highest_token = 0
        """Highest fencing token known to this router."""

    def hear(self, highest_token: int, term: int) -> None:
        """Record what another router reports: the highest token it knows, and its own term."""
        is_outdated = self._token is not None and highest_token > self._token
        if term or is_outdated:
            self._pause(max(highest_token, term))
        self.highest_token = max(self.highest_token, highest_token, term)

    def token(self, leads: bool) -> int | None:
        """Return the fencing token while orders are allowed; ``leads`` is the result of a vote."""
        now_s = self._clock()
        if not leads or now_s < self._paused_until_s:
            self._token = None
            return None
        if self._token is None:
            self._token = max(self.highest_token + 1, self._wall_clock())
            self.highest_token = self._reported_token = self._token
            _log.info("leads", token=self._token)
        self._held_s = now_s
        return self._token

    def reported(self, leads: bool) -> int:
        """Return the term to report to other routers: its token, 0 if it ended a while ago."""
        if self._token is not None:
            self.token(leads)
        return self._reported_token if self._clock() - self._held_s <= REPORTED_S else 0

    def _pause(self, other_token: int) -> None:
        if self._token is not None:
            _log.warning("orders suspended: another term", token=self._token, other=other_token)
        self._token = None
        self._paused_until_s = self._clock() + self._lease_s
