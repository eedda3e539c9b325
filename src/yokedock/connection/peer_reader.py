"""Thread that dials one agent, performs the handshake and reads from the connection."""

from __future__ import annotations

import contextlib
import dataclasses
import threading
from typing import Any

import pykka
import pynng

from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.connection.peer_socket import MAX_PACKETS_IN_FLIGHT, PeerSocket
from yokedock.connection.peer_types import PeerIdentity, PeerTiming
from yokedock.connection.secure_session import (
    Hello,
    Sealed,
    SecureSession,
    Welcome,
    decode_packet,
    encode_packet,
    new_nonce,
)
from yokedock.errors import PeerNotAuthenticated
from yokedock.messages import Frame, PacketsTaken

_log = logger("peer")

REDIAL_MIN_MS = 50
REDIAL_MAX_MS = 2000
"""Upper bounds of the random delay before a dial: initially, and after repeated failures."""
EARLY_REDIAL_MAX_MS = 250
"""Upper bound of the random delay before a dial while a request waits for the peer."""
HANDSHAKE_TIMEOUT_MIN_MS = 250
"""Initial handshake timeout, the only way to detect a connection lost before the handshake ends.

The timeout doubles with every failure, up to the lease duration, so that a peer that is slow
because many processes dial it at once is not dialed at a rising rate.
"""


@dataclasses.dataclass(frozen=True)
class LinkUp:
    """The reader has completed the handshake of a connection."""

    reader: PeerReader
    session: SecureSession
    incarnation: int


@dataclasses.dataclass(frozen=True)
class LinkDown:
    """The reader's connection was lost."""

    reader: PeerReader


@dataclasses.dataclass(frozen=True)
class FrameReceived:
    """The reader received a frame."""

    reader: PeerReader
    frame: Frame


class PeerReader(threading.Thread):
    """Dials one address until a connection is established, and reads until it is lost."""

    def __init__(
        self, address: str, identity: PeerIdentity, timing: PeerTiming, owner: pykka.ActorRef[Any]
    ) -> None:
        """Initialize the thread; connection events and frames are sent to ``owner``."""
        super().__init__(name=f"reader {address}", daemon=True)
        self._url = f"tcp://{address}"
        self._identity = identity
        self._timing = timing
        self._owner = owner
        self._stopping = threading.Event()
        self._pause_interrupted = threading.Event()
        """Set by ``redial_early`` and ``stop``; ends the delay before the next dial."""
        self._random = new_random()
        self._handshake_timeout_ms = min(HANDSHAKE_TIMEOUT_MIN_MS, timing.lease_ms)
        self.socket = PeerSocket(self._handshake_timeout_ms)
        self._unacknowledged = 0
        """Number of packets received but not yet acknowledged."""

    def stop(self) -> None:
        """Request that the thread stop; it does so within the lease duration."""
        self._stopping.set()
        self._pause_interrupted.set()

    def redial_early(self) -> None:
        """Interrupt the delay before the next dial; wait at most ``EARLY_REDIAL_MAX_MS`` instead.

        Has no effect on shorter delays or on an established connection.
        """
        self._pause_interrupted.set()

    def run(self) -> None:
        """Dial until connected, with jittered exponential backoff; then read until disconnected."""
        pause_ms = REDIAL_MIN_MS
        while self._pause_before_dial(pause_ms):
            session = self._connect()
            if session is not None:
                self._read(session)
                break
            self.socket.close()
            self._handshake_timeout_ms = min(self._handshake_timeout_ms * 2, self._timing.lease_ms)
            self.socket = PeerSocket(self._handshake_timeout_ms)
            pause_ms = min(pause_ms * 2, REDIAL_MAX_MS)
        self.socket.close()

    def _pause_before_dial(self, max_pause_ms: float) -> bool:
        """Wait for a random delay; return False if the thread must stop."""
        pause_s = self._random.uniform(0, max_pause_ms) / 1000
        if max_pause_ms <= EARLY_REDIAL_MAX_MS:
            return not self._stopping.wait(pause_s)
        if self._pause_interrupted.wait(pause_s):
            self._pause_interrupted.clear()
            return not self._stopping.wait(self._random.uniform(0, EARLY_REDIAL_MAX_MS) / 1000)
        return True

    def _connect(self) -> SecureSession | None:
        """Dial and perform the handshake; return the session, or None on failure."""
        socket = self.socket
        hello = Hello(new_nonce(), self._identity.name, self._identity.incarnation)
        try:
            socket.dial(self._url)
            socket.send(encode_packet(hello))
            welcome = decode_packet(socket.receive())
        except pynng.NNGException:
            return None
        except PeerNotAuthenticated as error:
            _log.warning("peer refused", peer=self._url, error=error.message)
            return None
        if not isinstance(welcome, Welcome):
            return None
        session = SecureSession(self._identity.key, hello, welcome, dialer=True)
        socket.set_idle_timeout(self._timing.receive_timeout_ms)
        socket.on_disconnect(lambda: self._tell(LinkDown(self)))
        self._tell(LinkUp(self, session, welcome.incarnation))
        return session

    def _read(self, session: SecureSession) -> None:
        """Read until the connection is lost or its idle timeout expires."""
        try:
            while not self._stopping.is_set():
                packet = decode_packet(self.socket.receive())
                if isinstance(packet, Sealed):
                    self._tell(FrameReceived(self, session.open(packet)))
                    self._acknowledge_packets(session)
        except pynng.NNGException:
            pass
        except PeerNotAuthenticated as error:
            _log.warning("peer refused", peer=self._url, error=error.message)
        self._tell(LinkDown(self))

    def _acknowledge_packets(self, session: SecureSession) -> None:
        """Acknowledge received packets once a full window (``MAX_PACKETS_IN_FLIGHT``) was read."""
        self._unacknowledged += 1
        if self._unacknowledged < MAX_PACKETS_IN_FLIGHT:
            return
        with session.send_lock:
            self.socket.send(session.seal(Frame(0, PacketsTaken(self._unacknowledged))))
        self._unacknowledged = 0

    def _tell(self, message: Any) -> None:
        """Send a message to the owner, unless it has stopped."""
        with contextlib.suppress(pykka.ActorDeadError):
            self._owner.tell(message)
