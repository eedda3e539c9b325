"""Queues of generations waiting for decode capacity, one per service.

Generations that can still meet their target are served first, by earliest deadline; then the late
ones, with cached prompts first. A generation that cannot be placed before its caller times out is
refused as soon as this is known, on arrival or later, with a predicted retry time.
"""

from __future__ import annotations

import asyncio
import math
import sys
from collections.abc import Callable, Iterable

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.connection.router_state import QueueShare
from yokedock.errors import NoDecodeCapacity, Refused, StreamNotResumable
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.capacity_forecast import RETRY_AFTER_SPREAD, CapacityForecast, QueueAhead
from yokedock.request.dispatch_timers import RECHECK_INTERVAL_S, DispatchTimers
from yokedock.request.engine_choice import EngineChoice
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.engine_placement import EnginePlacement, Placement, Progress
from yokedock.request.generation_queue import GenerationQueue
from yokedock.request.mechanisms import ALL_ON, Mechanisms
from yokedock.request.routed_call import RoutedCall
from yokedock.request.turn_order import TurnOrder
from yokedock.request.wait_estimator import RecentArrivals, WaitEstimator
from yokedock.request.waiter import Turn, Waiter

_log = logger("queue")

MIN_WAKE_INTERVAL_S = 0.002
"""Minimum time between a waiter's checks of its own deadlines."""
MIN_CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_TARGETS = 4.0
CALLER_TIMEOUT_GAPS = 8.0
"""Callers time out after ``MIN_CALLER_TIMEOUT_S`` of silence, ``CALLER_TIMEOUT_TARGETS`` times the
first-event target of their route or ``CALLER_TIMEOUT_GAPS`` times its gap target, whichever is
longest. These are the platform's values."""


class AwaitedVersions(msgspec.Struct):
    """Software versions that streams wait for which have to go on there."""

    elsewhere: frozenset[int]
    """Versions that streams at other routers wait for."""
    here: set[int] = msgspec.field(default_factory=set)
    """Versions that streams ahead in this router's queue wait for."""


class QueuedPlacement(EnginePlacement):
    """Queues generations for capacity in a fair order, for as long as they can still be served."""

    def __init__(
        self,
        registry: BackendRegistry,
        ledger: EngineLedger,
        elsewhere: Callable[[str], QueueShare],
        mechanisms: Mechanisms = ALL_ON,
        remote_turns: Callable[[str], list[Turn]] = lambda service: [],
    ) -> None:
        """``elsewhere`` returns the totals queued for a service at all other routers.

        ``remote_turns`` returns the next turn at each of those routers.
        """
        self._ledger = ledger
        self._mechanisms = mechanisms
        self._registry = registry
        self._engine_choice = EngineChoice(registry, ledger, mechanisms)
        self._elsewhere = elsewhere
        self._order = TurnOrder(remote_turns)
        self._forecast = CapacityForecast(ledger.turnover)
        self._random = new_random()
        self._queues: dict[str, GenerationQueue] = {}
        self._arrivals = RecentArrivals()
        self._estimator = WaitEstimator(registry, ledger, self._forecast, elsewhere, self._arrivals)
        self._timers = DispatchTimers(self._dispatch_all, lambda: bool(self._queues))
        ledger.on_capacity_freed = self._timers.dispatch_soon

    async def place(self, call: RoutedCall, progress: Progress) -> Placement:
        """Place the request; raises ``NoDecodeCapacity`` if no capacity is expected in time."""
        service = call.service.name
        self._arrivals.note(service)
        if not self._engine_choice.has_engine(call, progress):
            raise self._no_engine_error(call, progress)
        waiter = self._waiter(call, progress)
        if waiter.since_s >= self.gives_up_s(call, progress):
            raise self._no_capacity_error(waiter, "the caller has already timed out")
        self._queues.setdefault(service, GenerationQueue()).add(waiter)
        self._report_waiting(service)
        try:
            self._dispatch(service)
            if not waiter.placed.done():
                self._refuse_if_unservable(waiter)
                # Other routers have to include this waiter when they take capacity.
                self._ledger.on_change()
                self._timers.start_rechecks()
                await self._wait(waiter)
            return waiter.placed.result()
        finally:
            self._leave(waiter)

    def waiting_in_time(self) -> int:
        """Return the number of queued generations that can still meet their target."""
        now_s = boot_time_s()
        return sum(w.is_in_time(now_s) for queue in self._queues.values() for w in queue)

    def queues(self) -> dict[str, QueueShare]:
        """Return this router's queue per service, as shared with the other routers."""
        now_s = boot_time_s()
        return {service: self._share(service, now_s) for service in self._arrivals.services()}

    def _share(self, service: str, now_s: float) -> QueueShare:
        """Return this router's queue for a service, as shared with the other routers.

        Streams that wait for one of several software versions do not hold up waiters elsewhere
        which may take any: instead of their turns, the versions are shared.
        """
        queue = self._queues.get(service) or GenerationQueue()
        awaited = self._awaited_versions(service, queue)
        competing = [w for w in queue if w.progress.version is None or not awaited]
        return QueueShare(
            sum(waiter.is_in_time(now_s) for waiter in competing),
            round(self._arrivals.per_s(service), 1),
            _next_in_ms(queue.next_turn(now_s, may_take_any=bool(awaited)), now_s),
            tuple(awaited),
        )

    def _awaited_versions(self, service: str, queue: GenerationQueue) -> frozenset[int]:
        """Return the software versions that queued streams wait for, if there are several."""
        versions = [waiter.progress.version for waiter in queue.pinned()]
        if not versions or not self._registry.has_several_versions(service):
            return frozenset()
        return frozenset(version for version in versions if version is not None)

    def retry_after_s(self, call: RoutedCall) -> float:
        """Return the randomized retry delay for a caller that is refused now."""
        return self._retry_after_s(
            self._waiter(call, Progress(version=call.version, is_unstated=call.is_unstated))
        )

    def has_other_engine(self, call: RoutedCall, progress: Progress, engine: str) -> bool:
        """Return whether another engine than ``engine`` may decode the generation."""
        without = msgspec.structs.replace(progress, avoid=progress.avoid | {engine})
        return self._engine_choice.has_engine(call, without)

    def has_place(self, call: RoutedCall, progress: Progress) -> bool:
        """Return whether the generation fits on some engine now."""
        return self._engine_choice.has_place(call, progress)

    # --- Individual waiters ---

    def _waiter(self, call: RoutedCall, progress: Progress) -> Waiter:
        now_s = boot_time_s()
        first_token_s = self._engine_choice.first_token_s(call, progress)
        in_time_until_s = call.target_s - first_token_s
        if progress.made:
            in_time_until_s = now_s + call.route.target_s
        return Waiter(
            call,
            progress,
            in_time_until_s,
            self.gives_up_s(call, progress) - first_token_s,
            asyncio.get_running_loop().create_future(),
            now_s,
        )

    def gives_up_s(self, call: RoutedCall, progress: Progress) -> float:
        """Return the time at which the caller of a silent stream times out."""
        route = call.route
        caller_timeout_s = max(
            MIN_CALLER_TIMEOUT_S,
            CALLER_TIMEOUT_TARGETS * route.target_s,
            CALLER_TIMEOUT_GAPS * route.gap_target_s,
        )
        silent_since_s = progress.silent_since_s or call.arrived_s
        return min(call.deadline_s, silent_since_s + caller_timeout_s)

    async def _wait(self, waiter: Waiter) -> None:
        """Wait for a placement; raises ``NoDecodeCapacity`` once none is expected in time."""
        while not waiter.placed.done():
            now_s = boot_time_s()
            if now_s >= waiter.gives_up_s:
                self._dispatch(waiter.call.service.name)
                if waiter.placed.done():
                    break
                waited_s = now_s - waiter.predicted_at_s
                self._forecast.note(waiter.predicted_s, waited_s, waiter.is_late)
                raise self._no_capacity_error(waiter, "no decode capacity became free in time")
            if not waiter.is_late and not waiter.is_in_time(now_s):
                self._refuse_if_unservable(waiter)
            wake_at_s = waiter.gives_up_s if waiter.is_late else waiter.in_time_until_s
            timeout_s = max(MIN_WAKE_INTERVAL_S, min(wake_at_s, waiter.gives_up_s) - now_s)
            await asyncio.wait({waiter.placed}, timeout=timeout_s)
        self._record_wait(waiter, boot_time_s())

    def _refuse_if_unservable(self, waiter: Waiter) -> None:
        """Refuse a waiter that is not expected to be placed before its caller times out.

        A waiter whose prompt was already prefilled, or part of whose output was generated, stays
        queued: a prediction is not sufficient reason to discard that work.
        """
        waiter.predicted_at_s = boot_time_s()
        ahead = self._ahead(waiter)
        wait_s = self._estimator.wait_s(ahead, waiter.call.service.name)
        waiter.predicted_s, waiter.is_late = wait_s, ahead.is_late
        if not self._mechanisms.refuse_hopeless:
            return
        has_begun = bool(waiter.progress.made or waiter.progress.cached_at)
        if not has_begun and waiter.predicted_at_s + wait_s > waiter.gives_up_s:
            raise self._no_capacity_error(waiter, f"room comes only in {wait_s:.1f} s")

    def _no_capacity_error(self, waiter: Waiter, reason: str) -> NoDecodeCapacity:
        _log.info(
            "no room",
            request=waiter.call.request_id,
            predicted_ms=round(waiter.predicted_s * 1000),
            waited_ms=round((boot_time_s() - waiter.predicted_at_s) * 1000),
            is_late=waiter.is_late,
            reason=reason,
        )
        message = f"{waiter.call.service.name}: {reason}; retry later"
        return NoDecodeCapacity(message, self._retry_after_s(waiter))

    def _record_wait(self, waiter: Waiter, now_s: float) -> None:
        """Update the forecast with the actual wait, and log both."""
        waited_s = now_s - waiter.predicted_at_s
        self._forecast.note(waiter.predicted_s, waited_s, waiter.is_late)
        _log.info(
            "room",
            request=waiter.call.request_id,
            predicted_ms=round(waiter.predicted_s * 1000),
            waited_ms=round(waited_s * 1000),
            is_late=waiter.is_late,
        )

    def _leave(self, waiter: Waiter) -> None:
        """Remove a waiter from its queue; if the request was aborted, close its placement."""
        service = waiter.call.service.name
        queue = self._queues.get(service)
        if queue is not None and queue.remove(waiter):
            self._ledger.on_change()
        if not queue:
            self._queues.pop(service, None)
        self._report_waiting(service)
        placed = waiter.placed
        is_aborted = sys.exc_info()[0] is not None
        has_placement = placed.done() and not placed.cancelled() and placed.exception() is None
        if is_aborted and has_placement:
            self._ledger.close_stream(placed.result().reservation)

    def _ahead(self, waiter: Waiter) -> QueueAhead:
        service = waiter.call.service.name
        return self._estimator.ahead(waiter, self._queues.get(service, ()))

    def _retry_after_s(self, waiter: Waiter) -> float:
        wait_s = self._estimator.wait_s(self._ahead(waiter), waiter.call.service.name)
        return self._random.uniform(wait_s, RETRY_AFTER_SPREAD * wait_s)

    # --- Dispatching ---

    def _dispatch_all(self) -> None:
        for service in list(self._queues):
            self._dispatch(service)

    def _dispatch(self, service: str) -> None:
        """Place the waiters of a service in order, up to the first one that does not fit.

        A stream that waits for one software version holds up only those that need the same.
        """
        now_s = boot_time_s()
        queue = self._queues.get(service)
        if queue is None:
            return
        self._refuse_without_engine(queue)
        elsewhere = self._elsewhere(service)
        awaited = AwaitedVersions(frozenset(elsewhere.awaited_versions))
        if not self._mechanisms.deadline_order:
            is_done = self._place_in_order(queue.by_arrival(), awaited)
        else:
            is_done = self._place_in_order(queue.in_time(now_s), awaited)
            if is_done and not elsewhere.in_time:
                is_done = self._place_in_order(queue.late(now_s), awaited)
        if not is_done or awaited.here:
            self._dispatch_at_next_permit(service)

    def _refuse_without_engine(self, queue: GenerationQueue) -> None:
        """Refuse the streams whose software version has no engine any more."""
        for waiter in queue.pinned():
            is_waiting = not waiter.placed.done()
            if is_waiting and not self._engine_choice.has_engine(waiter.call, waiter.progress):
                queue.remove(waiter)
                waiter.placed.set_exception(self._no_engine_error(waiter.call, waiter.progress))

    def _no_engine_error(self, call: RoutedCall, progress: Progress) -> Refused:
        """Return the error for a stream whose version has no engine that may decode it."""
        service = call.service.name
        any_engine = msgspec.structs.replace(progress, avoid=frozenset())
        if self._engine_choice.has_engine(call, any_engine):
            message = f"{service}: the engines of the stream's version do not take it; retry later"
            return NoDecodeCapacity(message, self.retry_after_s(call))
        return StreamNotResumable(
            f"{service}: no engine of the software version that began the stream is left; "
            "request the stream anew"
        )

    def _place_in_order(self, waiters: Iterable[Waiter], awaited: AwaitedVersions) -> bool:
        """Place waiters up to the first that does not fit; return whether all were placed.

        Streams that wait for one software version are skipped, and their versions are added to
        ``awaited.here``.
        """
        for waiter in waiters:
            version = waiter.progress.version
            if version in awaited.here or self._try_place(waiter, awaited):
                continue
            if version is None:
                return False
            awaited.here.add(version)
        return True

    def _try_place(self, waiter: Waiter, awaited: AwaitedVersions) -> bool:
        if waiter.placed.done():
            return True
        if not self._may_place(waiter):
            return False
        placement = self._choose(waiter, awaited)
        if placement is None:
            return False
        self._queues[waiter.call.service.name].remove(waiter)
        self._report_waiting(waiter.call.service.name)
        waiter.placed.set_result(placement)
        return True

    def _choose(self, waiter: Waiter, awaited: AwaitedVersions) -> Placement | None:
        """Choose engines that no stream ahead waits for, nor one elsewhere if others are free."""
        call, progress, here = waiter.call, waiter.progress, frozenset(awaited.here)
        placement = self._engine_choice.choose(call, progress, here | awaited.elsewhere)
        if placement is None and awaited.elsewhere:
            placement = self._engine_choice.choose(call, progress, here)
        return placement

    def _may_place(self, waiter: Waiter) -> bool:
        """Return whether it is this waiter's turn among all routers; if not, retry later."""
        service = waiter.call.service.name
        if self._order.is_alone(service):
            return True
        places = self._engine_choice.places(waiter.call, waiter.progress)
        now_s = boot_time_s()
        wait_s = self._order.wait_s(waiter, places, now_s)
        if wait_s > 0:
            self._timers.after(wait_s)
        return wait_s <= 0

    def _dispatch_at_next_permit(self, service: str) -> None:
        """Dispatch again once a rate-limited engine accepts its next stream."""
        wait_s = self._registry.next_permit_s(service)
        if wait_s is not None and wait_s < RECHECK_INTERVAL_S:
            self._timers.after(wait_s)

    def _report_waiting(self, service: str) -> None:
        """Publish the queue length, by which routers order their claims to engine permits."""
        queue = self._queues.get(service)
        first = queue.first() if queue else None
        since_s = first.since_s if first is not None else math.inf
        self._registry.record_waiting(service, len(queue or ()), since_s)


def _next_in_ms(first: Turn | None, now_s: float) -> int:
    """Return the time left of the next waiter: negative if late, 0 if the queue is empty."""
    if first is None:
        return 0
    remaining_ms = max(1, round((first.until_s - now_s) * 1000))
    return -remaining_ms if first.is_late else remaining_ms
