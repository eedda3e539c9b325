"""Measures how long something took, without the time in which a process had no processor."""

import time
from pathlib import Path

NS_A_SECOND = 1e9


class Stopwatch:
    """Measures from its creation on; the waits of all threads of its processes are left out.

    On a machine with free processors these waits are next to nothing. Linux counts them for each
    thread (``schedstat``, second field, in ns).
    """

    def __init__(self, processes=("self",)):
        """``processes`` are the ids of the processes whose waits are left out."""
        self._processes = processes
        self._since_s = time.monotonic()
        self._waited_s = self._waited_for_processor_s()

    def elapsed_s(self):
        """Return the seconds since the creation, without waits for a processor."""
        waited_s = self._waited_for_processor_s() - self._waited_s
        return time.monotonic() - self._since_s - max(0.0, waited_s)

    def _waited_for_processor_s(self):
        return sum(_waited_for_processor_s(process) for process in self._processes)


def _waited_for_processor_s(process):
    total_ns = 0
    for path in Path(f"/proc/{process}/task").glob("*/schedstat"):
        try:
            total_ns += int(path.read_text().split()[1])
        except (OSError, IndexError):
            continue
    return total_ns / NS_A_SECOND
