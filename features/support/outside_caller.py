"""A caller in a process of its own, which measures how long calls take.

In the process of a router a caller's thread also waits for the lock of the interpreter, which a
busy event loop gives up and takes again many times before another thread gets it.
"""

import dataclasses
import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path

from support.processor_wait import Stopwatch

READY = "ready"
INTERVAL_S = 0.05
"""Pause between two calls."""
LIMIT_S = 20
READ_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class CallSeries:
    """Which request is sent again and again, and for how long."""

    address: str
    request: str
    duration_s: float
    router_process: int
    """Its waits for a processor don't count, like those of the caller."""


class OutsideCaller:
    """A process that is ready to make one series of calls."""

    def __init__(self):
        self._process = subprocess.Popen(
            [sys.executable, "-m", "support.outside_caller"],
            cwd=Path(__file__).parent.parent,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self._process.stdout.readline().strip() == READY

    def call_times_s(self, series):
        """Make the calls; return how long each of them took."""
        output, _ = self._process.communicate(
            json.dumps(dataclasses.asdict(series)), timeout=LIMIT_S
        )
        assert self._process.returncode == 0, "a call was not answered with 200"
        return json.loads(output)

    def close(self):
        """End the process if it has made no calls."""
        self._process.kill()
        self._process.communicate()


def _call_times_s(series):
    times_s = []
    until_s = time.monotonic() + series.duration_s
    while time.monotonic() < until_s:
        times_s.append(_call_time_s(series))
        time.sleep(INTERVAL_S)
    return times_s


def _call_time_s(series):
    stopwatch = Stopwatch((os.getpid(), series.router_process))
    host, _, port = series.address.rpartition(":")
    with socket.create_connection((host, int(port)), LIMIT_S) as connection:
        connection.sendall(series.request.encode())
        _read_response(connection)
    return stopwatch.elapsed_s()


def _read_response(connection):
    """Read one whole response, which must be a 200 with chunks or a length."""
    received = b""
    while not _is_whole(received):
        data = connection.recv(READ_BYTES)
        assert data, f"cut after {received!r}"
        received += data
    assert received.startswith(b"HTTP/1.1 200 "), received


def _is_whole(received):
    head, separator, body = received.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return bool(separator) and len(body) >= int(line.partition(b":")[2])
    return body.endswith(b"0\r\n\r\n")


if __name__ == "__main__":
    print(READY, flush=True)
    print(json.dumps(_call_times_s(CallSeries(**json.loads(sys.stdin.read())))))
