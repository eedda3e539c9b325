"""Plans engine roles: as few prefill engines as needed, since decode memory is the bottleneck."""

from __future__ import annotations

import heapq

import msgspec

PREFILL_SHARE = 0.2
"""Share of engines with the prefill role; decode engines prefill what these cannot keep up with."""


class EngineRole(msgspec.Struct, frozen=True):
    """Role and load of one engine."""

    name: str
    role: str
    load: int
    """Reserved tokens."""


class RoleChange(msgspec.Struct, frozen=True):
    """An engine that should change its role, and the new role."""

    name: str
    role: str


def target_prefill_engines(engines: int) -> int:
    """Return the number of prefill engines among ``engines`` engines."""
    if engines < 2:
        return 0
    return max(1, round(PREFILL_SHARE * engines))


def planned_role_changes(
    engines: list[EngineRole], prefill: str, decode: str, most: int
) -> list[RoleChange]:
    """Return up to ``most`` role changes to make next, least loaded engines first.

    At least one engine keeps the decode role.
    """
    wanted = target_prefill_engines(len(engines))
    reading = [engine for engine in engines if engine.role == prefill]
    making = [engine for engine in engines if engine.role == decode]
    surplus = len(reading) - wanted
    if surplus > 0:
        return [RoleChange(e.name, decode) for e in _least_loaded(reading, min(surplus, most))]
    missing = min(-surplus, len(making) - 1, most)
    return [RoleChange(e.name, prefill) for e in _least_loaded(making, max(0, missing))]


def _least_loaded(engines: list[EngineRole], count: int) -> list[EngineRole]:
    return heapq.nsmallest(count, engines, key=lambda engine: (engine.load, engine.name))
