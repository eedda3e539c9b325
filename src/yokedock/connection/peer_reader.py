"""The thread that dials one agent, shakes hands and reads one connection."""

from __future__ import annotations

import contextlib
import dataclasses
import threading
from typing import Any

import pykka
import pynng

from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.connection.peer_socket import PACKETS_UNDER_WAY, PeerSocket
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
"""Upper bounds of the random pause before a dial: initially, and after repeated failures."""
EARLY_REDIAL_MAX_MS = 250
"""Upper bound of the random pause before a dial while a request waits for the peer."""
HANDSHAKE_MIN_MS = 250
"""First patience with a handshake: a connection lost before it is noticed by silence alone.

It doubles with every failure, up to a lease: a peer that is slow because many dial it at once must
not be dialled ever more often.
"""


@dataclasses.dataclass(frozen=True)
class LinkUp:
    """The reader has a connection."""

    reader: PeerReader
    session: SecureSession
    incarnation: int


@dataclasses.dataclass(frozen=True)
class LinkDown:
    """The reader's connection is gone."""

    reader: PeerReader


@dataclasses.dataclass(frozen=True)
class FrameArrived:
    """The reader read a frame from its connection."""

    reader: PeerReader
    frame: Frame


class PeerReader(threading.Thread):
    """Dials one address until it is connected, and reads until that connection is gone."""

    def __init__(
        self, address: str, identity: PeerIdentity, timing: PeerTiming, owner: pykka.ActorRef[Any]
    ) -> None:
        """Prepare the thread; frames and losses are told to ``owner``."""
        super().__init__(name=f"reader {address}", daemon=True)
        self._url = f"tcp://{address}"
        self._identity = identity
        self._timing = timing
        self._owner = owner
        self._stopping = threading.Event()
        self._pause_interrupted = threading.Event()
        """Set by ``redial_early`` and ``stop``; ends the pause before the next dial."""
        self._random = new_random()
        self._handshake_ms = min(HANDSHAKE_MIN_MS, timing.lease_ms)
        self.socket = PeerSocket(self._handshake_ms)
        self._untold = 0
        """Packets read that the other end was not told of."""

    def stop(self) -> None:
        """Ask the thread to end; it does so within a lease."""
        self._stopping.set()
        self._pause_interrupted.set()

    def redial_early(self) -> None:
        """Interrupt the pause before the next dial; wait ``EARLY_REDIAL_MAX_MS`` at most instead.

        Has no effect on shorter pauses, or on a connection that is up.
        """
        self._pause_interrupted.set()

    def run(self) -> None:
        """Dial until connected, with growing random pauses; then read one connection."""
        pause_ms = REDIAL_MIN_MS
        while self._pause_before_dial(pause_ms):
            session = self._connect()
            if session is not None:
                self._read(session)
                break
            self.socket.close()
            self._handshake_ms = min(self._handshake_ms * 2, self._timing.lease_ms)
            self.socket = PeerSocket(self._handshake_ms)
            pause_ms = min(pause_ms * 2, REDIAL_MAX_MS)
        self.socket.close()

    def _pause_before_dial(self, max_pause_ms: float) -> bool:
        """Wait for a random time; return False if the thread must stop."""
        pause_s = self._random.uniform(0, max_pause_ms) / 1000
        if max_pause_ms <= EARLY_REDIAL_MAX_MS:
            return not self._stopping.wait(pause_s)
        if self._pause_interrupted.wait(pause_s):
            self._pause_interrupted.clear()
            return not self._stopping.wait(self._random.uniform(0, EARLY_REDIAL_MAX_MS) / 1000)
        return True

    def _connect(self) -> SecureSession | None:
        """Dial and shake hands; return the session, None if that failed."""
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
        socket.allow_silence(self._timing.silence_ms)
        socket.on_lost(lambda: self._tell(LinkDown(self)))
        self._tell(LinkUp(self, session, welcome.incarnation))
        return session

    def _read(self, session: SecureSession) -> None:
        """Read until the connection is lost; a link that stays silent counts as lost."""
        try:
            while not self._stopping.is_set():
                packet = decode_packet(self.socket.receive())
                if isinstance(packet, Sealed):
                    self._tell(FrameArrived(self, session.open(packet)))
                    self._say_taken(session)
        except pynng.NNGException:
            pass
        except PeerNotAuthenticated as error:
            _log.warning("peer refused", peer=self._url, error=error.message)
        self._tell(LinkDown(self))

    def _say_taken(self, session: SecureSession) -> None:
        """Tell the other end when as many packets were read as it may have under way."""
        self._untold += 1
        if self._untold < PACKETS_UNDER_WAY:
            return
        with session.send_lock:
            self.socket.send(session.seal(Frame(0, PacketsTaken(self._untold))))
        self._untold = 0

    def _tell(self, message: Any) -> None:
        """Tell the owner, unless it has ended."""
        with contextlib.suppress(pykka.ActorDeadError):
            self._owner.tell(message)
