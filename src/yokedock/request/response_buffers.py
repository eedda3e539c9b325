"""Limits the memory of all responses that are being buffered.

Each response has a limit of its own, but backends in trouble may send many large ones at once, and
a process that exceeds its memory is killed with all requests that it serves.
"""

from __future__ import annotations

from types import TracebackType
from typing import Self

from yokedock.base.ordered_set import OrderedSet
from yokedock.router_errors import ResponseTooLarge

MAX_BUFFERED_BYTES = 25_165_824
"""One response of the maximum size and as much as half of another."""
SMALL_RESPONSE_BYTES = 262_144
"""A response of this size is never refused for the size of others."""


class ResponseBuffer:
    """The buffered bytes of one response, used as a context manager."""

    def __init__(self, buffers: ResponseBuffers) -> None:
        """Start empty."""
        self.size = 0
        self._buffers = buffers

    def __enter__(self) -> Self:
        """Count the buffer."""
        self._buffers.add(self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the memory."""
        self._buffers.remove(self)

    def resize(self, size: int) -> None:
        """Record the buffered bytes; raises ``ResponseTooLarge`` if there is no memory for them."""
        self._buffers.resize(self, size)


class ResponseBuffers:
    """All responses that this process is buffering."""

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        """Allow ``max_bytes`` in all, besides small responses."""
        self.total_bytes = 0
        self._max_bytes = max_bytes
        self._open: OrderedSet[ResponseBuffer] = OrderedSet()

    def open(self) -> ResponseBuffer:
        """Return an empty buffer."""
        return ResponseBuffer(self)

    def add(self, buffer: ResponseBuffer) -> None:
        """Count a buffer."""
        self._open.add(buffer)

    def remove(self, buffer: ResponseBuffer) -> None:
        """Release the memory of a buffer."""
        self._open.discard(buffer)
        self.total_bytes -= buffer.size
        buffer.size = 0

    def resize(self, buffer: ResponseBuffer, size: int) -> None:
        """Record the size of a buffer; raises ``ResponseTooLarge`` if there is no memory for it."""
        self.total_bytes += size - buffer.size
        buffer.size = size
        if self.total_bytes > self._max_bytes and size > SMALL_RESPONSE_BYTES:
            raise ResponseTooLarge(
                f"a response of {size} bytes so far exceeds the memory for all responses"
            )
