"""Tells a peer's slowness from a delay that all peers share, which is this machine's own.

On a full link, the packets of all connections wait in the same queue. A connection that another
peer has accepted although it was requested later shows that the queue is not what a peer is late
for; without one, nothing is known about the peer.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable

from yokedock.base.clock import boot_time_s

RECENT_S = 0.5
"""Connections that were established earlier tell nothing about the current delay."""


class SharedDelay:
    """Measures the delay that all peers share, by the time it takes to connect to them."""

    def __init__(self, clock: Callable[[], float] = boot_time_s) -> None:
        """Start without measurements."""
        self._clock = clock
        self._least_s = math.inf
        """Shortest connect so far: the network's own round trip."""
        self._newest_start_s = -math.inf
        self._recent: collections.deque[tuple[float, float]] = collections.deque()
        """Boot times at which connections were established, with how long they took."""

    def record_connect(self, started_s: float) -> None:
        """Record that a peer has accepted a connection which was requested at ``started_s``."""
        now_s = self._clock()
        self._least_s = min(self._least_s, now_s - started_s)
        self._newest_start_s = max(self._newest_start_s, started_s)
        self._recent.append((now_s, now_s - started_s))

    def has_connected_since(self, started_s: float) -> bool:
        """Return whether a connection requested after ``started_s`` has been established."""
        return self._newest_start_s > started_s

    def current_s(self) -> float:
        """Return by how much all peers are late, 0 if no connection was established recently."""
        oldest_s = self._clock() - RECENT_S
        while self._recent and self._recent[0][0] < oldest_s:
            self._recent.popleft()
        least_s = min((took_s for _, took_s in self._recent), default=self._least_s)
        return least_s - self._least_s if self._recent else 0.0
