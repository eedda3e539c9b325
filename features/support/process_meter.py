"""Observes the memory and the descriptors of one process until it is told to stop."""

import os
import threading
import time
from pathlib import Path

SAMPLE_S = 0.05
AT_REST_S = 1.5
"""A process whose memory has not changed for this long has taken what it was sent."""
REST_LIMIT_S = 60.0
MIN_CHANGE_BYTES = 1_048_576
KIB = 1024
MIB = 1_048_576
ESTABLISHED, CLOSE_WAIT = "01", "08"
"""States of connections in /proc/net/tcp whose received bytes may wait to be read."""


class ProcessMeter:
    """The most that a process has used since it was met."""

    def __init__(self, pid, ports):
        """Observe the process ``pid``, which listens on ``ports``."""
        self._pid = pid
        self._ports = {f"{port:04X}" for port in ports}
        self.bytes = 0
        """Memory at the last sample, as ``max_bytes``."""
        self.max_bytes = 0
        """Resident memory together with the bytes that have arrived and are not read."""
        self.max_descriptors = 0
        self._is_ending = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self):
        """Take a last sample and end."""
        self._is_ending.set()
        self._thread.join()

    def wait_at_rest(self):
        """Wait until the memory of the process no longer changes, for a limited time."""
        until_s = time.monotonic() + REST_LIMIT_S
        seen_bytes, seen_s = self.bytes, time.monotonic()
        while time.monotonic() - seen_s < AT_REST_S and time.monotonic() < until_s:
            time.sleep(SAMPLE_S)
            if abs(self.bytes - seen_bytes) >= MIN_CHANGE_BYTES:
                seen_bytes, seen_s = self.bytes, time.monotonic()

    def assert_within(self, max_bytes, max_descriptors):
        used = f"{self.max_bytes / MIB:.0f} MiB, {self.max_descriptors} descriptors"
        assert self.max_bytes <= max_bytes, used
        assert self.max_descriptors <= max_descriptors, used

    def _run(self):
        is_last = False
        while not is_last:
            is_last = self._is_ending.wait(SAMPLE_S)
            try:
                self._sample()
            except (FileNotFoundError, ProcessLookupError, PermissionError):
                return

    def _sample(self):
        self.max_descriptors = max(self.max_descriptors, len(os.listdir(f"/proc/{self._pid}/fd")))
        status = memory_status(self._pid)
        self.bytes = status["VmRSS"] + self._unread_bytes()
        self.max_bytes = max(self.max_bytes, self.bytes, status["VmHWM"])

    def _unread_bytes(self):
        unread = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[3] in (ESTABLISHED, CLOSE_WAIT) and fields[1][-4:] in self._ports:
                unread += int(fields[4].partition(":")[2], 16)
        return unread


def memory_status(pid):
    """Return the sizes in /proc/PID/status, in bytes; ``VmHWM`` is the most ever resident."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    pairs = (line.split(":", 1) for line in lines)
    return {name: int(text.split()[0]) * KIB for name, text in pairs if text.endswith(" kB")}
