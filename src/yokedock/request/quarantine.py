"""Cancels calls whose request is quarantined: on arrival, while queued, or already at a backend.

A request may be queued here or in an engine when other routers detect that it crashes backends. Its
caller gets an error at once, and the engine drops the request when its connection is closed.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from yokedock.errors import RequestQuarantined
from yokedock.request.crash_records import CrashRecords
from yokedock.request.poison_requests import QUARANTINE_S, SETTLE_S
from yokedock.request.routed_call import RoutedCall
from yokedock.router_errors import BackendResponseLost

TIMER_SLACK_S = 0.005
"""Delay of the recheck beyond the settling time: timers may fire early by one clock tick."""


class QuarantineGuard:
    """Monitors the calls of one router while they are served."""

    def __init__(self, records: CrashRecords) -> None:
        """Cancel calls according to ``records``."""
        self._records = records
        self._limits: dict[RoutedCall, asyncio.Timeout] = {}
        self._is_recheck_scheduled = False
        records.watch(self._look)

    @contextlib.asynccontextmanager
    async def served(self, call: RoutedCall) -> AsyncIterator[None]:
        """Serve a call unless it is quarantined, or becomes so before its response has started.

        Raises ``RequestQuarantined`` if it was not run, ``BackendResponseLost`` if it may have
        been.
        """
        self._records.require_not_quarantined(call)
        limit = asyncio.timeout(None)
        self._limits[call] = limit
        try:
            async with limit:
                yield
        except TimeoutError:
            if not limit.expired():
                raise
            if call.may_have_run:
                message = "backends crashed during this request; check whether it was executed"
                raise BackendResponseLost(message) from None
            self._records.require_not_quarantined(call)
            message = "this request may crash backends; change it, or retry it later"
            raise RequestQuarantined(message, QUARANTINE_S) from None
        finally:
            del self._limits[call]

    def _look(self) -> None:
        """Cancel quarantined calls now, and check again after the settling time."""
        self._end_quarantined()
        if not self._is_recheck_scheduled and self._limits:
            self._is_recheck_scheduled = True
            delay_s = SETTLE_S + TIMER_SLACK_S
            asyncio.get_running_loop().call_later(delay_s, self._recheck)

    def _recheck(self) -> None:
        self._is_recheck_scheduled = False
        self._end_quarantined()

    def _end_quarantined(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for call, limit in list(self._limits.items()):
            is_cancellable = not call.answer.has_started and not limit.expired()
            if is_cancellable and self._records.quarantined_for_s(call):
                limit.reschedule(now_s)
