"""The agent's task for one peer: its lease, and every attempt that hangs on it.

One heartbeat renews the lease for all of them. A heartbeat also lists what the peer still holds;
whatever is not listed is released, so a lost release message cannot leave memory held.
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
"""How long a lease outlasts the peer's broken connection, if it does not end before.

A process that dies loses its connection at once, so that a lease may be long without leaving the
work of dead gateways held; only a machine that goes silent keeps what it holds for a whole lease.
"""

_OWNING_ORDERS = (Reserve, Prefill, Decode, ServiceCall)
"""Orders that make the sender the owner of their attempt.

Others name an attempt of somebody else: a decode agent that asks for transfer credit must not end
the gateway's attempt when its own heartbeat does not list it.
"""


class HolderContext(Protocol):
    """What a lease holder's task needs from its process."""

    def stamp(self) -> BundleStamp:
        """Return the stamp of the version in force here."""

    def incarnation(self) -> int:
        """Return this agent's incarnation."""

    def envelope(self) -> bytes:
        """Return the signed envelope in force, empty if none."""

    def sections(self, digests: tuple[str, ...]) -> tuple[bytes, ...]:
        """Return sections by digest."""

    def gateway_offered(self, envelope: bytes, connection: PeerConnection) -> None:
        """Consider an envelope that a peer handed over."""

    def sections_arrived(self, contents: tuple[bytes, ...]) -> None:
        """Take the sections that a peer sent for the envelope it handed over."""

    def check_pause(self) -> None:
        """Notice a pause of the process before acting on what it believed."""

    def demand_reported(self, peer: str, prefill: float, decode: float) -> None:
        """Take over a gateway's demand signal."""


@dataclasses.dataclass(frozen=True)
class Inbound:
    """A frame from the peer."""

    connection: PeerConnection
    frame: Frame


@dataclasses.dataclass(frozen=True)
class ConnectionClosed:
    """A connection of the peer is gone."""

    connection: PeerConnection


@dataclasses.dataclass(frozen=True)
class LeaseCheck:
    """The process's ticker asks whether the lease has expired."""


@dataclasses.dataclass(frozen=True)
class ReportNow:
    """The back end's state has changed: tell the peer, which may not ask for a while."""


@dataclasses.dataclass(frozen=True)
class ExpireNow:
    """The process was paused: the lease counts as expired."""


class LeaseHolder(pykka.ThreadingActor):
    """The task of one peer that gives orders to this agent."""

    use_daemon_thread = True

    def __init__(
        self, name: str, backend: Backend, context: HolderContext, workers: ThreadPoolExecutor
    ) -> None:
        """Prepare the task for the peer called ``name``."""
        super().__init__()
        self._name = name
        self._backend = backend
        self._context = context
        self._workers = workers
        self._connection: PeerConnection | None = None
        self._lease = Lease(context.check_pause)
        self._told_change = 0

    def on_receive(self, message: Any) -> Any:
        """Handle one message; a failure is logged, since the leases must outlive it."""
        try:
            return self._handle(message)
        except Exception:
            _log.exception("message failed", peer=self._name, message=type(message).__name__)
            return None

    def _handle(self, message: Any) -> Any:
        self._context.check_pause()
        match message:
            case Inbound():
                self._inbound(message.connection, message.frame)
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
        """Release everything of the peer."""
        self._expire("agent stops")

    def _inbound(self, connection: PeerConnection, frame: Frame) -> None:
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
                self._order(connection, frame)

    def _is_current(self, connection: PeerConnection) -> bool:
        """Return whether the connection is the peer's newest; an older one is not listened to."""
        if self._connection is None or connection is self._connection:
            self._connection = connection
            return True
        present = self._connection
        if connection.incarnation < present.incarnation or connection.number < present.number:
            return False
        if connection.incarnation > present.incarnation:
            self._expire("the peer restarted")
        self._connection = connection
        self._told_change = 0
        return True

    def _connection_closed(self, connection: PeerConnection) -> None:
        """Let the lease end soon, unless the peer comes back and renews it."""
        if connection is self._connection:
            soon_s = boot_time_s() + RECONNECT_S
            self._lease.expires_s = min(self._lease.expires_s, soon_s)

    def _heartbeat(self, heartbeat: Heartbeat) -> None:
        self._lease.expires_s = boot_time_s() + heartbeat.lease_ms / 1000
        for attempt in self._lease.attempts - set(heartbeat.held):
            self._release(attempt)
        lost = tuple(a for a in heartbeat.held if not self._backend.holds(a))
        self._context.demand_reported(self._name, heartbeat.prefill_demand, heartbeat.decode_demand)
        self._report(lost)

    def _report(self, lost: tuple[str, ...]) -> None:
        """Tell the peer this agent's load, version and cache changes, and what it has lost."""
        if self._connection is None:
            return
        stamp, load = self._context.stamp(), self._backend.load()
        changes = self._backend.block_changes(self._told_change)
        self._told_change = changes.last_number
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

    def _order(self, connection: PeerConnection, frame: Frame) -> None:
        order = frame.message
        try:
            if not self._lease.is_valid():
                raise LeaseExpired("the sender's lease ended; send a heartbeat and try again")
            self._check_version(connection, order)
        except YokedockError as error:
            reply_failure(connection, frame.call, error)
            return
        if isinstance(order, _OWNING_ORDERS):
            self._lease.attempts.add(order.attempt)
        if self._backend.is_quick(order):
            self._run(connection, frame)
        else:
            self._workers.submit(self._run, connection, frame)

    def _check_version(self, connection: PeerConnection, order: AnyMessage) -> None:
        """Refuse an order made under an older bundle, and hand over the newer one."""
        if not isinstance(order, _OWNING_ORDERS):
            return
        version = self._context.stamp().version
        if order.version < version:
            connection.send(OfferBundle(self._context.envelope()))
            raise StaleVersion("the order was made under an older bundle; adopt the newer one", 0.2)
        if version == 0 or (order.version > version and isinstance(order, ServiceCall)):
            raise NotReady("the agent has not adopted the sender's bundle yet; retry", 0.2)

    def _run(self, connection: PeerConnection, frame: Frame) -> None:
        """Carry out one order; runs on a worker when the order takes time."""
        try:
            reply = self._backend.run(frame.message, self._lease, self._send_frame)
            if frame.call:
                connection.send(reply, frame.call)
        except YokedockError as error:
            reply_failure(connection, frame.call, error)
        except Exception as error:
            _log.exception("order failed", peer=self._name)
            reply_failure(connection, frame.call, YokedockError(f"the agent failed: {error!r}"))

    def _send_frame(self, frame: StepFrame) -> None:
        """Send tokens over whatever connection the peer has now."""
        connection = self._connection
        if connection is not None:
            connection.send(frame)

    def _release(self, attempt: str) -> None:
        self._lease.attempts.discard(attempt)
        self._backend.release(attempt)

    def _check_lease(self) -> bool:
        """Expire the lease when it is over; return whether anything still hangs on it."""
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
