"""The listening side of links: one address for an agent, and one session for each connection.

The listener's thread reads all packets, performs handshakes, and passes decrypted frames to the
frame handler. The address is bound exclusively, so a second agent cannot start on the same
machine.
"""

from __future__ import annotations

import collections
import itertools
import threading
from collections.abc import Callable

import pynng

from yokedock.base.logs import logger
from yokedock.connection.peer_socket import (
    MAX_PACKETS_IN_FLIGHT,
    MAX_QUEUED_FRAMES,
    RECEIVE_LIMIT_BYTES,
    SEND_TIMEOUT_MS,
)
from yokedock.connection.secure_session import (
    Hello,
    Sealed,
    SecureSession,
    Welcome,
    decode_packet,
    encode_packet,
    new_nonce,
)
from yokedock.connection.unproved_peers import UnprovedPeers, close_pipe
from yokedock.errors import PeerNotAuthenticated, SettingsInvalid
from yokedock.messages import Frame, Message, PacketsTaken

_log = logger("listener")

STOP_POLL_MS = 500
"""How often the listener's thread checks whether it should stop."""


class PeerConnection:
    """One accepted connection, with the identity of the peer that opened it."""

    def __init__(
        self, number: int, pipe: pynng.nng.Pipe, hello: Hello, session: SecureSession
    ) -> None:
        """Wrap an accepted connection after the handshake; later ones have higher numbers."""
        self.number = number
        self.name = hello.name
        self.incarnation = hello.incarnation
        self._pipe = pipe
        self._session = session
        self._closed = False
        self._packets_in_flight = 0
        """Number of packets sent but not acknowledged; guarded by the session's ``send_lock``."""
        self._send_queue: collections.deque[Frame] = collections.deque()

    def send(self, message: Message, call: int = 0) -> bool:
        """Send or queue a message, as the reply to ``call`` if given; return whether it was taken.

        The message is queued while ``MAX_PACKETS_IN_FLIGHT`` packets are unacknowledged, because
        the library would drop any more.
        """
        with self._session.send_lock:
            if self._closed or len(self._send_queue) >= MAX_QUEUED_FRAMES:
                self._closed = True
                return False
            self._send_queue.append(Frame(call, message))  # type: ignore[arg-type]
            return self._send_queued()

    def packets_acknowledged(self, count: int) -> None:
        """Record that the peer acknowledged ``count`` packets, and send queued frames."""
        with self._session.send_lock:
            self._packets_in_flight = max(0, self._packets_in_flight - count)
            self._send_queued()

    def _send_queued(self) -> bool:
        """Send queued frames as the window allows; return whether the connection is usable."""
        try:
            while self._send_queue and self._packets_in_flight < MAX_PACKETS_IN_FLIGHT:
                packet = self._session.seal(self._send_queue.popleft())
                self._packets_in_flight += 1
                self._pipe.send(packet)
        except pynng.NNGException:
            self._closed = True
        return not self._closed

    def open(self, packet: Sealed) -> Frame:
        """Decrypt a packet of this connection; raises ``PeerNotAuthenticated``."""
        return self._session.open(packet)

    def close(self) -> None:
        """Mark the connection as closed; nothing more is sent."""
        self._closed = True

    def disconnect(self) -> None:
        """Close the connection; the peer will redial."""
        self._closed = True
        close_pipe(self._pipe)


FrameHandler = Callable[[PeerConnection, Frame], None]


class PeerListener:
    """Accepts connections on one address."""

    def __init__(
        self,
        address: str,
        name: str,
        incarnation: int,
        key: bytes,
        on_frame: FrameHandler,
        on_closed: Callable[[PeerConnection], None],
        receive_limit_bytes: int = RECEIVE_LIMIT_BYTES,
    ) -> None:
        """Bind the address; raises ``SettingsInvalid`` if that fails, such as when it is in use.

        A peer that sends a packet of more than ``receive_limit_bytes`` is disconnected.
        """
        self._name = name
        self._incarnation = incarnation
        self._key = key
        self._on_frame = on_frame
        self._on_closed = on_closed
        self._connections: dict[int, PeerConnection] = {}
        self._numbers = itertools.count(1)
        self._stopping = threading.Event()
        self._socket = pynng.Pair1(
            polyamorous=True,
            send_timeout=SEND_TIMEOUT_MS,
            recv_timeout=STOP_POLL_MS,
            recv_max_size=receive_limit_bytes,
            send_buffer_size=MAX_QUEUED_FRAMES,
            recv_buffer_size=MAX_QUEUED_FRAMES,
        )
        self._unproved = UnprovedPeers()
        self._socket.add_pre_pipe_connect_cb(self._unproved.admit)
        self._socket.add_post_pipe_remove_cb(self._pipe_removed)
        try:
            self._socket.listen(f"tcp://{address}")
        except pynng.NNGException as error:
            self._socket.close()
            message = f"cannot listen on {address} ({error}); free the address or configure another"
            raise SettingsInvalid(message) from None
        self.address = str(self._socket.listeners[0].local_address)
        self._thread = threading.Thread(target=self._run, name="peer listener", daemon=True)

    def start(self) -> None:
        """Start the listener's thread."""
        self._thread.start()

    def disconnect_all(self) -> None:
        """Close every connection, discarding its queued frames."""
        for connection in list(self._connections.values()):
            connection.disconnect()

    def close(self) -> None:
        """Close all connections and release the address, within ``STOP_POLL_MS``."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._unproved.close_expired()
            try:
                message = self._socket.recv_msg()
            except pynng.Timeout:
                continue
            try:
                self._handle_packet(message.pipe, message.bytes)
            except PeerNotAuthenticated as error:
                _log.warning("connection closed", error=error.message)
                close_pipe(message.pipe)
            except Exception:
                _log.exception("packet handling failed")
        # Only the receiving thread may close the socket; see ``peer_socket``.
        self._socket.close()

    def _handle_packet(self, pipe: pynng.nng.Pipe, data: bytes) -> None:
        packet = decode_packet(data)
        if isinstance(packet, Hello):
            self._accept(pipe, packet)
            return
        connection = self._connections.get(pipe.id)
        if connection is None or not isinstance(packet, Sealed):
            raise PeerNotAuthenticated("received a packet before the handshake; it was dropped")
        frame = connection.open(packet)
        self._unproved.forget(pipe.id)
        if isinstance(frame.message, PacketsTaken):
            connection.packets_acknowledged(frame.message.count)
        else:
            self._on_frame(connection, frame)

    def _accept(self, pipe: pynng.nng.Pipe, hello: Hello) -> None:
        welcome = Welcome(new_nonce(), self._name, self._incarnation)
        session = SecureSession(self._key, hello, welcome, dialer=False)
        self._connections[pipe.id] = PeerConnection(next(self._numbers), pipe, hello, session)
        pipe.send(encode_packet(welcome))

    def _pipe_removed(self, pipe: pynng.nng.Pipe) -> None:
        self._unproved.forget(pipe.id)
        connection = self._connections.pop(pipe.id, None)
        if connection is not None:
            connection.close()
            self._on_closed(connection)
