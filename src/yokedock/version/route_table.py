"""Routes, services and caller limits of one configuration version, and route look-up."""

from __future__ import annotations

import enum

import msgspec


class RouteKind(enum.StrEnum):
    """Whether requests on a route may be executed more than once."""

    REPEATABLE = "repeatable"
    """A request may be executed more than once."""
    ONCE = "once"
    """A request is executed at most once."""
    STREAM = "stream"
    """The response is a stream of events; repeatable only if the route is resumable."""


class WeightedTarget(msgspec.Struct, frozen=True):
    """A target service of a route and its share of the route's requests."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """One route. ``prefix`` begins and ends with a slash."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    targets: tuple[WeightedTarget, ...]
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False
    gap_target_s: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may be sent again after it may have been executed."""
        return self.kind is RouteKind.REPEATABLE or self.resumable


class EngineTraits(msgspec.Struct, frozen=True):
    """Properties shared by all model engines of a service. Memory is counted in tokens."""

    slots: int
    memory_tokens: int
    token_bytes: float
    link_mbps: float
    tokens_per_event: int = 1
    handle_s: float = 0.5
    """How long an engine keeps the KV cache of a prefill for transfer to another engine."""
    switch_s: float = 0.0
    """How long an engine is unavailable during a role change."""
    longest_hold_s: float = 0.0


class ServiceSpec(msgspec.Struct, frozen=True):
    """One service: health path, connection limit per backend, and engine traits, if any."""

    name: str
    health_path: str = "/health"
    max_connections: int = 100
    engine: EngineTraits | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Size and time limits for callers."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable(msgspec.Struct, frozen=True):
    """One complete configuration version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits = CallerLimits()


class RouteIndex:
    """Finds the route of a request in a route table."""

    def __init__(self, table: RouteTable) -> None:
        """Group the routes by host, longest prefix first."""
        self.table = table
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(table.routes, key=lambda route: -len(route.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix on ``host``, None if there is none.

        ``host`` may include a port; ``path`` is the path as received, without the query.
        """
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None
