"""Creates the sockets for connections to backends and for datagrams between routers.

``use_socket_factory`` replaces the factory of the whole process, for simulations.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

from yokedock.base.logs import logger

_log = logger("sockets")

MAX_DATAGRAM_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with zero timeout: a close discards unsent data and sends RST."""
READ_ATTEMPTS = 2
"""A socket reports the error of an earlier send once, ahead of the queued datagrams."""

SocketFactory = Callable[[socket.SocketKind], socket.socket]
"""Returns an unconnected IPv4 socket of the given kind, ``SOCK_STREAM`` or ``SOCK_DGRAM``."""


def _system_socket(kind: socket.SocketKind) -> socket.socket:
    return socket.socket(socket.AF_INET, kind)


_factory: SocketFactory = _system_socket


def use_socket_factory(factory: SocketFactory | None) -> None:
    """Create all later sockets with ``factory``; None restores the operating system's sockets."""
    global _factory
    _factory = factory or _system_socket


def new_socket(kind: socket.SocketKind) -> socket.socket:
    """Return a non-blocking socket; raises ``OSError`` if no file descriptor is available."""
    created = _factory(kind)
    created.setblocking(False)
    return created


def reset_on_close(connected: socket.socket) -> None:
    """Have a connection reset when it is closed, which its peer can tell from a normal end."""
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def new_datagram_socket(address: str) -> socket.socket:
    """Return a non-blocking datagram socket that is bound to ``address``, IP:port.

    Port 0 is any free port. Raises ``OSError`` if the address is in use.
    """
    host, _, port = address.rpartition(":")
    created = new_socket(socket.SOCK_DGRAM)
    try:
        created.bind((host, int(port)))
    except OSError:
        created.close()
        raise
    return created


def next_datagram(queue: socket.socket) -> tuple[bytes, str] | None:
    """Return the next queued datagram and its sender's IP address, None if there is none."""
    for _ in range(READ_ATTEMPTS):
        try:
            data, (host, _) = queue.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return None
        except OSError as error:
            _log.debug("datagram could not be sent", reason=repr(error))
        else:
            return data, host
    return None
