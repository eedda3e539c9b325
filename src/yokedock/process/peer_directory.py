"""The peers of a process: one task for each agent it talks to, kept level with a wanted list."""

from __future__ import annotations

import dataclasses
import threading

from yokedock.connection.heartbeat_ticker import HeartbeatTicker
from yokedock.connection.peer_client import start_peer
from yokedock.connection.peer_types import PeerIdentity, PeerTiming
from yokedock.connection.peer_view import AgentPeerHandle, PeerContext
from yokedock.process.settings import PeerSettings


def peer_timing(settings: PeerSettings) -> PeerTiming:
    """Return how often the settings want heartbeats sent, and how long a lease lasts."""
    return PeerTiming(settings.heartbeat_ms, settings.lease_ms, settings.idle_heartbeat_ms)


@dataclasses.dataclass(frozen=True)
class PeerAddress:
    """One agent to talk to."""

    name: str
    zone: str
    address: str


class PeerDirectory:
    """Starts and stops peer tasks as the wanted list changes."""

    def __init__(self, identity: PeerIdentity, timing: PeerTiming, context: PeerContext) -> None:
        """Start with no peer."""
        self._identity = identity
        self._timing = timing
        self._context = context
        self._lock = threading.Lock()
        self._peers: dict[PeerAddress, AgentPeerHandle] = {}
        self._ticker = HeartbeatTicker(self.all, timing.heartbeat_ms)
        self._ticker.start()

    def all(self) -> list[AgentPeerHandle]:
        """Return all present peers."""
        with self._lock:
            return list(self._peers.values())

    def find(self, name: str) -> AgentPeerHandle | None:
        """Return the peer called ``name``, None if there is none."""
        with self._lock:
            return next((p for a, p in self._peers.items() if a.name == name), None)

    def want(self, addresses: list[PeerAddress]) -> None:
        """Make the present peers exactly ``addresses``."""
        wanted = set(addresses)
        with self._lock:
            gone = [self._peers.pop(known) for known in set(self._peers) - wanted]
            for address in sorted(wanted - set(self._peers), key=lambda a: a.name):
                self._peers[address] = self._start(address)
        for peer in gone:
            peer.stop()

    def get(self, address: PeerAddress) -> AgentPeerHandle:
        """Return the peer at an address, starting its task if there is none."""
        with self._lock:
            if address not in self._peers:
                self._peers[address] = self._start(address)
            return self._peers[address]

    def heartbeat_now(self) -> None:
        """Send a heartbeat to every peer at once."""
        for peer in self.all():
            peer.heartbeat_now()

    def stop(self) -> None:
        """End all tasks."""
        self._ticker.stop()
        self.want([])

    def _start(self, address: PeerAddress) -> AgentPeerHandle:
        return start_peer(
            address.name,
            address.zone,
            address.address,
            self._identity,
            self._timing,
            self._context,
        )
