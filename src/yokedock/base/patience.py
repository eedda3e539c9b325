"""A time limit that lets what has already come be read before it strikes.

A process that stood still finds its timers due and its sockets readable in the same round of the
event loop, and the timers would win: answers that lie ready would be given up and asked for again,
after every freeze, by all requests at once. This limit strikes two rounds later.
"""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Self


class Patience:
    """An asynchronous context that raises ``TimeoutError`` once its time is over."""

    def __init__(self, delay_s: float) -> None:
        """Allow ``delay_s`` seconds from the entry on."""
        self._delay_s = delay_s
        self._loop = asyncio.get_running_loop()
        self._limit = asyncio.timeout(None)
        self._handle: asyncio.Handle | None = None

    async def __aenter__(self) -> Self:
        """Begin to wait."""
        await self._limit.__aenter__()
        self.reschedule(self._loop.time() + self._delay_s)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the wait."""
        self._disarm()
        await self._limit.__aexit__(kind, error, trace)

    def reschedule(self, due_s: float) -> None:
        """Let the time be over at ``due_s``, by the event loop's clock."""
        self._disarm()
        self._handle = self._loop.call_at(due_s, self._come_due)

    def _come_due(self) -> None:
        """Let the tasks whose bytes were read in this round run first."""
        self._handle = self._loop.call_soon(self._strike)

    def _strike(self) -> None:
        self._handle = None
        self._limit.reschedule(self._loop.time())

    def _disarm(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
