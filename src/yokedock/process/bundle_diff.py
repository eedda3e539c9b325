"""Computes the differences between two bundles."""

from __future__ import annotations

import dataclasses
from typing import Any

from yokedock.version.bundle import Bundle

_TABLES = ("classes", "tenants", "models", "engines", "services", "replicas")


def diff_bundles(old: Bundle, new: Bundle) -> list[str]:
    """Return one line for each added (+), removed (-) or changed (~) entry and option."""
    lines = _diff_options("limits", dataclasses.asdict(old.limits), dataclasses.asdict(new.limits))
    for table in _TABLES:
        before: dict[str, Any] = getattr(old, table)
        after: dict[str, Any] = getattr(new, table)
        for name in sorted(before.keys() | after.keys()):
            if name not in after:
                lines.append(f"- {table} {name}")
            elif name not in before:
                lines.append(f"+ {table} {name}")
            else:
                lines += _diff_options(
                    f"{table} {name}",
                    dataclasses.asdict(before[name]),
                    dataclasses.asdict(after[name]),
                )
    return lines


def _diff_options(place: str, before: dict[str, Any], after: dict[str, Any]) -> list[str]:
    return [
        f"~ {place} {option}: {before[option]} -> {after[option]}"
        for option in after
        if before[option] != after[option]
    ]
