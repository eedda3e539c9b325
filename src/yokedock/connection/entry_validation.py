"""Checks of backend entries, the same for every source of them.

An entry that passes can be sent to other routers and called. One that fails costs only itself.
"""

from __future__ import annotations

import re

from yokedock.connection.state_source import BackendEntry

MAX_INTEGER = (1 << 63) - 1
"""Largest integer that every encoding between processes can carry."""
MAX_SLOTS = 100_000
"""Above the number of connections of any engine."""


MAX_NAME_BYTES = 200
_HEADER_VALUE = re.compile(r"[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?")


def is_header_value(text: str) -> bool:
    """Return whether a header carries ``text`` unchanged: no control characters (RFC 9110, section
    5.5), and no spaces at the ends."""
    return _HEADER_VALUE.fullmatch(text) is not None


def _is_name(text: str) -> bool:
    """Return whether ``text`` can name a backend in the header of a request."""
    return is_header_value(text) and len(text.encode(errors="replace")) <= MAX_NAME_BYTES


def entry_problem(entry: BackendEntry) -> str | None:
    """Return the field and the reason why an entry is invalid, None if it is valid."""
    if not _is_name(entry.instance):
        return f"the name is not a header value of at most {MAX_NAME_BYTES} bytes"
    ranges = (
        ("slots", entry.slots, 1, MAX_SLOTS),
        ("start time", entry.born_ms, 0, MAX_INTEGER),
        ("revision", entry.revision, 0, MAX_INTEGER),
    )
    for field, value, lowest, highest in ranges:
        if not lowest <= value <= highest:
            return f"the {field} is not between {lowest} and {highest}"
    return None
