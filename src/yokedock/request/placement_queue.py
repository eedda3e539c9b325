"""The queues of generations that wait for room, one for the engines of each service.

Those in time go first, the least time left first; then the late, those whose prompt is cached
first. Whoever cannot be served before its caller gives up is refused at once, at arrival or when an
event makes it so, and told when room is predicted.
"""

from __future__ import annotations

import asyncio
import math
import sys
from collections.abc import Callable, Iterable

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.connection.router_state import QueueShare
from yokedock.errors import NoDecodeRoom
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.engine_choice import EngineChoice
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.engine_placement import EnginePlacement, Placement, Progress
from yokedock.request.generation_queue import GenerationQueue
from yokedock.request.mechanisms import ALL_ON, Mechanisms
from yokedock.request.room_forecast import LATEST_RETURN, QueueAhead, RoomForecast
from yokedock.request.room_looks import RECHECK_S, RoomLooks
from yokedock.request.room_order import RoomOrder
from yokedock.request.room_prediction import RecentArrivals, RoomPrediction
from yokedock.request.routed_call import RoutedCall
from yokedock.request.waiter import Turn, Waiter

_log = logger("queue")

LEAST_LOOK_S = 0.002
"""A waiter looks at its own time at most this often."""
LEAST_SILENCE_S = 2.0
TARGETS_OF_SILENCE = 4.0
GAPS_OF_SILENCE = 8.0
"""Callers give up after this silence, or after so many times their route's target for the first
event or for pauses, whichever is longest (the platform's figures)."""


class QueuedPlacement(EnginePlacement):
    """Lets generations wait for room in a fair order, as long as waiting makes sense."""

    def __init__(
        self,
        registry: BackendRegistry,
        ledger: EngineLedger,
        elsewhere: Callable[[str], QueueShare],
        mechanisms: Mechanisms = ALL_ON,
        turns_elsewhere: Callable[[str], list[Turn]] = lambda service: [],
    ) -> None:
        """``elsewhere`` sums what waits for the engines of a service at all other routers.

        ``turns_elsewhere`` returns whose turn is next at each of them.
        """
        self._ledger = ledger
        self._mechanisms = mechanisms
        self._registry = registry
        self._choice = EngineChoice(registry, ledger, mechanisms)
        self._elsewhere = elsewhere
        self._order = RoomOrder(turns_elsewhere)
        self._forecast = RoomForecast(ledger.turnover)
        self._random = new_random()
        self._queues: dict[str, GenerationQueue] = {}
        self._arrivals = RecentArrivals()
        self._prediction = RoomPrediction(
            registry, ledger, self._forecast, elsewhere, self._arrivals
        )
        self._looks = RoomLooks(self._schedule_all, lambda: bool(self._queues))
        ledger.on_room = self._looks.soon

    async def place(self, call: RoutedCall, progress: Progress) -> Placement:
        """Return where the request goes; raises ``NoDecodeRoom`` where no room will come."""
        service = call.service.name
        self._arrivals.note(service)
        waiter = self._waiter(call, progress)
        if waiter.since_s >= self.gives_up_s(call, progress):
            raise self._no_room(waiter, "its caller has waited as long as callers do")
        self._queues.setdefault(service, GenerationQueue()).add(waiter)
        self._note_waiting(service)
        try:
            self._schedule(service)
            if not waiter.placed.done():
                self._refuse_if_hopeless(waiter)
                # The others count on whoever waits here when they take room.
                self._ledger.on_change()
                self._looks.now_and_then()
                await self._wait(waiter)
            return waiter.placed.result()
        finally:
            self._leave(waiter)

    def waiting_in_time(self) -> int:
        """Return how many generations wait for room that can still meet their target."""
        now_s = boot_time_s()
        return sum(w.is_in_time(now_s) for queue in self._queues.values() for w in queue)

    def queues(self) -> dict[str, QueueShare]:
        """Return what waits here for each service, for the other routers."""
        now_s = boot_time_s()
        return {
            service: QueueShare(
                sum(waiter.is_in_time(now_s) for waiter in self._queues.get(service, ())),
                round(self._arrivals.per_s(service), 1),
                self._next_in_ms(service, now_s),
            )
            for service in self._arrivals.services()
        }

    def _next_in_ms(self, service: str, now_s: float) -> int:
        """Return the time left of whoever is next here, negative if late, 0 if none waits."""
        queue = self._queues.get(service)
        first = queue.next_turn(now_s) if queue is not None else None
        if first is None:
            return 0
        left_ms = max(1, round((first.until_s - now_s) * 1000))
        return -left_ms if first.is_late else left_ms

    def return_after_s(self, call: RoutedCall) -> float:
        """Return when room is predicted for a caller who is refused now, spread by chance."""
        return self._return_after_s(self._waiter(call, Progress()))

    # --- One waiter ---

    def _waiter(self, call: RoutedCall, progress: Progress) -> Waiter:
        now_s = boot_time_s()
        first_token_s = self._choice.first_token_s(call, progress)
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
        """Return when the caller of a silent stream gives up."""
        route = call.route
        silence_s = max(
            LEAST_SILENCE_S,
            TARGETS_OF_SILENCE * route.target_s,
            GAPS_OF_SILENCE * route.gap_target_s,
        )
        silent_since_s = progress.silent_since_s or call.arrived_s
        return min(call.deadline_s, silent_since_s + silence_s)

    async def _wait(self, waiter: Waiter) -> None:
        """Wait until the waiter is placed; raises ``NoDecodeRoom`` when that is hopeless."""
        while not waiter.placed.done():
            now_s = boot_time_s()
            if now_s >= waiter.gives_up_s:
                self._schedule(waiter.call.service.name)
                if waiter.placed.done():
                    break
                waited_s = now_s - waiter.predicted_at_s
                self._forecast.note(waiter.predicted_s, waited_s, waiter.is_late)
                raise self._no_room(waiter, "no room came in time")
            if not waiter.is_late and not waiter.is_in_time(now_s):
                self._refuse_if_hopeless(waiter)
            next_s = waiter.gives_up_s if waiter.is_late else waiter.in_time_until_s
            timeout_s = max(LEAST_LOOK_S, min(next_s, waiter.gives_up_s) - now_s)
            await asyncio.wait({waiter.placed}, timeout=timeout_s)
        self._note_wait(waiter, boot_time_s())

    def _refuse_if_hopeless(self, waiter: Waiter) -> None:
        """Refuse a waiter that will not be placed before its caller gives up.

        Not one for which work was done already: a prediction is no reason to lose it.
        """
        waiter.predicted_at_s = boot_time_s()
        ahead = self._ahead(waiter)
        wait_s = self._prediction.wait_s(ahead, waiter.call.service.name)
        waiter.predicted_s, waiter.is_late = wait_s, ahead.is_late
        if not self._mechanisms.refuse_hopeless:
            return
        has_begun = bool(waiter.progress.made or waiter.progress.cached_at)
        if not has_begun and waiter.predicted_at_s + wait_s > waiter.gives_up_s:
            raise self._no_room(waiter, f"room comes only in {wait_s:.1f} s")

    def _no_room(self, waiter: Waiter, reason: str) -> NoDecodeRoom:
        _log.info(
            "no room",
            request=waiter.call.request_id,
            predicted_ms=round(waiter.predicted_s * 1000),
            waited_ms=round((boot_time_s() - waiter.predicted_at_s) * 1000),
            is_late=waiter.is_late,
            reason=reason,
        )
        message = f"{waiter.call.service.name}: {reason}; retry later"
        return NoDecodeRoom(message, self._return_after_s(waiter))

    def _note_wait(self, waiter: Waiter, now_s: float) -> None:
        """Learn and log how well the wait was predicted."""
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
        """Take a waiter off its queue; a placement that nobody takes is given back."""
        service = waiter.call.service.name
        queue = self._queues.get(service)
        if queue is not None and queue.remove(waiter):
            self._ledger.on_change()
        if not queue:
            self._queues.pop(service, None)
        self._note_waiting(service)
        placed = waiter.placed
        was_cut_short = sys.exc_info()[0] is not None
        if was_cut_short and placed.done() and not placed.cancelled():
            self._ledger.close_stream(placed.result().promise)

    def _ahead(self, waiter: Waiter) -> QueueAhead:
        service = waiter.call.service.name
        return self._prediction.ahead(waiter, self._queues.get(service, ()))

    def _return_after_s(self, waiter: Waiter) -> float:
        wait_s = self._prediction.wait_s(self._ahead(waiter), waiter.call.service.name)
        return self._random.uniform(wait_s, LATEST_RETURN * wait_s)

    # --- Giving room ---

    def _schedule_all(self) -> None:
        for service in list(self._queues):
            self._schedule(service)

    def _schedule(self, service: str) -> None:
        """Give room to the waiters of a service in order; the first that does not fit ends it."""
        now_s = boot_time_s()
        queue = self._queues.get(service)
        if queue is None:
            return
        if not self._mechanisms.deadline_order:
            is_done = self._try_in_order(queue.by_arrival())
        else:
            is_done = self._try_in_order(queue.in_time(now_s))
            if is_done and not self._elsewhere(service).in_time:
                is_done = self._try_in_order(queue.late(now_s))
        if not is_done:
            self._look_at_next_permit(service)

    def _try_in_order(self, waiters: Iterable[Waiter]) -> bool:
        """Place waiters up to the first that does not fit; return whether all were placed."""
        return all(self._try(waiter) for waiter in waiters)

    def _try(self, waiter: Waiter) -> bool:
        if waiter.placed.done():
            return True
        if not self._is_its_turn(waiter):
            return False
        placement = self._choice.choose(waiter.call, waiter.progress)
        if placement is None:
            return False
        self._queues[waiter.call.service.name].remove(waiter)
        self._note_waiting(waiter.call.service.name)
        waiter.placed.set_result(placement)
        return True

    def _is_its_turn(self, waiter: Waiter) -> bool:
        """Return whether a waiter may look for room before others' waiters; if not, look again."""
        service = waiter.call.service.name
        if self._order.is_alone(service):
            return True
        places = self._choice.places(waiter.call, waiter.progress)
        now_s = boot_time_s()
        wait_s = self._order.wait_s(waiter, places, now_s)
        if wait_s > 0:
            self._looks.after(wait_s)
        return wait_s <= 0

    def _look_at_next_permit(self, service: str) -> None:
        """Look again once an engine that has named a limit takes the next stream."""
        wait_s = self._registry.next_permit_s(service)
        if wait_s is not None and wait_s < RECHECK_S:
            self._looks.after(wait_s)

    def _note_waiting(self, service: str) -> None:
        """Tell how many wait here, for the order in which routers take the permits of engines."""
        queue = self._queues.get(service)
        first = queue.first() if queue else None
        since_s = first.since_s if first is not None else math.inf
        self._registry.note_waiting(service, len(queue or ()), since_s)
