"""Tells a peer's slowness from a delay that all peers share, which is this machine's own.

On a full link, the packets of all connections wait in the same queue. A connection that another
peer has accepted although it was requested later shows that the queue is not what a peer is late
for; without one, nothing is known about the peer. How long a connect takes without a queue depends
on the distance, and is learned for each peer while the link is not busy.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable

from yokedock.base.clock import boot_time_s

RECENT_S = 0.5
"""Connections that were established earlier tell nothing about the current delay."""
MAX_PEERS = 4096
"""Peers whose distance is kept; the one that was connected to least recently is removed first."""


class SharedDelay:
    """Measures the delay that all peers share, by the time it takes to connect to them."""

    def __init__(self, clock: Callable[[], float] = boot_time_s) -> None:
        """Start without measurements."""
        self._clock = clock
        self._least_s = math.inf
        """Shortest connect to any peer so far."""
        self._least_of_peer_s: collections.OrderedDict[str, float] = collections.OrderedDict()
        """Shortest connect to each peer that was connected to while the link was not busy."""
        self._newest_start_s = -math.inf
        self._recent: collections.deque[tuple[float, float]] = collections.deque()
        """Boot times at which connections were established, with the delay of each."""

    def record_connect(self, peer: str, started_s: float, is_link_busy: bool) -> None:
        """Record that ``peer`` has accepted a connection which was requested at ``started_s``.

        The first connect to a peer only tells its distance. Over a busy link it doesn't, and is
        compared with the nearest peer instead.
        """
        self._drop_old()
        now_s = self._clock()
        took_s = now_s - started_s
        self._least_s = min(self._least_s, took_s)
        self._newest_start_s = max(self._newest_start_s, started_s)
        is_known = peer in self._least_of_peer_s
        if is_known or not is_link_busy:
            self._learn_distance(peer, took_s)
        if is_known or is_link_busy:
            least_s = self._least_of_peer_s.get(peer, self._least_s)
            self._recent.append((now_s, took_s - least_s))

    def has_connected_since(self, started_s: float) -> bool:
        """Return whether a connection requested after ``started_s`` has been established."""
        return self._newest_start_s > started_s

    def current_s(self) -> float:
        """Return by how much all peers are late, 0 if no connection was established recently."""
        measured_s = self.measured_s()
        return 0.0 if measured_s is None else measured_s

    def measured_s(self) -> float | None:
        """Return by how much all peers are late, None if no connection was established recently."""
        self._drop_old()
        return min((delay_s for _, delay_s in self._recent), default=None)

    def _drop_old(self) -> None:
        oldest_s = self._clock() - RECENT_S
        while self._recent and self._recent[0][0] < oldest_s:
            self._recent.popleft()

    def _learn_distance(self, peer: str, took_s: float) -> None:
        self._least_of_peer_s[peer] = min(took_s, self._least_of_peer_s.get(peer, math.inf))
        self._least_of_peer_s.move_to_end(peer)
        if len(self._least_of_peer_s) > MAX_PEERS:
            self._least_of_peer_s.popitem(last=False)
