"""Limits the memory of all responses that are being buffered.

Each response has a limit of its own, but backends in trouble may send many large ones at once, and
a process that exceeds its memory is killed with all requests that it serves. A response that has no
room is therefore not read further until others have ended: an answer that was made is the last
thing to throw away.
"""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Self

from yokedock.base.ordered_set import OrderedSet
from yokedock.router_errors import ResponseTooLarge

MAX_RESPONSE_BYTES = 16_777_216
MAX_BUFFERED_BYTES = 25_165_824
"""One response of the maximum size, and half as much for all others."""
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

    def has_room(self) -> bool:
        """Return whether more of the response may be read now."""
        return self._buffers.has_room(self)

    async def grow(self, size: int) -> None:
        """Record the buffered bytes, then wait until more may be read."""
        self._buffers.set_size(self, size)
        while not self.has_room():
            await self._buffers.wait_for_release()


class ResponseBuffers:
    """All responses that this process is buffering."""

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        """Allow ``max_bytes`` in all, besides small responses."""
        self.total_bytes = 0
        self._max_bytes = max_bytes
        self._open: OrderedSet[ResponseBuffer] = OrderedSet()
        """In order of their beginning."""
        self._released = asyncio.Event()

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
        self._released.set()
        self._released = asyncio.Event()

    def set_size(self, buffer: ResponseBuffer, size: int) -> None:
        """Record the size of a buffer."""
        self.total_bytes += size - buffer.size
        buffer.size = size

    def has_room(self, buffer: ResponseBuffer) -> bool:
        """Return whether a buffer may grow: a small one, the oldest large one, or if all fit.

        The oldest large response has memory of its own, so that one always makes progress.
        """
        if buffer.size <= SMALL_RESPONSE_BYTES:
            return True
        oldest = next(each for each in self._open if each.size > SMALL_RESPONSE_BYTES)
        others_bytes = self.total_bytes - oldest.size
        return buffer is oldest or others_bytes <= self._max_bytes - MAX_RESPONSE_BYTES

    async def wait_for_release(self) -> None:
        """Wait until a buffer is released."""
        await self._released.wait()

    def resize(self, buffer: ResponseBuffer, size: int) -> None:
        """Record the size of a buffer; raises ``ResponseTooLarge`` if there is no memory for it."""
        self.set_size(buffer, size)
        if self.total_bytes > self._max_bytes and size > SMALL_RESPONSE_BYTES:
            raise ResponseTooLarge(
                f"a response of {size} bytes so far exceeds the memory for all responses"
            )
