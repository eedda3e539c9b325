"""The dialing side of a link: one actor for each agent that this process connects to.

Each ``AgentPeer`` actor has a reader thread that dials, performs the handshake, reads frames and,
when the connection is lost, redials after a random delay. The actor owns the pending calls, the
attempts held at the agent and the streams received from it, so none of these needs a lock.
"""

from __future__ import annotations

from concurrent.futures import Future
from typing import Any

import pykka
import pynng

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.peer_reader import FrameReceived, LinkDown, LinkUp, PeerReader
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
    """Manages the connection from this process to one agent."""

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
        """Initialize the actor; the reader thread starts in ``on_start``."""
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
        self._last_heartbeat_s = 0.0
        self._unanswered_since_s = 0.0
        """Send time of the oldest heartbeat since the last received frame; 0 if there is none."""
        self._reader = self._new_reader()

    def on_start(self) -> None:
        """Start the reader thread."""
        self._reader.start()

    def on_stop(self) -> None:
        """Stop the reader thread and fail all pending calls and streams."""
        self._reader.stop()
        self._drop_link()

    def _new_reader(self) -> PeerReader:
        return PeerReader(self._address, self._identity, self._timing, self.actor_ref)

    def on_receive(self, message: Any) -> Any:
        """Handle one message; exceptions are logged and do not stop the actor."""
        try:
            self._handle(message)
        except Exception:
            _log.exception(
                "message handling failed", peer=self._name, message=type(message).__name__
            )

    def _handle(self, message: Any) -> None:
        match message:
            case FrameReceived():
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
        self._renew_idle_lease()
        if call.attempt:
            self._held[call.attempt] = call.sink or self._held.get(call.attempt)
            self._view.heartbeat_due_s = self._heartbeat_due_s()
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

    def _renew_idle_lease(self) -> None:
        """Renew the lease of an idle peer before a command: idle peers get few heartbeats.

        The heartbeat goes ahead of the command over the same connection, because the lease may
        have expired.
        """
        age_s = boot_time_s() - self._last_heartbeat_s
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
        """Send a heartbeat if one is due; drop the link if an earlier one timed out."""
        if self._session is None:
            return
        now = boot_time_s()
        patience_ms = self._timing.lease_ms - self._timing.heartbeat_ms
        if self._unanswered_since_s and (now - self._unanswered_since_s) * 1000 > patience_ms:
            self._link_down(LinkDown(self._reader))
            return
        if now >= self._heartbeat_due_s():
            self._heartbeat()

    def _heartbeat_due_s(self) -> float:
        """Return when the next heartbeat is due: half an interval early, as ticks are coarse."""
        interval_ms = self._timing.heartbeat_ms
        if not self._held and self._is_up_to_date():
            interval_ms = self._timing.max_heartbeat_interval_ms
        return self._last_heartbeat_s + (interval_ms - self._timing.heartbeat_ms / 2) / 1000

    def _is_up_to_date(self) -> bool:
        """Return whether the peer is ready and has the version in force here."""
        load = self._view.load
        return load is not None and load.ready and self._view.stamp == self._context.stamp()

    def _heartbeat(self) -> None:
        self._discard_completed_calls()
        if self._session is None:
            return
        self._last_heartbeat_s = boot_time_s()
        self._unanswered_since_s = self._unanswered_since_s or self._last_heartbeat_s
        demand = self._context.demand()
        heartbeat = Heartbeat(
            self._context.stamp(),
            tuple(self._held),
            self._timing.lease_ms,
            demand.prefill,
            demand.decode,
        )
        self._send(Frame(0, heartbeat))

    def _discard_completed_calls(self) -> None:
        """Discard calls whose future is already done, such as those that were cancelled."""
        settled = [number for number, future in self._pending.items() if future.done()]
        for number in settled:
            del self._pending[number]

    def _frame_arrived(self, arrived: FrameReceived) -> None:
        if arrived.reader is not self._reader:
            return
        self._unanswered_since_s = 0.0
        message = arrived.frame.message
        if arrived.frame.call:
            self._handle_reply(arrived.frame.call, message)
        elif isinstance(message, StepFrame):
            for part in message.streams:
                self._pending_parts.setdefault(part.attempt, []).append(part)
        elif isinstance(message, HeartbeatReply):
            self._handle_heartbeat_reply(message)
        elif isinstance(message, OfferBundle):
            self._context.bundle_offered(self._view.handle(), message.envelope)
        elif isinstance(message, FetchSections):
            self._send(Frame(0, BundleSections(self._context.sections(message.digests))))

    def _deliver_parts(self) -> None:
        """Deliver the collected parts; consecutive parts of a stream are merged."""
        parts_by_attempt, self._pending_parts = self._pending_parts, {}
        for attempt, parts in parts_by_attempt.items():
            sink = self._held.get(attempt)
            if sink is not None:
                for part in join_parts(parts):
                    sink.offer(part)

    def _handle_heartbeat_reply(self, reply: HeartbeatReply) -> None:
        self._view.update(reply)
        self._view.heartbeat_due_s = self._heartbeat_due_s()
        for attempt in reply.lost:
            sink = self._held.get(attempt)
            if sink is not None:
                sink.lost(PeerUnreachable(f"{self._name} no longer holds the attempt"))
        self._context.peer_stamp_seen(self._view.handle(), reply.stamp)

    def _handle_reply(self, number: int, message: Message) -> None:
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
        """Start a new reader, which redials; the old one stops on its own."""
        if link.reader is not self._reader:
            return
        self._reader.stop()
        self._reader = self._new_reader()
        self._drop_link()
        self._reader.start()

    def _drop_link(self) -> None:
        """Mark the peer as disconnected and fail its pending calls and streams."""
        self._session = None
        self._unanswered_since_s = 0.0
        self._view.disconnected()
        error = PeerUnreachable(f"the connection to {self._name} was lost; check the agent's logs")
        pending, self._pending = self._pending, {}
        for future in pending.values():
            settle(future, error=error)
        self._deliver_parts()
        for sink in list(self._held.values()):
            if sink is not None:
                sink.lost(error)


def join_parts(parts: list[StreamTokens]) -> list[StreamTokens]:
    """Merge parts with consecutive sequence numbers."""
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
    """Start the actor for one peer and return its handle."""
    view = PeerView(name, zone)
    actor_ref = AgentPeer.start(name, address, identity, timing, context, view)
    handle = AgentPeerHandle(view, address, actor_ref)
    view.attach(handle)
    return handle
