"""The gateway: accepts callers' requests and ends each with exactly one final response."""

from __future__ import annotations

import threading
import time

from yokedock.base.clock import boot_time_s, remaining_s, wall_clock_ms
from yokedock.base.histograms import Histograms
from yokedock.base.logs import logger
from yokedock.base.metrics import Metrics
from yokedock.base.resource_budget import MIB
from yokedock.connection.bundle_exchange import BundleExchange
from yokedock.connection.configuration_watch import ConfigurationClient, ConfigurationWatch
from yokedock.connection.http_server import HttpRequest, HttpResponse, HttpRouter, HttpServer
from yokedock.connection.machine_list import Machine, MachineWatch
from yokedock.connection.peer_types import DemandSignal, PeerIdentity
from yokedock.connection.peer_view import AgentPeerHandle
from yokedock.errors import NotReady
from yokedock.messages import BundleStamp
from yokedock.process.admin_http import AdminServer, PeerStatus, ProcessStatus
from yokedock.process.caller_http import CallerInterface
from yokedock.process.peer_directory import PeerAddress, PeerDirectory, peer_timing
from yokedock.process.settings import GatewaySettings, bundle_key, deployment_key
from yokedock.request.admission import Admission, RetryBudget
from yokedock.request.attempt import AttemptServices
from yokedock.request.model_request import DemandMeter, ModelRequests
from yokedock.request.placement import (
    CorrectedLoadPolicy,
    LeastLoadedPolicy,
    PlacementPolicy,
    RoundRobinPolicy,
)
from yokedock.request.service_request import ServiceRequests
from yokedock.request.watchdog import Watchdog
from yokedock.version.bundle import Bundle
from yokedock.version.bundle_store import BundleStore
from yokedock.version.subset import choose_subset

_log = logger("gateway")

SPARE_THREADS = 32
"""Server threads beyond ``max_in_flight``, so that a full gateway can still send rejections."""
MAX_BODY_BYTES = 1 << 23
OWN_BYTES = 64 * MIB
"""Memory of a gateway that serves nobody."""
CALLERS_SHARE = 0.6
ADMIN_SHARE = 0.05
"""Shares of the file descriptors that accepted connections may use; peers get the rest."""
VERSION_CHECK_TIMEOUT_S = 2.0
"""Longest time that a new gateway waits for its peers' bundle versions before it serves."""
READY_CHECK_INTERVAL_S = 0.02
DRAIN_POLL_INTERVAL_S = 0.05
DEMAND_INTERVAL_S = 1.0


class Gateway:
    """Connects the components of a gateway and starts and stops them."""

    def __init__(self, settings: GatewaySettings, policy: PlacementPolicy | None = None) -> None:
        """Bind the addresses; raises ``SettingsInvalid`` if one is already in use."""
        self.settings = settings
        self.name = settings.process.name
        self.incarnation_ms = wall_clock_ms()
        self.store = BundleStore(bundle_key(settings.platform))
        self.histograms = Histograms()
        self.metrics = Metrics(settings.metrics)
        self._exchange = BundleExchange(self.store)
        self._machines: dict[str, Machine] = {}
        self._stopping = threading.Event()
        self._is_version_checked = False
        self._admission = Admission(settings.caller.max_in_flight)
        self._watchdog = Watchdog()
        self._demand_meter = DemandMeter()
        self._demand_signal = DemandSignal()
        identity = PeerIdentity(self.name, self.incarnation_ms, deployment_key(settings.peers))
        timing = peer_timing(settings.peers)
        self.peers = PeerDirectory(identity, timing, self)
        retry_budget = RetryBudget()
        services = AttemptServices(
            self.store,
            self._peers_of_model,
            policy or make_policy(settings),
            self.histograms,
        )
        self.models = ModelRequests(services, retry_budget, self._demand_meter)
        service_requests = ServiceRequests(self.store, self.peers.find, retry_budget)
        callers = CallerInterface(
            self.store,
            self._admission,
            self.models,
            service_requests,
            self._watchdog,
            self.histograms,
            self.metrics,
        )
        machine = settings.machine
        budget = machine.budget(OWN_BYTES)
        router = HttpRouter()
        callers.add_routes(router)
        router.add("GET", "/health", lambda request: HttpResponse.of("alive"))
        router.add("GET", "/ready", self._ready)
        self._server = HttpServer(
            router,
            settings.caller.listen,
            settings.caller.max_in_flight + SPARE_THREADS,
            MAX_BODY_BYTES,
            budget.group(CALLERS_SHARE * machine.descriptors),
        )
        self.address = self._server.address
        self.url = self._server.url
        self._admin = AdminServer(
            settings.admin.listen,
            self.status,
            self.histograms,
            budget.group(ADMIN_SHARE * machine.descriptors),
        )
        self.admin_address = self._admin.address
        client = ConfigurationClient(settings.platform.configuration_url)
        self._watch = ConfigurationWatch(client, self.store, settings.platform.watch_ms)
        self._machine_watch: MachineWatch | None = None
        if settings.platform.machine_list_url:
            interval_s = settings.platform.machine_poll_ms / 1000
            url = settings.platform.machine_list_url
            self._machine_watch = MachineWatch(url, interval_s, self._handle_machine_list)

    # --- Start and stop ---

    def start(self) -> None:
        """Start all threads and begin to serve callers."""
        self.store.on_adopt(self._handle_bundle)
        self._watch.start()
        self._watchdog.start()
        if self._machine_watch is not None:
            self._machine_watch.start()
        threading.Thread(target=self._wait_for_peer_versions, name="compare", daemon=True).start()
        threading.Thread(target=self._measure_demand, name="demand", daemon=True).start()
        self._server.start()
        self._admin.start()
        _log.info("started", name=self.name, address=self.address, admin=self.admin_address)

    def drain(self) -> bool:
        """Reject new requests and wait for those in flight; return whether all completed."""
        self._stopping.set()
        self._admission.close()
        _log.info("draining", name=self.name, in_flight=self._admission.in_flight)
        deadline_s = boot_time_s() + self.settings.caller.drain_limit_s
        while self._admission.in_flight and remaining_s(deadline_s):
            time.sleep(DRAIN_POLL_INTERVAL_S)
        while not self._server.is_flushed() and remaining_s(deadline_s):
            time.sleep(DRAIN_POLL_INTERVAL_S)
        return self._admission.in_flight == 0

    def stop(self) -> None:
        """Stop immediately."""
        self._stopping.set()
        self._watch.stop()
        if self._machine_watch is not None:
            self._machine_watch.stop()
        self._watchdog.stop()
        self.peers.stop()
        self._exchange.stop()
        self._server.close()
        self._admin.close()

    @property
    def is_ready(self) -> bool:
        """Return whether the gateway accepts new requests."""
        return self._is_version_checked and not self._stopping.is_set()

    def status(self) -> ProcessStatus:
        """Return the status shown to operators."""
        return ProcessStatus(
            name=self.name,
            kind="gateway",
            zone=self.settings.process.zone,
            incarnation=self.incarnation_ms,
            version=self.store.stamp.version,
            digest=self.store.stamp.digest,
            ready=self.is_ready,
            stopping=self._stopping.is_set(),
            in_flight=self._admission.in_flight,
            peers=tuple(_peer_status(peer) for peer in self.peers.all()),
        )

    def _ready(self, request: HttpRequest) -> HttpResponse:
        if not self.is_ready:
            raise NotReady("the gateway is not ready; check /status on its admin address", 1.0)
        return HttpResponse.of("ready")

    def _wait_for_peer_versions(self) -> None:
        """Become ready once all peers have reported a bundle version no newer than the local one.

        After ``VERSION_CHECK_TIMEOUT_S`` the gateway becomes ready in any case.
        """
        while not self.store.wait(READY_CHECK_INTERVAL_S) and not self._stopping.is_set():
            pass
        limit_s = boot_time_s() + VERSION_CHECK_TIMEOUT_S
        while remaining_s(limit_s) and not self._stopping.is_set():
            peers = self.peers.all()
            heard = [p for p in peers if p.view.load is not None]
            newest = max((p.view.stamp.version for p in heard), default=0)
            if peers and len(heard) == len(peers) and newest <= self.store.stamp.version:
                break
            time.sleep(READY_CHECK_INTERVAL_S)
        self._is_version_checked = True
        _log.info("ready", name=self.name, version=self.store.stamp.version)

    def _measure_demand(self) -> None:
        """Periodically convert the predicted load of requests to a number of engines per role."""
        prefill_s, decode_s = 0.0, 0.0
        while not self._stopping.wait(DEMAND_INTERVAL_S):
            meter = self._demand_meter
            slots = max((p.view.load.slots for p in self.peers.all() if p.view.load), default=1)
            self._demand_signal = DemandSignal(
                (meter.prefill_s - prefill_s) / DEMAND_INTERVAL_S,
                (meter.decode_s - decode_s) / DEMAND_INTERVAL_S / max(1, slots),
            )
            prefill_s, decode_s = meter.prefill_s, meter.decode_s

    # --- Callbacks of peers ---

    def stamp(self) -> BundleStamp:
        """Return the stamp of the active bundle version."""
        return self.store.stamp

    def demand(self) -> DemandSignal:
        """Return the demand signal of the last interval."""
        return self._demand_signal

    def peer_stamp_seen(self, peer: AgentPeerHandle, stamp: BundleStamp) -> None:
        """Compare the bundle version of an agent with the local one."""
        self._exchange.peer_stamp_seen(peer, stamp)

    def bundle_offered(self, peer: AgentPeerHandle, envelope: bytes) -> None:
        """Process a bundle envelope offered by an agent."""
        self._exchange.peer_offered(peer, envelope)

    def sections(self, digests: tuple[str, ...]) -> tuple[bytes, ...]:
        """Return sections by digest."""
        return self.store.sections(digests)

    # --- Bundle and machine list ---

    def _handle_bundle(self, bundle: Bundle) -> None:
        self._update_peers(bundle)
        self.peers.heartbeat_now()

    def _handle_machine_list(self, machines: dict[str, Machine]) -> None:
        self._machines = machines
        if self.store.stamp.version:
            self._update_peers(self.store.current())

    def _update_peers(self, bundle: Bundle) -> None:
        """Connect to a subset of each model's engines and to all replicas of the services."""
        size = self.settings.peers.subset_size
        engines = choose_subset(self.name, self.settings.process.zone, bundle.engines, size)
        wanted = [
            PeerAddress(name, bundle.engines[name].zone, self._address_of(name, engine.agent))
            for name in engines
            for engine in (bundle.engines[name],)
        ]
        wanted += [
            PeerAddress(name, replica.zone, self._address_of(name, replica.agent))
            for name, replica in bundle.replicas.items()
        ]
        self.peers.set_peers(wanted)

    def _address_of(self, name: str, bundle_address: str) -> str:
        """Return an agent's address from the machine list, or from the bundle if it has none."""
        machine = self._machines.get(name)
        return machine.agent if machine is not None and machine.agent else bundle_address

    def _peers_of_model(self, model: str) -> list[AgentPeerHandle]:
        engines = self.store.current().engines
        return [
            peer
            for peer in self.peers.all()
            if (engine := engines.get(peer.name)) is not None and engine.model == model
        ]


def make_policy(settings: GatewaySettings) -> PlacementPolicy:
    """Return the placement policy selected in the settings."""
    placement = settings.placement
    if placement.policy == "least_loaded":
        return LeastLoadedPolicy()
    if placement.policy == "round_robin":
        return RoundRobinPolicy()
    return CorrectedLoadPolicy(
        settings.process.zone,
        reserves_decode=placement.reserve,
        uses_prefix=placement.prefix_affinity,
        corrects_load=placement.correct_load,
    )


def _peer_status(peer: AgentPeerHandle) -> PeerStatus:
    load = peer.view.load
    if load is None:
        return PeerStatus(peer.name, peer.view.is_connected, "", False, False, 0, 0, 0)
    return PeerStatus(
        peer.name,
        peer.view.is_connected,
        load.role,
        load.ready,
        load.leaving,
        load.slots,
        load.slots_taken,
        peer.view.stamp.version,
    )
