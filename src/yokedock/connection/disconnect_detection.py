"""Detects from the kernel's TCP state that a caller has disconnected, even before EOF is read.

A caller counts as disconnected when it closed the connection, reset it, or shut down only its
sending side. A half-close cannot be told from a full close before a response is written, and
HTTP/1.1 clients that still expect a response keep their sending side open. All three cases are
therefore treated alike: the response is no longer needed.
"""

from __future__ import annotations

import enum
import errno
import fcntl
import socket
import sys
import termios
from typing import Any

PEER_CLOSED_STATES = frozenset({6, 7, 8, 9, 11})
"""TCP states (Linux, ``tcp_states.h``) in which the peer has sent FIN or RST: TIME_WAIT, CLOSE,
CLOSE_WAIT, LAST_ACK, CLOSING."""

FIONREAD_BYTES = 4
"""Size of the number of bytes that ``FIONREAD`` returns, an ``int`` of C."""


class Departure(enum.StrEnum):
    """The sign by which a connection showed that its caller has left."""

    CLOSED = "closed"
    """The caller closed the connection, or only its sending side."""
    RESET = "reset"
    """The caller reset the connection."""
    UNACKNOWLEDGED = "unacknowledged"
    """The caller acknowledged nothing for too long."""
    EVICTED = "evicted"
    """This process closed the connection, because others needed what it held."""
    CLOSED_HERE = "closed here"
    """The end of the connection was read after this router had begun to close it."""


def has_disconnected(sock: Any) -> bool:
    """Return whether the peer of an accepted connection has closed or reset it.

    This is true even while data that the peer sent earlier is still unread.
    """
    try:
        state: int = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError as error:
        # EBADF: closed locally. On any other error, a disconnect is detected by reading.
        return error.errno == errno.EBADF
    return state in PEER_CLOSED_STATES


def unread_bytes(sock: Any) -> int:
    """Return how many bytes of the peer wait in the kernel; 0 for a closed socket."""
    descriptor = sock.fileno()
    if descriptor < 0:
        return 0
    waiting = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(FIONREAD_BYTES))
    return int.from_bytes(waiting, sys.byteorder)


def has_unread_data(sock: Any) -> bool:
    """Return whether data of the peer waits in the kernel; False for a closed socket."""
    return unread_bytes(sock) > 0
