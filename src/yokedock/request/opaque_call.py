"""Calls to plain services: passed on unchanged, answered whole, repeated only where allowed."""

from __future__ import annotations

import asyncio
import time

from yokedock.base.logs import logger
from yokedock.connection.dialect import BackendOrder
from yokedock.errors import DeadlineExceeded, NoBackend, YokedockError
from yokedock.request.backend_exchange import SERVER_ERROR, BackendExchanges
from yokedock.request.backend_registry import Backend, BackendRegistry
from yokedock.request.retry_allowance import RetryAllowance
from yokedock.request.routed_call import RoutedCall, WholeAnswer
from yokedock.router_errors import (
    BackendAnswerLost,
    BackendBroken,
    BackendRefused,
    BackendUnreachable,
)

_log = logger("call")

REFUSE_WITHIN = 0.22
"""Share of the target within which a refusal is early."""
POLL_S = 0.02
FIRST_TRY_SHARE = 0.45
"""Share of the route's time-out that one attempt may be silent where another may follow."""
LEAST_USEFUL_S = 0.03
"""A second attempt with less time left cannot finish."""
COME_BACK_S = 0.4
"""When to come back after a refusal for want of a backend."""


class OpaqueCalls:
    """Serves calls to services without model engines."""

    def __init__(
        self, registry: BackendRegistry, exchanges: BackendExchanges, allowance: RetryAllowance
    ) -> None:
        """Share the process's backends, connections and retry budget."""
        self._registry = registry
        self._exchanges = exchanges
        self._allowance = allowance

    async def serve(self, call: RoutedCall) -> None:
        """Answer the call: with a backend's answer, or with the error that says what is known."""
        self._allowance.note_request(call.service.name)
        tried: set[str] = set()
        kept: WholeAnswer | None = None
        while True:
            try:
                backend = await self._next_backend(call, frozenset(tried))
                tried.add(backend.name)
                answer = await self._attempt(call, backend)
            except BackendUnreachable as error:
                is_over = not self._allowance.may_try_again(call, LEAST_USEFUL_S, is_arrival=False)
                if is_over or not await self._may_knock_again(call, tried):
                    raise self._final(call, error) from None
                continue
            except (BackendRefused, BackendBroken, NoBackend) as error:
                is_last = isinstance(error, NoBackend) or (
                    isinstance(error, BackendRefused) and not self._has_untried(call, tried)
                )
                if is_last or not self._allowance.may_try_again(call, LEAST_USEFUL_S):
                    if kept is not None:
                        break
                    raise self._final(call, error) from None
                _log.info("retry", request=call.request_id, reason=error.message)
                continue
            if answer.head.status < SERVER_ERROR:
                kept = answer
                break
            kept = answer
            if not self._allowance.may_try_again(call, LEAST_USEFUL_S):
                break
            _log.info("retry", request=call.request_id, reason=f"status {answer.head.status}")
        await call.answer.whole(kept.head, kept.body)

    async def _next_backend(self, call: RoutedCall, tried: frozenset[str]) -> Backend:
        """Return the backend to try next; waits for one while a refusal would still be early."""
        wait_until_s = call.arrived_s + REFUSE_WITHIN * call.route.target_s
        while True:
            name = call.service.name
            backend = self._registry.cheapest(name, tried) or self._registry.cheapest(name)
            if backend is not None:
                return backend
            if time.monotonic() >= wait_until_s:
                raise NoBackend(f"no backend of {name} is listed; retry later", COME_BACK_S)
            await asyncio.sleep(POLL_S)

    async def _attempt(self, call: RoutedCall, backend: Backend) -> WholeAnswer:
        """Send the call once and return the answer, read whole."""
        async with self._exchanges.open(backend, call) as exchange:
            if call.arrivals:
                self._allowance.note_extra(call.service.name)
            call.arrivals += 1
            order = BackendOrder(backend.name, call.backend_deadline_ms())
            with call.one_run():
                await exchange.send(order)
                return await exchange.read_whole(self._patience_s(call))

    def _patience_s(self, call: RoutedCall) -> float:
        """Return how long to wait for an answer before another attempt, or until the deadline."""
        left_s = call.left_s()
        if call.may_run_again() and self._allowance.may_spend(call.service.name):
            return min(left_s, FIRST_TRY_SHARE * call.route.timeout_s)
        return left_s

    async def _may_knock_again(self, call: RoutedCall, tried: set[str]) -> bool:
        """Return whether to go on after a backend could not be reached.

        Once all were tried, wait a moment between rounds, while a refusal would still be early.
        """
        if self._has_untried(call, tried):
            return True
        await asyncio.sleep(POLL_S)
        return time.monotonic() < call.arrived_s + REFUSE_WITHIN * call.route.target_s

    def _has_untried(self, call: RoutedCall, tried: set[str]) -> bool:
        """Return whether a backend is left that was not asked: knocking again spends the budget."""
        usable = self._registry.usable(call.service.name)
        return any(backend.name not in tried for backend in usable)

    def _final(self, call: RoutedCall, error: YokedockError) -> YokedockError:
        """Return what the caller is told: "not run" only if that is certain."""
        if not call.may_have_run:
            return NoBackend(f"{error.message}; it was not run, retry later", COME_BACK_S)
        if call.left_s() <= 0:
            return DeadlineExceeded("no answer came in time, and it may have run; look it up")
        return BackendAnswerLost("the answer was lost and it may have run; look it up first")
