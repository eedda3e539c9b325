"""An emulated link of limited rate, shared by all transfers that cross it at one time."""

from __future__ import annotations

import threading
import time

from yokedock.base.clock import boot_time_s

CHUNK_S = 0.01
"""A transfer takes the link for this long at a time, so that others get their share."""


class SharedLink:
    """Lets bytes through at a fixed rate, in turns."""

    def __init__(self, bytes_per_s: float) -> None:
        """Set the link's rate."""
        self._bytes_per_s = bytes_per_s
        self._lock = threading.Lock()
        self._busy_until_s = 0.0
        self.is_stalled = False

    def transfer(self, size: int, is_wanted: threading.Event) -> bool:
        """Wait until ``size`` bytes have crossed; False if ``is_wanted`` was cleared before."""
        left = float(size)
        chunk = self._bytes_per_s * CHUNK_S
        while left > 0:
            if not is_wanted.is_set():
                return False
            if self.is_stalled:
                time.sleep(CHUNK_S)
                continue
            part = min(left, chunk)
            left -= part
            with self._lock:
                start = max(boot_time_s(), self._busy_until_s)
                self._busy_until_s = start + part / self._bytes_per_s
                ready = self._busy_until_s
            time.sleep(max(0.0, ready - boot_time_s()))
        return is_wanted.is_set()
