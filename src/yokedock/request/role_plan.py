"""How many engines should read prompts: as few as keep up, since decode memory is what binds."""

from __future__ import annotations

import msgspec

PREFILL_SHARE = 0.2
"""Share of the engines that read prompts; decode engines read what these cannot keep up with."""

MISSING_READER_S = 8.0
"""A lost prefill engine is replaced only after this long: most come back sooner."""
CALM_S = 5.0
"""Queues come and go within a burst: nobody must have waited for this long, about one stream."""
LONGEST_DELAY_S = 20.0
"""So long after the loss it is replaced whoever waits: without one, decode engines read prompts at
half the pace, so that a lasting overload would keep itself up."""


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


def may_stop_decoding(settled_s: float, calm_s: float) -> bool:
    """Return whether a decode engine may be taken away to read prompts.

    ``settled_s``: for how long the engines have been as they are, ``calm_s``: for how long no
    request has waited for decode room, both in seconds. An engine is away for seconds while it
    changes its role, and its decode memory is what requests of a burst wait for.
    """
    if settled_s < MISSING_READER_S:
        return False
    return calm_s >= CALM_S or settled_s >= LONGEST_DELAY_S
