"""Reads routes, services and backends from an INI file, the router's own state source.

The file is reloaded when it changes; its version must increase with every change of a route.
"""

from __future__ import annotations

import asyncio
import dataclasses
from pathlib import Path
from typing import Any

from yokedock.base.options import Problems, address, between, one_of, option, read_ini, read_section
from yokedock.connection.entry_validation import entry_problem
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import (
    BackendEntry,
    StateChanges,
    StateSnapshot,
    StateSource,
)
from yokedock.errors import PlatformUnavailable, SettingsInvalid
from yokedock.router_errors import HistoryUnavailable
from yokedock.version.route_table import (
    CallerLimits,
    EngineTraits,
    Route,
    RouteKind,
    RouteTable,
    ServiceSpec,
    WeightedTarget,
)
from yokedock.version.table_validation import table_problem

POLL_S = 0.5


def _weighted_services(values: Any) -> str | None:
    """Check that the weight of each service, if it has one, is a number."""
    for text in values:
        weight = text.partition(":")[2]
        try:
            float(weight or 1)
        except ValueError:
            return "write each as NAME or NAME:WEIGHT, with a number such as 0.5 as its weight"
    return None


@dataclasses.dataclass(frozen=True)
class TableOptions:
    """Section [table]: the version, and the limits for callers."""

    version: int = option("version; increase it with every change", check=between(1, 1 << 53))
    max_body_bytes: int = option("maximum request body size, bytes", 4_194_304, between(1, 1 << 40))
    idle_timeout_s: float = option("idle timeout of a connection, s", 15.0, between(0.1, 86_400))


@dataclasses.dataclass(frozen=True)
class RouteOptions:
    """Section [route NAME]."""

    host: str = option("host name")
    prefix: str = option("path prefix that starts and ends with a slash")
    kind: str = option("which requests may be retried", check=one_of(*RouteKind))
    services: tuple[str, ...] = option(
        "services, each as NAME or NAME:WEIGHT", check=_weighted_services
    )
    timeout_s: float = option("request timeout, s", 60.0, between(0.01, 86_400))
    target_s: float = option("target time to the response or the first event, s", 1.0)
    max_attempts: int = option(
        "maximum number of backends that a request may run on", 1, between(1, 10)
    )
    resumable: bool = option("whether a stream may be resumed on another engine", False)
    pause_s: float = option("target for the longest gap between events, s; 0: no target", 0.0)


@dataclasses.dataclass(frozen=True)
class ServiceOptions:
    """Section [service NAME]; with ``memory_tokens`` set it is a pool of model engines."""

    memory_tokens: int = option("memory of each engine, tokens; 0: not a pool of model engines", 0)
    slots: int = option("concurrent requests per engine", 1, between(1, 100_000))
    tokens_per_event: int = option("tokens per event", 1, between(1, 1000))
    handle_s: float = option("how long a prefill result is retained, s", 0.5)


@dataclasses.dataclass(frozen=True)
class BackendOptions:
    """Section [backend NAME]."""

    service: str = option("service it belongs to")
    address: str = option("IP:port", check=address)
    zone: str = option("zone that it runs in", "")
    slots: int = option("concurrent requests", 1, between(1, 100_000))
    role: str = option(
        "role of a model engine: prefill or decode", "", one_of("", "prefill", "decode")
    )
    leaving: bool = option("whether it is draining: it gets no new requests", False)


def read_routes(path: Path) -> StateSnapshot:
    """Read and validate a routes file; raises ``SettingsInvalid`` with a list of all errors."""
    problems = Problems()
    parser = read_ini(path, problems)
    kinds: dict[str, Any] = {
        "route": RouteOptions,
        "service": ServiceOptions,
        "backend": BackendOptions,
    }
    found: dict[str, dict[str, Any]] = {kind: {} for kind in kinds}
    table: TableOptions | None = None
    for title in parser.sections():
        kind, _, name = title.partition(" ")
        if title == "table":
            table = read_section(TableOptions, title, parser[title], problems)
        elif kind in kinds and name:
            found[kind][name] = read_section(kinds[kind], title, parser[title], problems)
        else:
            remedy = "use [table], [route NAME], [service NAME] or [backend NAME]"
            problems.add(f"[{title}]", "unknown section", remedy)
    if not problems.lines and table is None:
        problems.add("[table]", "missing section", "add it, with a version")
    _check_services(found, problems)
    if problems.lines or table is None:
        raise SettingsInvalid(problems.text())
    route_table = _table(table, found)
    backends = {name: _backend_entry(name, options) for name, options in found["backend"].items()}
    _check_ranges(route_table, backends, problems)
    if problems.lines:
        raise SettingsInvalid(problems.text())
    return StateSnapshot(SourcePosition(revision=table.version), route_table, backends)


class RoutesFile(StateSource):
    """Watches a routes file for changes."""

    def __init__(self, path: Path) -> None:
        """Create a source that reads ``path``."""
        self._path = path
        self._mtime_ns = 0

    async def read(self) -> StateSnapshot:
        """Return the contents of the file; its version is the position."""
        try:
            self._mtime_ns = self._path.stat().st_mtime_ns
            return read_routes(self._path)
        except (OSError, SettingsInvalid) as error:
            raise PlatformUnavailable(f"{self._path}: {error}") from None

    async def wait(self, position: SourcePosition, max_duration_s: float) -> StateChanges:
        """Return no changes; raises ``HistoryUnavailable`` if the file was modified."""
        await asyncio.sleep(min(POLL_S, max_duration_s))
        try:
            if self._path.stat().st_mtime_ns != self._mtime_ns:
                raise HistoryUnavailable(f"{self._path} has changed")
        except OSError as error:
            raise PlatformUnavailable(f"{self._path}: {error}") from None
        return StateChanges(position)

    async def current_position(self) -> SourcePosition:
        """Return the version that the file has now; the file is read, not remembered."""
        try:
            return read_routes(self._path).position
        except (OSError, SettingsInvalid) as error:
            raise PlatformUnavailable(f"{self._path}: {error}") from None


def _check_services(found: dict[str, dict[str, Any]], problems: Problems) -> None:
    for name, options in found["backend"].items():
        if options is not None and options.service not in found["service"]:
            remedy = f"add [service {options.service}]"
            problems.add(f"[backend {name}] service", "unknown service", remedy)
    for name, options in found["route"].items():
        for target in options.services if options is not None else ():
            service = target.partition(":")[0]
            if service not in found["service"]:
                remedy = f"add [service {service}]"
                problems.add(f"[route {name}] services", f"unknown service {service}", remedy)


def _check_ranges(table: RouteTable, backends: dict[str, BackendEntry], problems: Problems) -> None:
    """Add what no single option shows: what holds for routes and backends of any source."""
    if (problem := table_problem(table)) is not None:
        problems.add("routes and services", problem, "write a number in that range")
    for name, entry in backends.items():
        if (problem := entry_problem(entry)) is not None:
            problems.add(f"[backend {name!r}]", problem, "correct it")


def _table(table: TableOptions, found: dict[str, dict[str, Any]]) -> RouteTable:
    limits = CallerLimits(body_bytes=table.max_body_bytes, idle_timeout_s=table.idle_timeout_s)
    routes = tuple(_route(name, options) for name, options in found["route"].items())
    services = {name: _service(name, options) for name, options in found["service"].items()}
    return RouteTable(table.version, routes, services, limits)


def _route(name: str, options: RouteOptions) -> Route:
    targets = []
    for text in options.services:
        service, _, weight = text.partition(":")
        targets.append(WeightedTarget(service, float(weight or 1)))
    return Route(
        name,
        options.host,
        options.prefix,
        RouteKind(options.kind),
        options.timeout_s,
        options.target_s,
        tuple(targets),
        max_attempts=options.max_attempts,
        resumable=options.resumable,
        gap_target_s=options.pause_s,
    )


def _service(name: str, options: ServiceOptions) -> ServiceSpec:
    traits = None
    if options.memory_tokens:
        traits = EngineTraits(
            slots=options.slots,
            memory_tokens=options.memory_tokens,
            token_bytes=0.0,
            link_mbps=0.0,
            tokens_per_event=options.tokens_per_event,
            handle_s=options.handle_s,
        )
    return ServiceSpec(name, engine=traits)


def _backend_entry(name: str, options: BackendOptions) -> BackendEntry:
    return BackendEntry(
        name,
        options.service,
        options.address,
        options.zone,
        options.slots,
        options.leaving,
        options.role,
    )
