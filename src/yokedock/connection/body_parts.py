"""Divides large bodies, so that they are not copied whole while they are sent."""

from __future__ import annotations

from collections.abc import Iterator

SENT_AT_ONCE_BYTES = 65_536
"""Larger bodies are sent in parts of this size, as fast as the peer reads."""


def parts_of(body: bytes | bytearray) -> Iterator[bytes]:
    """Yield the parts of a body in order."""
    view = memoryview(body)
    for begin in range(0, len(body), SENT_AT_ONCE_BYTES):
        yield bytes(view[begin : begin + SENT_AT_ONCE_BYTES])
