"""The listening end of links: an agent's one address, and one session for each connection.

The listener's thread reads every packet, shakes hands, and hands sealed frames to the task of the
gateway (or agent) that they come from. The address is bound exclusively: a second agent on the
same machine cannot start.
"""

from __future__ import annotations

import collections
import contextlib
import itertools
import threading
from collections.abc import Callable

import pynng

from yokedock.base.logs import logger
from yokedock.connection.peer_socket import (
    BUFFERED_FRAMES,
    PACKETS_UNDER_WAY,
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
from yokedock.errors import PeerNotAuthenticated, SettingsInvalid
from yokedock.messages import Frame, Message, PacketsTaken

_log = logger("listener")

STOP_CHECK_MS = 500
"""How often the listening thread looks whether it is to stop."""


class PeerConnection:
    """One accepted connection: who is at the other end, and how to answer it."""

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
        self._under_way = 0
        """Packets sent that the other end has not said it took; guarded by the session's lock."""
        self._unsent: collections.deque[Frame] = collections.deque()

    def send(self, message: Message, call: int = 0) -> bool:
        """Send a message, as the reply to ``call`` if given; return whether it was taken over.

        It waits its turn while as many packets are under way as the library keeps without loss.
        """
        with self._session.send_lock:
            if self._closed or len(self._unsent) >= BUFFERED_FRAMES:
                self._closed = True
                return False
            self._unsent.append(Frame(call, message))  # type: ignore[arg-type]
            return self._send_waiting()

    def packets_taken(self, count: int) -> None:
        """Note that the other end took ``count`` packets, and send what waited for that."""
        with self._session.send_lock:
            self._under_way = max(0, self._under_way - count)
            self._send_waiting()

    def _send_waiting(self) -> bool:
        """Send what may go now; return whether the connection is still of use."""
        try:
            while self._unsent and self._under_way < PACKETS_UNDER_WAY:
                packet = self._session.seal(self._unsent.popleft())
                self._under_way += 1
                self._pipe.send(packet)
        except pynng.NNGException:
            self._closed = True
        return not self._closed

    def open(self, packet: Sealed) -> Frame:
        """Open a packet of this connection; raises ``PeerNotAuthenticated``."""
        return self._session.open(packet)

    def close(self) -> None:
        """Send nothing more."""
        self._closed = True

    def hang_up(self) -> None:
        """Close the connection; the other end will dial again."""
        self._closed = True
        close_pipe(self._pipe)


def close_pipe(pipe: pynng.nng.Pipe) -> None:
    """Close a connection that the other end, or another thread, may have closed already."""
    with contextlib.suppress(pynng.NNGException):
        pipe.close()


FrameHandler = Callable[[PeerConnection, Frame], None]


class PeerListener:
    """Accepts connections at one address."""

    def __init__(
        self,
        address: str,
        name: str,
        incarnation: int,
        key: bytes,
        on_frame: FrameHandler,
        on_closed: Callable[[PeerConnection], None],
    ) -> None:
        """Bind the address; raises ``SettingsInvalid`` when another process holds it."""
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
            recv_timeout=STOP_CHECK_MS,
            recv_max_size=RECEIVE_LIMIT_BYTES,
            send_buffer_size=BUFFERED_FRAMES,
            recv_buffer_size=BUFFERED_FRAMES,
        )
        self._socket.add_post_pipe_remove_cb(self._pipe_removed)
        try:
            self._socket.listen(f"tcp://{address}")
        except pynng.NNGException as error:
            self._socket.close()
            message = f"cannot listen on {address} ({error}); free the address or name another"
            raise SettingsInvalid(message) from None
        self.address = str(self._socket.listeners[0].local_address)
        self._thread = threading.Thread(target=self._run, name="peer listener", daemon=True)

    def start(self) -> None:
        """Begin to read."""
        self._thread.start()

    def hang_up_all(self) -> None:
        """Close every connection, with whatever it still had to say."""
        for connection in list(self._connections.values()):
            connection.hang_up()

    def close(self) -> None:
        """Close all connections and free the address, within ``STOP_CHECK_MS``."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                message = self._socket.recv_msg()
            except pynng.Timeout:
                continue
            try:
                self._packet_arrived(message.pipe, message.bytes)
            except PeerNotAuthenticated as error:
                _log.warning("connection closed", error=error.message)
                close_pipe(message.pipe)
            except Exception:
                _log.exception("packet failed")
        # Only the thread that receives may close the socket: see peer_socket.
        self._socket.close()

    def _packet_arrived(self, pipe: pynng.nng.Pipe, data: bytes) -> None:
        packet = decode_packet(data)
        if isinstance(packet, Hello):
            self._accept(pipe, packet)
            return
        connection = self._connections.get(pipe.id)
        if connection is None or not isinstance(packet, Sealed):
            raise PeerNotAuthenticated("a packet came before the handshake; it was dropped")
        frame = connection.open(packet)
        if isinstance(frame.message, PacketsTaken):
            connection.packets_taken(frame.message.count)
        else:
            self._on_frame(connection, frame)

    def _accept(self, pipe: pynng.nng.Pipe, hello: Hello) -> None:
        welcome = Welcome(new_nonce(), self._name, self._incarnation)
        session = SecureSession(self._key, hello, welcome, dialer=False)
        self._connections[pipe.id] = PeerConnection(next(self._numbers), pipe, hello, session)
        pipe.send(encode_packet(welcome))

    def _pipe_removed(self, pipe: pynng.nng.Pipe) -> None:
        connection = self._connections.pop(pipe.id, None)
        if connection is not None:
            connection.close()
            self._on_closed(connection)
