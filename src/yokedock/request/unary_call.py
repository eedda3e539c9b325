"""Calls to services without model engines.

The request and the buffered response are forwarded unchanged. A request is retried only where its
route allows it.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.errors import DeadlineExceeded, NoBackend, RequestQuarantined, YokedockError
from yokedock.request.backend_exchange import SERVER_ERROR, BackendExchanges
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.call_attempt import (
    MIN_ATTEMPT_TIME_S,
    AttemptRunner,
    CallAttempts,
    ChosenBackend,
)
from yokedock.request.call_queue import CallQueue, WaitingCall
from yokedock.request.retry_allowance import RequestRetries, RetryAllowance
from yokedock.request.routed_call import BufferedResponse, RoutedCall
from yokedock.request.service_supply import ServiceSupply
from yokedock.request.version_pinning import VersionPinning
from yokedock.router_errors import (
    BackendRefused,
    BackendResponseError,
    BackendResponseLost,
    BackendUnreachable,
)

_log = logger("call")

POLL_S = 0.02
"""Interval at which the first waiting call looks for a usable backend again."""
MIN_OUTAGE_RETRY_AFTER_S = 0.3
MAX_OUTAGE_RETRY_AFTER_S = 3.0
"""Bounds of the retry-after time during an outage.

An outage is expected to last as long again as it has lasted so far.
"""
OUTAGE_EXPIRY_S = 10.0
"""An outage that no call has met for this long is discarded as over or irrelevant."""
RETRY_AFTER_JITTER = 1.5
"""Retry-after times are spread evenly between one and this many times the expected wait."""


class Outage(msgspec.Struct):
    """A period in which a service had no usable backend (boot time, s)."""

    since_s: float
    last_s: float = 0.0
    """When a call last found no backend."""


class UnaryCalls:
    """Serves calls to services without model engines, with retries and a queue per service."""

    def __init__(
        self,
        registry: BackendRegistry,
        exchanges: BackendExchanges,
        allowance: RetryAllowance,
        pinning: VersionPinning,
    ) -> None:
        """Use the backends, connections, retry budget and versions of the whole process."""
        self._pinning = pinning
        self._registry = registry
        self._allowance = allowance
        self._attempt_runner = AttemptRunner(registry, exchanges, allowance)
        self._queues: dict[str, CallQueue] = {}
        """By service, the calls that wait for a usable backend."""
        self._outages: dict[str, Outage] = {}
        """By service, the current outage."""
        self._random = new_random()

    async def serve(self, call: RoutedCall) -> None:
        """Send the caller a backend's response.

        Raises a typed error that says whether the request may have run.
        """
        with self._allowance.request(call.service.name, call.request_id) as retries:
            answer = await self._serve(call, retries)
        await call.answer.whole(answer.head, answer.body)

    async def _serve(self, call: RoutedCall, retries: RequestRetries) -> BufferedResponse:
        """Try backends until one responds; a connection that is still reserved then is released."""
        attempts = CallAttempts()
        try:
            return await self._try_backends(call, attempts, retries)
        finally:
            attempts.release_reserved()

    async def _try_backends(
        self, call: RoutedCall, attempts: CallAttempts, retries: RequestRetries
    ) -> BufferedResponse:
        """Try backends until one responds.

        A server error is returned only if no retry is allowed or none gets a response.
        """
        kept: BufferedResponse | None = None
        while True:
            try:
                chosen = attempts.take_reserved()
                chosen = chosen or await self._next_backend(call, frozenset(attempts.tried))
                attempts.tried.add(chosen.backend.name)
                answer = await self._attempt_runner.run(call, chosen, attempts, retries)
                self._outages.pop(call.service.name, None)
            except BackendUnreachable as error:
                is_over = not retries.reserve_retry(call, MIN_ATTEMPT_TIME_S, uses_budget=False)
                if is_over or not await self._may_reconnect(call, attempts.tried):
                    raise self._final_error(call, error) from None
                continue
            except RequestQuarantined as error:
                if kept is not None:
                    return kept
                raise self._final_error(call, error) from None
            except (BackendRefused, BackendResponseError, NoBackend) as error:
                is_last = isinstance(error, NoBackend) or (
                    isinstance(error, BackendRefused)
                    and not self._has_untried_backend(call, attempts.tried)
                )
                # A reserved retry has been charged to the budget already. Checking the budget again
                # would deny it if this router's share has shrunk since.
                is_reserved = (
                    attempts.reserved is not None and call.remaining_s() >= MIN_ATTEMPT_TIME_S
                )
                if is_last or not (is_reserved or retries.reserve_retry(call, MIN_ATTEMPT_TIME_S)):
                    if kept is not None:
                        return kept
                    raise self._final_error(call, error) from None
                _log.info("retry", request=call.request_id, reason=error.message)
                continue
            if answer.head.status < SERVER_ERROR:
                self._pinning.begin(call, chosen.backend)
                return answer
            kept = answer
            if not retries.reserve_retry(call, MIN_ATTEMPT_TIME_S):
                return kept
            _log.info("retry", request=call.request_id, reason=f"status {answer.head.status}")

    async def _next_backend(self, call: RoutedCall, tried: frozenset[str]) -> ChosenBackend:
        """Return the backend to try next, waiting for one while the target can still be met.

        While other calls wait, the call queues behind those with an earlier target time.
        """
        name = call.service.name
        if name not in self._queues and (chosen := self._choose(call, tried)) is not None:
            return chosen
        queue = self._queues.setdefault(name, CallQueue(lambda q: self._report_waiting(name, q)))
        with queue.place(call.target_s, boot_time_s() + call.remaining_s()) as place:
            self._reject_late_calls(name, [(queue.before(place), place)])
            while True:
                is_first = queue.is_first(place)
                if is_first and (chosen := self._choose(call, tried)) is not None:
                    return chosen
                if is_first:
                    self._reject_late_calls(name, enumerate(queue.in_order()))
                if place.refusal is not None:
                    raise place.refusal
                await place.sleep(POLL_S if is_first else None)

    def _reject_late_calls(self, service: str, places: Iterable[tuple[int, WaitingCall]]) -> None:
        """Reject each call that should not keep waiting.

        The wait forecast is computed once for all calls. ``places`` holds pairs of the number of
        calls ahead in this router's queue, and the call.
        """
        supply = self._registry.supply(service)
        elsewhere = self._registry.waiting_elsewhere(service)
        typical_s = self._registry.typical_latency_s(service)
        for before, place in places:
            wait_s = supply.wait_s(before + place.remote_ahead(elsewhere))
            if not _should_keep_waiting(place, wait_s, typical_s, supply):
                reason = f"accept no request for {wait_s:.1f} s" if wait_s else "are unavailable"
                place.refuse(NoBackend(f"all backends of {service} {reason}; retry later"))

    def _choose(self, call: RoutedCall, tried: frozenset[str]) -> ChosenBackend | None:
        """Return the cheapest backend, preferring untried ones, and take its rate-limit permit."""
        service, version = call.service.name, call.version
        backend = self._registry.cheapest(service, tried, version)
        backend = backend or self._registry.cheapest(service, version=version)
        if backend is None:
            return None
        return ChosenBackend(backend, backend.limit.take(boot_time_s()))

    def _report_waiting(self, service: str, queue: CallQueue) -> None:
        """Publish the number of waiting calls and the start of the wait.

        The routers take a backend's permits in an order that depends on them.
        """
        since_s = queue.since_s() if len(queue) else math.inf
        self._registry.record_waiting(service, len(queue), since_s)
        if not len(queue):
            self._queues.pop(service, None)

    def _can_meet_target(self, call: RoutedCall, wait_s: float = 0.0) -> bool:
        """Return whether an attempt that starts in ``wait_s`` is expected to meet the target."""
        expected_s = self._registry.typical_latency_s(call.service.name)
        return boot_time_s() + wait_s + expected_s < call.target_s

    async def _may_reconnect(self, call: RoutedCall, tried: set[str]) -> bool:
        """Return whether to try again after a backend could not be reached.

        Once all backends were tried, pauses between rounds and goes on while the target can still
        be met.
        """
        if self._has_untried_backend(call, tried):
            return True
        await asyncio.sleep(POLL_S)
        return self._can_meet_target(call)

    def _has_untried_backend(self, call: RoutedCall, tried: set[str]) -> bool:
        """Return whether a usable backend is untried.

        Another request to a backend that was tried would cost retry budget.
        """
        usable = self._registry.usable(call.service.name, version=call.version)
        return any(backend.name not in tried for backend in usable)

    def _retry_after_s(self, service: str) -> float:
        """Return the retry-after time for a caller that got no backend.

        It follows from the backends' announced pauses and rate limits where those explain the wait.
        Otherwise it is estimated from the length of the outage so far.
        """
        waiting = len(self._queues.get(service, ())) + self._registry.waiting_elsewhere(service)
        wait_s = self._registry.supply(service).wait_s(waiting)
        if wait_s:
            return wait_s * self._random.uniform(1.0, RETRY_AFTER_JITTER)
        now_s = boot_time_s()
        for name in [n for n, o in self._outages.items() if now_s - o.last_s > OUTAGE_EXPIRY_S]:
            del self._outages[name]
        outage = self._outages.setdefault(service, Outage(now_s))
        outage.last_s = now_s
        expected_s = min(
            max(now_s - outage.since_s, MIN_OUTAGE_RETRY_AFTER_S), MAX_OUTAGE_RETRY_AFTER_S
        )
        return expected_s * self._random.uniform(1.0, RETRY_AFTER_JITTER)

    def _final_error(self, call: RoutedCall, error: YokedockError) -> YokedockError:
        """Return the error for the caller; it says "not run" only if that is certain."""
        if not call.may_have_run:
            if isinstance(error, RequestQuarantined):
                return error
            message = f"{error.message}; the request was not run, retry later"
            return NoBackend(message, self._retry_after_s(call.service.name))
        if call.remaining_s() <= 0:
            return DeadlineExceeded(
                "no response before the deadline and the request may have run; check its result"
            )
        return BackendResponseLost(
            "the response was lost and the request may have run; check its result before a retry"
        )


def _should_keep_waiting(
    place: WaitingCall, wait_s: float, typical_s: float, supply: ServiceSupply
) -> bool:
    """Return whether a call should keep waiting for a backend.

    It should if it is expected to meet its target. Where calls wait in order for
    permits or connections, a call that the other routers know of may wait until its deadline: a
    slightly late response serves the caller better than a rejection after a wait.
    """
    now_s = boot_time_s()
    if place.is_settled and supply.is_served_in_order:
        return now_s + wait_s < place.deadline_s
    return now_s + wait_s + typical_s < place.target_s
