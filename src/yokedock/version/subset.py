"""Which engines a gateway talks to: a deterministic subset of each pool, own zone first.

A full mesh of gateways and agents would cost each gateway more heartbeats than its control budget
allows, so each takes, for every model and role, the engines that rendezvous hashing gives it.
"""

from __future__ import annotations

import collections

from yokedock.version.bundle import Engine
from yokedock.version.homes import rendezvous_order

OWN_ZONE_SHARE = 0.75
"""At most this share of a subset is in the gateway's own zone, so that it survives the zone."""


def choose_subset(gateway: str, zone: str, engines: dict[str, Engine], size: int) -> list[str]:
    """Return the names of the engines to talk to: at most ``size`` of each model and role."""
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
    from_near = near[: max(1, int(size * OWN_ZONE_SHARE))]
    from_far = far[: size - len(from_near)]
    rest = [name for name in near if name not in from_near]
    return (from_near + from_far + rest)[:size]
