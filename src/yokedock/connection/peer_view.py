"""The known state of a peer, and the thread-safe handle for calling it."""

from __future__ import annotations

from concurrent.futures import Future
from typing import Any, Protocol

import pykka

from yokedock.base.clock import boot_time_s
from yokedock.connection.peer_types import (
    DemandSignal,
    DropAttempt,
    HeartbeatDue,
    HeartbeatNow,
    RedialEarly,
    SendCall,
    StreamSink,
    settle,
)
from yokedock.errors import PeerNeverReached
from yokedock.messages import AnyMessage, BundleStamp, HeartbeatReply, LoadReport


class PeerView:
    """Known state of a peer: readable from any thread, updated only by the peer's actor."""

    def __init__(self, name: str, zone: str) -> None:
        """Start in the disconnected state."""
        self.name = name
        self.zone = zone
        self.is_connected = False
        self.load: LoadReport | None = None
        self.load_at_s = 0.0
        self.stamp = BundleStamp(0, "")
        self.incarnation = 0
        self.heartbeat_due_s = 0.0
        """Boot time in seconds from which the peer's actor needs a tick to send its heartbeat."""
        self._handle: AgentPeerHandle | None = None
        self._cached_blocks: dict[int, None] = {}

    def attach(self, handle: AgentPeerHandle) -> None:
        """Set the handle for calling the peer."""
        self._handle = handle

    def handle(self) -> AgentPeerHandle:
        """Return the handle for calling the peer."""
        assert self._handle is not None
        return self._handle

    def connected(self, incarnation: int) -> None:
        """Record a new connection."""
        self.is_connected = True
        self.incarnation = incarnation

    def disconnected(self) -> None:
        """Record the loss of the connection and discard the outdated load report."""
        self.is_connected = False
        self.load = None
        self.heartbeat_due_s = 0.0

    def update(self, reply: HeartbeatReply) -> None:
        """Apply a heartbeat reply."""
        if reply.incarnation != self.incarnation or not reply.cache_complete:
            self._cached_blocks.clear()
        self.incarnation = reply.incarnation
        self.update_load(reply.load)
        self.stamp = reply.stamp
        for block in reply.evicted_blocks:
            self._cached_blocks.pop(block, None)
        for block in reply.cached_blocks:
            self._cached_blocks[block] = None

    def update_load(self, load: LoadReport) -> None:
        """Store a newer load report."""
        self.load = load
        self.load_at_s = boot_time_s()

    def caches(self, block: int) -> bool:
        """Return whether the peer's engine probably has the block in its cache; only a hint."""
        return block in self._cached_blocks


class AgentPeerHandle:
    """Calls one agent from any thread."""

    def __init__(self, view: PeerView, address: str, actor_ref: pykka.ActorRef[Any]) -> None:
        """Wrap the reference to the peer's actor."""
        self.view = view
        self.name = view.name
        self.address = address
        self._actor_ref = actor_ref

    def call(
        self, message: AnyMessage, attempt: str = "", sink: StreamSink | None = None
    ) -> Future[Any]:
        """Send ``message``; the returned future gets the reply or a typed error."""
        future: Future[Any] = Future()
        self._tell(SendCall(message, future, attempt, sink), future)
        return future

    def notify(self, message: AnyMessage) -> None:
        """Send ``message`` without waiting for a reply."""
        self._tell(SendCall(message), None)

    def drop(self, attempt: str) -> None:
        """Stop holding ``attempt`` at the agent."""
        self._tell(DropAttempt(attempt), None)

    def tick(self) -> None:
        """Send a heartbeat if one is due."""
        self._tell(HeartbeatDue(), None)

    def heartbeat_now(self) -> None:
        """Send a heartbeat immediately."""
        self._tell(HeartbeatNow(), None)

    def redial_early(self) -> None:
        """Redial after a short delay if the peer is not connected."""
        self._tell(RedialEarly(), None)

    def stop(self) -> None:
        """Stop the peer's actor."""
        self._actor_ref.stop(block=False)

    def _tell(self, message: Any, future: Future[Any] | None) -> None:
        try:
            self._actor_ref.tell(message)
        except pykka.ActorDeadError:
            if future is not None:
                error = PeerNeverReached(f"{self.name} was removed from the bundle; retry", 1.0)
                settle(future, error=error)


class PeerContext(Protocol):
    """What a peer's actor needs from its process."""

    def stamp(self) -> BundleStamp:
        """Return the stamp of the version in force here."""

    def demand(self) -> DemandSignal:
        """Return the demand signal to send."""

    def peer_stamp_seen(self, peer: AgentPeerHandle, stamp: BundleStamp) -> None:
        """Compare a peer's bundle version with the one in force here."""

    def bundle_offered(self, peer: AgentPeerHandle, envelope: bytes) -> None:
        """Handle a bundle envelope offered by a peer."""

    def sections(self, digests: tuple[str, ...]) -> tuple[bytes, ...]:
        """Return the bundle sections with the given digests."""
