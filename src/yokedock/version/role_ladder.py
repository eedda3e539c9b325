"""Chooses the role of flexible engines from ranked demand thresholds (pure functions).

Each flexible engine of a model has a rank, and each rank has its own threshold of the demand for
prefill, so engines change their role one after the other as the demand shifts.
"""

from __future__ import annotations

import dataclasses

from yokedock.version.bundle import ROLE_DECODE, ROLE_FLEXIBLE, ROLE_PREFILL, Bundle

HYSTERESIS_SHARE = 0.25
"""Distance from a threshold at which a role changes, as a fraction of the step between ranks."""


@dataclasses.dataclass(frozen=True)
class EnginePlan:
    """The configured role of one engine, and the minimum time between its role changes."""

    role: str
    dwell_s: float


@dataclasses.dataclass(frozen=True)
class LadderPosition:
    """The rank of a flexible engine, and how many flexible and fixed engines its model has."""

    rank: int
    flexible: int
    fixed_prefill: int
    fixed_decode: int


def ladder_position(name: str, bundle: Bundle) -> LadderPosition:
    """Return the position of engine ``name`` among the engines of its model."""
    model = bundle.engines[name].model
    peers = {n: e for n, e in bundle.engines.items() if e.model == model}
    flexible = sorted(n for n, e in peers.items() if e.role == ROLE_FLEXIBLE)
    return LadderPosition(
        flexible.index(name) if name in flexible else 0,
        len(flexible),
        sum(1 for e in peers.values() if e.role == ROLE_PREFILL),
        sum(1 for e in peers.values() if e.role == ROLE_DECODE),
    )


def desired_role(position: LadderPosition, prefill_share: float, current_role: str) -> str:
    """Return the role of an engine, given the prefill share (0 to 1) of the total demand.

    The engine of rank k takes the prefill role if the share corresponds to more than
    ``fixed_prefill + k + 0.5`` engines. It changes its role only when the demand is past that
    threshold by ``HYSTERESIS_SHARE``, so that it does not oscillate.
    """
    engines = position.flexible + position.fixed_prefill + position.fixed_decode
    prefill_engines_needed = prefill_share * engines
    threshold = position.fixed_prefill + position.rank + 0.5
    hysteresis = HYSTERESIS_SHARE if current_role == ROLE_DECODE else -HYSTERESIS_SHARE
    return ROLE_PREFILL if prefill_engines_needed > threshold + hysteresis else ROLE_DECODE
