"""Settings of the daemons: INI files, one frozen class a concern, checked whole at start."""

from __future__ import annotations

import base64
import binascii
import dataclasses
import ipaddress
from pathlib import Path
from typing import Any

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from yokedock.base.metrics import MetricsSettings
from yokedock.base.options import Problems, address, between, one_of, option, read_ini
from yokedock.base.options import read_section as read_options
from yokedock.connection.secure_session import KEY_BYTES, LOOPBACK_KEY
from yokedock.errors import SettingsInvalid

LEASE_IN_HEARTBEATS = 3
"""A lease lasts at least this many heartbeats, so that one lost heartbeat does not end it."""


@dataclasses.dataclass(frozen=True)
class ProcessSettings:
    """Who the process is and where it stands."""

    name: str = option("name, unique in the deployment; an agent's is its back end's name")
    zone: str = option("zone it stands in")
    region: str = option("region it stands in", "default")


@dataclasses.dataclass(frozen=True)
class CallerSettings:
    """The gateway's interface to callers."""

    listen: str = option("address for callers, IP:port", check=address)
    max_in_flight: int = option("most requests in flight", 500, between(1, 2000))
    drain_limit_s: float = option("longest wait of a planned stop, s", 120.0, between(0, 3600))


@dataclasses.dataclass(frozen=True)
class AdminSettings:
    """Health, readiness, status and histograms."""

    listen: str = option("address for operators, IP:port", "127.0.0.1:0", address)


@dataclasses.dataclass(frozen=True)
class PeerSettings:
    """Links between the system's processes."""

    listen: str = option("agent only: address for peers, IP:port", "", None)
    advertise: str = option("agent only: address other agents dial; empty: the listen one", "")
    deployment_key: str = option("base64 of 32 random bytes; may be empty on loopback only", "")
    heartbeat_ms: int = option("interval of heartbeats, ms", 1000, between(20, 60_000))
    idle_heartbeat_ms: int = option(
        "interval of heartbeats to peers at which nothing is held, ms; 0: as heartbeat_ms",
        0,
        between(0, 600_000),
    )
    lease_ms: int = option("how long a lease lasts, ms", 3000, between(60, 600_000))
    subset_size: int = option("most engines of a model a gateway talks to", 40, between(2, 1000))


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """What the platform gives: configuration service and machine list."""

    configuration_url: str = option("base URL of the configuration service")
    bundle_public_key: str = option("base64 of the Ed25519 public key that signs bundles")
    machine_list_url: str = option("base URL of the machine list; empty: none", "")
    machine_poll_ms: int = option("interval of machine-list reads, ms", 1000, between(50, 60_000))
    watch_ms: int = option("how long one watch waits, ms", 30_000, between(50, 300_000))


@dataclasses.dataclass(frozen=True)
class PlacementSettings:
    """How a gateway chooses engines. The switches exist to measure what each mechanism brings."""

    policy: str = option(
        "corrected_load (the product's), least_loaded or round_robin (baselines)",
        "corrected_load",
        one_of("corrected_load", "least_loaded", "round_robin"),
    )
    reserve: bool = option("reserve decode room before prefill", True)
    prefix_affinity: bool = option("prefer engines that cache the prompt's prefix", True)
    correct_load: bool = option("add what was sent since an engine's last report", True)


@dataclasses.dataclass(frozen=True)
class LogSettings:
    """What is logged."""

    level: str = option("lowest level", "info", one_of("debug", "info", "warning", "error"))


@dataclasses.dataclass(frozen=True)
class BackendSettings:
    """The back end beside an agent."""

    kind: str = option("engine or service", check=one_of("engine", "service"))
    url: str = option("base URL of the back end")
    slots: int = option("engine: streams in one batch", 32, between(1, 4096))
    connect_timeout_ms: int = option("ms", 500, between(10, 60_000))
    order_timeout_ms: int = option("longest short order, ms", 2000, between(50, 600_000))
    kept_ms: int = option("engine: how long a prefill is kept, ms", 3000, between(100, 600_000))
    link_bytes_per_s: float = option("engine: rate of its link", 2e9, between(1, 1e15))
    max_transfers: int = option("engine: transfers sent at one time", 2, between(1, 1000))


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
}
_OPTIONAL = frozenset({"admin", "peers", "metrics", "placement", "log"})


def read_gateway_settings(path: Path) -> GatewaySettings:
    """Read a gateway's settings; raises ``SettingsInvalid`` with every error."""
    settings = _read(path, GatewaySettings)
    assert isinstance(settings, GatewaySettings)
    return settings


def read_agent_settings(path: Path) -> AgentSettings:
    """Read an agent's settings; raises ``SettingsInvalid`` with every error."""
    settings = _read(path, AgentSettings)
    assert isinstance(settings, AgentSettings)
    return settings


def read_any_settings(path: Path) -> GatewaySettings | AgentSettings:
    """Read settings of either daemon: an agent's have a [backend] section."""
    parser = read_ini(path, Problems())
    return read_agent_settings(path) if "backend" in parser else read_gateway_settings(path)


def deployment_key(settings: PeerSettings) -> bytes:
    """Return the deployment's key, or the loopback stand-in where none is set."""
    return base64.b64decode(settings.deployment_key) if settings.deployment_key else LOOPBACK_KEY


def bundle_key(settings: PlatformSettings) -> Ed25519PublicKey:
    """Return the public key that signs bundles."""
    return Ed25519PublicKey.from_public_bytes(base64.b64decode(settings.bundle_public_key))


def _read(
    path: Path, kind: type[GatewaySettings] | type[AgentSettings]
) -> GatewaySettings | AgentSettings:
    problems = Problems()
    parser = read_ini(path, problems)
    wanted = [field.name for field in dataclasses.fields(kind)]
    if not problems.lines:
        for title in parser.sections():
            if title not in wanted:
                remedy = f"use {', '.join(f'[{name}]' for name in wanted)}"
                problems.add(f"[{title}]", "unknown section", remedy)
    sections: dict[str, Any] = {}
    for name in wanted:
        if name not in parser and name not in _OPTIONAL:
            problems.add(f"[{name}]", "missing section", "add it; see examples/")
            continue
        values = parser[name] if parser.has_section(name) else {}
        sections[name] = read_options(_SECTIONS[name], name, values, problems)
    _check_keys(sections, problems)
    if kind is AgentSettings and sections.get("peers") and not sections["peers"].listen:
        problems.add("[peers] listen", "missing", "add the agent's address, such as 127.0.0.1:7101")
    if problems.lines:
        raise SettingsInvalid(problems.text())
    return kind(**sections)


def _check_keys(sections: dict[str, Any], problems: Problems) -> None:
    peers, platform = sections.get("peers"), sections.get("platform")
    if peers is not None:
        if peers.lease_ms < LEASE_IN_HEARTBEATS * peers.heartbeat_ms:
            remedy = f"write at least {LEASE_IN_HEARTBEATS} x heartbeat_ms"
            problems.add("[peers] lease_ms", "too short for the heartbeat", remedy)
        if peers.deployment_key:
            _check_base64("[peers] deployment_key", peers.deployment_key, problems)
        elif not _only_loopback(sections):
            remedy = "write 'openssl rand -base64 32' of output there, the same everywhere"
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
        problems.add(place, "not a key", f"write the base64 form of {KEY_BYTES} bytes")


def _only_loopback(sections: dict[str, Any]) -> bool:
    """Return whether every address the process listens on is a loopback one."""
    listens = [
        section.listen
        for section in (sections.get("caller"), sections.get("peers"), sections.get("admin"))
        if section is not None and section.listen
    ]
    hosts = [listen.rpartition(":")[0].strip("[]") for listen in listens]
    try:
        return all(ipaddress.ip_address(host).is_loopback for host in hosts)
    except ValueError:
        return False
