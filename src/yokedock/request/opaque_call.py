"""Calls to plain services: passed on unchanged, answered whole, repeated only where allowed."""

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
    LEAST_USEFUL_S,
    AttemptRunner,
    CallAttempts,
    ChosenBackend,
)
from yokedock.request.call_queue import CallQueue, WaitingCall
from yokedock.request.retry_allowance import RequestRetries, RetryAllowance
from yokedock.request.routed_call import RoutedCall, WholeAnswer
from yokedock.request.service_supply import ServiceSupply
from yokedock.router_errors import (
    BackendAnswerLost,
    BackendBroken,
    BackendRefused,
    BackendUnreachable,
)

_log = logger("call")

POLL_S = 0.02
"""A caller without any backend looks again at this interval."""
SHORTEST_RETURN_S = 0.3
LONGEST_RETURN_S = 3.0
"""Bounds of the time to come back: an outage is taken to last as long again as it has lasted."""
FORGOTTEN_S = 10.0
"""An outage that no call has met for so long is over or of no interest."""
RETURN_SPREAD = 1.5
"""Callers come back after one to so many times that, evenly spread."""


class Outage(msgspec.Struct):
    """A time in which no backend of a service was found (boot time, s)."""

    since_s: float
    last_s: float = 0.0
    """When a call met it last."""


class OpaqueCalls:
    """Serves calls to services without model engines."""

    def __init__(
        self, registry: BackendRegistry, exchanges: BackendExchanges, allowance: RetryAllowance
    ) -> None:
        """Share the process's backends, connections and retry budget."""
        self._registry = registry
        self._allowance = allowance
        self._attempt_runner = AttemptRunner(registry, exchanges, allowance)
        self._queues: dict[str, CallQueue] = {}
        """By service, the calls for which no backend may be used now."""
        self._outages: dict[str, Outage] = {}
        """By service, those in which no backend was found for a call."""
        self._random = new_random()

    async def serve(self, call: RoutedCall) -> None:
        """Answer the call: with a backend's answer, or with the error that says what is known."""
        with self._allowance.request(call.service.name, call.request_id) as retries:
            answer = await self._serve(call, retries)
        await call.answer.whole(answer.head, answer.body)

    async def _serve(self, call: RoutedCall, retries: RequestRetries) -> WholeAnswer:
        """Return a backend's answer."""
        attempts = CallAttempts()
        kept: WholeAnswer | None = None
        while True:
            try:
                chosen = attempts.take_reserved()
                chosen = chosen or await self._next_backend(call, frozenset(attempts.tried))
                attempts.tried.add(chosen.backend.name)
                answer = await self._attempt_runner.run(call, chosen, attempts, retries)
                self._outages.pop(call.service.name, None)
            except BackendUnreachable as error:
                is_over = not retries.may_go_on(call, LEAST_USEFUL_S, is_arrival=False)
                if is_over or not await self._may_reconnect(call, attempts.tried):
                    raise self._final(call, error) from None
                continue
            except RequestQuarantined as error:
                if kept is not None:
                    return kept
                raise self._final(call, error) from None
            except (BackendRefused, BackendBroken, NoBackend) as error:
                is_last = isinstance(error, NoBackend) or (
                    isinstance(error, BackendRefused)
                    and not self._has_untried(call, attempts.tried)
                )
                # A reserved repeat is already paid for. Checking the budget again would refuse it
                # if this router's share has shrunk since.
                is_reserved = attempts.reserved is not None and call.left_s() >= LEAST_USEFUL_S
                if is_last or not (is_reserved or retries.may_go_on(call, LEAST_USEFUL_S)):
                    if kept is not None:
                        return kept
                    raise self._final(call, error) from None
                _log.info("retry", request=call.request_id, reason=error.message)
                continue
            if answer.head.status < SERVER_ERROR:
                return answer
            kept = answer
            if not retries.may_go_on(call, LEAST_USEFUL_S):
                return kept
            _log.info("retry", request=call.request_id, reason=f"status {answer.head.status}")

    async def _next_backend(self, call: RoutedCall, tried: frozenset[str]) -> ChosenBackend:
        """Return the backend to try next; waits for one while an answer could be in time.

        Whoever comes while others wait goes behind those with less time left.
        """
        name = call.service.name
        if name not in self._queues and (chosen := self._choose(name, tried)) is not None:
            return chosen
        queue = self._queues.setdefault(name, CallQueue(lambda q: self._note_waiting(name, q)))
        with queue.place(call.target_s, boot_time_s() + call.left_s()) as place:
            self._refuse_hopeless(name, [(queue.before(place), place)])
            while True:
                is_first = queue.is_first(place)
                if is_first and (chosen := self._choose(name, tried)) is not None:
                    return chosen
                if is_first:
                    self._refuse_hopeless(name, enumerate(queue.in_order()))
                if place.refusal is not None:
                    raise place.refusal
                await place.sleep(POLL_S if is_first else None)

    def _refuse_hopeless(self, service: str, places: Iterable[tuple[int, WaitingCall]]) -> None:
        """Refuse each call that should not wait on; the forecast is looked at once for all.

        ``places`` are calls and how many go before each here.
        """
        supply = self._registry.supply(service)
        elsewhere = self._registry.waiting_elsewhere(service)
        typical_s = self._registry.typical_latency_s(service)
        for before, place in places:
            wait_s = supply.wait_s(before + place.ahead_elsewhere(elsewhere))
            if not _is_worth_waiting(place, wait_s, typical_s, supply):
                reason = f"take nothing for {wait_s:.1f} s" if wait_s else "are gone"
                place.refuse(NoBackend(f"all backends of {service} {reason}; retry later"))

    def _choose(self, service: str, tried: frozenset[str]) -> ChosenBackend | None:
        """Return the cheapest backend, an untried one if there is any; take its permit."""
        backend = self._registry.cheapest(service, tried) or self._registry.cheapest(service)
        if backend is None:
            return None
        return ChosenBackend(backend, backend.limit.take(boot_time_s()))

    def _note_waiting(self, service: str, queue: CallQueue) -> None:
        """Tell how many wait, for the order in which routers take the permits of a backend."""
        since_s = queue.since_s() if len(queue) else math.inf
        self._registry.note_waiting(service, len(queue), since_s)
        if not len(queue):
            self._queues.pop(service, None)

    def _could_be_in_time(self, call: RoutedCall, wait_s: float = 0.0) -> bool:
        """Return whether an attempt that begins in ``wait_s`` could still meet the target."""
        expected_s = self._registry.typical_latency_s(call.service.name)
        return boot_time_s() + wait_s + expected_s < call.target_s

    async def _may_reconnect(self, call: RoutedCall, tried: set[str]) -> bool:
        """Return whether to go on after a backend could not be reached.

        Once all were tried, wait a moment between rounds, while an answer could be in time.
        """
        if self._has_untried(call, tried):
            return True
        await asyncio.sleep(POLL_S)
        return self._could_be_in_time(call)

    def _has_untried(self, call: RoutedCall, tried: set[str]) -> bool:
        """Return whether a backend is left that was not asked: another request costs budget."""
        usable = self._registry.usable(call.service.name)
        return any(backend.name not in tried for backend in usable)

    def _return_after_s(self, service: str) -> float:
        """Return when a caller for whom no backend was found should come back.

        Rests and limits are known; an outage is only guessed at.
        """
        waiting = len(self._queues.get(service, ())) + self._registry.waiting_elsewhere(service)
        wait_s = self._registry.supply(service).wait_s(waiting)
        if wait_s:
            return wait_s * self._random.uniform(1.0, RETURN_SPREAD)
        now_s = boot_time_s()
        for name in [n for n, o in self._outages.items() if now_s - o.last_s > FORGOTTEN_S]:
            del self._outages[name]
        outage = self._outages.setdefault(service, Outage(now_s))
        outage.last_s = now_s
        expected_s = min(max(now_s - outage.since_s, SHORTEST_RETURN_S), LONGEST_RETURN_S)
        return expected_s * self._random.uniform(1.0, RETURN_SPREAD)

    def _final(self, call: RoutedCall, error: YokedockError) -> YokedockError:
        """Return what the caller is told: "not run" only if that is certain."""
        if not call.may_have_run:
            if isinstance(error, RequestQuarantined):
                return error
            message = f"{error.message}; it was not run, retry later"
            return NoBackend(message, self._return_after_s(call.service.name))
        if call.left_s() <= 0:
            return DeadlineExceeded("no answer came in time, and it may have run; look it up")
        return BackendAnswerLost("the answer was lost and it may have run; look it up first")


def _is_worth_waiting(
    place: WaitingCall, wait_s: float, typical_s: float, supply: ServiceSupply
) -> bool:
    """Return whether a call should go on waiting for a backend.

    It should come in time; but one that has its place among those that wait for permits stays:
    answered a little late it is better off than refused after a wait.
    """
    now_s = boot_time_s()
    if place.is_settled and supply.moves_in_order:
        return now_s + wait_s < place.deadline_s
    return now_s + wait_s + typical_s < place.target_s
