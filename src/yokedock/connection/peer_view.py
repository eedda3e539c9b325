"""What is known of a peer, and the handle by which any thread calls it."""

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
        self.tick_due_s = 0.0
        """When the peer's task wants to be woken for a heartbeat, seconds of boot time."""
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
        self.tick_due_s = 0.0

    def update(self, reply: HeartbeatReply) -> None:
        """Take over what a heartbeat's reply says."""
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
        """Take over a newer load report."""
        self.load = load
        self.load_at_s = boot_time_s()

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

    def tick(self) -> None:
        """Send a heartbeat if it is time for one."""
        self._tell(HeartbeatDue(), None)

    def heartbeat_now(self) -> None:
        """Send a heartbeat at once."""
        self._tell(HeartbeatNow(), None)

    def redial_early(self) -> None:
        """Redial after a short pause if the peer is not connected."""
        self._tell(RedialEarly(), None)

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
