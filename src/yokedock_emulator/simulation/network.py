"""The network of a simulation: listeners, sockets, cut links and delays."""

from __future__ import annotations

import asyncio
import contextvars
import dataclasses
import errno
import random
import socket
from collections.abc import Callable
from typing import Any

from yokedock_emulator.simulation.datagrams import SimulatedDatagramSocket
from yokedock_emulator.simulation.event_loop import SimulatedLoop
from yokedock_emulator.simulation.links import SimulatedLink
from yokedock_emulator.simulation.processes import SimulatedProcess, current_process
from yokedock_emulator.simulation.streams import SimulatedStream, SimulatedStreamSocket

Address = tuple[str, int]
EXTERNAL_ADDRESS = "127.0.0.1"
"""Address of code outside all simulated processes: backends, store and callers."""
FIRST_PORT = 20_000
CONNECT_RETRY_S = 1.0
"""Interval at which a connection attempt over a cut link is retried."""


@dataclasses.dataclass(frozen=True)
class LinkQuality:
    """Delay, loss and duplication of the packets on a link."""

    min_delay_s: float = 0.0002
    max_delay_s: float = 0.003
    datagram_loss_ratio: float = 0.0
    """Fraction of datagrams that are lost."""
    datagram_duplication_ratio: float = 0.0
    """Fraction of datagrams that are delivered twice."""


class Listener:
    """A listening socket, with the interface of ``asyncio.Server``."""

    def __init__(
        self,
        network: SimulatedNetwork,
        address: Address,
        factory: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        """Listen on behalf of the running process."""
        self.address = address
        self.process = current_process()
        self._network = network
        self._factory = factory
        self._context = contextvars.copy_context()

    @property
    def sockets(self) -> tuple[Listener, ...]:
        """Return this listener, which acts as its only socket."""
        return (self,)

    def getsockname(self) -> Address:
        """Return IP address and port."""
        return self.address

    def fileno(self) -> int:
        """Return -1: connections are accepted as soon as they arrive."""
        return -1

    def close(self) -> None:
        """Stop accepting connections."""
        self._network.close_listener(self)

    async def wait_closed(self) -> None:
        """Return immediately."""

    def is_serving(self) -> bool:
        """Return whether connections are accepted."""
        return self._network.is_listening(self)

    def accept(self, stream: SimulatedStream) -> None:
        """Pass a connection to the listening process; a frozen one gets it when it resumes."""
        stream.process = self.process
        loop = asyncio.get_running_loop()
        loop.call_soon(self._attach, stream, context=self._context)

    def _attach(self, stream: SimulatedStream) -> None:
        stream.attach(self._factory(), contextvars.copy_context())


class SimulatedNetwork:
    """All links, listeners and sockets of a simulation; one generator makes all random choices."""

    def __init__(
        self, loop: SimulatedLoop, generator: random.Random, quality: LinkQuality | None = None
    ) -> None:
        """Provide the sockets of ``loop``."""
        self.quality = quality or LinkQuality()
        self.loop = loop
        self._random = generator
        self._listeners: dict[Address, Listener] = {}
        self._datagram_sockets: dict[Address, SimulatedDatagramSocket] = {}
        self._streams: dict[SimulatedStream, None] = {}
        self._cut: set[tuple[str, str]] = set()
        """Pairs of source and target between which packets are lost."""
        self._next_port = FIRST_PORT
        self._links: dict[str, SimulatedLink] = {}
        """Links of limited rate, by address."""

    # --- Links ---

    def limit_link(self, address: str, bytes_per_s: float) -> None:
        """Limit the rate of a machine's link, both directions together."""
        if address not in self._links:
            self._links[address] = SimulatedLink(bytes_per_s)

    def arrival_s(self, source: str, target: str, size: int) -> float:
        """Return when a packet of ``size`` bytes arrives that is sent now."""
        arrives_s = self.loop.time()
        if (link := self._links.get(source)) is not None:
            arrives_s = link.carried_s(arrives_s, size)
        arrives_s += self.draw_delay_s()
        if (link := self._links.get(target)) is not None:
            arrives_s = link.carried_s(arrives_s, size)
        return arrives_s

    def cut(self, source: str, target: str) -> None:
        """Lose all packets from ``source`` to ``target``, but not in the other direction."""
        self._cut.add((source, target))

    def heal(self, source: str, target: str) -> None:
        """Deliver packets from ``source`` to ``target`` again."""
        self._cut.discard((source, target))

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether packets from ``source`` to ``target`` are lost."""
        return (source, target) in self._cut

    def draw_delay_s(self) -> float:
        """Return a random delay for the next packet."""
        return self._random.uniform(self.quality.min_delay_s, self.quality.max_delay_s)

    # --- Sockets ---

    def new_socket(self, kind: socket.SocketKind) -> Any:
        """Return an unconnected socket; a socket factory for ``yokedock.base.sockets``."""
        if kind == socket.SOCK_DGRAM:
            return SimulatedDatagramSocket(self)
        return self.stream_socket()

    def stream_socket(self) -> SimulatedStreamSocket:
        """Return an unconnected stream socket of the running process."""
        return SimulatedStreamSocket(self._own_address())

    def close_sockets(self, process: SimulatedProcess) -> None:
        """Close all sockets of a process, as the kernel does when it exits."""
        for listener in [each for each in self._listeners.values() if each.process is process]:
            self.close_listener(listener)
        for address, datagram_socket in list(self._datagram_sockets.items()):
            if datagram_socket.process is process:
                del self._datagram_sockets[address]
        for stream in [each for each in self._streams if each.process is process]:
            stream.close_on_exit()

    def _own_address(self) -> str:
        process = current_process()
        return process.address if process is not None else EXTERNAL_ADDRESS

    def _free_port(self) -> int:
        self._next_port += 1
        return self._next_port

    # --- Streams ---

    def listen(
        self, factory: Callable[[], asyncio.BaseProtocol], host: str | None, port: int | None
    ) -> Listener:
        """Listen at an address; raises ``OSError`` if it is in use."""
        address = (host or self._own_address(), port or self._free_port())
        if address in self._listeners:
            raise OSError(errno.EADDRINUSE, f"{address} is in use")
        listener = self._listeners[address] = Listener(self, address, factory)
        return listener

    def close_listener(self, listener: Listener) -> None:
        """Refuse further connections to a listener's address."""
        if self.is_listening(listener):
            del self._listeners[listener.address]

    def is_listening(self, listener: Listener) -> bool:
        """Return whether a listener accepts the connections to its address."""
        return self._listeners.get(listener.address) is listener

    async def connect(self, sock: SimulatedStreamSocket, address: Address) -> None:
        """Connect a socket; raises ``ConnectionRefusedError`` if nothing listens there."""
        own, target = sock.own_address, address[0]
        while self.is_cut(own, target) or self.is_cut(target, own):
            await asyncio.sleep(CONNECT_RETRY_S)
        there_s = self.arrival_s(own, target, 0) - self.loop.time()
        await asyncio.sleep(there_s)
        await asyncio.sleep(self.arrival_s(target, own, 0) - self.loop.time())
        listener = self._listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "Connection refused")
        client_end = SimulatedStream(self, sock, (own, self._free_port()), address)
        server_socket = SimulatedStreamSocket(target)
        server_end = SimulatedStream(self, server_socket, address, client_end.own_address)
        client_end.peer, server_end.peer = server_end, client_end
        client_end.process = current_process()
        self._streams[client_end] = self._streams[server_end] = None
        listener.accept(server_end)

    def remove_stream(self, stream: SimulatedStream) -> None:
        """Remove a closed end of a connection."""
        self._streams.pop(stream, None)

    # --- Datagrams ---

    def bind(self, datagram_socket: SimulatedDatagramSocket, address: Address) -> Address:
        """Deliver datagrams for ``address`` to a socket; raises ``OSError`` if it is in use.

        Return the address; port 0 stands for any free port.
        """
        address = (address[0], address[1] or self._free_port())
        if address in self._datagram_sockets:
            raise OSError(errno.EADDRINUSE, f"{address} is in use")
        self._datagram_sockets[address] = datagram_socket
        return address

    def send_datagram(self, source: Address, target: Address, data: bytes) -> None:
        """Deliver a datagram after a delay, unless it is lost."""
        if self.is_cut(source[0], target[0]) or self._occurs(self.quality.datagram_loss_ratio):
            return
        copies = 1 + self._occurs(self.quality.datagram_duplication_ratio)
        for _ in range(copies):
            context = contextvars.Context()
            arrives_s = self.arrival_s(source[0], target[0], len(data))
            self.loop.call_at(arrives_s, self._deliver, source, target, data, context=context)

    def _occurs(self, probability: float) -> bool:
        return probability > 0 and self._random.random() < probability

    def _deliver(self, source: Address, target: Address, data: bytes) -> None:
        datagram_socket = self._datagram_sockets.get(target)
        if datagram_socket is not None:
            datagram_socket.receive(data, source)
