"""Limits the memory of all responses that are being buffered.

Each response has a limit of its own, but backends in trouble may send many large ones at once, and
callers may take long to read them. A response that has no room is therefore not read further until
others have ended: an answer that was made is the last thing to throw away. A response takes its
memory until its caller has it.
"""

from __future__ import annotations

import asyncio
import contextlib
from types import TracebackType
from typing import Self

from yokedock.base.ordered_set import OrderedSet
from yokedock.base.resource_budget import (
    LARGEST_RESPONSE_BYTES,
    RESERVE_SHARE,
    Holding,
    ResourceBudget,
)
from yokedock.router_errors import ResponseTooLarge

MAX_BUFFERED_BYTES = 25_165_824
"""Bytes of all responses that are being read: one of the maximum size, and half as much for all
others."""
SMALL_RESPONSE_BYTES = 262_144
"""A response of this size is never refused for the size of others."""
RECHECK_S = 0.5
"""Interval at which a response without room looks for callers that have stalled meanwhile."""


class ResponseBuffer:
    """The buffered bytes of one response, used as a context manager while it is read."""

    def __init__(self, buffers: ResponseBuffers, holding: Holding) -> None:
        """Start empty; the bytes are held for the caller's connection."""
        self.size = 0
        self.holding = holding
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
        self.release()

    def release(self) -> None:
        """Release the memory; does nothing if that was done."""
        self._buffers.remove(self)

    def complete(self) -> None:
        """Note that the response was read completely; its memory is held until ``release``."""
        self._buffers.complete(self)

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

    def __init__(self, budget: ResourceBudget | None = None) -> None:
        """Hold the responses within ``budget``, by default one of ``MAX_BUFFERED_BYTES``."""
        self._budget = budget or ResourceBudget(MAX_BUFFERED_BYTES / (1.0 - RESERVE_SHARE))
        self._budget.on_release = self._on_release
        self.total_bytes = 0
        self._reading_bytes = 0
        """Bytes of responses that are being read."""
        self._small: OrderedSet[ResponseBuffer] = OrderedSet()
        self._large: OrderedSet[ResponseBuffer] = OrderedSet()
        """Responses that are being read, in order of their beginning, or of becoming large."""
        self._released = asyncio.Event()

    def open(self, holding: Holding | None = None) -> ResponseBuffer:
        """Return an empty buffer, held for the connection of ``holding``."""
        if holding is None:
            holding = self._budget.group().open(lambda: None)
            assert holding is not None
        return ResponseBuffer(self, holding)

    def add(self, buffer: ResponseBuffer) -> None:
        """Count a buffer."""
        self._small.add(buffer)

    def remove(self, buffer: ResponseBuffer) -> None:
        """Release the memory of a buffer."""
        self.set_size(buffer, 0)
        self.complete(buffer)
        self._on_release()

    def complete(self, buffer: ResponseBuffer) -> None:
        """Note that nothing more of a response will be read."""
        if self._is_being_read(buffer):
            self._reading_bytes -= buffer.size
        self._small.discard(buffer)
        self._large.discard(buffer)
        self._reserve()

    def set_size(self, buffer: ResponseBuffer, size: int) -> None:
        """Record the size of a buffer."""
        holding = buffer.holding
        holding.hold_response(holding.response_bytes + size - buffer.size)
        self.total_bytes += size - buffer.size
        if self._is_being_read(buffer):
            self._reading_bytes += size - buffer.size
        buffer.size = size
        if size > SMALL_RESPONSE_BYTES and buffer in self._small:
            self._small.discard(buffer)
            self._large.add(buffer)
        self._reserve()

    def has_room(self, buffer: ResponseBuffer) -> bool:
        """Return whether a buffer may grow.

        What the oldest large response may still need is left free by all others, so that one always
        makes progress; so does the oldest small one.
        """
        budget = self._budget
        if buffer.size <= SMALL_RESPONSE_BYTES:
            is_oldest = buffer is next(iter(self._small), None)
            return is_oldest or budget.makes_room(budget.limit_bytes, buffer.holding)
        oldest = next(iter(self._large), buffer)
        if buffer is oldest:
            return budget.makes_room(budget.large_limit_bytes, buffer.holding)
        others_bytes = self._reading_bytes - oldest.size
        if others_bytes > MAX_BUFFERED_BYTES - LARGEST_RESPONSE_BYTES:
            return False
        most_bytes = budget.large_limit_bytes - budget.reserved_bytes
        return budget.makes_room(most_bytes, buffer.holding)

    async def wait_for_release(self) -> None:
        """Wait until memory is released, for a limited time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECHECK_S):
                await self._released.wait()

    def resize(self, buffer: ResponseBuffer, size: int) -> None:
        """Record the size of a buffer; raises ``ResponseTooLarge`` if there is no memory for it."""
        self.set_size(buffer, size)
        if size <= SMALL_RESPONSE_BYTES:
            return
        if not self._budget.makes_room(self._budget.large_limit_bytes, buffer.holding):
            raise ResponseTooLarge(
                f"a response of {size} bytes so far exceeds the memory for all responses"
            )

    def _is_being_read(self, buffer: ResponseBuffer) -> bool:
        return buffer in self._small or buffer in self._large

    def _reserve(self) -> None:
        """Leave free what the oldest large response may still need."""
        oldest = next(iter(self._large), None)
        left = 0 if oldest is None else LARGEST_RESPONSE_BYTES - oldest.size
        self._budget.reserved_bytes = max(0, left)

    def _on_release(self) -> None:
        self._released.set()
        self._released = asyncio.Event()
