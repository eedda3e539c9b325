"""Whether a caller has left, asked of the kernel: it may know of a close before anything is read.

A caller has left when it closed its connection, reset it, or ended only its sending side. The last
cannot be told from a close before an answer is written, and HTTP/1.1 clients that still want an
answer keep their sending side open; so all three mean the same, and the answer is wanted no more.
"""

from __future__ import annotations

import errno
import socket
from typing import Any

STATES_OF_ENDED = frozenset({6, 7, 8, 9, 11})
"""States of a TCP connection (Linux, ``tcp_states.h``) whose other side has ended its sending or
reset it: TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING."""


def has_left(own_socket: Any) -> bool:
    """Return whether the other side of an accepted connection has ended or reset it.

    True also while what it sent before is still unread.
    """
    try:
        state: int = own_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError as error:
        # Closed by our side already; where the kernel cannot tell, reading does.
        return error.errno == errno.EBADF
    return state in STATES_OF_ENDED
