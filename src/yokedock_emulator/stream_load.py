"""Many streamed completions at once from one thread, with the age of every token on arrival.

The engines are run with ``--clock-tokens``: each token's text is the time at which it was made,
so the difference on arrival is what agent, gateway and the links between them added.
"""

from __future__ import annotations

import re
import selectors
import socket
import time

import msgspec
from hdrh.histogram import HdrHistogram

from yokedock.base.clock import boot_time_s

_CLOCK = re.compile(rb"@(\d+)")
RECEIVE_BYTES = 65_536
HIGHEST_US = 60_000_000


class LoadReport(msgspec.Struct, frozen=True):
    """What one generator saw in its window. Ages are microseconds."""

    streams: int
    finished: int
    refused: int
    tokens: int
    chunks: int
    window_s: float
    age_p50_us: float
    age_p99_us: float
    age_max_us: float


class StreamLoad:
    """Opens streams over plain sockets and reads them all in one loop."""

    def __init__(self, address: str, token: str, model: str, max_tokens: int) -> None:
        """Send to the gateway at ``address`` (IP:port)."""
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._token, self._model, self._max_tokens = token, model, max_tokens
        self._selector = selectors.DefaultSelector()
        self._ages = HdrHistogram(1, HIGHEST_US, 3)
        self._tokens = self._chunks = self._finished = self._refused = 0

    def run(self, streams: int, opening_s: float, settle_s: float, window_s: float) -> LoadReport:
        """Open all streams over ``opening_s``, wait ``settle_s``, then measure."""
        opened_s = boot_time_s()
        for number in range(streams):
            self._open(number)
            due_s = opened_s + opening_s * (number + 1) / streams
            while boot_time_s() < due_s:
                self._poll(0.005)
        self._poll_until(boot_time_s() + settle_s)
        self._ages.reset()
        self._tokens = self._chunks = 0
        self._poll_until(boot_time_s() + window_s)
        p50, p99 = (self._ages.get_value_at_percentile(p) for p in (50.0, 99.0))
        return LoadReport(
            streams,
            self._finished,
            self._refused,
            self._tokens,
            self._chunks,
            window_s,
            float(p50),
            float(p99),
            float(self._ages.get_max_value()),
        )

    def close(self) -> None:
        """Leave all streams."""
        for key in list(self._selector.get_map().values()):
            self._close(key.fileobj)  # type: ignore[arg-type]

    def _open(self, number: int) -> None:
        body = msgspec.json.encode(
            {
                "model": self._model,
                "prompt": f"load {number} " * 8,
                "max_tokens": self._max_tokens,
                "stream": True,
            }
        )
        connection = socket.create_connection(self._target)
        connection.sendall(
            b"POST /v1/completions HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer "
            + self._token.encode()
            + f"\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        connection.setblocking(False)
        self._selector.register(connection, selectors.EVENT_READ)

    def _poll_until(self, end_s: float) -> None:
        while (remaining_s := end_s - boot_time_s()) > 0:
            self._poll(min(remaining_s, 0.05))

    def _poll(self, timeout_s: float) -> None:
        for key, _ in self._selector.select(timeout_s):
            connection: socket.socket = key.fileobj  # type: ignore[assignment]
            data = connection.recv(RECEIVE_BYTES)
            now_us = time.monotonic_ns() // 1000
            if data.startswith(b"HTTP/1.1 ") and not data.startswith(b"HTTP/1.1 200"):
                self._refused += 1
                self._close(connection)
                continue
            self._chunks += data.count(b"data: {")
            for made_us in _CLOCK.findall(data):
                self._tokens += 1
                self._ages.record_value(max(1, now_us - int(made_us)))
            if not data or b"[DONE]" in data:
                self._finished += 1
                self._close(connection)

    def _close(self, connection: socket.socket) -> None:
        self._selector.unregister(connection)
        connection.close()
