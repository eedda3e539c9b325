"""Settings of the router: an INI file with a frozen dataclass per section, validated at start."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Any

from yokedock.base.options import (
    Problems,
    address,
    addresses,
    between,
    one_of,
    option,
    read_sections,
)
from yokedock.base.options import read_section as read_options
from yokedock.errors import SettingsInvalid
from yokedock.process.machine_settings import RouterMachineSettings
from yokedock.request.mechanisms import ALL_ON, Mechanisms


@dataclasses.dataclass(frozen=True)
class RouterProcessSettings:
    """Identity and location of the process."""

    name: str = option("name, unique in the deployment")
    zone: str = option("zone it runs in", "")


@dataclasses.dataclass(frozen=True)
class RouterCallerSettings:
    """Addresses for callers and for the load balancer."""

    listen: str = option("address for callers, IP:port", check=address)
    ready_listen: str = option("address of the readiness check, IP:port", check=address)


@dataclasses.dataclass(frozen=True)
class FleetSettings:
    """How routers reach each other."""

    address: str = option(
        "this router's own IP address and its port for other routers", check=address
    )
    seeds: tuple[str, ...] = option("IP:port of some routers; the port is not used", (), addresses)
    lease_s: float = option(
        "minimum time between the terms of two leaders, s", 3.0, between(0.1, 600)
    )
    is_first_start: bool = option("whether the whole system starts for the first time", False)
    origin_store_port: int = option(
        "port of the origin stores beside the engines; 0: none run", 0, between(0, 65_535)
    )


@dataclasses.dataclass(frozen=True)
class StateSettings:
    """Source of routes and backends."""

    source: str = option("address of the state source, IP:port, or a routes file")


@dataclasses.dataclass(frozen=True)
class RetrySettings:
    """The fleet's retry budget: extra arrivals <= ratio * requests + allowance in any window."""

    ratio: float = option("extra arrivals per request", 0.2, between(0, 10))
    window_s: float = option("length of the window, s", 10.0, between(0.1, 3600))
    allowance: float = option(
        "additional extra arrivals in any window", 50.0, between(0, 1_000_000)
    )


@dataclasses.dataclass(frozen=True)
class StopSettings:
    """Graceful shutdown."""

    grace_s: float = option("time from SIGTERM to SIGKILL, s", 8.0, between(0.5, 3600))


@dataclasses.dataclass(frozen=True)
class RouterLogSettings:
    """Logging, as JSON lines to standard output."""

    level: str = option("minimum level", "info", one_of("debug", "info", "warning", "error"))
    lines_per_s: float = option(
        "maximum lines per second; further ones are only counted", 200.0, between(1, 1e6)
    )


@dataclasses.dataclass(frozen=True)
class RouterSettings:
    """All settings of a router."""

    process: RouterProcessSettings
    callers: RouterCallerSettings
    fleet: FleetSettings
    state: StateSettings
    retries: RetrySettings
    stop: StopSettings
    log: RouterLogSettings
    mechanisms: Mechanisms = ALL_ON
    machine: RouterMachineSettings = dataclasses.field(default_factory=RouterMachineSettings)


RELOADED_OPTIONS = ("fleet.seeds", "stop.grace_s")
"""Options that take effect while the router runs. All others take effect at its next start: what
is bound, connected or shared with other routers depends on them."""
START_OPTIONS = (
    "fleet.is_first_start",
    "machine.link_mbps",
    "machine.memory_mb",
    "machine.max_descriptors",
)
"""Options that describe a start or its machine; a change of them concerns no running router."""

_OPTIONAL = {"retries", "stop", "log", "machine", "mechanisms"}
_KINDS: dict[str, Any] = {
    "process": RouterProcessSettings,
    "callers": RouterCallerSettings,
    "fleet": FleetSettings,
    "state": StateSettings,
    "retries": RetrySettings,
    "stop": StopSettings,
    "log": RouterLogSettings,
    "machine": RouterMachineSettings,
    "mechanisms": Mechanisms,
}


def read_router_settings(path: Path) -> RouterSettings:
    """Read and validate a settings file; raises ``SettingsInvalid`` with all errors."""
    problems = Problems()
    sections = read_sections(path, _KINDS, _OPTIONAL, "examples/router.ini", problems)
    if problems.lines:
        raise SettingsInvalid(problems.text())
    return RouterSettings(**sections)


def with_machine_options(settings: RouterSettings, options: dict[str, str]) -> RouterSettings:
    """Return settings with those options of [machine] that the environment names.

    An empty text names none. Raises ``SettingsInvalid`` if one is not valid.
    """
    named = {name: text for name, text in options.items() if text}
    problems = Problems()
    machine = read_options(RouterMachineSettings, "machine", named, problems)
    if machine is None:
        raise SettingsInvalid(problems.text())
    values = {name: getattr(machine, name) for name in named}
    return dataclasses.replace(settings, machine=dataclasses.replace(settings.machine, **values))


def changed_options(before: RouterSettings, after: RouterSettings) -> list[str]:
    """Return the options (``section.option``) that differ, without those that describe a start."""
    return [
        name
        for name in _option_names(before)
        if name not in START_OPTIONS and _value(before, name) != _value(after, name)
    ]


def with_reloaded_options(running: RouterSettings, written: RouterSettings) -> RouterSettings:
    """Return ``running`` with those options of ``written`` that take effect in a running router."""
    sections: dict[str, Any] = {}
    for name in RELOADED_OPTIONS:
        section, _, field = name.partition(".")
        before = sections.get(section, getattr(running, section))
        sections[section] = dataclasses.replace(before, **{field: _value(written, name)})
    return dataclasses.replace(running, **sections)


def _option_names(settings: RouterSettings) -> list[str]:
    return [
        f"{section.name}.{field.name}"
        for section in dataclasses.fields(settings)
        for field in dataclasses.fields(getattr(settings, section.name))
    ]


def _value(settings: RouterSettings, name: str) -> Any:
    section, _, field = name.partition(".")
    return getattr(getattr(settings, section), field)
