"""The agent: the only process that sends commands to the backend next to it."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import pykka

from yokedock.base.clock import boot_time_s, remaining_s, wall_clock_ms
from yokedock.base.histograms import Histograms
from yokedock.base.logs import logger
from yokedock.base.metrics import Metrics
from yokedock.base.resource_budget import MIB, ResourceBudget
from yokedock.connection.bundle_exchange import BundleExchange
from yokedock.connection.configuration_watch import ConfigurationClient, ConfigurationWatch
from yokedock.connection.engine_client import HttpEngineClient
from yokedock.connection.machine_list import STATE_LEAVING, Machine, MachineWatch
from yokedock.connection.peer_listener import PeerConnection, PeerListener
from yokedock.connection.peer_socket import RECEIVE_LIMIT_BYTES
from yokedock.connection.peer_types import DemandSignal, PeerIdentity
from yokedock.connection.peer_view import AgentPeerHandle
from yokedock.connection.service_client import ServiceClient
from yokedock.connection.unproved_peers import MAX_UNPROVED
from yokedock.errors import PeerTimeout, YokedockError
from yokedock.messages import (
    AnyMessage,
    BundleStamp,
    Decode,
    Frame,
    GrantTransfer,
    TransferDone,
)
from yokedock.process.admin_http import AdminServer, ProcessStatus
from yokedock.process.engine_watch import Reconciler, StepReader
from yokedock.process.pause import PauseDetector
from yokedock.process.peer_directory import PeerAddress, PeerDirectory, peer_timing
from yokedock.process.peer_lease_actor import (
    ConnectionClosed,
    ExpireNow,
    InboundFrame,
    LeaseCheck,
    PeerLeaseActor,
    ReportNow,
)
from yokedock.process.role_manager import RoleManager
from yokedock.process.settings import AgentSettings, bundle_key, deployment_key
from yokedock.request.backend import Backend
from yokedock.request.engine_attempt import EngineSetup
from yokedock.request.engine_backend import EngineBackend
from yokedock.request.home_check import BundleHomeCheck
from yokedock.request.idempotency import IdempotencyStore
from yokedock.request.service_backend import ServiceBackend
from yokedock.version.bundle import Bundle, Model
from yokedock.version.bundle_store import BundleStore

_log = logger("agent")

OWN_BYTES = 64 * MIB
"""Memory of an agent that serves nobody."""
UNPROVED_SHARE = 0.75
"""Share of what may be held that packets of peers take before the peers have proved themselves."""
ADMIN_SHARE = 0.05
"""Share of the file descriptors that connections of operators may use."""
LEASE_CHECK_INTERVAL_S = 0.1
SPARE_WORKERS = 32
TRANSFER_GRANT_TIMEOUT_S = 2.0
DRAIN_LIMIT_S = 120.0
DRAIN_POLL_INTERVAL_S = 0.05


class Agent:
    """Connects the components of an agent and starts and stops them."""

    def __init__(self, settings: AgentSettings) -> None:
        """Bind the addresses; raises ``SettingsInvalid`` if one is already in use."""
        settings.machine.limit_descriptors()
        self.settings = settings
        self.name = settings.process.name
        self.incarnation_ms = wall_clock_ms()
        self._key = deployment_key(settings.peers)
        self.store = BundleStore(bundle_key(settings.platform))
        self._exchange = BundleExchange(self.store)
        self._metrics = Metrics(settings.metrics)
        self._lease_actors: dict[str, pykka.ActorRef[PeerLeaseActor]] = {}
        self._lease_actors_lock = threading.Lock()
        self._demand: dict[str, tuple[float, DemandSignal]] = {}
        self._stopping = threading.Event()
        self._is_listed_leaving = False
        self._workers = ThreadPoolExecutor(
            2 * settings.backend.slots + SPARE_WORKERS, "order worker"
        )
        self._pause = PauseDetector(settings.peers.lease_ms / 1000, self._handle_pause)
        budget = settings.machine.budget(OWN_BYTES)
        self._listener = PeerListener(
            settings.peers.listen,
            self.name,
            self.incarnation_ms,
            self._key,
            self._handle_frame,
            self._connection_closed,
            _packet_limit_bytes(budget),
        )
        self.address = self._listener.address
        client = ConfigurationClient(settings.platform.configuration_url)
        self._watch = ConfigurationWatch(client, self.store, settings.platform.watch_ms)
        self._peers = PeerDirectory(
            PeerIdentity(f"agent {self.name}", self.incarnation_ms, self._key),
            peer_timing(settings.peers),
            self,
        )
        self._threads: list[threading.Thread] = []
        self._role_manager: RoleManager | None = None
        self._engine_backend: EngineBackend | None = None
        self.backend: Backend = self._make_backend()
        self._admin = AdminServer(
            settings.admin.listen,
            self.status,
            Histograms(),
            budget.group(ADMIN_SHARE * settings.machine.descriptors),
        )
        self.admin_address = self._admin.address
        self.store.on_adopt(self._handle_bundle)

    def _make_backend(self) -> Backend:
        backend = self.settings.backend
        if backend.kind == "service":
            client = ServiceClient(backend.url, backend.connect_timeout_ms / 1000)
            check = BundleHomeCheck(self.name, lambda: self._watch.confirmed_s, self._call_agent)
            record = IdempotencyStore(self.incarnation_ms)
            return ServiceBackend(self.name, client, record, self.store.current, check)
        engine = HttpEngineClient(
            backend.url,
            self.incarnation_ms,
            backend.connect_timeout_ms / 1000,
            backend.order_timeout_ms / 1000,
        )
        setup = EngineSetup(
            self.name,
            backend.url,
            self.settings.peers.advertise or self.address,
            backend.slots,
            backend.kept_ms / 1000,
            backend.link_bytes_per_s,
            backend.max_transfers,
        )
        model = Model()
        engine_backend = EngineBackend(
            setup, engine, model.prefill_tokens_per_s, model.step_ms, self._acquire_transfer
        )
        self._engine_backend = engine_backend
        self._role_manager = RoleManager(
            self.name, engine, engine_backend, self._total_demand, self._announce
        )
        self._threads += [
            StepReader(engine, engine_backend),
            Reconciler(engine, engine_backend),
            self._role_manager,
        ]
        return engine_backend

    # --- Start and stop ---

    def start(self) -> None:
        """Start all threads and begin to serve peers."""
        if self.settings.platform.machine_list_url:
            interval_s = self.settings.platform.machine_poll_ms / 1000
            url = self.settings.platform.machine_list_url
            self._threads.append(MachineWatch(url, interval_s, self._handle_machine_list))
        self._pause.start()
        self._watch.start()
        for thread in self._threads:
            thread.start()
        threading.Thread(target=self._check_leases, name="lease check", daemon=True).start()
        self._listener.start()
        self._admin.start()
        _log.info("started", name=self.name, address=self.address, admin=self.admin_address)

    def drain(self, limit_s: float = DRAIN_LIMIT_S) -> bool:
        """Reject new work and wait for work in flight; return whether all of it completed."""
        self._stopping.set()
        self.backend.set_leaving(True)
        self._announce()
        _log.info("draining", name=self.name, in_flight=self.backend.in_flight())
        deadline_s = boot_time_s() + limit_s
        while self.backend.in_flight() and remaining_s(deadline_s):
            time.sleep(DRAIN_POLL_INTERVAL_S)
        return self.backend.in_flight() == 0

    def stop(self) -> None:
        """Stop immediately, which ends all leases at this agent."""
        self._stopping.set()
        for thread in [self._watch, *self._threads]:
            stop: Callable[[], None] = getattr(thread, "stop")  # noqa: B009
            stop()
        self._pause.stop()
        self._listener.close()
        with self._lease_actors_lock:
            holders = list(self._lease_actors.values())
        for holder in holders:
            holder.stop(block=False)
        self._peers.stop()
        self._exchange.stop()
        self._workers.shutdown(wait=False, cancel_futures=True)
        self._admin.close()

    def status(self) -> ProcessStatus:
        """Return the status shown to operators."""
        stamp = self.store.stamp
        load = self.backend.load() if stamp.version else None
        return ProcessStatus(
            name=self.name,
            kind="agent",
            zone=self.settings.process.zone,
            incarnation=self.incarnation_ms,
            version=stamp.version,
            digest=stamp.digest,
            ready=load is not None and load.ready and not self._stopping.is_set(),
            stopping=self._stopping.is_set(),
            in_flight=self.backend.in_flight(),
            role=load.role if load else "",
        )

    # --- Frames from peers ---

    def _handle_frame(self, connection: PeerConnection, frame: Frame) -> None:
        self.check_pause()
        with self._lease_actors_lock:
            holder = self._lease_actors.get(connection.name)
            if holder is None or not holder.is_alive():
                holder = PeerLeaseActor.start(connection.name, self.backend, self, self._workers)
                self._lease_actors[connection.name] = holder
        holder.tell(InboundFrame(connection, frame))

    def _connection_closed(self, connection: PeerConnection) -> None:
        """Notify the peer's lease actor; called on a thread of the socket library."""
        with self._lease_actors_lock:
            holder = self._lease_actors.get(connection.name)
        if holder is not None and holder.is_alive():
            holder.tell(ConnectionClosed(connection))

    def _check_leases(self) -> None:
        """Periodically make every lease actor check its lease."""
        while not self._stopping.wait(LEASE_CHECK_INTERVAL_S) or self.backend.in_flight():
            self._tell_lease_actors(LeaseCheck())

    def _handle_pause(self, paused_s: float) -> None:
        """Discard all leases and connections, since the process was paused longer than a lease."""
        _log.warning("paused", seconds=round(paused_s, 3))
        self._listener.disconnect_all()
        self._tell_lease_actors(ExpireNow())

    def _announce(self) -> None:
        """Immediately report the changed state of the backend to every peer."""
        self._tell_lease_actors(ReportNow())

    def _tell_lease_actors(self, message: ExpireNow | ReportNow | LeaseCheck) -> None:
        with self._lease_actors_lock:
            holders = list(self._lease_actors.values())
        for holder in holders:
            if holder.is_alive():
                holder.tell(message)

    # --- Callbacks of lease actors and peers ---

    def stamp(self) -> BundleStamp:
        """Return the stamp of the active bundle version."""
        return self.store.stamp

    def incarnation(self) -> int:
        """Return this agent's incarnation: its start time in ms since the Unix epoch."""
        return self.incarnation_ms

    def envelope(self) -> bytes:
        """Return the signed envelope of the active bundle."""
        return self.store.signed.envelope

    def sections(self, digests: tuple[str, ...]) -> tuple[bytes, ...]:
        """Return sections by digest."""
        return self.store.sections(digests)

    def gateway_offered(self, envelope: bytes, connection: PeerConnection) -> None:
        """Process a bundle envelope offered by a gateway."""
        self._exchange.gateway_offered(envelope, connection)

    def bundle_offered(self, peer: AgentPeerHandle, envelope: bytes) -> None:
        """Process a bundle envelope offered by another agent."""
        self._exchange.peer_offered(peer, envelope)

    def sections_arrived(self, contents: tuple[bytes, ...]) -> None:
        """Process bundle sections that were requested from a peer."""
        self._exchange.sections_arrived(contents)

    def check_pause(self) -> None:
        """Detect and handle a pause of the process before acting on its state."""
        self._pause.check()

    def demand_reported(self, peer: str, prefill: float, decode: float) -> None:
        """Record a gateway's demand signal, from which the engine's role is chosen."""
        self._demand[peer] = (boot_time_s(), DemandSignal(prefill, decode))

    def demand(self) -> DemandSignal:
        """Return an empty signal, since agents place no load on each other."""
        return DemandSignal()

    def peer_stamp_seen(self, peer: AgentPeerHandle, stamp: BundleStamp) -> None:
        """Compare the bundle version of another agent with the local one."""
        self._exchange.peer_stamp_seen(peer, stamp)

    def _total_demand(self) -> DemandSignal:
        """Return the total demand of all gateways that reported within the silence timeout."""
        horizon = boot_time_s() - peer_timing(self.settings.peers).receive_timeout_ms / 1000
        recent = [signal for at_s, signal in list(self._demand.values()) if at_s >= horizon]
        return DemandSignal(
            sum(signal.prefill for signal in recent), sum(signal.decode for signal in recent)
        )

    # --- Other agents ---

    def _call_agent(
        self, name: str, address: str, message: AnyMessage, timeout_s: float
    ) -> AnyMessage:
        peer = self._wait_for_peer(name, address, timeout_s)
        try:
            reply: AnyMessage = peer.call(message).result(timeout_s)
        except TimeoutError:
            raise PeerTimeout(f"agent {name} did not reply in time; check its logs") from None
        return reply

    def _wait_for_peer(self, name: str, address: str, timeout_s: float) -> AgentPeerHandle:
        """Return the peer; waits up to ``timeout_s`` for its first load report."""
        peer = self._peers.get(PeerAddress(name, "", address))
        deadline_s = boot_time_s() + timeout_s
        while peer.view.load is None and remaining_s(deadline_s):
            time.sleep(0.005)
        return peer

    def _acquire_transfer(self, order: Decode, patience_s: float) -> Callable[[bool], None]:
        """Acquire transfer credit from the source's agent; return the function that releases it.

        If that agent cannot grant the credit, the transfer proceeds without it.
        """
        patience_s = min(patience_s, TRANSFER_GRANT_TIMEOUT_S)
        name = order.source_agent
        try:
            self._call_agent(
                name,
                name,
                GrantTransfer(order.attempt, order.handle, order.kv_bytes, int(patience_s * 1000)),
                patience_s,
            )
        except YokedockError as error:
            _log.info("transfer without credit", attempt=order.attempt, reason=error.code)
            return lambda imported: None
        peer = self._peers.get(PeerAddress(name, "", name))
        done = TransferDone(order.attempt, order.handle, True)
        return lambda imported: peer.notify(done)

    # --- Bundle and machine list ---

    def _handle_bundle(self, bundle: Bundle) -> None:
        engine = bundle.engines.get(self.name)
        if engine is None or self._engine_backend is None or self._role_manager is None:
            return
        model = bundle.models[engine.model]
        self._engine_backend.prefills.tokens_per_s = model.prefill_tokens_per_s
        self._engine_backend.kv_bytes_per_token = model.kv_bytes_per_token
        self._role_manager.set_bundle(bundle)

    def _handle_machine_list(self, machines: dict[str, Machine]) -> None:
        own = machines.get(self.name)
        leaving = own is not None and own.state == STATE_LEAVING
        was_leaving, self._is_listed_leaving = self._is_listed_leaving, leaving
        self.backend.set_leaving(leaving or self._stopping.is_set())
        if leaving != was_leaving:
            self._announce()


def _packet_limit_bytes(budget: ResourceBudget) -> int:
    """Return how large a packet from a peer may be, in bytes."""
    unproved_bytes = UNPROVED_SHARE * budget.limit_bytes
    return round(min(RECEIVE_LIMIT_BYTES, unproved_bytes / MAX_UNPROVED))
