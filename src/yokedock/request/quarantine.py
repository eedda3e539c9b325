"""Ends the work for requests in quarantine: those that come, that wait, and that were sent already.

A request may wait for room, or in an engine's queue, while it becomes known elsewhere that it ends
whoever runs it. Its caller is told at once, and an engine drops what its connection drops.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from yokedock.errors import RequestQuarantined
from yokedock.request.poison_requests import FORGOTTEN_S, SETTLE_S, PoisonRequests
from yokedock.request.routed_call import RoutedCall
from yokedock.router_errors import BackendAnswerLost

TIMER_SLACK_S = 0.005
"""The second look after a pair has settled comes so much later: timers may be early by a tick."""


class QuarantineGuard:
    """Watches over the calls of one router while they are served."""

    def __init__(self, requests: PoisonRequests) -> None:
        """End calls as ``requests`` says."""
        self._requests = requests
        self._limits: dict[RoutedCall, asyncio.Timeout] = {}
        self._is_recheck_scheduled = False
        requests.on_change = self._look

    @contextlib.asynccontextmanager
    async def served(self, call: RoutedCall) -> AsyncIterator[None]:
        """Let a call be served, unless it is in quarantine or comes into it before its answer.

        Raises ``RequestQuarantined`` where it was not run, ``BackendAnswerLost`` where it may have
        been.
        """
        if self._requests.is_known():
            self._requests.require_not_quarantined(call.digest)
        limit = asyncio.timeout(None)
        self._limits[call] = limit
        try:
            async with limit:
                yield
        except TimeoutError:
            if not limit.expired():
                raise
            if call.may_have_run:
                message = "backends ended under this request; look up whether it ran"
                raise BackendAnswerLost(message) from None
            message = "backends end under this request; change it, or send it later"
            raise RequestQuarantined(message, FORGOTTEN_S) from None
        finally:
            del self._limits[call]

    def _look(self) -> None:
        """End what is in quarantine now, and look again once pairs have settled."""
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
            if is_cancellable and self._requests.quarantined_for_s(call.digest):
                self._requests.refused += 1
                limit.reschedule(now_s)
