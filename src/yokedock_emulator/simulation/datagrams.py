"""Datagram sockets of a simulated network, each with a bounded receive queue."""

from __future__ import annotations

import asyncio
import collections
import contextvars
from typing import TYPE_CHECKING, Any

from yokedock_emulator.simulation.processes import current_process

if TYPE_CHECKING:
    from yokedock_emulator.simulation.network import SimulatedNetwork

RECEIVE_BUFFER_BYTES = 212_992
"""Receive buffer of a socket; datagrams that exceed it are dropped."""
DATAGRAM_OVERHEAD_BYTES = 768
"""Buffer space that the kernel charges for a datagram in addition to its bytes."""


class SimulatedDatagramSocket:
    """A non-blocking datagram socket."""

    def __init__(self, network: SimulatedNetwork) -> None:
        """Create an unbound socket of the running process."""
        self.process = current_process()
        self._network = network
        self._address = ("", 0)
        self._queue: collections.deque[tuple[bytes, tuple[str, int]]] = collections.deque()
        self._queued_bytes = 0
        self._protocol: asyncio.DatagramProtocol | None = None
        self._context: contextvars.Context | None = None
        self._is_read_scheduled = False

    def setblocking(self, is_blocking: bool) -> None:
        """Do nothing: the socket never blocks."""

    def bind(self, address: tuple[str, int]) -> None:
        """Receive datagrams sent to ``address``; raises ``OSError`` if it is in use."""
        self._address = self._network.bind(self, address)

    def getsockname(self) -> tuple[str, int]:
        """Return IP address and port."""
        return self._address

    def recvfrom(self, max_bytes: int) -> tuple[bytes, tuple[str, int]]:
        """Return the oldest queued datagram; raises ``BlockingIOError`` if there is none."""
        if not self._queue:
            raise BlockingIOError
        data, source = self._queue.popleft()
        self._queued_bytes -= len(data) + DATAGRAM_OVERHEAD_BYTES
        return data[:max_bytes], source

    def attach(
        self, protocol: asyncio.DatagramProtocol, context: contextvars.Context
    ) -> SimulatedDatagramTransport:
        """Pass received datagrams to ``protocol``, in its context."""
        transport = SimulatedDatagramTransport(self)
        self._protocol, self._context = protocol, context
        self._network.loop.call_soon(protocol.connection_made, transport, context=context)
        return transport

    def receive(self, data: bytes, source: tuple[str, int]) -> None:
        """Queue a datagram, even while the process is frozen, or drop it if the buffer is full."""
        cost = len(data) + DATAGRAM_OVERHEAD_BYTES
        if self._queued_bytes + cost > RECEIVE_BUFFER_BYTES:
            return
        self._queue.append((data, source))
        self._queued_bytes += cost
        self._schedule_read()

    def send(self, data: bytes, target: tuple[str, int]) -> None:
        """Send a datagram, unless the process has ended."""
        if self.process is None or self.process.is_alive:
            self._network.send_datagram(self._address, target, data)

    def _schedule_read(self) -> None:
        if self._protocol is not None and not self._is_read_scheduled:
            self._is_read_scheduled = True
            self._network.loop.call_soon(self._read_datagram, context=self._context)

    def _read_datagram(self) -> None:
        """Pass on one datagram: like asyncio, read at most one per iteration of the event loop."""
        self._is_read_scheduled = False
        if not self._queue or self._protocol is None:
            return
        data, source = self.recvfrom(len(self._queue[0][0]))
        self._protocol.datagram_received(data, source)
        if self._queue:
            self._schedule_read()


class SimulatedDatagramTransport(asyncio.DatagramTransport):
    """The asyncio transport of one socket."""

    def __init__(self, sock: SimulatedDatagramSocket) -> None:
        """Send datagrams through ``sock``."""
        super().__init__()
        self._socket = sock
        self._is_closing = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram to ``addr``."""
        if not self._is_closing:
            self._socket.send(bytes(data), addr)

    def close(self) -> None:
        """Stop sending."""
        self._is_closing = True

    def abort(self) -> None:
        """Stop sending."""
        self._is_closing = True

    def is_closing(self) -> bool:
        """Return whether the transport was closed."""
        return self._is_closing

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the socket for the name ``socket``, ``default`` for all others."""
        return self._socket if name == "socket" else default
