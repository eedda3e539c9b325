"""The one thread of a process that wakes its peers' tasks for their heartbeats."""

from __future__ import annotations

import threading
from collections.abc import Callable

from yokedock.base.clock import boot_time_s
from yokedock.connection.peer_view import AgentPeerHandle


class HeartbeatTicker(threading.Thread):
    """Tells every peer when its heartbeat is due, spread evenly over the interval."""

    def __init__(self, peers: Callable[[], list[AgentPeerHandle]], heartbeat_ms: int) -> None:
        """Prepare the thread; ``peers`` returns the present peers."""
        super().__init__(name="heartbeat ticker", daemon=True)
        self._peers = peers
        self._interval_s = heartbeat_ms / 1000
        self._stopping = threading.Event()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()

    def run(self) -> None:
        """Go round all peers once an interval."""
        while not self._stopping.is_set():
            peers = self._peers()
            if not peers:
                self._stopping.wait(self._interval_s)
            for peer in peers:
                if boot_time_s() >= peer.view.tick_due_s:
                    peer.tick()
                self._stopping.wait(self._interval_s / len(peers))
