"""Splits a stream of server-sent events into whole events with their ids."""

from __future__ import annotations

import re

import msgspec

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)


class StreamEvent(msgspec.Struct, frozen=True):
    """One whole event: its bytes with the blank line, and its id if it has a whole number."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Collects bytes and gives out whole events."""

    def __init__(self) -> None:
        """Start with nothing collected."""
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are whole now."""
        self._rest += data
        events = []
        while (end := _END.search(self._rest)) is not None:
            whole = self._rest[: end.end()]
            self._rest = self._rest[end.end() :]
            found = _ID.search(whole)
            events.append(StreamEvent(whole, int(found.group(1)) if found else None))
        return events
