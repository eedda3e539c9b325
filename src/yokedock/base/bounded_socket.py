"""A socket that limits how long and how many bytes one response may take.

The timeout of a plain socket starts again with each read, so that a peer that sends a few bytes now
and then is never given up, and one that sends without a pause fills the memory.
"""

from __future__ import annotations

import math
import socket
from typing import TYPE_CHECKING, Self

from yokedock.base.clock import boot_time_s

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer, WriteableBuffer

MAX_RESPONSE_BYTES = 16_777_216
MAX_LATE_BYTES = 16_384
"""Bytes that are read after the timeout: they arrived in time if this process was stalled."""


class BoundedSocket(socket.socket):
    """A connected TCP socket whose timeout covers all reads since it was set."""

    _due_s = math.inf
    _received_bytes = 0
    _late_bytes = 0
    has_send_failed = False
    """Whether something could not be sent; then the peer's reset no longer shows in what is read:
    the connection seems to end normally."""

    @classmethod
    def wrap(cls, connected: socket.socket) -> Self:
        """Take over a connected socket, with its timeout."""
        timeout_s = connected.gettimeout()
        wrapped = cls(connected.family, connected.type, connected.proto, connected.detach())
        wrapped.settimeout(timeout_s)
        return wrapped

    def settimeout(self, value: float | None) -> None:
        """Allow ``value`` seconds and ``MAX_RESPONSE_BYTES`` for all that is read from now on."""
        super().settimeout(value)
        self._due_s = math.inf if value is None else boot_time_s() + value
        self._received_bytes = self._late_bytes = 0

    def sendall(self, data: ReadableBuffer, flags: int = 0, /) -> None:
        """Send all bytes; raises ``OSError`` if that fails."""
        try:
            super().sendall(data, flags)
        except OSError:
            self.has_send_failed = True
            raise

    def recv_into(self, buffer: WriteableBuffer, nbytes: int = 0, flags: int = 0) -> int:
        """Receive bytes; raises ``TimeoutError`` or ``OSError`` if a limit is exceeded."""
        left_s = self._due_s - boot_time_s()
        if left_s <= 0:
            count = self._receive_ready(buffer, nbytes, flags)
        else:
            super().settimeout(None if math.isinf(left_s) else left_s)
            count = super().recv_into(buffer, nbytes, flags)
        self._received_bytes += count
        if self._received_bytes > MAX_RESPONSE_BYTES:
            raise OSError(f"the response exceeds {MAX_RESPONSE_BYTES} bytes")
        return count

    def _receive_ready(self, buffer: WriteableBuffer, nbytes: int, flags: int) -> int:
        """Receive what arrived in time: this process may have been stalled meanwhile."""
        super().settimeout(0)
        try:
            count = super().recv_into(buffer, nbytes, flags)
        except BlockingIOError:
            raise TimeoutError("the response took too long") from None
        self._late_bytes += count
        if self._late_bytes > MAX_LATE_BYTES:
            raise TimeoutError("the response took too long")
        return count
