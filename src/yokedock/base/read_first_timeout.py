"""A time-out that lets data that has already arrived be read before it expires.

When a stalled process resumes, its timers are due and its sockets readable in the same iteration of
the event loop, and the timers would come first: after every stall, all requests at once would
abandon responses that have already arrived and request them again. This time-out therefore expires
two iterations later.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from types import TracebackType
from typing import Self

RECHECK_S = 0.1
"""Time from one refused expiry to the next."""


class ReadFirstTimeout:
    """An asynchronous context manager that raises ``TimeoutError`` when its time is over."""

    def __init__(
        self,
        delay_s: float,
        may_expire: Callable[[], bool] = lambda: True,
        due_s: Callable[[], float] = lambda: -math.inf,
        latest_s: float = math.inf,
    ) -> None:
        """Allow ``delay_s`` seconds, counted from entering the context.

        ``due_s`` is asked at the expiry: the time-out is moved to the time that it returns, in the
        event loop's time, if that is still to come. Data that arrives all the time can therefore
        not prevent an expiry, as it could if it moved the timer. ``may_expire`` is asked after
        that; while it returns False, the wait goes on, and it is asked again at ``latest_s`` at the
        latest (the event loop's time).
        """
        self._latest_s = latest_s
        self._may_expire = may_expire
        self._due_s = due_s
        self._delay_s = delay_s
        self._loop = asyncio.get_running_loop()
        self._limit = asyncio.timeout(None)
        self._handle: asyncio.Handle | None = None

    async def __aenter__(self) -> Self:
        """Start the timer."""
        await self._limit.__aenter__()
        self.reschedule(self._loop.time() + self._delay_s)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Cancel the timer."""
        self._cancel_timer()
        await self._limit.__aexit__(kind, error, trace)

    def reschedule(self, due_s: float) -> None:
        """Move the expiry to ``due_s``, in the event loop's time."""
        self._cancel_timer()
        self._handle = self._loop.call_at(due_s, self._defer_expiry)

    def _defer_expiry(self) -> None:
        """Defer the expiry, so that the tasks whose data was read in this iteration run first."""
        self._handle = self._loop.call_soon(self._expire)

    def _expire(self) -> None:
        self._handle = None
        now_s, due_s = self._loop.time(), self._due_s()
        if due_s > now_s:
            self.reschedule(due_s)
        elif self._may_expire():
            self._limit.reschedule(now_s)
        else:
            recheck_s = now_s + RECHECK_S
            self.reschedule(min(recheck_s, self._latest_s) if now_s < self._latest_s else recheck_s)

    def _cancel_timer(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
