"""The dialling socket of one link, owned by the thread that reads it.

It has one connection only, so the library makes a sender wait instead of dropping packets.

The library aborts the whole process when a socket is closed while another thread waits in its
``recv`` (nng 1.x: "panic: pthread_mutex_lock"). So only the reading thread closes it, after its
``receive`` has returned; whoever else has done with the connection simply stops using it.
"""

from __future__ import annotations

from collections.abc import Callable

import pynng

NO_AUTOMATIC_REDIAL_MS = 3_600_000
"""The library's own redial is put out of reach: a new connection needs a new handshake."""
SEND_TIMEOUT_MS = 1000
RECEIVE_LIMIT_BYTES = 16 * 1024 * 1024
BUFFERED_FRAMES = 1024
"""A peer that leaves more frames than this unread is taken as lost."""
PACKETS_UNDER_WAY = 2
"""Packets that a listening socket may have under way to one peer: the library queues two for each
connection of a socket with many, and drops the next one without a word. It writes a third, but a
peer may have read that one before the library takes the next from its queue."""


class PeerSocket:
    """A socket for one connection to one peer. Every method raises ``pynng.NNGException``."""

    def __init__(self, silence_ms: int) -> None:
        """``receive`` gives up after ``silence_ms`` until ``allow_silence`` allows more."""
        self._socket = pynng.Pair1(
            polyamorous=False,
            send_timeout=SEND_TIMEOUT_MS,
            recv_timeout=silence_ms,
            recv_max_size=RECEIVE_LIMIT_BYTES,
            send_buffer_size=BUFFERED_FRAMES,
            recv_buffer_size=BUFFERED_FRAMES,
            reconnect_time_min=NO_AUTOMATIC_REDIAL_MS,
            reconnect_time_max=NO_AUTOMATIC_REDIAL_MS,
        )

    def allow_silence(self, silence_ms: int) -> None:
        """Let ``receive`` wait up to ``silence_ms`` for a packet from now on."""
        self._socket.recv_timeout = silence_ms

    def dial(self, url: str) -> None:
        """Connect."""
        self._socket.dial(url, block=True)

    def send(self, packet: bytes) -> None:
        """Send one packet."""
        self._socket.send(packet)

    def receive(self) -> bytes:
        """Wait for one packet."""
        return bytes(self._socket.recv())

    def on_lost(self, callback: Callable[[], None]) -> None:
        """Call ``callback``, on a thread of the library, when the connection is gone."""
        self._socket.add_post_pipe_remove_cb(lambda _pipe: callback())

    def close(self) -> None:
        """Close the socket; only the thread that calls ``receive`` may do this."""
        self._socket.close()
