"""Receives datagrams and bounds the age of each one.

After a stall, a process finds the datagrams that arrived in the meantime, or only the oldest of
them if the kernel's buffer was full. Their arrival times are unknown, so each counts as received
at the last time at which the socket was seen empty.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.sockets import new_datagram_socket, next_datagram

_log = logger("inbox")

STALL_THRESHOLD_S = 0.5
"""A process that has not polled the socket for this long was suspended or had no CPU time."""
MAX_READ_S = 0.02
"""Maximum time to read queued datagrams before other work gets its turn."""


class DatagramInbox:
    """Reads all queued datagrams at once, so that decisions use the newest information."""

    def __init__(
        self,
        on_datagram: Callable[[bytes, str, float], None],
        on_stall: Callable[[], None],
    ) -> None:
        """``on_datagram`` gets the bytes, the sender's IP address and the earliest arrival time.

        The time is boot time in seconds. After a stall, ``on_stall`` is called once all datagrams
        that arrived during it have been read.
        """
        self._on_datagram = on_datagram
        self._on_stall = on_stall
        self._socket: socket.socket | None = None
        self._last_empty_s = boot_time_s()
        """Boot time in seconds at which the socket was last seen empty."""

    def bind(self, address: str, port: int) -> socket.socket:
        """Bind the socket and return it; raises ``OSError`` if the address is in use."""
        self._socket = new_datagram_socket(f"{address}:{port}")
        self._last_empty_s = boot_time_s()
        return self._socket

    def take(self, data: bytes, address: str) -> None:
        """Handle a datagram that was already read, then read all that are queued."""
        self._on_datagram(data, address, self._earliest_arrival_s())
        self.read_pending()

    def read_pending(self) -> None:
        """Read the queued datagrams; must be called more often than every ``STALL_THRESHOLD_S``."""
        until_s = boot_time_s() + MAX_READ_S
        while self._socket is not None and (datagram := next_datagram(self._socket)) is not None:
            self._on_datagram(*datagram, self._earliest_arrival_s())
            if boot_time_s() >= until_s:
                return
        self._note_empty()

    def _earliest_arrival_s(self) -> float:
        """Return the earliest time at which a datagram that is read now may have arrived."""
        now_s = boot_time_s()
        return now_s if now_s - self._last_empty_s < STALL_THRESHOLD_S else self._last_empty_s

    def _note_empty(self) -> None:
        now_s = boot_time_s()
        stalled_s = now_s - self._last_empty_s
        self._last_empty_s = now_s
        if stalled_s >= STALL_THRESHOLD_S:
            _log.warning("stood still", still_ms=round(stalled_s * 1000))
            self._on_stall()
