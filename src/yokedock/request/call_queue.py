"""Calls queued at this router for a backend of their service, in earliest-deadline-first order.

A new call queues behind those with earlier target times and can estimate its wait from its
position. Only the first call looks for a backend, and it evaluates the forecast for the whole
queue. The cost of waiting is therefore proportional to the number of queued calls, not to that
number times the number of backends.
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
"""Calls reported by other routers within this time after a call was queued count as simultaneous
with it, and half of them as ahead of it. Covers the latency of two datagrams."""


class WaitingCall:
    """A queued call."""

    def __init__(self, target_s: float, deadline_s: float = math.inf) -> None:
        """``target_s`` is the target time of the response, ``deadline_s`` the latest to wait until.

        Both are boot time.
        """
        self.target_s = target_s
        self.deadline_s = deadline_s
        self.since_s = boot_time_s()
        self._initial_remote: int | None = None
        self._elsewhere = 0.0
        self._woken = asyncio.Event()
        self.refusal: NoBackend | None = None
        """Set once further waiting is pointless."""

    @property
    def is_settled(self) -> bool:
        """Return whether other routers know of the call, so that it can no longer fall back."""
        return boot_time_s() >= self.since_s + TIE_WINDOW_S

    def remote_ahead(self, waiting: int) -> float:
        """Return how many of the ``waiting`` calls at other routers count as ahead of this one.

        Calls that arrive there later are behind it.
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
        """Wake the call, so that it looks for a backend at once."""
        self._woken.set()

    def refuse(self, error: NoBackend) -> None:
        """Wake the call and make it fail with ``error``."""
        self.refusal = error
        self._woken.set()

    async def sleep(self, max_duration_s: float | None) -> None:
        """Wait until woken, for at most ``max_duration_s`` if given."""
        self._woken.clear()
        # ``asyncio.wait_for`` ignores a cancellation that arrives as the call is woken.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max_duration_s):
                await self._woken.wait()


class CallQueue:
    """The calls queued for the backends of one service."""

    def __init__(self, on_change: Callable[[CallQueue], None]) -> None:
        """``on_change`` is called with this queue whenever a call enters or leaves it."""
        self._on_change = on_change
        self._waiting: list[WaitingCall] = []

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return len(self._waiting)

    def since_s(self) -> float:
        """Return when the first call in order was queued (boot time)."""
        return self._waiting[0].since_s

    @contextlib.contextmanager
    def place(self, target_s: float, deadline_s: float) -> Iterator[WaitingCall]:
        """Queue a call for the duration of the context."""
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
        """Return the number of calls ahead of a call."""
        return self._waiting.index(call)

    def is_first(self, call: WaitingCall) -> bool:
        """Return whether no call is ahead of this one."""
        return self._waiting[0] is call

    def in_order(self) -> list[WaitingCall]:
        """Return all queued calls in order."""
        return list(self._waiting)
