"""The dialling end of a link: one actor for each agent that this process talks to.

``AgentPeer`` is the task of one peer. Its reader thread dials, shakes hands, reads frames and,
when the link is lost, dials again after a random pause. The actor owns the pending calls, the
attempts held at the agent and the streams that come from it, so none of these needs a lock.
"""

from __future__ import annotations

from concurrent.futures import Future
from typing import Any

import pykka
import pynng

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.peer_reader import FrameArrived, LinkDown, LinkUp, PeerReader
from yokedock.connection.peer_types import (
    DropAttempt,
    HeartbeatDue,
    HeartbeatNow,
    PeerIdentity,
    PeerTiming,
    RedialEarly,
    SendCall,
    StreamSink,
    settle,
)
from yokedock.connection.peer_view import AgentPeerHandle, PeerContext, PeerView
from yokedock.connection.secure_session import SecureSession
from yokedock.errors import PeerNeverReached, PeerUnreachable, error_from_code
from yokedock.messages import (
    BundleSections,
    Failure,
    FetchSections,
    Frame,
    Heartbeat,
    HeartbeatReply,
    Message,
    OfferBundle,
    Prefilled,
    Release,
    Reserved,
    StepFrame,
    StreamTokens,
)

_log = logger("peer")


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
        self._next_call = 1
        self._pending: dict[int, Future[Any]] = {}
        self._held: dict[str, StreamSink | None] = {}
        self._pending_parts: dict[str, list[StreamTokens]] = {}
        self._heartbeat_s = 0.0
        self._unanswered_s = 0.0
        """When the oldest heartbeat since the last frame was sent; 0: none is unanswered."""
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
                self._tick()
            case HeartbeatNow():
                self._heartbeat()
            case RedialEarly():
                self._reader.redial_early()
            case LinkUp():
                self._link_up(message)
            case LinkDown():
                self._link_down(message)
        if self._pending_parts and self.actor_inbox.empty():
            self._deliver_parts()

    def _send_call(self, call: SendCall) -> None:
        self._renew_before_order()
        if call.attempt:
            self._held[call.attempt] = call.sink or self._held.get(call.attempt)
            self._view.tick_due_s = self._heartbeat_due_s()
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

    def _renew_before_order(self) -> None:
        """An idle peer's lease may have ended: renew it ahead of the order, on the same link."""
        age_s = boot_time_s() - self._heartbeat_s
        if not self._held and age_s * 1000 > self._timing.heartbeat_ms:
            self._heartbeat()

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

    def _tick(self) -> None:
        """Send a heartbeat if one is due; a peer that leaves one unanswered too long is lost."""
        if self._session is None:
            return
        now = boot_time_s()
        patience_ms = self._timing.lease_ms - self._timing.heartbeat_ms
        if self._unanswered_s and (now - self._unanswered_s) * 1000 > patience_ms:
            self._link_down(LinkDown(self._reader))
            return
        if now >= self._heartbeat_due_s():
            self._heartbeat()

    def _heartbeat_due_s(self) -> float:
        """Return when the next heartbeat is due; half an interval early, since ticks are coarse."""
        interval_ms = self._timing.heartbeat_ms
        if not self._held and self._is_settled():
            interval_ms = self._timing.longest_heartbeat_ms
        return self._heartbeat_s + (interval_ms - self._timing.heartbeat_ms / 2) / 1000

    def _is_settled(self) -> bool:
        """Return whether the peer is ready under the version in force: nothing new is awaited."""
        load = self._view.load
        return load is not None and load.ready and self._view.stamp == self._context.stamp()

    def _heartbeat(self) -> None:
        self._forget_settled()
        if self._session is None:
            return
        self._heartbeat_s = boot_time_s()
        self._unanswered_s = self._unanswered_s or self._heartbeat_s
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
        self._unanswered_s = 0.0
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
        self._view.tick_due_s = self._heartbeat_due_s()
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
            if isinstance(message, Reserved | Prefilled) and message.load is not None:
                self._view.update_load(message.load)
            settle(future, message)

    def _link_up(self, link: LinkUp) -> None:
        if link.reader is not self._reader:
            return
        self._session = link.session
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
        self._unanswered_s = 0.0
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
