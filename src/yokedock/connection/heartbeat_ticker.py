"""The thread that triggers the heartbeats to all peers of a process."""

from __future__ import annotations

import threading
from collections.abc import Callable

from yokedock.base.clock import boot_time_s
from yokedock.connection.peer_view import AgentPeerHandle


class HeartbeatTicker(threading.Thread):
    """Sends a tick to each peer whose heartbeat is due, spread evenly over the interval."""

    def __init__(self, peers: Callable[[], list[AgentPeerHandle]], heartbeat_ms: int) -> None:
        """Initialize the thread; ``peers`` returns the current peers."""
        super().__init__(name="heartbeat ticker", daemon=True)
        self._peers = peers
        self._interval_s = heartbeat_ms / 1000
        self._stopping = threading.Event()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping.set()

    def run(self) -> None:
        """Check every peer once per interval."""
        while not self._stopping.is_set():
            peers = self._peers()
            if not peers:
                self._stopping.wait(self._interval_s)
            for peer in peers:
                if boot_time_s() >= peer.view.heartbeat_due_s:
                    peer.tick()
                self._stopping.wait(self._interval_s / len(peers))
