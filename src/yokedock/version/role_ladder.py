"""The ladder of thresholds by which flexible engines choose their role (pure functions)."""

from __future__ import annotations

import dataclasses

from yokedock.version.bundle import ROLE_DECODE, ROLE_FLEXIBLE, ROLE_PREFILL, Bundle

HYSTERESIS_SHARE = 0.25
"""Width of the dead band around a threshold, as a share of one engine's step on the ladder."""


@dataclasses.dataclass(frozen=True)
class EnginePlan:
    """What the bundle says of one engine."""

    role: str
    dwell_s: float


@dataclasses.dataclass(frozen=True)
class LadderPosition:
    """Where a flexible engine stands: its rank, and how many engines are fixed in each role."""

    rank: int
    flexible: int
    fixed_prefill: int
    fixed_decode: int


def ladder_position(name: str, bundle: Bundle) -> LadderPosition:
    """Return the position of the engine called ``name`` among those of its model."""
    model = bundle.engines[name].model
    peers = {n: e for n, e in bundle.engines.items() if e.model == model}
    flexible = sorted(n for n, e in peers.items() if e.role == ROLE_FLEXIBLE)
    return LadderPosition(
        flexible.index(name) if name in flexible else 0,
        len(flexible),
        sum(1 for e in peers.values() if e.role == ROLE_PREFILL),
        sum(1 for e in peers.values() if e.role == ROLE_DECODE),
    )


def wanted_role(position: LadderPosition, prefill_share: float, present: str) -> str:
    """Return the role for a share of demand that is prefill (0 to 1).

    The engine of rank k prefills when the share asks for more than ``fixed_prefill + k`` engines;
    it changes only when the share has crossed its threshold by the dead band.
    """
    engines = position.flexible + position.fixed_prefill + position.fixed_decode
    wanted_engines = prefill_share * engines
    threshold = position.fixed_prefill + position.rank + 0.5
    band = HYSTERESIS_SHARE if present == ROLE_DECODE else -HYSTERESIS_SHARE
    return ROLE_PREFILL if wanted_engines > threshold + band else ROLE_DECODE
