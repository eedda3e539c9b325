"""Selects a deterministic subset of engines for each gateway, preferring the gateway's own zone.

In a full mesh of gateways and agents, the heartbeats would exceed each gateway's budget for control
traffic. Each gateway therefore connects, for every model and role, only to the engines that
rendezvous hashing ranks first for it.
"""

from __future__ import annotations

import collections

from yokedock.version.bundle import Engine
from yokedock.version.homes import rendezvous_order

MAX_OWN_ZONE_SHARE = 0.75
"""Maximum share of a subset in the gateway's own zone while other zones have engines, so that the
subset survives an outage of that zone."""


def choose_subset(gateway: str, zone: str, engines: dict[str, Engine], size: int) -> list[str]:
    """Return the names of the selected engines: at most ``size`` for each model and role."""
    groups: dict[tuple[str, str], list[str]] = collections.defaultdict(list)
    for name, engine in engines.items():
        groups[engine.model, engine.role].append(name)
    chosen: list[str] = []
    for names in groups.values():
        chosen += _choose(gateway, zone, names, engines, size)
    return sorted(chosen)


def _choose(
    gateway: str, zone: str, names: list[str], engines: dict[str, Engine], size: int
) -> list[str]:
    order = rendezvous_order(gateway, names)
    near = [name for name in order if engines[name].zone == zone]
    far = [name for name in order if engines[name].zone != zone]
    chosen_near = near[: max(1, int(size * MAX_OWN_ZONE_SHARE))]
    chosen_far = far[: size - len(chosen_near)]
    rest = [name for name in near if name not in chosen_near]
    return (chosen_near + chosen_far + rest)[:size]
