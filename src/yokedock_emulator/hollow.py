"""Hollow processes: the links of many agents or gateways in one process, without back ends.

They speak the real protocol with the real classes (listener, lease holder, peer task), so what a
real process pays for a peer can be measured with hundreds of peers on one machine.
"""

from __future__ import annotations

import sys
import threading
from concurrent.futures import ThreadPoolExecutor

from yokedock.base.logs import set_up_logs
from yokedock.connection.peer_listener import PeerConnection, PeerListener
from yokedock.connection.peer_types import DemandSignal, PeerIdentity, PeerTiming
from yokedock.connection.peer_view import AgentPeerHandle
from yokedock.connection.secure_session import LOOPBACK_KEY
from yokedock.messages import AnyMessage, BundleStamp, Done, Frame, LoadReport
from yokedock.process.exit import exit_now
from yokedock.process.peer_directory import PeerAddress, PeerDirectory
from yokedock.process.peer_lease_actor import InboundFrame, PeerLeaseActor
from yokedock.request.backend import Backend, OrderGuard, SendFrame

ANY_PORT = "127.0.0.1:0"
LEASE_MS = 10_000
WORKERS = 4
CHURN_HEARTBEAT_MS = 20
CHURN_TRAFFIC_S = 0.3


class HollowBackend(Backend):
    """A back end that holds whatever it is asked to and does nothing."""

    def __init__(self) -> None:
        """Start with nothing held."""
        self.held: set[str] = set()

    def is_quick(self, order: AnyMessage) -> bool:
        """Return true: nothing waits."""
        return True

    def run(self, order: AnyMessage, guard: OrderGuard, send: SendFrame) -> AnyMessage:
        """Hold the order's attempt."""
        attempt = getattr(order, "attempt", "")
        if attempt:
            self.held.add(attempt)
        return Done()

    def release(self, attempt: str) -> None:
        """Let go of an attempt."""
        self.held.discard(attempt)

    def holds(self, attempt: str) -> bool:
        """Return whether the attempt is held."""
        return attempt in self.held

    def load(self) -> LoadReport:
        """Return the load of an idle engine."""
        return LoadReport("decode", True, False, 32, 0, 0, 8000.0)

    def in_flight(self) -> int:
        """Return how many attempts are held."""
        return len(self.held)

    def set_leaving(self, leaving: bool) -> None:
        """Hollow back ends never leave."""


class HollowAgent:
    """The listening end of an agent: a listener and a lease holder for each peer."""

    def __init__(self, name: str) -> None:
        """Listen on any free port."""
        self.backend = HollowBackend()
        self._workers = ThreadPoolExecutor(WORKERS)
        self._lease_actors: dict[str, object] = {}
        self._listener = PeerListener(ANY_PORT, name, 1, LOOPBACK_KEY, self._arrived, self._closed)
        self.address = self._listener.address
        self._listener.start()

    def _arrived(self, connection: PeerConnection, frame: Frame) -> None:
        holder = self._lease_actors.get(connection.name)
        if holder is None:
            holder = PeerLeaseActor.start(connection.name, self.backend, self, self._workers)
            self._lease_actors[connection.name] = holder
        holder.tell(InboundFrame(connection, frame))  # type: ignore[attr-defined]

    def _closed(self, connection: PeerConnection) -> None:
        self._lease_actors.pop(connection.name, None)

    # --- HolderContext ---

    def stamp(self) -> BundleStamp:
        """Return a fixed stamp."""
        return BundleStamp(1, "hollow")

    def incarnation(self) -> int:
        """Return a fixed incarnation."""
        return 1

    def envelope(self) -> bytes:
        """Hollow agents have no bundle to hand on."""
        return b""

    def sections(self, digests: tuple[str, ...]) -> tuple[bytes, ...]:
        """Hollow agents have no sections."""
        return ()

    def gateway_offered(self, envelope: bytes, connection: PeerConnection) -> None:
        """Ignore bundles."""

    def sections_arrived(self, contents: tuple[bytes, ...]) -> None:
        """Ignore sections."""

    def check_pause(self) -> None:
        """Hollow agents are not paused."""

    def demand_reported(self, peer: str, prefill: float, decode: float) -> None:
        """Ignore demand."""


class HollowGateway:
    """The dialling end of a gateway: the real peer tasks, and no callers."""

    def __init__(self, name: str, heartbeat_ms: int, idle_heartbeat_ms: int = 0) -> None:
        """Start without peers."""
        identity = PeerIdentity(name, 1, LOOPBACK_KEY)
        timing = PeerTiming(heartbeat_ms, LEASE_MS, idle_heartbeat_ms)
        self.peers = PeerDirectory(identity, timing, self)

    def connect(self, addresses: list[str]) -> list[AgentPeerHandle]:
        """Talk to the agents at ``addresses``."""
        wanted = [PeerAddress(f"agent-{n}", "zone-1", a) for n, a in enumerate(addresses)]
        self.peers.set_peers(wanted)
        return self.peers.all()

    # --- PeerContext ---

    def stamp(self) -> BundleStamp:
        """Return a fixed stamp."""
        return BundleStamp(1, "hollow")

    def demand(self) -> DemandSignal:
        """Return a fixed demand."""
        return DemandSignal(1.0, 1.0)

    def peer_stamp_seen(self, peer: AgentPeerHandle, stamp: BundleStamp) -> None:
        """Ignore versions."""

    def bundle_offered(self, peer: AgentPeerHandle, envelope: bytes) -> None:
        """Ignore bundles."""

    def sections(self, digests: tuple[str, ...]) -> tuple[bytes, ...]:
        """Hollow gateways have no sections."""
        return ()


def run_hollow_agents(count: int) -> None:
    """Run agents until standard input closes; print one address a line, then a blank one."""
    set_up_logs("error")
    agents = [HollowAgent(f"agent-{number}") for number in range(count)]
    for agent in agents:
        print(agent.address)
    print(flush=True)
    sys.stdin.read()
    exit_now(0)


def run_hollow_gateways(address: str, count: int, heartbeat_ms: int) -> None:
    """Run the links of gateways to one agent until standard input closes."""
    set_up_logs("error")
    gateways = [HollowGateway(f"gateway-{number}", heartbeat_ms) for number in range(count)]
    for gateway in gateways:
        gateway.connect([address])
    while not all(p.view.is_connected for g in gateways for p in g.peers.all()):
        threading.Event().wait(0.05)
    print("connected", flush=True)
    sys.stdin.read()
    exit_now(0)


def run_link_churn(peers: int, rounds: int) -> None:
    """Connect to many agents and leave them again in mid-traffic, round after round."""
    set_up_logs("error")
    agents = [HollowAgent(f"agent-{number}") for number in range(peers)]
    gateway = HollowGateway("gateway", CHURN_HEARTBEAT_MS)
    for number in range(rounds):
        handles = gateway.connect([agent.address for agent in agents])
        while not all(handle.view.is_connected for handle in handles):
            threading.Event().wait(0.02)
        threading.Event().wait(CHURN_TRAFFIC_S)
        gateway.connect([])
        print(f"round {number + 1} of {rounds}", flush=True)
    exit_now(0)
