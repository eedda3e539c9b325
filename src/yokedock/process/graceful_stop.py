"""Ends a router gracefully: requests in flight are completed, and connections closed in order.

New connections are accepted until the process exits. What a request may still expect in that time
is decided by ``StopAdmission``.
"""

from __future__ import annotations

import asyncio

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.ordered_set import OrderedSet
from yokedock.connection.caller_connection import CallerConnection
from yokedock.process.request_handler import RequestHandler
from yokedock.request.stop_admission import StopState

_log = logger("router")

CONNECTION_DRAIN_S = 2.5
"""Time from the start of a graceful shutdown until the load balancer opens no more connections."""
FINAL_ANSWERS_MARGIN_S = 0.8
"""How long before the end of a graceful shutdown the requests still waiting get a final answer."""
KILL_MARGIN_S = 0.3
"""How long before the end of the grace time connections are closed, whatever is left to send."""
POLL_S = 0.05
MAX_LATE_READS_S = 1.0
"""How long the end of a graceful shutdown waits at most for an event loop that runs on time: on a
machine that is always late it never does."""
MAX_PUNCTUAL_SLEEP_S = 2 * POLL_S
"""A sleep of ``POLL_S`` that takes longer shows a stall of the event loop."""


class GracefulStop:
    """The graceful shutdown of one router; ``run`` returns when all connections are closed."""

    def __init__(
        self,
        stop: StopState,
        handler: RequestHandler,
        connections: OrderedSet[CallerConnection],
    ) -> None:
        """``connections`` are those of callers; connections accepted later are added to them."""
        self._stop = stop
        self._handler = handler
        self._connections = connections

    def begin(self, grace_s: float) -> None:
        """Announce the close of all connections; the process will be killed in ``grace_s``."""
        now_s = boot_time_s()
        self._stop.is_stopping = True
        self._stop.since_s = now_s
        self._stop.final_answers_s = now_s + grace_s - FINAL_ANSWERS_MARGIN_S
        _log.info("stopping", active=self._handler.active, connections=len(self._connections))
        for connection in self._connections:
            connection.is_closing = True

    async def run(self) -> None:
        """Complete the requests in flight; those still waiting near the end get a final answer."""
        drained_s = min(boot_time_s() + CONNECTION_DRAIN_S, self._stop.final_answers_s)
        while boot_time_s() < drained_s:
            await self._refuse_late_calls(drained_s)
        await self._wait_for_punctual_loop()
        for connection in list(self._connections):
            connection.close_if_idle()
        while self._handler.active and boot_time_s() < self._stop.final_answers_s:
            await self._refuse_late_calls(self._stop.final_answers_s)
        await self._end()

    async def _end(self) -> None:
        """Have all requests answered and close all connections."""
        active = self._handler.active
        _log.info(
            "stop ends", is_idle=not active, active=active, connections=len(self._connections)
        )
        self._stop.is_ending = True
        for connection in list(self._connections):
            connection.cancel_handler()
        await self._wait_for_sent_answers()
        for connection in list(self._connections):
            connection.abort()
        await asyncio.sleep(0)

    async def _refuse_late_calls(self, until_s: float) -> None:
        """Refuse the calls for which too little time is left, then sleep for one poll interval.

        An error must not end the stop: all requests would end with it.
        """
        try:
            self._handler.refuse_late_calls()
        except Exception:
            _log.exception("late calls not refused")
        await asyncio.sleep(max(0.0, min(POLL_S, until_s - boot_time_s())))

    async def _wait_for_punctual_loop(self) -> None:
        """Wait until the event loop runs on time, so that all requests that arrived are read.

        After a stall, a connection may appear idle although its next request waits in the socket.
        """
        while boot_time_s() < self._stop.final_answers_s:
            if await _sleep_punctually():
                return

    async def _wait_for_sent_answers(self) -> None:
        """Wait until all answers are with the kernel, or until the process is about to be killed.

        A request ends before its caller has read the whole answer. After a stall, requests that
        arrived meanwhile may still wait in the sockets: they get their answers first.
        """
        end_s = self._stop.final_answers_s + FINAL_ANSWERS_MARGIN_S - KILL_MARGIN_S
        late_reads_end_s = min(end_s, boot_time_s() + MAX_LATE_READS_S)
        is_read = await _sleep_punctually()
        while boot_time_s() < end_s and not (is_read and self._are_answers_sent()):
            is_read = await _sleep_punctually() or boot_time_s() >= late_reads_end_s

    def _are_answers_sent(self) -> bool:
        return not any(connection.has_unsent_answer() for connection in self._connections)


async def _sleep_punctually() -> bool:
    """Sleep for ``POLL_S``; return whether the event loop ran on time meanwhile."""
    began_s = boot_time_s()
    await asyncio.sleep(POLL_S)
    return boot_time_s() - began_s < MAX_PUNCTUAL_SLEEP_S
