"""Settings of the router: one INI file, one frozen class a concern, checked whole at start."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Any

from yokedock.base.options import Problems, address, between, one_of, option, read_ini
from yokedock.base.options import read_section as read_options
from yokedock.errors import SettingsInvalid
from yokedock.request.mechanisms import ALL_ON, Mechanisms


@dataclasses.dataclass(frozen=True)
class RouterProcessSettings:
    """Who the process is and where it stands."""

    name: str = option("name, unique in the deployment")
    zone: str = option("zone it stands in", "")


@dataclasses.dataclass(frozen=True)
class RouterCallerSettings:
    """Where callers and the balancer reach the router."""

    listen: str = option("address for callers, IP:port", check=address)
    ready_listen: str = option("address that tells readiness, IP:port", check=address)


@dataclasses.dataclass(frozen=True)
class FleetSettings:
    """How routers reach each other."""

    address: str = option("this router's own IP number and its port for others", check=address)
    seeds: tuple[str, ...] = option("IP:port of some routers; the port is not used", ())
    lease_s: float = option("no two routers lead within this time, s", 3.0, between(0.1, 600))
    is_first_start: bool = option("the whole system starts for the first time", False)


@dataclasses.dataclass(frozen=True)
class StateSettings:
    """Where routes and backends are read."""

    source: str = option("address of the state's source, IP:port, or a routes file")


@dataclasses.dataclass(frozen=True)
class RetrySettings:
    """The fleet's retry budget: extra arrivals <= ratio * requests + allowance in any window."""

    ratio: float = option("extra arrivals for each request", 0.2, between(0, 10))
    window_s: float = option("length of the window, s", 10.0, between(0.1, 3600))
    allowance: float = option("extra arrivals in any window", 50.0, between(0, 1_000_000))


@dataclasses.dataclass(frozen=True)
class StopSettings:
    """How a planned stop goes."""

    grace_s: float = option("time from SIGTERM to SIGKILL, s", 8.0, between(0.5, 3600))


@dataclasses.dataclass(frozen=True)
class RouterLogSettings:
    """Logs, as JSON lines on standard output."""

    level: str = option("lowest level", "info", one_of("debug", "info", "warning", "error"))
    lines_per_s: float = option(
        "most lines in a second; others are counted", 200.0, between(1, 1e6)
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


_OPTIONAL = {"retries", "stop", "log", "mechanisms"}
_KINDS: dict[str, Any] = {
    "process": RouterProcessSettings,
    "callers": RouterCallerSettings,
    "fleet": FleetSettings,
    "state": StateSettings,
    "retries": RetrySettings,
    "stop": StopSettings,
    "log": RouterLogSettings,
    "mechanisms": Mechanisms,
}


def read_router_settings(path: Path) -> RouterSettings:
    """Read and check a settings file; raises ``SettingsInvalid`` that lists every error."""
    problems = Problems()
    parser = read_ini(path, problems)
    sections: dict[str, Any] = {}
    if not problems.lines:
        for title in parser.sections():
            if title not in _KINDS:
                remedy = f"use one of: {', '.join(_KINDS)}"
                problems.add(f"[{title}]", "unknown section", remedy)
        for name, kind in _KINDS.items():
            if name not in parser and name not in _OPTIONAL:
                problems.add(f"[{name}]", "missing section", "add it; see examples/router.ini")
                continue
            values = parser[name] if parser.has_section(name) else {}
            sections[name] = read_options(kind, name, values, problems)
    if problems.lines:
        raise SettingsInvalid(problems.text())
    return RouterSettings(**sections)
