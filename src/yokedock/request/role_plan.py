"""How many engines should read prompts: as few as keep up, since decode memory is what binds."""

from __future__ import annotations

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


def next_change(engines: list[EngineRole], prefill: str, decode: str) -> RoleChange | None:
    """Return the change to make next, None if the roles are as wanted."""
    wanted = wanted_prefills(len(engines))
    reading = [engine for engine in engines if engine.role == prefill]
    making = [engine for engine in engines if engine.role == decode]
    if len(reading) > wanted:
        least = min(reading, key=lambda engine: (engine.load, engine.name))
        return RoleChange(least.name, decode)
    if len(reading) < wanted and len(making) > 1:
        least = min(making, key=lambda engine: (engine.load, engine.name))
        return RoleChange(least.name, prefill)
    return None
