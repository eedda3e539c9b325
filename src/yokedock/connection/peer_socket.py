"""The dialing socket of one link, owned by the thread that reads from it.

It has a single connection, so the library blocks senders instead of dropping packets.

The library aborts the whole process if a socket is closed while another thread is blocked in its
``recv`` (nng 1.x: "panic: pthread_mutex_lock"). Therefore only the reading thread closes the
socket, after ``receive`` has returned; other threads merely stop using it.
"""

from __future__ import annotations

from collections.abc import Callable

import pynng

NO_AUTOMATIC_REDIAL_MS = 3_600_000
"""Effectively disables the library's own redial: a new connection needs a new handshake."""
SEND_TIMEOUT_MS = 1000
RECEIVE_LIMIT_BYTES = 16 * 1024 * 1024
MAX_QUEUED_FRAMES = 1024
"""Size of the send and receive queues. A peer with more unread frames counts as lost."""
MAX_PACKETS_IN_FLIGHT = 2
"""Maximum number of unacknowledged packets from a listening socket to one peer.

On a socket with multiple connections the library queues two packets for each connection and
silently drops the next. A third may be in the process of being written, but cannot be counted on:
the peer may have read it before the library takes the next packet from its queue.
"""


class PeerSocket:
    """A socket for one connection to one peer. Every method may raise ``pynng.NNGException``."""

    def __init__(self, receive_timeout_ms: int) -> None:
        """``receive`` times out after ``receive_timeout_ms`` until ``set_idle_timeout`` changes
        that."""
        self._socket = pynng.Pair1(
            polyamorous=False,
            send_timeout=SEND_TIMEOUT_MS,
            recv_timeout=receive_timeout_ms,
            recv_max_size=RECEIVE_LIMIT_BYTES,
            send_buffer_size=MAX_QUEUED_FRAMES,
            recv_buffer_size=MAX_QUEUED_FRAMES,
            reconnect_time_min=NO_AUTOMATIC_REDIAL_MS,
            reconnect_time_max=NO_AUTOMATIC_REDIAL_MS,
        )

    def set_idle_timeout(self, receive_timeout_ms: int) -> None:
        """Set how long ``receive`` waits for a packet, in milliseconds."""
        self._socket.recv_timeout = receive_timeout_ms

    def dial(self, url: str) -> None:
        """Connect to ``url``; blocks until connected."""
        self._socket.dial(url, block=True)

    def send(self, packet: bytes) -> None:
        """Send one packet."""
        self._socket.send(packet)

    def receive(self) -> bytes:
        """Wait for one packet and return it."""
        return bytes(self._socket.recv())

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` on a library thread when the connection is lost."""
        self._socket.add_post_pipe_remove_cb(lambda _pipe: callback())

    def close(self) -> None:
        """Close the socket; only the thread that calls ``receive`` may call this."""
        self._socket.close()
