"""Checks of backend entries, the same for every source of them.

An entry that passes can be sent to other routers and called. One that fails costs only itself.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

import msgspec

from yokedock.base.logs import logger
from yokedock.connection.router_state import StateNews
from yokedock.connection.state_source import BackendEntry

_log = logger("entries")

MAX_INTEGER = (1 << 63) - 1
"""Largest integer that every encoding between processes can carry."""
MAX_SLOTS = 100_000
"""Above the number of connections of any engine."""


MAX_NAME_BYTES = 200
_HEADER_VALUE = re.compile(r"[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?")

MAX_PORT = 65_535
_HOST = re.compile(r"[0-9A-Za-z_:-]{1,63}(\.[0-9A-Za-z_:-]{1,63})*")
_PORT = re.compile(r"[0-9]{1,5}")


def is_callable_address(address: str) -> bool:
    """Return whether ``address`` has the form of a host and a port from 1 to 65535."""
    host, _, port = address.rpartition(":")
    is_port = _PORT.fullmatch(port) is not None and 1 <= int(port) <= MAX_PORT
    return is_port and _HOST.fullmatch(host) is not None


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
    if not is_callable_address(entry.address):
        return f"the address is not a host and a port from 1 to {MAX_PORT}"
    ranges = (
        ("slots", entry.slots, 1, MAX_SLOTS),
        ("start time", entry.born_ms, 0, MAX_INTEGER),
        ("revision", entry.revision, 0, MAX_INTEGER),
    )
    for field, value, lowest, highest in ranges:
        if not lowest <= value <= highest:
            return f"the {field} is not between {lowest} and {highest}"
    return None


def valid_entries(entries: Iterable[BackendEntry]) -> tuple[BackendEntry, ...]:
    """Return the valid entries; each of the others is logged."""
    valid = []
    for entry in entries:
        problem = entry_problem(entry)
        if problem is None:
            valid.append(entry)
        else:
            _log.warning("entry ignored", instance=entry.instance, reason=problem)
    return tuple(valid)


def without_invalid_entries(news: StateNews) -> StateNews:
    """Return changes told by another router; backends with an invalid entry are gone."""
    changed = valid_entries(news.changed)
    if len(changed) == len(news.changed):
        return news
    valid = {entry.instance for entry in changed}
    invalid = tuple(e.instance for e in news.changed if e.instance not in valid)
    return msgspec.structs.replace(news, changed=changed, gone=news.gone + invalid)
