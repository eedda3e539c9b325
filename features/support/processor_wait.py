"""Measures how long something took, without the time in which this process had no processor."""

import time
from pathlib import Path

NS_A_SECOND = 1e9


class Stopwatch:
    """Measures from its creation on; the waits of all threads of this process are left out.

    On a machine with free processors these waits are next to nothing. Linux counts them for each
    thread (``schedstat``, second field, in ns).
    """

    def __init__(self):
        self._since_s = time.monotonic()
        self._waited_s = _waited_for_processor_s()

    def elapsed_s(self):
        """Return the seconds since the creation, without waits for a processor."""
        waited_s = _waited_for_processor_s() - self._waited_s
        return time.monotonic() - self._since_s - max(0.0, waited_s)


def _waited_for_processor_s():
    total_ns = 0
    for path in Path("/proc/self/task").glob("*/schedstat"):
        try:
            total_ns += int(path.read_text().split()[1])
        except (OSError, IndexError):
            continue
    return total_ns / NS_A_SECOND
