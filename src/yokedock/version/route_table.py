"""Routes, services and caller limits of one configuration version, and how a route is found."""

from __future__ import annotations

import enum

import msgspec


class RouteKind(enum.StrEnum):
    """What may be repeated on a route."""

    REPEATABLE = "repeatable"
    """A request may run more than once."""
    ONCE = "once"
    """A request runs at most once."""
    STREAM = "stream"
    """The answer is a stream of events; repeatable only where the route is resumable."""


class WeightedTarget(msgspec.Struct, frozen=True):
    """One service of a route and its share of the route's requests."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """One route. Times are in seconds; ``prefix`` begins and ends with a slash."""

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
        """Return whether a request may run again after it may have run."""
        return self.kind is RouteKind.REPEATABLE or self.resumable


class EngineTraits(msgspec.Struct, frozen=True):
    """What all model engines of a service have in common. Memory is counted in tokens."""

    slots: int
    memory_tokens: int
    token_bytes: float
    link_mbps: float
    tokens_per_event: int = 1
    handle_s: float = 0.5
    """How long an engine keeps what it prefilled for another."""
    switch_s: float = 0.0
    """How long an engine is away when it changes its role."""
    longest_hold_s: float = 0.0


class ServiceSpec(msgspec.Struct, frozen=True):
    """One service: its health path, the connections a backend takes, engines' traits if any."""

    name: str
    health_path: str = "/health"
    max_connections: int = 100
    engine: EngineTraits | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable(msgspec.Struct, frozen=True):
    """One configuration version, whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits = CallerLimits()


class RouteIndex:
    """Finds the route of a request in one table."""

    def __init__(self, table: RouteTable) -> None:
        """Sort the routes of each host, the longest prefix first."""
        self.table = table
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(table.routes, key=lambda route: -len(route.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path`` on ``host``, None if there is none.

        ``host`` may carry a port; ``path`` is as the caller sent it, without the query.
        """
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None
