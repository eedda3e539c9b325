"""The documents in the platform's store, and their translation into routes and backends."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Final, Literal

import msgspec

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

MS = 0.001
REPEATABLE_KIND = "idempotent"
ONCE_KIND = "non_idempotent"
STREAM_KIND = "streaming"
_KINDS = {
    REPEATABLE_KIND: RouteKind.REPEATABLE,
    ONCE_KIND: RouteKind.ONCE,
    STREAM_KIND: RouteKind.STREAM,
}
DRAINING: Final = "draining"
HIGHEST_PORT = 65_535
MOST_ENTRY_BYTES = 65_536
"""An engine's entry has some 250 bytes, with a hundred models and adapters some 10,000."""


class StoredTarget(msgspec.Struct, frozen=True):
    """One service of a split route."""

    service: str
    weight: float = 1.0


class StoredRoute(msgspec.Struct, frozen=True, rename="camel"):
    """A route as the operator writes it."""

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
    """What the engines of a service have in common."""

    slot_count: int
    kv_capacity: int
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0
    stride: int = 1
    kv_hold_s: float = msgspec.field(default=0.5, name="kvHoldS")
    stage_switch_s: float = msgspec.field(default=0.0, name="stageSwitchS")
    hold_ms: float = 0.0


class StoredService(msgspec.Struct, frozen=True, rename="camel"):
    """A service as the operator writes it."""

    name: str
    health_path: str = "/health"
    max_connections: int = 100
    engine: StoredEngine | None = None


class StoredLimits(msgspec.Struct, frozen=True, rename="camel"):
    """Limits for callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class StoredConfiguration(msgspec.Struct, frozen=True):
    """The operator's configuration, whole."""

    version: int
    routes: tuple[StoredRoute, ...] = ()
    services: tuple[StoredService, ...] = ()
    limits: StoredLimits = StoredLimits()


Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
"""A key of the store has at most 200 bytes, and a service is named by one."""
StoredState = Literal["ready", "draining"]
Stage = Literal["", "prefill", "decode"]
Count = Annotated[int, msgspec.Meta(ge=0)]
SlotCount = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
"""More slots than any engine has connections: whoever says so is none."""


class StoredModel(msgspec.Struct, frozen=True):
    """A model that an engine holds."""

    name: str
    version: int = 0


class StoredServer(msgspec.Struct, frozen=True, rename="camel"):
    """The entry of one engine or application server, as these write it: nothing is left out."""

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
    """Unix millisecond of its start, 0 if it does not say."""


def route_table(document: bytes) -> RouteTable:
    """Translate the operator's configuration; raises ``msgspec.MsgspecError`` if it is none."""
    stored = msgspec.json.decode(document, type=StoredConfiguration)
    limits = stored.limits
    return RouteTable(
        stored.version,
        tuple(_route(route) for route in stored.routes),
        {service.name: _service(service) for service in stored.services},
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms * MS,
            limits.idle_timeout_ms * MS,
        ),
    )


def backend_entry(instance: str, document: bytes, revision: int = 0) -> BackendEntry:
    """Translate a server's entry; raises ``ValueError`` if it is none, naming field and reason."""
    if len(document) > MOST_ENTRY_BYTES:
        raise ValueError(f"{len(document)} bytes, an entry has at most {MOST_ENTRY_BYTES}")
    stored = msgspec.json.decode(document, type=StoredServer)
    _check_address(stored.address)
    return BackendEntry(
        instance=instance,
        service=stored.service,
        address=stored.address,
        zone=stored.zone,
        slots=stored.slot_count,
        is_leaving=stored.state == DRAINING,
        role=stored.stage,
        born_ms=stored.born,
        revision=revision,
    )


def _check_address(address: str) -> None:
    """Raise ``ValueError`` unless an address is an IPv4 number and a port that can be reached."""
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    is_number = port.isascii() and port.isdigit()
    if not is_number or not 0 < int(port) <= HIGHEST_PORT:
        raise ValueError(f"$.address: {port!r} is no port")


def _route(stored: StoredRoute) -> Route:
    targets = tuple(WeightedTarget(t.service, t.weight) for t in stored.traffic_split)
    if not targets and stored.service is not None:
        targets = (WeightedTarget(stored.service),)
    return Route(
        name=stored.name,
        host=stored.host,
        prefix=stored.path_prefix,
        kind=_KINDS.get(stored.route_type, RouteKind.ONCE),
        timeout_s=stored.timeout_ms * MS,
        target_s=stored.target_latency_ms * MS,
        targets=targets,
        priority=stored.priority,
        max_attempts=stored.max_attempts,
        resumable=stored.resumable,
        gap_target_s=stored.itl_target_ms * MS,
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
            longest_hold_s=engine.hold_ms * MS,
        )
    return ServiceSpec(stored.name, stored.health_path, stored.max_connections, traits)
