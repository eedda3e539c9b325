"""Splits a stream of server-sent events into complete events with their ids."""

from __future__ import annotations

import re

import msgspec

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)


class StreamEvent(msgspec.Struct, frozen=True):
    """A complete event: its bytes including the blank line, and its id if that is an integer."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Buffers bytes and returns complete events."""

    def __init__(self) -> None:
        """Create a splitter with an empty buffer."""
        self._buffer = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes of an incomplete event."""
        return self._buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the events that are complete now."""
        self._buffer += data
        events = []
        while (end := _END.search(self._buffer)) is not None:
            whole = self._buffer[: end.end()]
            self._buffer = self._buffer[end.end() :]
            found = _ID.search(whole)
            events.append(StreamEvent(whole, int(found.group(1)) if found else None))
        return events
