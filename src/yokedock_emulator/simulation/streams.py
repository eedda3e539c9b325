"""Stream connections of a simulated network, delivered in order with delays and retransmissions."""

from __future__ import annotations

import asyncio
import collections
import contextvars
import dataclasses
import errno
import socket
import struct
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Self

from yokedock_emulator.simulation.processes import SimulatedProcess

if TYPE_CHECKING:
    from yokedock_emulator.simulation.network import SimulatedNetwork

ESTABLISHED = 1
CLOSED = 7
CLOSE_WAIT = 8
"""TCP connection states, as numbered in Linux's ``tcp_states.h``."""
SEGMENT_SPACING_S = 1e-6
"""Minimum interval between two segments of one direction, which keeps them in order."""
RETRANSMISSION_S = 0.2
"""Interval at which a segment is retransmitted on a cut link."""
HIGH_WATER_BYTES = 65_536
MS_PER_SECOND = 1000
LINGER = struct.Struct("ii")


class SimulatedStreamSocket:
    """The socket of one end of a connection, with its socket options."""

    def __init__(self, own_address: str) -> None:
        """Create an unconnected socket at ``own_address``."""
        self.own_address = own_address
        self.stream: Any = None
        """This end of the connection, None before it is connected."""
        self.resets_on_close = False
        self.unsent_limit_s: float | None = None
        """Time without acknowledgement after which the connection fails (``TCP_USER_TIMEOUT``)."""

    def __enter__(self) -> Self:
        """Return the socket."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the socket."""
        self.close()

    def setblocking(self, is_blocking: bool) -> None:
        """Do nothing: the socket never blocks."""

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """Store ``SO_LINGER`` and ``TCP_USER_TIMEOUT``; ignore all other options."""
        if level == socket.SOL_SOCKET and option == socket.SO_LINGER:
            is_on, seconds = LINGER.unpack(value)
            self.resets_on_close = bool(is_on) and seconds == 0
        if level == socket.IPPROTO_TCP and option == socket.TCP_USER_TIMEOUT:
            self.unsent_limit_s = value / MS_PER_SECOND

    def getsockopt(self, level: int, option: int, length: int = 0) -> bytes:
        """Return the state of the connection, the first byte of ``TCP_INFO``."""
        return bytes([CLOSED if self.stream is None else self.stream.state])

    def fileno(self) -> int:
        """Return -1: a simulated process reads what arrives at once, unless it stands still."""
        return -1

    def getsockname(self) -> Any:
        """Return IP address and port of this end."""
        return self.stream.own_address

    def getpeername(self) -> Any:
        """Return IP address and port of the other end."""
        return self.stream.peer_address

    def close(self) -> None:
        """Abort the connection if the socket is connected."""
        if self.stream is not None:
            self.stream.abort()


@dataclasses.dataclass(frozen=True)
class Segment:
    """A unit of transmission: data, end of stream, or reset."""

    data: bytes = b""
    is_eof: bool = False
    is_reset: bool = False


class SimulatedStream(asyncio.Transport):
    """One end of a connection, and the asyncio transport of its protocol."""

    def __init__(
        self,
        network: SimulatedNetwork,
        sock: SimulatedStreamSocket,
        own_address: tuple[str, int],
        peer_address: tuple[str, int],
    ) -> None:
        """Create a connected end; received segments are queued until ``attach``."""
        super().__init__()
        self.own_address = own_address
        self.peer_address = peer_address
        self.peer: SimulatedStream | None = None
        self.process: SimulatedProcess | None = None
        self.state = ESTABLISHED
        self.is_silent = False
        """Whether no segment from this end reaches the peer any more."""
        self._network = network
        self._socket = sock
        sock.stream = self
        self._protocol: asyncio.BaseProtocol | None = None
        self._context: contextvars.Context | None = None
        self._unread: collections.deque[Segment] = collections.deque()
        """Segments that have arrived but that the process has not read."""
        self._in_flight: collections.deque[tuple[float, Segment]] = collections.deque()
        """Segments in transit, each with its time of arrival."""
        self._last_arrival_s = 0.0
        """Time of arrival of the segment sent last."""
        self._delivery_timer: asyncio.TimerHandle | None = None
        self._blocked_since_s: float | None = None
        """Time since which a cut link or silence has blocked the oldest segment."""
        self._is_reading = True
        self._is_read_scheduled = False
        self._is_closing = False
        self._is_eof_sent = False
        """Whether the end of the stream was sent."""
        self._is_disconnected = False

    # --- Transport interface ---

    def attach(self, protocol: asyncio.BaseProtocol, context: contextvars.Context) -> None:
        """Pass received data to ``protocol``, in its context."""
        self._protocol, self._context = protocol, context
        protocol.connection_made(self)
        self._schedule_read()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the socket, the own address or the peer's address."""
        known = {
            "socket": self._socket,
            "sockname": self.own_address,
            "peername": self.peer_address,
        }
        return known.get(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Pass received data to another protocol from now on."""
        self._protocol = protocol

    def get_protocol(self) -> Any:
        """Return the current protocol."""
        return self._protocol

    def is_closing(self) -> bool:
        """Return whether this end is closed or closing."""
        return self._is_closing

    def is_reading(self) -> bool:
        """Return whether received data is passed to the protocol."""
        return self._is_reading and not self._is_closing

    def pause_reading(self) -> None:
        """Queue received data."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Pass received data to the protocol again."""
        self._is_reading = True
        self._schedule_read()

    def get_write_buffer_size(self) -> int:
        """Return 0: all written data is sent at once."""
        return 0

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return the low and high limits; they are never reached."""
        return 0, HIGH_WATER_BYTES

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: written data is never buffered."""

    def can_write_eof(self) -> bool:
        """Return True: half-closed connections are supported."""
        return True

    def write(self, data: Any) -> None:
        """Send bytes."""
        if data and not self._is_closing and not self._is_eof_sent:
            self._send(Segment(bytes(data)))

    def write_eof(self) -> None:
        """Send the end of the stream."""
        if not self._is_eof_sent and not self._is_closing:
            self._is_eof_sent = True
            self._send(Segment(is_eof=True))

    def close(self) -> None:
        """Close the connection, with a reset if received data was not read."""
        self._close(is_reset=bool(self._unread))

    def abort(self) -> None:
        """Close the connection, with a reset if data is unread or ``SO_LINGER`` requires one."""
        self._close(is_reset=bool(self._unread) or self._socket.resets_on_close)

    def close_on_exit(self) -> None:
        """Close because the process has ended, without notifying the protocol."""
        self._protocol = None
        self.close()

    # --- Sending ---

    def _send(self, segment: Segment) -> None:
        if self.process is not None and not self.process.is_alive and segment.data:
            return
        self._last_arrival_s = max(
            self._network.arrival_s(self.own_address[0], self.peer_address[0], len(segment.data)),
            self._last_arrival_s + SEGMENT_SPACING_S,
        )
        self._in_flight.append((self._last_arrival_s, segment))
        self._schedule_delivery()

    def _schedule_delivery(self) -> None:
        if self._in_flight and self._delivery_timer is None:
            self._delivery_timer = self._call_at(self._in_flight[0][0], self._deliver)

    def _deliver(self) -> None:
        """Deliver the oldest segment to the peer, or retransmit it later on a cut link."""
        self._delivery_timer = None
        if not self._in_flight:
            return
        now_s = self._network.loop.time()
        if self.is_silent or self._network.is_cut(self.own_address[0], self.peer_address[0]):
            self._schedule_retransmission(now_s)
            return
        self._blocked_since_s = None
        _, segment = self._in_flight.popleft()
        if self.peer is not None:
            self.peer.receive(segment)
        self._schedule_delivery()

    def _schedule_retransmission(self, now_s: float) -> None:
        if self._blocked_since_s is None:
            self._blocked_since_s = now_s
        limit_s = self._socket.unsent_limit_s
        if limit_s is not None and now_s - self._blocked_since_s >= limit_s:
            self._in_flight.clear()
            self._call_soon(self._disconnect, OSError(errno.ETIMEDOUT, "Connection timed out"))
            return
        self._delivery_timer = self._call_at(now_s + RETRANSMISSION_S, self._deliver)

    # --- Receiving ---

    def receive(self, segment: Segment) -> None:
        """Queue a segment, even while the process is frozen."""
        if self._is_disconnected or self._is_closing:
            if segment.data and not segment.is_reset:
                self._send(Segment(is_reset=True))
            return
        if segment.is_reset:
            self.state = CLOSED
        elif segment.is_eof:
            self.state = CLOSE_WAIT
        self._unread.append(segment)
        self._schedule_read()

    def _schedule_read(self) -> None:
        if self._protocol is not None and self._unread and not self._is_read_scheduled:
            self._is_read_scheduled = True
            self._call_soon(self._read)

    def _read(self) -> None:
        """Pass all queued segments to the protocol."""
        self._is_read_scheduled = False
        while self._unread and self._is_reading and not self._is_closing:
            segment = self._unread.popleft()
            if segment.is_reset:
                error = ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
                self._disconnect(error)
            elif segment.is_eof:
                self._handle_eof()
            elif isinstance(self._protocol, asyncio.Protocol):
                self._protocol.data_received(segment.data)

    def _handle_eof(self) -> None:
        keep_open = False
        if isinstance(self._protocol, asyncio.Protocol):
            keep_open = bool(self._protocol.eof_received())
        if not keep_open:
            self.close()

    # --- Closing ---

    def _close(self, is_reset: bool) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        self.state = CLOSED
        if is_reset:
            self._send(Segment(is_reset=True))
        elif not self._is_eof_sent:
            self._send(Segment(is_eof=True))
        self._is_eof_sent = True
        self._call_soon(self._disconnect, None)

    def _disconnect(self, error: OSError | None) -> None:
        if self._is_disconnected:
            return
        self._is_disconnected = self._is_closing = True
        self.state = CLOSED
        self._unread.clear()
        self._network.remove_stream(self)
        if self._protocol is not None:
            self._protocol.connection_lost(error)

    # --- Callbacks ---

    def _call_soon(self, callback: Callable[..., object], *args: Any) -> None:
        """Schedule a callback in the process of this end."""
        context = self._context or contextvars.Context()
        self._network.loop.call_soon(callback, *args, context=context)

    def _call_at(self, at_s: float, callback: Callable[[], object]) -> asyncio.TimerHandle:
        """Schedule a callback outside all processes, so that it also runs while one is frozen."""
        return self._network.loop.call_at(at_s, callback, context=contextvars.Context())
