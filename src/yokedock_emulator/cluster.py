"""A whole deployment in one process, on loopback: stand-ins, agents and gateways as threads."""

from __future__ import annotations

import base64
import dataclasses
import hashlib
import time

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from yokedock.base.clock import boot_time_s, wall_clock_ms
from yokedock.base.metrics import MetricsSettings
from yokedock.errors import YokedockError
from yokedock.process.agent import Agent
from yokedock.process.gateway import Gateway
from yokedock.process.settings import (
    AdminSettings,
    AgentSettings,
    BackendSettings,
    CallerSettings,
    GatewaySettings,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    ProcessSettings,
)
from yokedock.request.placement import PlacementPolicy
from yokedock.version.bundle import (
    Bundle,
    Engine,
    Limits,
    Model,
    Replica,
    RequestClass,
    Service,
    Tenant,
)
from yokedock.version.bundle_codec import sign_bundle, with_previous_pools
from yokedock_emulator.engine_state import EngineProfile
from yokedock_emulator.model_engine_http import ModelEngineServer
from yokedock_emulator.plain_service import PlainService
from yokedock_emulator.platform import Platform

ANY_PORT = "127.0.0.1:0"
START_LIMIT_S = 10.0
POLL_S = 0.01


class ClusterNotReady(YokedockError):
    """The emulated deployment did not become ready in time."""

    code = "cluster_not_ready"


@dataclasses.dataclass(frozen=True)
class EnginePlace:
    """One emulated engine of the plan."""

    name: str
    zone: str
    role: str
    profile: EngineProfile


@dataclasses.dataclass(frozen=True)
class ServicePlace:
    """One emulated replica of a plain service of the plan."""

    name: str
    zone: str
    service: str


@dataclasses.dataclass(frozen=True)
class ClusterPlan:
    """What to start, and what the bundle says."""

    engines: tuple[EnginePlace, ...]
    services: tuple[ServicePlace, ...]
    model_name: str
    model: Model
    classes: dict[str, RequestClass]
    tenants: dict[str, Tenant]
    service_kinds: dict[str, Service]
    gateways: int = 1
    limits: Limits = dataclasses.field(default_factory=Limits)
    heartbeat_ms: int = 200
    lease_ms: int = 2000
    max_in_flight: int = 500


def tenant_with_token(token: str, max_in_flight: int = 1000) -> Tenant:
    """Return a tenant whose bearer token is ``token``."""
    return Tenant(hashlib.sha256(token.encode()).hexdigest(), max_in_flight=max_in_flight)


class Cluster:
    """The running deployment."""

    def __init__(self, plan: ClusterPlan, policy: PlacementPolicy | None = None) -> None:
        """Start everything and wait until the gateways are ready.

        Raises ``ClusterNotReady``.
        """
        self.plan = plan
        self._policy = policy
        self._signing_key = Ed25519PrivateKey.generate()
        self._version = 0
        self.bundle: Bundle | None = None
        self.platform = Platform()
        self.engines = {place.name: ModelEngineServer(place.profile) for place in plan.engines}
        self.services = {place.name: PlainService() for place in plan.services}
        self.agents = {place.name: self._start_agent(place) for place in plan.engines}
        self.agents.update({place.name: self._start_agent(place) for place in plan.services})
        self.publish(self._bundle_of_plan())
        self.gateways = [self._start_gateway(number) for number in range(plan.gateways)]
        self._wait_ready()

    def publish(self, bundle: Bundle) -> None:
        """Sign ``bundle`` as the next version and publish it."""
        self._version += 1
        if self.bundle is not None:
            bundle = with_previous_pools(bundle, self.bundle, wall_clock_ms())
        self.bundle = bundle
        signed = sign_bundle(bundle, self._version, wall_clock_ms(), self._signing_key)
        self.platform.publish_bundle(signed)

    def stop(self) -> None:
        """Stop gateways and agents; the stand-ins end with the process."""
        for gateway in self.gateways:
            gateway.stop()
        for agent in self.agents.values():
            agent.stop()

    def _bundle_of_plan(self) -> Bundle:
        plan = self.plan
        engines = {
            place.name: Engine(
                f"{plan.model_name}-{place.zone}",
                place.zone,
                self.agents[place.name].address,
                place.role,
                plan.model_name,
            )
            for place in plan.engines
        }
        replicas = {
            place.name: Replica(place.service, place.zone, self.agents[place.name].address)
            for place in plan.services
        }
        models = {plan.model_name: plan.model} if engines else {}
        return Bundle(
            0,
            0,
            plan.limits,
            plan.classes,
            plan.tenants,
            models,
            engines,
            plan.service_kinds,
            replicas,
            {},
        )

    def _start_agent(self, place: EnginePlace | ServicePlace) -> Agent:
        if isinstance(place, EnginePlace):
            backend = BackendSettings(
                "engine",
                self.engines[place.name].url,
                slots=place.profile.slots,
                kept_ms=place.profile.kept_ms,
                link_bytes_per_s=place.profile.link_bytes_per_s,
            )
        else:
            backend = BackendSettings("service", self.services[place.name].url)
        agent = Agent(
            AgentSettings(
                ProcessSettings(place.name, place.zone),
                backend,
                AdminSettings(ANY_PORT),
                self._peer_settings(ANY_PORT),
                self._platform_settings(),
                MetricsSettings(),
                LogSettings(),
            )
        )
        agent.start()
        return agent

    def _start_gateway(self, number: int) -> Gateway:
        zones = sorted({place.zone for place in self.plan.engines} or {"zone-1"})
        settings = GatewaySettings(
            ProcessSettings(f"gateway-{number + 1}", zones[number % len(zones)]),
            CallerSettings(ANY_PORT, max_in_flight=self.plan.max_in_flight),
            AdminSettings(ANY_PORT),
            self._peer_settings(""),
            self._platform_settings(),
            MetricsSettings(),
            LogSettings(),
        )
        gateway = Gateway(settings, self._policy)
        gateway.start()
        return gateway

    def _peer_settings(self, listen: str) -> PeerSettings:
        return PeerSettings(
            listen, heartbeat_ms=self.plan.heartbeat_ms, lease_ms=self.plan.lease_ms
        )

    def _platform_settings(self) -> PlatformSettings:
        public_key = self._signing_key.public_key().public_bytes_raw()
        return PlatformSettings(
            self.platform.url,
            base64.b64encode(public_key).decode(),
            self.platform.url,
            machine_poll_ms=500,
        )

    def _wait_ready(self) -> None:
        give_up_s = boot_time_s() + START_LIMIT_S
        while boot_time_s() < give_up_s:
            if all(self._is_ready(gateway) for gateway in self.gateways):
                return
            time.sleep(POLL_S)
        raise ClusterNotReady("the emulated deployment did not become ready; look at its logs")

    def _is_ready(self, gateway: Gateway) -> bool:
        peers = gateway.peers.all()
        wanted = len(self.plan.engines) + len(self.plan.services)
        ready = [peer for peer in peers if peer.view.load is not None and peer.view.load.ready]
        return gateway.is_ready and len(ready) == wanted
