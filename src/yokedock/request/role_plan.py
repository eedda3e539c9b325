"""How many engines should read prompts: as few as keep up, since decode memory is what binds."""

from __future__ import annotations

import heapq

import msgspec

PREFILL_SHARE = 0.2
"""Share of the engines that read prompts; decode engines read what these cannot keep up with."""


class EngineRole(msgspec.Struct, frozen=True):
    """One engine as the plan sees it."""

    name: str
    role: str
    load: int
    """Promised tokens."""


class RoleChange(msgspec.Struct, frozen=True):
    """One engine that should change its role."""

    name: str
    role: str


def wanted_prefills(engines: int) -> int:
    """Return how many of ``engines`` should read prompts."""
    if engines < 2:
        return 0
    return max(1, round(PREFILL_SHARE * engines))


def wanted_changes(
    engines: list[EngineRole], prefill: str, decode: str, most: int
) -> list[RoleChange]:
    """Return the changes to make next, ``most`` at most, the least loaded engines first.

    At least one engine goes on making answers.
    """
    wanted = wanted_prefills(len(engines))
    reading = [engine for engine in engines if engine.role == prefill]
    making = [engine for engine in engines if engine.role == decode]
    surplus = len(reading) - wanted
    if surplus > 0:
        return [RoleChange(e.name, decode) for e in _least_loaded(reading, min(surplus, most))]
    missing = min(-surplus, len(making) - 1, most)
    return [RoleChange(e.name, prefill) for e in _least_loaded(making, max(0, missing))]


def _least_loaded(engines: list[EngineRole], count: int) -> list[EngineRole]:
    return heapq.nsmallest(count, engines, key=lambda engine: (engine.load, engine.name))
