"""The peers of a process: one actor for each agent that it is connected to."""

from __future__ import annotations

import dataclasses
import threading

from yokedock.connection.heartbeat_ticker import HeartbeatTicker
from yokedock.connection.peer_client import start_peer
from yokedock.connection.peer_types import PeerIdentity, PeerTiming
from yokedock.connection.peer_view import AgentPeerHandle, PeerContext
from yokedock.process.settings import PeerSettings


def peer_timing(settings: PeerSettings) -> PeerTiming:
    """Return the heartbeat intervals and the lease duration from the settings."""
    return PeerTiming(settings.heartbeat_ms, settings.lease_ms, settings.idle_heartbeat_ms)


@dataclasses.dataclass(frozen=True)
class PeerAddress:
    """Name, zone and network address of one agent."""

    name: str
    zone: str
    address: str


class PeerDirectory:
    """Starts and stops the actors of peers to match a list of addresses."""

    def __init__(self, identity: PeerIdentity, timing: PeerTiming, context: PeerContext) -> None:
        """Start without peers."""
        self._identity = identity
        self._timing = timing
        self._context = context
        self._lock = threading.Lock()
        self._peers: dict[PeerAddress, AgentPeerHandle] = {}
        self._ticker = HeartbeatTicker(self.all, timing.heartbeat_ms)
        self._ticker.start()

    def all(self) -> list[AgentPeerHandle]:
        """Return all current peers."""
        with self._lock:
            return list(self._peers.values())

    def find(self, name: str) -> AgentPeerHandle | None:
        """Return the peer called ``name``, or None."""
        with self._lock:
            return next((p for a, p in self._peers.items() if a.name == name), None)

    def set_peers(self, addresses: list[PeerAddress]) -> None:
        """Start and stop peers so that exactly ``addresses`` remain."""
        wanted = set(addresses)
        with self._lock:
            gone = [self._peers.pop(known) for known in set(self._peers) - wanted]
            for address in sorted(wanted - set(self._peers), key=lambda a: a.name):
                self._peers[address] = self._start(address)
        for peer in gone:
            peer.stop()

    def get(self, address: PeerAddress) -> AgentPeerHandle:
        """Return the peer at an address; starts its actor if there is none."""
        with self._lock:
            if address not in self._peers:
                self._peers[address] = self._start(address)
            return self._peers[address]

    def heartbeat_now(self) -> None:
        """Send a heartbeat to every peer immediately."""
        for peer in self.all():
            peer.heartbeat_now()

    def stop(self) -> None:
        """Stop all actors."""
        self._ticker.stop()
        self.set_peers([])

    def _start(self, address: PeerAddress) -> AgentPeerHandle:
        return start_peer(
            address.name,
            address.zone,
            address.address,
            self._identity,
            self._timing,
            self._context,
        )
