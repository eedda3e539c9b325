"""Actor of an agent for one peer: the peer's lease and all attempts that depend on it.

One heartbeat renews the lease for all attempts. It also lists the attempts that the peer still
owns; any other attempt is released, so that a lost release message cannot leak memory.
"""

from __future__ import annotations

import dataclasses
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Protocol

import pykka

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.peer_listener import PeerConnection
from yokedock.errors import LeaseExpired, NotReady, StaleVersion, YokedockError
from yokedock.messages import (
    AnyMessage,
    BundleEnvelope,
    BundleSections,
    BundleStamp,
    Decode,
    Failure,
    FetchBundle,
    FetchSections,
    Frame,
    Heartbeat,
    HeartbeatReply,
    OfferBundle,
    Prefill,
    Release,
    Reserve,
    ServiceCall,
    StepFrame,
)
from yokedock.process.lease import Lease
from yokedock.request.backend import Backend

_log = logger("lease")

RECONNECT_S = 2.0
"""Maximum time that a lease stays valid after the peer's connection closes.

The connection of a process that dies closes at once, so its attempts are released early even if
leases are long. Only a machine that fails silently keeps its attempts for the full lease.
"""

_OWNING_ORDERS = (Reserve, Prefill, Decode, ServiceCall)
"""Commands that make the sender the owner of their attempt.

Other commands refer to an attempt of another peer. A decode agent that requests transfer credit,
for example, must not end the gateway's attempt because its own heartbeat does not list it.
"""


class PeerLeaseContext(Protocol):
    """Interface of the agent process that a lease actor uses."""

    def stamp(self) -> BundleStamp:
        """Return the stamp of the locally active bundle version."""

    def incarnation(self) -> int:
        """Return this agent's incarnation."""

    def envelope(self) -> bytes:
        """Return the signed envelope of the active bundle, empty if there is none."""

    def sections(self, digests: tuple[str, ...]) -> tuple[bytes, ...]:
        """Return sections by digest."""

    def gateway_offered(self, envelope: bytes, connection: PeerConnection) -> None:
        """Process a bundle envelope offered by a peer."""

    def sections_arrived(self, contents: tuple[bytes, ...]) -> None:
        """Process the sections that a peer sent for the envelope it offered."""

    def check_pause(self) -> None:
        """Detect and handle a pause of the process before acting on its state."""

    def demand_reported(self, peer: str, prefill: float, decode: float) -> None:
        """Record a gateway's demand signal."""


@dataclasses.dataclass(frozen=True)
class InboundFrame:
    """A frame received from the peer."""

    connection: PeerConnection
    frame: Frame


@dataclasses.dataclass(frozen=True)
class ConnectionClosed:
    """A connection of the peer has closed."""

    connection: PeerConnection


@dataclasses.dataclass(frozen=True)
class LeaseCheck:
    """Periodic request to check whether the lease has expired."""


@dataclasses.dataclass(frozen=True)
class ReportNow:
    """Request to report the backend's changed state; an idle peer's heartbeat may be far off."""


@dataclasses.dataclass(frozen=True)
class ExpireNow:
    """Request to expire the lease, since the process was paused."""


class PeerLeaseActor(pykka.ThreadingActor):
    """Handles the frames and the lease of one peer that sends commands to this agent."""

    use_daemon_thread = True

    def __init__(
        self, name: str, backend: Backend, context: PeerLeaseContext, workers: ThreadPoolExecutor
    ) -> None:
        """Create the actor of the peer called ``name``, with an expired lease."""
        super().__init__()
        self._name = name
        self._backend = backend
        self._context = context
        self._workers = workers
        self._connection: PeerConnection | None = None
        self._lease = Lease(context.check_pause)
        self._last_reported_change = 0

    def on_receive(self, message: Any) -> Any:
        """Handle one message; an exception is logged, so that it does not end the lease."""
        try:
            return self._handle(message)
        except Exception:
            _log.exception("message failed", peer=self._name, message=type(message).__name__)
            return None

    def _handle(self, message: Any) -> Any:
        self._context.check_pause()
        match message:
            case InboundFrame():
                self._handle_frame(message.connection, message.frame)
            case ConnectionClosed():
                self._connection_closed(message.connection)
            case LeaseCheck():
                return self._check_lease()
            case ExpireNow():
                self._expire("paused")
            case ReportNow():
                self._report(())
        return None

    def on_stop(self) -> None:
        """Release all attempts of the peer."""
        self._expire("agent stopping")

    def _handle_frame(self, connection: PeerConnection, frame: Frame) -> None:
        if not self._is_current(connection):
            return
        message = frame.message
        match message:
            case Heartbeat():
                self._heartbeat(message)
            case Release():
                self._release(message.attempt)
            case FetchBundle():
                connection.send(BundleEnvelope(self._context.envelope()), frame.call)
            case FetchSections():
                contents = self._context.sections(message.digests)
                connection.send(BundleSections(contents), frame.call)
            case OfferBundle():
                self._context.gateway_offered(message.envelope, connection)
            case BundleSections():
                self._context.sections_arrived(message.contents)
            case _:
                self._accept_command(connection, frame)

    def _is_current(self, connection: PeerConnection) -> bool:
        """Return whether the connection is the peer's newest; frames of older ones are ignored."""
        if self._connection is None or connection is self._connection:
            self._connection = connection
            return True
        present = self._connection
        if connection.incarnation < present.incarnation or connection.number < present.number:
            return False
        if connection.incarnation > present.incarnation:
            self._expire("peer restarted")
        self._connection = connection
        self._last_reported_change = 0
        return True

    def _connection_closed(self, connection: PeerConnection) -> None:
        """Shorten the lease, unless the peer reconnects and renews it."""
        if connection is self._connection:
            reconnect_deadline_s = boot_time_s() + RECONNECT_S
            self._lease.expires_s = min(self._lease.expires_s, reconnect_deadline_s)

    def _heartbeat(self, heartbeat: Heartbeat) -> None:
        self._lease.expires_s = boot_time_s() + heartbeat.lease_ms / 1000
        for attempt in self._lease.attempts - set(heartbeat.held):
            self._release(attempt)
        lost = tuple(a for a in heartbeat.held if not self._backend.holds(a))
        self._context.demand_reported(self._name, heartbeat.prefill_demand, heartbeat.decode_demand)
        self._report(lost)

    def _report(self, lost: tuple[str, ...]) -> None:
        """Send the peer the load, bundle version, cache changes and the attempts it has lost."""
        if self._connection is None:
            return
        stamp, load = self._context.stamp(), self._backend.load()
        changes = self._backend.block_changes(self._last_reported_change)
        self._last_reported_change = changes.last_number
        reply = HeartbeatReply(
            stamp,
            self._context.incarnation(),
            load,
            lost,
            changes.cached,
            changes.evicted,
            changes.is_complete,
        )
        self._connection.send(reply)

    def _accept_command(self, connection: PeerConnection, frame: Frame) -> None:
        order = frame.message
        try:
            if not self._lease.is_valid():
                raise LeaseExpired("the sender's lease has expired; send a heartbeat and retry")
            self._check_version(connection, order)
        except YokedockError as error:
            reply_failure(connection, frame.call, error)
            return
        if isinstance(order, _OWNING_ORDERS):
            self._lease.attempts.add(order.attempt)
        if self._backend.is_quick(order):
            self._execute(connection, frame)
        else:
            self._workers.submit(self._execute, connection, frame)

    def _check_version(self, connection: PeerConnection, order: AnyMessage) -> None:
        """Reject a command made under an older bundle, and offer the newer bundle."""
        if not isinstance(order, _OWNING_ORDERS):
            return
        version = self._context.stamp().version
        if order.version < version:
            connection.send(OfferBundle(self._context.envelope()))
            raise StaleVersion(
                "the command was made under an older bundle; adopt the newer one", 0.2
            )
        if version == 0 or (order.version > version and isinstance(order, ServiceCall)):
            raise NotReady("the agent has not adopted the sender's bundle version yet; retry", 0.2)

    def _execute(self, connection: PeerConnection, frame: Frame) -> None:
        """Execute one command; runs on a worker thread if it has to wait for the backend."""
        try:
            reply = self._backend.run(frame.message, self._lease, self._send_frame)
            if frame.call:
                connection.send(reply, frame.call)
        except YokedockError as error:
            reply_failure(connection, frame.call, error)
        except Exception as error:
            _log.exception("command failed", peer=self._name)
            reply_failure(
                connection, frame.call, YokedockError(f"internal error of the agent: {error!r}")
            )

    def _send_frame(self, frame: StepFrame) -> None:
        """Send tokens over the peer's current connection, if there is one."""
        connection = self._connection
        if connection is not None:
            connection.send(frame)

    def _release(self, attempt: str) -> None:
        self._lease.attempts.discard(attempt)
        self._backend.release(attempt)

    def _check_lease(self) -> bool:
        """Expire the lease if it has ended; return whether any attempt still depends on it."""
        if not self._lease.is_valid():
            self._expire("no heartbeat")
        return bool(self._lease.attempts)

    def _expire(self, reason: str) -> None:
        self._lease.expires_s = 0.0
        attempts, self._lease.attempts = self._lease.attempts, set()
        if attempts:
            _log.warning("lease expired", peer=self._name, attempts=len(attempts), reason=reason)
        for attempt in attempts:
            self._backend.release(attempt)


def reply_failure(connection: PeerConnection, call: int, error: YokedockError) -> None:
    """Send a typed error as the reply to a call."""
    if call:
        connection.send(Failure(error.code, error.message, error.retry_after_s), call)
