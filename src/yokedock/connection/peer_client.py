"""The dialling end of a link: one actor for each agent that this process talks to.

``AgentPeer`` is the task of one peer. Its reader thread dials, shakes hands, reads frames and,
when the link is lost, dials again after a random pause. The actor owns the pending calls, the
attempts held at the agent and the streams that come from it, so none of these needs a lock.
"""

from __future__ import annotations

import contextlib
import dataclasses
import random
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError
from typing import Any, Protocol

import pykka
import pynng

from yokedock.connection.peer_socket import PeerSocket
from yokedock.connection.secure_session import (
    Hello,
    Sealed,
    SecureSession,
    Welcome,
    decode_packet,
    encode_packet,
    new_nonce,
)
from yokedock.errors import (
    PeerNeverReached,
    PeerNotAuthenticated,
    PeerUnreachable,
    YokedockError,
    error_from_code,
)
from yokedock.messages import (
    AnyMessage,
    BundleSections,
    BundleStamp,
    Failure,
    FetchSections,
    Frame,
    Heartbeat,
    HeartbeatReply,
    LoadReport,
    Message,
    OfferBundle,
    Release,
    StepFrame,
    StreamTokens,
)
from yokedock.process.logs import logger

_log = logger("peer")

REDIAL_MIN_MS = 50
REDIAL_MAX_MS = 2000


class StreamSink(Protocol):
    """Receives what one attempt's stream brings. Called from the peer's task."""

    def offer(self, part: StreamTokens) -> None:
        """Take the stream's next tokens."""

    def lost(self, error: YokedockError) -> None:
        """The stream cannot go on over this link as it is."""


@dataclasses.dataclass(frozen=True)
class PeerIdentity:
    """Who this process is, towards its peers."""

    name: str
    incarnation: int
    key: bytes


@dataclasses.dataclass(frozen=True)
class PeerTiming:
    """Heartbeat interval and lease, in milliseconds."""

    heartbeat_ms: int
    lease_ms: int


@dataclasses.dataclass(frozen=True)
class DemandSignal:
    """What this gateway asked for in the last interval: seconds of prefill, slots of decode."""

    prefill: float = 0.0
    decode: float = 0.0


class PeerContext(Protocol):
    """What a peer's task needs from its process."""

    def stamp(self) -> BundleStamp:
        """Return the stamp of the version in force here."""

    def demand(self) -> DemandSignal:
        """Return the demand signal to send."""

    def peer_stamp_seen(self, peer: AgentPeerHandle, stamp: BundleStamp) -> None:
        """Compare a peer's version with the one in force here."""

    def bundle_offered(self, peer: AgentPeerHandle, envelope: bytes) -> None:
        """Consider an envelope that a peer handed over."""

    def sections(self, digests: tuple[str, ...]) -> tuple[bytes, ...]:
        """Return sections by digest."""


@dataclasses.dataclass(frozen=True)
class SendCall:
    """Send a message; ``reply`` is None where no reply is wanted.

    ``attempt`` names an attempt to hold from now on, ``sink`` receives its stream.
    """

    message: AnyMessage
    reply: Future[Any] | None = None
    attempt: str = ""
    sink: StreamSink | None = None


@dataclasses.dataclass(frozen=True)
class DropAttempt:
    """The attempt is over here: stop holding it and tell the agent."""

    attempt: str


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


@dataclasses.dataclass(frozen=True)
class HeartbeatDue:
    """The process's ticker says that it is time for a heartbeat."""


def settle(future: Future[Any], result: Any = None, error: BaseException | None = None) -> None:
    """Give a future its result or error; do nothing if it has one already."""
    try:
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)
    except InvalidStateError:
        pass


class AgentPeer(pykka.ThreadingActor):
    """The task of one agent as seen from a process that dials it."""

    use_daemon_thread = True

    def __init__(
        self,
        name: str,
        address: str,
        identity: PeerIdentity,
        timing: PeerTiming,
        context: PeerContext,
        view: PeerView,
    ) -> None:
        """Prepare the task; the reader starts with the actor."""
        super().__init__()
        self._name = name
        self._address = address
        self._identity = identity
        self._timing = timing
        self._context = context
        self._view = view
        self._session: SecureSession | None = None
        self._incarnation = 0
        self._next_call = 1
        self._pending: dict[int, Future[Any]] = {}
        self._held: dict[str, StreamSink | None] = {}
        self._pending_parts: dict[str, list[StreamTokens]] = {}
        self._reader = self._new_reader()

    def on_start(self) -> None:
        """Start reading."""
        self._reader.start()

    def on_stop(self) -> None:
        """Stop reading and fail whatever waits."""
        self._reader.stop()
        self._drop_link()

    def _new_reader(self) -> PeerReader:
        return PeerReader(self._address, self._identity, self._timing, self.actor_ref)

    def on_receive(self, message: Any) -> Any:
        """Handle one message; a failure is logged, since the link must outlive it."""
        try:
            self._handle(message)
        except Exception:
            _log.exception("message failed", peer=self._name, message=type(message).__name__)

    def _handle(self, message: Any) -> None:
        match message:
            case FrameArrived():
                self._frame_arrived(message)
            case SendCall():
                self._send_call(message)
            case DropAttempt():
                self._drop_attempt(message.attempt)
            case HeartbeatDue():
                self._heartbeat()
            case LinkUp():
                self._link_up(message)
            case LinkDown():
                self._link_down(message)
        if self._pending_parts and self.actor_inbox.empty():
            self._deliver_parts()

    def _send_call(self, call: SendCall) -> None:
        if call.attempt:
            self._held[call.attempt] = call.sink or self._held.get(call.attempt)
        if self._session is None:
            if call.reply is not None:
                message = f"{self._name} at {self._address} is not connected; retry shortly"
                settle(call.reply, error=PeerNeverReached(message, 1.0))
            return
        number = 0
        if call.reply is not None:
            number = self._next_call
            self._next_call += 1
            self._pending[number] = call.reply
        self._send(Frame(number, call.message))

    def _send(self, frame: Frame) -> None:
        assert self._session is not None
        try:
            with self._session.send_lock:
                self._reader.socket.send(self._session.seal(frame))
        except pynng.NNGException:
            self._link_down(LinkDown(self._reader))

    def _drop_attempt(self, attempt: str) -> None:
        if attempt not in self._held:
            return
        del self._held[attempt]
        self._pending_parts.pop(attempt, None)
        if self._session is not None:
            self._send(Frame(0, Release(attempt)))

    def _heartbeat(self) -> None:
        self._forget_settled()
        if self._session is None:
            return
        demand = self._context.demand()
        heartbeat = Heartbeat(
            self._context.stamp(),
            tuple(self._held),
            self._timing.lease_ms,
            demand.prefill,
            demand.decode,
        )
        self._send(Frame(0, heartbeat))

    def _forget_settled(self) -> None:
        """Forget calls whose caller stopped waiting."""
        settled = [number for number, future in self._pending.items() if future.done()]
        for number in settled:
            del self._pending[number]

    def _frame_arrived(self, arrived: FrameArrived) -> None:
        if arrived.reader is not self._reader:
            return
        message = arrived.frame.message
        if arrived.frame.call:
            self._replied(arrived.frame.call, message)
        elif isinstance(message, StepFrame):
            for part in message.streams:
                self._pending_parts.setdefault(part.attempt, []).append(part)
        elif isinstance(message, HeartbeatReply):
            self._heartbeat_replied(message)
        elif isinstance(message, OfferBundle):
            self._context.bundle_offered(self._view.handle(), message.envelope)
        elif isinstance(message, FetchSections):
            self._send(Frame(0, BundleSections(self._context.sections(message.digests))))

    def _deliver_parts(self) -> None:
        """Hand on what has gathered; a stream that is behind gets its parts joined."""
        gathered, self._pending_parts = self._pending_parts, {}
        for attempt, parts in gathered.items():
            sink = self._held.get(attempt)
            if sink is not None:
                for part in join_parts(parts):
                    sink.offer(part)

    def _heartbeat_replied(self, reply: HeartbeatReply) -> None:
        self._view.update(reply)
        for attempt in reply.lost:
            sink = self._held.get(attempt)
            if sink is not None:
                sink.lost(PeerUnreachable(f"{self._name} no longer holds the attempt"))
        self._context.peer_stamp_seen(self._view.handle(), reply.stamp)

    def _replied(self, number: int, message: Message) -> None:
        future = self._pending.pop(number, None)
        if future is None:
            return
        if isinstance(message, Failure):
            error = error_from_code(message.code, message.text, message.retry_after_s)
            settle(future, error=error)
        else:
            settle(future, message)

    def _link_up(self, link: LinkUp) -> None:
        if link.reader is not self._reader:
            return
        self._session = link.session
        self._incarnation = link.incarnation
        self._view.connected(link.incarnation)
        self._heartbeat()

    def _link_down(self, link: LinkDown) -> None:
        """Dial again at once with a new reader; the old one ends by itself."""
        if link.reader is not self._reader:
            return
        self._reader.stop()
        self._reader = self._new_reader()
        self._drop_link()
        self._reader.start()

    def _drop_link(self) -> None:
        """Fail whatever waits for the link."""
        self._session = None
        self._view.disconnected()
        error = PeerUnreachable(f"the link to {self._name} broke; look at the agent's logs")
        pending, self._pending = self._pending, {}
        for future in pending.values():
            settle(future, error=error)
        self._deliver_parts()
        for sink in list(self._held.values()):
            if sink is not None:
                sink.lost(error)


def join_parts(parts: list[StreamTokens]) -> list[StreamTokens]:
    """Join parts that follow one another without a gap."""
    joined = [parts[0]]
    for part in parts[1:]:
        last = joined[-1]
        if last.finish or last.sequence + len(last.tokens) != part.sequence:
            joined.append(part)
            continue
        joined[-1] = StreamTokens(
            last.attempt, last.sequence, last.tokens + part.tokens, part.finish
        )
    return joined


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
        self.socket = PeerSocket()

    def stop(self) -> None:
        """Ask the thread to end; it does so within a lease."""
        self._stopping.set()

    def run(self) -> None:
        """Dial until connected, with growing random pauses; then read one connection."""
        pause_ms = REDIAL_MIN_MS
        while not self._stopping.wait(random.uniform(0, pause_ms) / 1000):
            session = self._connect()
            if session is not None:
                self._read(session)
                break
            self.socket.close()
            self.socket = PeerSocket()
            pause_ms = min(pause_ms * 2, REDIAL_MAX_MS)
        self.socket.close()

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
        socket.allow_silence(self._timing.lease_ms)
        socket.on_lost(lambda: self._tell(LinkDown(self)))
        self._tell(LinkUp(self, session, welcome.incarnation))
        return session

    def _read(self, session: SecureSession) -> None:
        """Read until the connection is lost; silence for a whole lease counts as lost."""
        try:
            while not self._stopping.is_set():
                packet = decode_packet(self.socket.receive())
                if isinstance(packet, Sealed):
                    self._tell(FrameArrived(self, session.open(packet)))
        except pynng.NNGException:
            pass
        except PeerNotAuthenticated as error:
            _log.warning("peer refused", peer=self._url, error=error.message)
        self._tell(LinkDown(self))

    def _tell(self, message: Any) -> None:
        """Tell the owner, unless it has ended."""
        with contextlib.suppress(pykka.ActorDeadError):
            self._owner.tell(message)


class PeerView:
    """What is known of a peer, readable from any thread: updated only by the peer's task."""

    def __init__(self, name: str, zone: str) -> None:
        """Start as not connected."""
        self.name = name
        self.zone = zone
        self.is_connected = False
        self.load: LoadReport | None = None
        self.load_at_s = 0.0
        self.stamp = BundleStamp(0, "")
        self.incarnation = 0
        self._handle: AgentPeerHandle | None = None
        self._cached_blocks: dict[int, None] = {}

    def attach(self, handle: AgentPeerHandle) -> None:
        """Remember the handle through which the peer is called."""
        self._handle = handle

    def handle(self) -> AgentPeerHandle:
        """Return the handle through which the peer is called."""
        assert self._handle is not None
        return self._handle

    def connected(self, incarnation: int) -> None:
        """Note a new connection."""
        self.is_connected = True
        self.incarnation = incarnation

    def disconnected(self) -> None:
        """Note the loss of the connection; the old load report is worth nothing now."""
        self.is_connected = False
        self.load = None

    def update(self, reply: HeartbeatReply) -> None:
        """Take over what a heartbeat's reply says."""
        if reply.incarnation != self.incarnation or not reply.cache_complete:
            self._cached_blocks.clear()
        self.incarnation = reply.incarnation
        self.load = reply.load
        self.load_at_s = time.monotonic()
        self.stamp = reply.stamp
        for block in reply.evicted_blocks:
            self._cached_blocks.pop(block, None)
        for block in reply.cached_blocks:
            self._cached_blocks[block] = None

    def caches(self, block: int) -> bool:
        """Return whether the peer's engine is thought to cache the block: a hint, never a fact."""
        return block in self._cached_blocks


class AgentPeerHandle:
    """Calls one agent from any thread."""

    def __init__(self, view: PeerView, address: str, reference: pykka.ActorRef[Any]) -> None:
        """Wrap the peer's actor."""
        self.view = view
        self.name = view.name
        self.address = address
        self._reference = reference

    def call(
        self, message: AnyMessage, attempt: str = "", sink: StreamSink | None = None
    ) -> Future[Any]:
        """Send ``message``; the future gets the reply or a typed error."""
        future: Future[Any] = Future()
        self._tell(SendCall(message, future, attempt, sink), future)
        return future

    def notify(self, message: AnyMessage) -> None:
        """Send ``message`` without waiting for a reply."""
        self._tell(SendCall(message), None)

    def drop(self, attempt: str) -> None:
        """Stop holding ``attempt`` at the agent."""
        self._tell(DropAttempt(attempt), None)

    def heartbeat(self) -> None:
        """Send a heartbeat now."""
        self._tell(HeartbeatDue(), None)

    def stop(self) -> None:
        """End the peer's task."""
        self._reference.stop(block=False)

    def _tell(self, message: Any, future: Future[Any] | None) -> None:
        try:
            self._reference.tell(message)
        except pykka.ActorDeadError:
            if future is not None:
                error = PeerNeverReached(f"{self.name} was removed from the bundle; retry", 1.0)
                settle(future, error=error)


def start_peer(
    name: str,
    zone: str,
    address: str,
    identity: PeerIdentity,
    timing: PeerTiming,
    context: PeerContext,
) -> AgentPeerHandle:
    """Start the task of one peer and return the handle to it."""
    view = PeerView(name, zone)
    reference = AgentPeer.start(name, address, identity, timing, context, view)
    handle = AgentPeerHandle(view, address, reference)
    view.attach(handle)
    return handle


class HeartbeatTicker(threading.Thread):
    """Tells every peer when its heartbeat is due, spread evenly over the interval."""

    def __init__(self, peers: Callable[[], list[AgentPeerHandle]], heartbeat_ms: int) -> None:
        """Prepare the thread; ``peers`` returns the present peers."""
        super().__init__(name="heartbeat ticker", daemon=True)
        self._peers = peers
        self._interval_s = heartbeat_ms / 1000
        self._stopping = threading.Event()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()

    def run(self) -> None:
        """Go round all peers once an interval."""
        while not self._stopping.is_set():
            peers = self._peers()
            if not peers:
                self._stopping.wait(self._interval_s)
            for peer in peers:
                peer.heartbeat()
                self._stopping.wait(self._interval_s / len(peers))
