"""Checks of route tables, the same for every source of them.

A table that passes can be sent to other routers, and each of its numbers can be calculated with.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from yokedock.version.route_table import EngineTraits, Route, RouteTable

MAX_VERSION = 10**18 - 1
"""Routers ask each other for tables after a version of at most 18 digits."""
MAX_COUNT = (1 << 53) - 1
"""Largest integer up to which every one has an exact floating-point number."""
MAX_DURATION_S = 1e9
"""Some 30 years."""
MAX_NUMBER = 1e15
"""Maximum of rates, sizes and weights: their sums and products stay finite."""


def table_problem(table: RouteTable) -> str | None:
    """Return the first number of a table that is out of range, None if there is none."""
    for name, value, lowest, highest in _ranges(table):
        if not (math.isfinite(value) and lowest <= value <= highest):
            return f"{name} is not between {lowest:g} and {highest:g}"
    return None


_Range = tuple[str, float, float, float]
"""Name, value, and the lowest and highest valid value."""


def _ranges(table: RouteTable) -> Iterator[_Range]:
    limits = table.limits
    yield "version", table.version, 0, MAX_VERSION
    yield "limits: header bytes", limits.header_bytes, 0, MAX_COUNT
    yield "limits: body bytes", limits.body_bytes, 0, MAX_COUNT
    yield "limits: header timeout", limits.header_timeout_s, 0.0, MAX_DURATION_S
    yield "limits: idle timeout", limits.idle_timeout_s, 0.0, MAX_DURATION_S
    for route in table.routes:
        yield from _route_ranges(route)
    for service in table.services.values():
        name = f"service {service.name}"
        yield f"{name}: connections", service.max_connections, 0, MAX_COUNT
        if service.engine is not None:
            yield from _engine_ranges(name, service.engine)


def _route_ranges(route: Route) -> Iterator[_Range]:
    name = f"route {route.name}"
    yield f"{name}: timeout", route.timeout_s, 0.0, MAX_DURATION_S
    yield f"{name}: target", route.target_s, 0.0, MAX_DURATION_S
    yield f"{name}: target of gaps", route.gap_target_s, 0.0, MAX_DURATION_S
    yield f"{name}: priority", route.priority, -MAX_COUNT, MAX_COUNT
    yield f"{name}: attempts", route.max_attempts, 0, MAX_COUNT
    for target in route.targets:
        yield f"{name}: weight of {target.service}", target.weight, -MAX_NUMBER, MAX_NUMBER


def _engine_ranges(name: str, engine: EngineTraits) -> Iterator[_Range]:
    yield f"{name}: slots", engine.slots, 0, MAX_COUNT
    yield f"{name}: memory", engine.memory_tokens, 1, MAX_COUNT
    yield f"{name}: bytes of a token", engine.token_bytes, 0.0, MAX_NUMBER
    yield f"{name}: link rate", engine.link_mbps, 0.0, MAX_NUMBER
    yield f"{name}: tokens of an event", engine.tokens_per_event, 0, MAX_COUNT
    for duration_s in (engine.handle_s, engine.switch_s, engine.longest_hold_s):
        yield f"{name}: duration", duration_s, 0.0, MAX_DURATION_S
