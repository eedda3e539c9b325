"""Splits a stream of server-sent events into complete events with their ids."""

from __future__ import annotations

import re
from collections.abc import Iterator

import msgspec

from yokedock.connection.header_numbers import MAX_DIGITS
from yokedock.router_errors import BackendResponseError, ResponseTooLarge

MAX_EVENT_BYTES = 4_194_304
"""A stream with a longer event is invalid. A token with 20 alternatives takes 3 KB, an event with a
picture a few MB; a complete plain response may have 16 MB."""

_END = re.compile(rb"\r?\n\r?\n")
_MAX_END_BYTES = 4
_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
_DATA = re.compile(rb"^data", re.MULTILINE)


class StreamEvent(msgspec.Struct, frozen=True):
    """A complete event: its bytes including the blank line, and its id if that is an integer."""

    data: bytes
    event_id: int | None
    has_content: bool
    """Whether it has an id or data. A reader ignores blank lines and comments."""


class EventSplitter:
    """Buffers bytes and yields complete events, in time proportional to the bytes."""

    def __init__(self) -> None:
        """Create a splitter with an empty buffer."""
        self._buffer = bytearray()
        self._searched_bytes = 0
        """Length of the buffer's start that no end of an event begins in."""

    @property
    def rest(self) -> bytes:
        """Return the bytes of an incomplete event."""
        return bytes(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes of an incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Append bytes and yield the events that are complete now, which must all be taken.

        Raises ``ResponseTooLarge`` if an event exceeds ``MAX_EVENT_BYTES``,
        ``BackendResponseError`` if its id exceeds ``MAX_DIGITS``.
        """
        self._buffer += data
        start = 0
        while (end := _END.search(self._buffer, self._searched_bytes)) is not None:
            yield _event(bytes(self._buffer[start : end.end()]))
            start = self._searched_bytes = end.end()
        del self._buffer[:start]
        _require_allowed_size(len(self._buffer))
        self._searched_bytes = max(0, len(self._buffer) - _MAX_END_BYTES + 1)


def _event(whole: bytes) -> StreamEvent:
    _require_allowed_size(len(whole))
    found = _ID.search(whole)
    if found is not None:
        return StreamEvent(whole, _number(found.group(1)), has_content=True)
    return StreamEvent(whole, None, has_content=_DATA.search(whole) is not None)


def _number(digits: bytes) -> int:
    if len(digits) > MAX_DIGITS:
        raise BackendResponseError(f"the id of an event has {len(digits)} digits")
    return int(digits)


def _require_allowed_size(size: int) -> None:
    if size > MAX_EVENT_BYTES:
        raise ResponseTooLarge(f"an event of the stream exceeds {MAX_EVENT_BYTES} bytes")
