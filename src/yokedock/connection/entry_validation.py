"""Checks of backend entries, the same for every source of them.

An entry that passes can be sent to other routers and called. One that fails costs only itself.
"""

from __future__ import annotations

from yokedock.connection.state_source import BackendEntry

MAX_INTEGER = (1 << 63) - 1
"""Largest integer that every encoding between processes can carry."""
MAX_SLOTS = 100_000
"""Above the number of connections of any engine."""


def entry_problem(entry: BackendEntry) -> str | None:
    """Return the field and the reason why an entry is invalid, None if it is valid."""
    ranges = (
        ("slots", entry.slots, 1, MAX_SLOTS),
        ("start time", entry.born_ms, 0, MAX_INTEGER),
        ("revision", entry.revision, 0, MAX_INTEGER),
    )
    for field, value, lowest, highest in ranges:
        if not lowest <= value <= highest:
            return f"the {field} is not between {lowest} and {highest}"
    return None
