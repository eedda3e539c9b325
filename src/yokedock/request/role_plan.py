"""Plans engine roles: as few prefill engines as needed, since decode memory is the bottleneck."""

from __future__ import annotations

import collections
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
    version: int = 0
    """Number of its software version."""


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

    At least one engine of each software version that decodes keeps the decode role, because the
    streams of a version can go on nowhere else.
    """
    wanted = target_prefill_engines(len(engines))
    reading = [engine for engine in engines if engine.role == prefill]
    making = [engine for engine in engines if engine.role == decode]
    surplus = len(reading) - wanted
    if surplus > 0:
        return [RoleChange(e.name, decode) for e in _least_loaded(reading, min(surplus, most))]
    dispensable = _without_last_of_version(making)
    missing = min(-surplus, len(dispensable), most)
    return [RoleChange(e.name, prefill) for e in dispensable[:missing]]


def _without_last_of_version(engines: list[EngineRole]) -> list[EngineRole]:
    """Return the engines, least loaded first, without the most loaded one of each version."""
    left = collections.Counter(engine.version for engine in engines)
    dispensable = []
    for engine in _least_loaded(engines, len(engines)):
        if left[engine.version] > 1:
            left[engine.version] -= 1
            dispensable.append(engine)
    return dispensable


def _least_loaded(engines: list[EngineRole], count: int) -> list[EngineRole]:
    return heapq.nsmallest(count, engines, key=lambda engine: (engine.load, engine.name))
