"""Creates the sockets for connections to backends and for datagrams between routers.

``use_socket_factory`` replaces the factory of the whole process, for simulations.
"""

from __future__ import annotations

import contextlib
import os
import socket
import struct
from collections.abc import Callable
from typing import Any

from yokedock.base.logs import logger

_log = logger("sockets")

MAX_DATAGRAM_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with zero timeout: a close discards unsent data and sends RST."""
UNSENT_BYTES = 131_072
"""Bytes beyond the peer's receive window that the kernel keeps of each connection."""
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


def limit_buffers(transport: Any, read_bytes: int, unread_bytes: int) -> None:
    """Have an accepted connection buffer little of what its peer has sent or does not read.

    A read takes up to ``read_bytes`` at once. What is written waits until the kernel has taken it;
    see ``limit_kernel_buffers``.
    """
    transport.max_size = read_bytes
    transport.set_write_buffer_limits(high=0)
    limit_kernel_buffers(transport.get_extra_info("socket"), unread_bytes)


def limit_kernel_buffers(connected: Any, unread_bytes: int) -> None:
    """Have the kernel keep up to ``unread_bytes`` of what the peer of a connection has sent.

    Of what the peer does not read, it keeps little more than the peer's receive window.
    """
    # The kernel doubles the value (``socket(7)``).
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, unread_bytes // 2)
    with contextlib.suppress(OSError):  # The system has no such option.
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES)


def set_backlog(listening: Any, connections: int) -> None:
    """Set how many connections may wait in the kernel's queue of a listening socket.

    Does nothing for a simulated one. Raises ``OSError`` if no file descriptor is available.
    """
    if listening.fileno() < 0:
        return
    with socket.socket(fileno=os.dup(listening.fileno())) as duplicate:
        duplicate.listen(connections)


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
