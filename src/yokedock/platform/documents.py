"""Schemas of the documents in the platform's store, and their conversion to routes and backends."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Final, Literal

import msgspec

from yokedock.connection.entry_validation import MAX_SLOTS, entry_problem
from yokedock.connection.state_source import BackendEntry
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

SECONDS_PER_MS = 0.001
REPEATABLE_KIND = "idempotent"
ONCE_KIND = "non_idempotent"
STREAM_KIND = "streaming"
_KINDS = {
    REPEATABLE_KIND: RouteKind.REPEATABLE,
    ONCE_KIND: RouteKind.ONCE,
    STREAM_KIND: RouteKind.STREAM,
}
DRAINING: Final = "draining"
MAX_ENTRY_BYTES = 65_536
"""An engine's entry has about 250 bytes, with a hundred models and adapters about 10,000."""


class StoredTarget(msgspec.Struct, frozen=True):
    """A target service of a route with split traffic."""

    service: str
    weight: float = 1.0


class StoredRoute(msgspec.Struct, frozen=True, rename="camel"):
    """A route in the operator's configuration."""

    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 0
    service: str | None = None
    traffic_split: tuple[StoredTarget, ...] = ()
    max_attempts: int = 1
    resumable: bool = False
    itl_target_ms: float = 0.0


class StoredEngine(msgspec.Struct, frozen=True, rename="camel"):
    """Properties shared by all engines of a service."""

    slot_count: int
    kv_capacity: int
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0
    stride: int = 1
    kv_hold_s: float = msgspec.field(default=0.5, name="kvHoldS")
    stage_switch_s: float = msgspec.field(default=0.0, name="stageSwitchS")
    hold_ms: float = 0.0


class StoredService(msgspec.Struct, frozen=True, rename="camel"):
    """A service in the operator's configuration."""

    name: str
    health_path: str = "/health"
    max_connections: int = 100
    engine: StoredEngine | None = None


class StoredLimits(msgspec.Struct, frozen=True, rename="camel"):
    """Size and time limits for callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class StoredConfiguration(msgspec.Struct, frozen=True):
    """The operator's complete configuration."""

    version: int
    routes: tuple[StoredRoute, ...] = ()
    services: tuple[StoredService, ...] = ()
    limits: StoredLimits = StoredLimits()


Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
"""Keys of the store have at most 200 bytes, and a service name is used as a key."""
StoredState = Literal["ready", "draining"]
Stage = Literal["", "prefill", "decode"]
Count = Annotated[int, msgspec.Meta(ge=0)]
SlotCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


class StoredModel(msgspec.Struct, frozen=True):
    """A model loaded on an engine."""

    name: str
    version: int = 0


class StoredServer(msgspec.Struct, frozen=True, rename="camel"):
    """The entry of one engine or application server; servers always write all required fields."""

    service: Name
    address: Name
    zone: str
    slot_count: SlotCount
    state: StoredState
    version: str
    cold_remaining_ms: float
    sequence: Count
    stage: Stage = ""
    models: tuple[StoredModel, ...] = ()
    born: Count = 0
    """Start time of the server as Unix time in milliseconds, 0 if it does not report one."""


def route_table(document: bytes) -> RouteTable:
    """Convert the operator's configuration; raises ``ValueError`` if it is invalid."""
    stored = msgspec.json.decode(document, type=StoredConfiguration)
    limits = stored.limits
    table = RouteTable(
        stored.version,
        tuple(_route(route) for route in stored.routes),
        {service.name: _service(service) for service in stored.services},
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms * SECONDS_PER_MS,
            limits.idle_timeout_ms * SECONDS_PER_MS,
        ),
    )
    problem = table_problem(table)
    if problem is not None:
        raise ValueError(problem)
    return table


def backend_entry(instance: str, document: bytes, revision: int = 0) -> BackendEntry:
    """Convert a server's entry; raises ``ValueError`` with field and reason if it is invalid."""
    if len(document) > MAX_ENTRY_BYTES:
        raise ValueError(f"the entry has {len(document)} bytes, the maximum is {MAX_ENTRY_BYTES}")
    stored = msgspec.json.decode(document, type=StoredServer)
    ipaddress.IPv4Address(stored.address.rpartition(":")[0])
    entry = BackendEntry(
        instance=instance,
        service=stored.service,
        address=stored.address,
        zone=stored.zone,
        slots=stored.slot_count,
        is_leaving=stored.state == DRAINING,
        role=stored.stage,
        born_ms=stored.born,
        revision=revision,
        version=stored.version,
    )
    problem = entry_problem(entry)
    if problem is not None:
        raise ValueError(problem)
    return entry


def _route(stored: StoredRoute) -> Route:
    targets = tuple(WeightedTarget(t.service, t.weight) for t in stored.traffic_split)
    if not targets and stored.service is not None:
        targets = (WeightedTarget(stored.service),)
    return Route(
        name=stored.name,
        host=stored.host,
        prefix=stored.path_prefix,
        kind=_KINDS.get(stored.route_type, RouteKind.ONCE),
        timeout_s=stored.timeout_ms * SECONDS_PER_MS,
        target_s=stored.target_latency_ms * SECONDS_PER_MS,
        targets=targets,
        priority=stored.priority,
        max_attempts=stored.max_attempts,
        resumable=stored.resumable,
        gap_target_s=stored.itl_target_ms * SECONDS_PER_MS,
    )


def _service(stored: StoredService) -> ServiceSpec:
    engine = stored.engine
    traits = None
    if engine is not None:
        traits = EngineTraits(
            slots=engine.slot_count,
            memory_tokens=engine.kv_capacity,
            token_bytes=engine.kv_token_bytes,
            link_mbps=engine.link_mbps,
            tokens_per_event=engine.stride,
            handle_s=engine.kv_hold_s,
            switch_s=engine.stage_switch_s,
            longest_hold_s=engine.hold_ms * SECONDS_PER_MS,
        )
    return ServiceSpec(stored.name, stored.health_path, stored.max_connections, traits)
