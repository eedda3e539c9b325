"""Which replica is the home of an idempotency key: rendezvous hashing over the bundle's list."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names``, the one with the highest hash for ``key`` first.

    When a name leaves the list, only the keys that it was first for change their first name.
    """
    return sorted(
        names, key=lambda name: (-xxhash.xxh64_intdigest(f"{name}\0{key}".encode()), name)
    )


def home_of(key: str, replicas: Iterable[str]) -> str | None:
    """Return the replica that keeps the record of ``key``; None if there is none."""
    order = rendezvous_order(key, replicas)
    return order[0] if order else None
