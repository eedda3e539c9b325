"""Creates random number generators; each component has its own.

After ``use_seed``, the seeds of all new generators are derived from one seed, in the order of
creation.
"""

from __future__ import annotations

import random

_seed_source: random.Random | None = None


def use_seed(seed: str | None) -> None:
    """Derive the seeds of later generators from ``seed``; None seeds each from the system."""
    global _seed_source
    _seed_source = None if seed is None else random.Random(seed)


def new_random(seed: int | None = None) -> random.Random:
    """Return a new generator, seeded with ``seed`` if given, for one component."""
    if seed is not None:
        return random.Random(seed)
    if _seed_source is None:
        return random.Random()
    return random.Random(_seed_source.getrandbits(64))
