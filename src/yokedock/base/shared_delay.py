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
MIN_EXPIRED_PEERS = 3
"""As many peers rarely stop accepting connections at the same moment as no other accepts one."""
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
        self._recent: collections.deque[tuple[float, float, bool]] = collections.deque()
        """Boot times at which connections were established, the delay of each, and whether the
        distance of its peer was known."""
        self._expired: dict[str, tuple[float, float]] = {}
        """Boot time at which the last connect to a peer was given up, with how long it was late."""

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
            self._recent.append((now_s, took_s - least_s, is_known))

    def record_expired(self, peer: str, started_s: float) -> None:
        """Record that a connect to ``peer``, requested at ``started_s``, was given up.

        It tells nothing of a peer that may simply be distant.
        """
        self._drop_old()
        now_s = self._clock()
        if peer in self._least_of_peer_s:
            late_s = now_s - started_s - self._least_of_peer_s[peer]
            self._expired[peer] = (now_s, late_s)

    def has_connected_since(self, started_s: float) -> bool:
        """Return whether a connection requested after ``started_s`` has been established."""
        return self._newest_start_s > started_s

    def current_s(self) -> float:
        """Return by how much all peers are late, 0 if no connection was established recently."""
        measured_s = self.measured_s()
        return 0.0 if measured_s is None else measured_s

    def measured_s(self) -> float | None:
        """Return by how much all peers are late, None if no connection was established recently.

        If connects to several peers were given up and no peer has accepted one meanwhile, all are
        late by at least as long as was waited for one of these.
        """
        self._drop_old()
        if self._recent:
            return min(delay_s for _, delay_s, _ in self._recent)
        return self._expired_s()

    def certain_s(self) -> float:
        """Return by how much all peers are late whose distance is known, 0 if nothing shows it."""
        self._drop_old()
        if self._recent:
            known = (delay_s for _, delay_s, is_known in self._recent if is_known)
            return min(self.current_s(), min(known, default=0.0))
        return self._expired_s() or 0.0

    def _expired_s(self) -> float | None:
        if len(self._expired) < MIN_EXPIRED_PEERS:
            return None
        return max(delay_s for _, delay_s in self._expired.values())

    def _drop_old(self) -> None:
        oldest_s = self._clock() - RECENT_S
        while self._recent and self._recent[0][0] < oldest_s:
            self._recent.popleft()
        for peer, (expired_s, _) in list(self._expired.items()):
            if expired_s < oldest_s:
                del self._expired[peer]

    def _learn_distance(self, peer: str, took_s: float) -> None:
        self._least_of_peer_s[peer] = min(took_s, self._least_of_peer_s.get(peer, math.inf))
        self._least_of_peer_s.move_to_end(peer)
        if len(self._least_of_peer_s) > MAX_PEERS:
            self._least_of_peer_s.popitem(last=False)
