"""The receiving end of a datagram socket, which knows how old what it reads may be.

A process that stood still finds the datagrams that came meanwhile, the oldest of them where there
were more than the kernel keeps. When each came is not known: it is as old as the last moment at
which none waited.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.sockets import new_socket

_log = logger("inbox")

STOOD_STILL_S = 0.5
"""A process that did not look for datagrams for this long stood still, or had no processor."""
READ_FOR_S = 0.02
"""Other work waits for so long at most while what has queued up is read."""
LARGEST_DATAGRAM_BYTES = 65_536
READ_ATTEMPTS = 2
"""An error of an earlier send is told once, ahead of the datagrams that wait."""


class DatagramInbox:
    """Reads all that waits at once, so that choices are made on the newest word."""

    def __init__(
        self,
        on_datagram: Callable[[bytes, str, float], None],
        on_stood_still: Callable[[], None],
    ) -> None:
        """``on_datagram`` gets the bytes, the sender's IP address and since when they may wait.

        That is of boot time. ``on_stood_still`` is called once all was read that came meanwhile.
        """
        self._on_datagram = on_datagram
        self._on_stood_still = on_stood_still
        self._socket: socket.socket | None = None
        self._empty_s = boot_time_s()
        """When no datagram waited here last."""

    def bind(self, address: str, port: int) -> socket.socket:
        """Bind the socket and return it; raises ``OSError`` when the address is taken."""
        self._socket = new_socket(socket.SOCK_DGRAM)
        self._socket.bind((address, port))
        self._empty_s = boot_time_s()
        return self._socket

    def take(self, data: bytes, address: str) -> None:
        """Take in a datagram that was read already, and all that waits behind it."""
        self._on_datagram(data, address, self._told_s())
        self.read_waiting()

    def read_waiting(self) -> None:
        """Read what waits; to be called at least every ``STOOD_STILL_S``."""
        until_s = boot_time_s() + READ_FOR_S
        while (datagram := self._next()) is not None:
            self._on_datagram(*datagram, self._told_s())
            if boot_time_s() >= until_s:
                return
        self._note_empty()

    def _next(self) -> tuple[bytes, str] | None:
        """Return the next datagram and its sender, None if there is none."""
        if self._socket is None:
            return None
        for _ in range(READ_ATTEMPTS):
            try:
                data, (address, _) = self._socket.recvfrom(LARGEST_DATAGRAM_BYTES)
            except BlockingIOError:
                return None
            except OSError as error:
                _log.debug("datagram refused", reason=repr(error))
            else:
                return data, address
        return None

    def _told_s(self) -> float:
        """Return since when a datagram that is read now may have waited here."""
        now_s = boot_time_s()
        return now_s if now_s - self._empty_s < STOOD_STILL_S else self._empty_s

    def _note_empty(self) -> None:
        now_s = boot_time_s()
        still_s = now_s - self._empty_s
        self._empty_s = now_s
        if still_s >= STOOD_STILL_S:
            _log.warning("stood still", still_ms=round(still_s * 1000))
            self._on_stood_still()
