"""Calls that wait at this router for a backend of their service: the least time left goes first.

Pattern: earliest deadline first, with many waiting. Whoever comes while others wait goes behind
those with less time left, and knows by its place how long it will wait. Only the first in order
looks for a backend, and it looks at the forecast for all: the cost of waiting grows with those who
wait, not with their number times the backends.
"""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import math
from collections.abc import Callable, Iterator

from yokedock.base.clock import boot_time_s
from yokedock.errors import NoBackend

TIE_WINDOW_S = 0.05
"""What is told so soon after a call came to wait elsewhere came at the same moment: half of it goes
before. Two datagrams and their ways."""


class WaitingCall:
    """One call's place in the queue."""

    def __init__(self, target_s: float, deadline_s: float = math.inf) -> None:
        """``target_s``: an answer by then is in time; nobody waits past ``deadline_s``.

        Both are of boot time.
        """
        self.target_s = target_s
        self.deadline_s = deadline_s
        self.since_s = boot_time_s()
        self._initial_remote: int | None = None
        self._elsewhere = 0.0
        self._woken = asyncio.Event()
        self.refusal: NoBackend | None = None
        """Set once waiting on is of no use."""

    @property
    def is_settled(self) -> bool:
        """Return whether the other routers know of it, so that its place will not get worse."""
        return boot_time_s() >= self.since_s + TIE_WINDOW_S

    def ahead_elsewhere(self, waiting: int) -> float:
        """Return how many go before it at other routers, where ``waiting`` wait now.

        Whoever comes there later goes behind it.
        """
        if self._initial_remote is None:
            self._initial_remote, self._elsewhere = waiting, float(waiting)
        elif not self.is_settled:
            tied = max(0, waiting - self._initial_remote)
            self._elsewhere = min(waiting, self._initial_remote) + tied / 2
        else:
            self._elsewhere = min(self._elsewhere, float(waiting))
        return self._elsewhere

    def wake(self) -> None:
        """Let it look at once."""
        self._woken.set()

    def refuse(self, error: NoBackend) -> None:
        """Let it end with ``error``, at once."""
        self.refusal = error
        self._woken.set()

    async def sleep(self, longest_s: float | None) -> None:
        """Wait until it is woken, at most for ``longest_s`` if that is given."""
        self._woken.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._woken.wait(), longest_s)


class CallQueue:
    """The calls that wait for the backends of one service."""

    def __init__(self, on_change: Callable[[CallQueue], None]) -> None:
        """``on_change`` is called with this queue when a call comes or goes."""
        self._on_change = on_change
        self._waiting: list[WaitingCall] = []

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiting)

    def since_s(self) -> float:
        """Return since when the first in order waits (boot time)."""
        return self._waiting[0].since_s

    @contextlib.contextmanager
    def place(self, target_s: float, deadline_s: float) -> Iterator[WaitingCall]:
        """Let a call stand in the queue."""
        call = WaitingCall(target_s, deadline_s)
        bisect.insort(self._waiting, call, key=lambda one: one.target_s)
        self._on_change(self)
        try:
            yield call
        finally:
            self._waiting.remove(call)
            self._on_change(self)
            if self._waiting:
                self._waiting[0].wake()

    def before(self, call: WaitingCall) -> int:
        """Return how many go before a call."""
        return self._waiting.index(call)

    def is_first(self, call: WaitingCall) -> bool:
        """Return whether nobody goes before a call."""
        return self._waiting[0] is call

    def in_order(self) -> list[WaitingCall]:
        """Return all that wait, whoever goes first at the beginning."""
        return list(self._waiting)
