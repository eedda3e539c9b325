"""Settings of the daemons, read from INI files and fully validated at startup.

Each section of a file is one frozen dataclass.
"""

from __future__ import annotations

import base64
import binascii
import dataclasses
import ipaddress
from pathlib import Path
from typing import Any

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from yokedock.base.metrics import MetricsSettings
from yokedock.base.options import (
    Problems,
    address,
    between,
    one_of,
    option,
    read_ini,
    read_sections,
)
from yokedock.connection.secure_session import KEY_BYTES, LOOPBACK_KEY
from yokedock.errors import SettingsInvalid
from yokedock.process.machine_settings import MachineSettings

MIN_HEARTBEATS_PER_LEASE = 3
"""Minimum lease duration in heartbeat intervals, so that one lost heartbeat does not end it."""


@dataclasses.dataclass(frozen=True)
class ProcessSettings:
    """Name and location of the process."""

    name: str = option("name, unique in the deployment; an agent has the name of its backend")
    zone: str = option("zone of the process")
    region: str = option("region of the process", "default")


@dataclasses.dataclass(frozen=True)
class CallerSettings:
    """HTTP interface of a gateway for callers."""

    listen: str = option("address for callers, IP:port", check=address)
    max_in_flight: int = option("maximum number of requests in flight", 500, between(1, 2000))
    drain_limit_s: float = option(
        "maximum time to wait for requests in flight on shutdown, s", 120.0, between(0, 3600)
    )


@dataclasses.dataclass(frozen=True)
class AdminSettings:
    """Admin interface: health, readiness, status and histograms."""

    listen: str = option("listen address of the admin interface, IP:port", "127.0.0.1:0", address)


@dataclasses.dataclass(frozen=True)
class PeerSettings:
    """Connections between gateways and agents."""

    listen: str = option("agent only: listen address for peers, IP:port", "", None)
    advertise: str = option(
        "agent only: address that other agents connect to; empty: the listen address", ""
    )
    deployment_key: str = option(
        "32 random bytes in base64; may be empty only if all listen addresses are loopback", ""
    )
    heartbeat_ms: int = option("heartbeat interval, ms", 1000, between(20, 60_000))
    idle_heartbeat_ms: int = option(
        "heartbeat interval to peers without attempts of this process, ms; 0: as heartbeat_ms",
        0,
        between(0, 600_000),
    )
    lease_ms: int = option("lease duration, ms", 3000, between(60, 600_000))
    subset_size: int = option(
        "maximum number of engines per model that a gateway connects to", 40, between(2, 1000)
    )


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """Services of the platform: the configuration service and the machine list."""

    configuration_url: str = option("base URL of the configuration service")
    bundle_public_key: str = option("Ed25519 public key that verifies bundles, in base64")
    machine_list_url: str = option("base URL of the machine list; empty: none", "")
    machine_poll_ms: int = option(
        "polling interval of the machine list, ms", 1000, between(50, 60_000)
    )
    watch_ms: int = option(
        "maximum duration of one watch request (long poll), ms", 30_000, between(50, 300_000)
    )


@dataclasses.dataclass(frozen=True)
class PlacementSettings:
    """How a gateway selects engines. The switches exist to measure the effect of each mechanism."""

    policy: str = option(
        "corrected_load (for production), or the baselines least_loaded and round_robin",
        "corrected_load",
        one_of("corrected_load", "least_loaded", "round_robin"),
    )
    reserve: bool = option("reserve decode capacity before prefill", True)
    prefix_affinity: bool = option("prefer engines that have cached the prompt's prefix", True)
    correct_load: bool = option(
        "add the requests sent since an engine's last load report to its load", True
    )


@dataclasses.dataclass(frozen=True)
class LogSettings:
    """Log output."""

    level: str = option("minimum log level", "info", one_of("debug", "info", "warning", "error"))


@dataclasses.dataclass(frozen=True)
class BackendSettings:
    """The backend of an agent."""

    kind: str = option("kind of backend: engine or service", check=one_of("engine", "service"))
    url: str = option("base URL of the backend")
    slots: int = option("engine: maximum number of streams in a batch", 32, between(1, 4096))
    connect_timeout_ms: int = option("ms", 500, between(10, 60_000))
    order_timeout_ms: int = option("timeout of a short command, ms", 2000, between(50, 600_000))
    kept_ms: int = option(
        "engine: retention time of a prefill result, ms", 3000, between(100, 600_000)
    )
    link_bytes_per_s: float = option(
        "engine: bandwidth of its network link, bytes/s", 2e9, between(1, 1e15)
    )
    max_transfers: int = option(
        "engine: maximum number of concurrent outgoing transfers", 2, between(1, 1000)
    )


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """All settings of a gateway."""

    process: ProcessSettings
    caller: CallerSettings
    admin: AdminSettings
    peers: PeerSettings
    platform: PlatformSettings
    metrics: MetricsSettings
    log: LogSettings
    placement: PlacementSettings = dataclasses.field(default_factory=PlacementSettings)
    machine: MachineSettings = dataclasses.field(default_factory=MachineSettings)


@dataclasses.dataclass(frozen=True)
class AgentSettings:
    """All settings of an agent."""

    process: ProcessSettings
    backend: BackendSettings
    admin: AdminSettings
    peers: PeerSettings
    platform: PlatformSettings
    metrics: MetricsSettings
    log: LogSettings
    machine: MachineSettings = dataclasses.field(default_factory=MachineSettings)


_SECTIONS: dict[str, type] = {
    "process": ProcessSettings,
    "caller": CallerSettings,
    "backend": BackendSettings,
    "admin": AdminSettings,
    "peers": PeerSettings,
    "platform": PlatformSettings,
    "metrics": MetricsSettings,
    "placement": PlacementSettings,
    "log": LogSettings,
    "machine": MachineSettings,
}
_OPTIONAL = frozenset({"admin", "peers", "metrics", "placement", "log", "machine"})


def read_gateway_settings(path: Path) -> GatewaySettings:
    """Read a gateway's settings; raises ``SettingsInvalid`` with all errors."""
    settings = _read(path, GatewaySettings)
    assert isinstance(settings, GatewaySettings)
    return settings


def read_agent_settings(path: Path) -> AgentSettings:
    """Read an agent's settings; raises ``SettingsInvalid`` with all errors."""
    settings = _read(path, AgentSettings)
    assert isinstance(settings, AgentSettings)
    return settings


def read_daemon_settings(path: Path) -> GatewaySettings | AgentSettings:
    """Read the settings of a gateway, or of an agent if the file has a [backend] section."""
    parser = read_ini(path, Problems())
    return read_agent_settings(path) if "backend" in parser else read_gateway_settings(path)


def deployment_key(settings: PeerSettings) -> bytes:
    """Return the deployment key, or the fixed key for loopback if none is set."""
    return base64.b64decode(settings.deployment_key) if settings.deployment_key else LOOPBACK_KEY


def bundle_key(settings: PlatformSettings) -> Ed25519PublicKey:
    """Return the public key that verifies bundles."""
    return Ed25519PublicKey.from_public_bytes(base64.b64decode(settings.bundle_public_key))


def _read(
    path: Path, kind: type[GatewaySettings] | type[AgentSettings]
) -> GatewaySettings | AgentSettings:
    problems = Problems()
    kinds = {field.name: _SECTIONS[field.name] for field in dataclasses.fields(kind)}
    sections = read_sections(path, kinds, _OPTIONAL, "examples/", problems)
    _check_keys(sections, problems)
    if kind is AgentSettings and sections.get("peers") and not sections["peers"].listen:
        problems.add(
            "[peers] listen", "missing", "add the agent's listen address, such as 127.0.0.1:7101"
        )
    if problems.lines:
        raise SettingsInvalid(problems.text())
    return kind(**sections)


def _check_keys(sections: dict[str, Any], problems: Problems) -> None:
    peers, platform = sections.get("peers"), sections.get("platform")
    if peers is not None:
        if peers.lease_ms < MIN_HEARTBEATS_PER_LEASE * peers.heartbeat_ms:
            remedy = f"set it to at least {MIN_HEARTBEATS_PER_LEASE} x heartbeat_ms"
            problems.add("[peers] lease_ms", "too short for the heartbeat interval", remedy)
        if peers.deployment_key:
            _check_base64("[peers] deployment_key", peers.deployment_key, problems)
        elif not _listens_on_loopback_only(sections):
            remedy = "set it to the output of 'openssl rand -base64 32', the same for all processes"
            problems.add("[peers] deployment_key", "missing beyond loopback", remedy)
    if platform is not None:
        place = "[platform] bundle_public_key"
        _check_base64(place, platform.bundle_public_key, problems)


def _check_base64(place: str, value: str, problems: Problems) -> None:
    try:
        size = len(base64.b64decode(value, validate=True))
    except binascii.Error:
        size = 0
    if size != KEY_BYTES:
        problems.add(place, "not a key", f"write {KEY_BYTES} bytes in base64")


def _listens_on_loopback_only(sections: dict[str, Any]) -> bool:
    """Return whether all listen addresses of the process are loopback addresses."""
    listen_addresses = [
        section.listen
        for section in (sections.get("caller"), sections.get("peers"), sections.get("admin"))
        if section is not None and section.listen
    ]
    hosts = [listen.rpartition(":")[0].strip("[]") for listen in listen_addresses]
    try:
        return all(ipaddress.ip_address(host).is_loopback for host in hosts)
    except ValueError:
        return False
