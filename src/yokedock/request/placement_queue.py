"""The queue of generations that wait for room at the engines.

Those in time go first, then the late; who would wait too long is told early when to come back.
"""

from __future__ import annotations

import asyncio
import math
import random
import sys
import time
from collections.abc import Callable

import msgspec

from yokedock.errors import NoDecodeRoom
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.engine_choice import START_S, EngineChoice
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.engine_pace import FIRST_READ_RATE
from yokedock.request.engine_placement import DECODE_ROLE, EnginePlacement, Placement, Progress
from yokedock.request.routed_call import RoutedCall

WAIT_MARGIN_S = 0.1
COME_BACK_S = 1.5
DECIDE_SHARE = 0.18
"""Share of the target after which whoever still waits is told if its turn will come too late."""
EARLY_SHARE = 0.22
"""Share of the target within which a refusal is early."""
DOUBT = 1.6
"""How much longer than predicted a wait may be before a caller is held for it."""
SOONEST_RETURN_S = 2.0
LATEST_RETURN_S = 4.5
"""When early refused callers come back: spread, since a peak lasts some seconds."""
RETURN_SHARE_OF_LEFT = 0.3
"""Callers heed a time to come back up to a share of the time that they have left."""
FRESH_SHARE = 0.95
"""A caller with less of the route's time than this has been refused before."""
JITTER_S = 0.012
RECHECK_S = 0.1
"""Waiting requests look for room at least this often."""
LEAST_SILENCE_S = 2.0
"""Callers wait at least this long for the first event (the platform's figure)."""
WAIT_SHARE_OF_SILENCE = 0.85
WAIT_SHARE_OF_LIMIT = 0.45
"""Longest wait for room, as a share of the caller's patience and of the request's whole time."""


class Waiter(msgspec.Struct, eq=False):
    """One request that waits for room."""

    call: RoutedCall
    progress: Progress
    in_time_until_s: float
    """Placed by then, its first token is in time."""
    placed: asyncio.Future[Placement]
    decide_s: float
    """When it is told if its turn will come too late."""

    def turn(self) -> float:
        """Return its place among those in time: who has the least time left goes first."""
        deadline_s = self.call.terms.deadline_s
        return self.call.arrived_s + (self.call.limit_s if deadline_s is None else deadline_s)


class QueuedPlacement(EnginePlacement):
    """Lets requests wait for room in a fair order, as long as their callers do.

    Requests that can still meet their target go first, in the order of their arrival; those that
    cannot take what room is left, and wait until their caller would give up.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        ledger: EngineLedger,
        waiting_elsewhere: Callable[[], int],
    ) -> None:
        """``waiting_elsewhere`` counts requests at other routers that can still be in time."""
        self._registry = registry
        self._ledger = ledger
        self._choice = EngineChoice(registry, ledger)
        self._waiting_elsewhere = waiting_elsewhere
        self._random = random.Random()
        self._waiters: list[Waiter] = []
        self._is_pump_due = False
        ledger.on_room = self._pump_soon

    async def place(self, call: RoutedCall, progress: Progress) -> Placement:
        """Return where the request goes; waits for room, raises ``NoDecodeRoom`` in the end."""
        placed: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        in_time_s = self._in_time_until_s(call, progress)
        waiter = Waiter(call, progress, in_time_s, placed, _decide_s(call, progress))
        self._waiters.append(waiter)
        self._pump()
        try:
            async with asyncio.timeout(self._patience_s(call, progress)):
                while True:
                    look_s = max(0.0, waiter.decide_s - time.monotonic())
                    done, _ = await asyncio.wait({placed}, timeout=min(RECHECK_S, look_s))
                    if done:
                        return placed.result()
                    self._pump()
                    if not placed.done():
                        self._refuse_if_too_late(waiter)
        except TimeoutError:
            message = f"no engine of {call.service.name} has room; retry later"
            raise NoDecodeRoom(message, COME_BACK_S) from None
        finally:
            self._leave(waiter)

    def _refuse_if_too_late(self, waiter: Waiter) -> None:
        """Tell a caller early that its turn will come too late, and when to come back."""
        now_s, call = time.monotonic(), waiter.call
        if now_s < waiter.decide_s:
            return
        waiter.decide_s = math.inf
        if now_s > call.arrived_s + EARLY_SHARE * call.route.target_s:
            return
        own = sum(1 for other in self._waiters if other.turn() < waiter.turn())
        engines = self._registry.usable(call.service.name, DECODE_ROLE)
        streams = sum(self._ledger.streams(engine.name) for engine in engines)
        wait_s = self._ledger.turnover.wait_s(streams, own + self._waiting_elsewhere() / 2)
        if now_s + DOUBT * wait_s <= waiter.in_time_until_s:
            return
        longest_s = min(LATEST_RETURN_S, RETURN_SHARE_OF_LEFT * call.left_s())
        return_s = self._random.uniform(min(SOONEST_RETURN_S, longest_s), longest_s)
        message = f"{call.service.name} has room only in {wait_s:.1f} s; retry later"
        raise NoDecodeRoom(message, return_s)

    def waiting_in_time(self) -> int:
        """Return how many requests wait for room that can still meet their target."""
        now_s = time.monotonic()
        return sum(1 for waiter in self._waiters if waiter.in_time_until_s >= now_s)

    def _in_time_until_s(self, call: RoutedCall, progress: Progress) -> float:
        """Return until when a placement still meets the target for the first token."""
        if progress.made:
            return time.monotonic() + call.route.target_s
        prompt = call.terms.generation.prompt_tokens if call.terms.generation else 0
        return call.target_s - prompt / FIRST_READ_RATE - START_S - WAIT_MARGIN_S

    def _patience_s(self, call: RoutedCall, progress: Progress) -> float:
        """Return how long waiting makes sense: callers give up on a silent stream."""
        route = call.route
        silence_s = max(LEAST_SILENCE_S, 4 * route.target_s, 8 * route.gap_target_s)
        waited_s = time.monotonic() - (progress.silent_since_s or call.arrived_s)
        limit_s = min(WAIT_SHARE_OF_SILENCE * silence_s, WAIT_SHARE_OF_LIMIT * call.limit_s)
        return min(call.left_s(), max(0.0, limit_s - waited_s))

    def _leave(self, waiter: Waiter) -> None:
        """Take a waiter off the list; a placement that nobody takes is given back."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        placed = waiter.placed
        was_cut_short = sys.exc_info()[0] is not None
        if was_cut_short and placed.done() and not placed.cancelled():
            self._ledger.close_stream(placed.result().promise)

    def _pump_soon(self) -> None:
        """Look for room soon; a moment of chance keeps routers from colliding."""
        if self._is_pump_due or not self._waiters:
            return
        self._is_pump_due = True
        delay_s = self._random.random() * JITTER_S
        asyncio.get_running_loop().call_later(delay_s, self._pump_now)

    def _pump_now(self) -> None:
        self._is_pump_due = False
        self._pump()

    def _pump(self) -> None:
        """Give room to waiters in their order; the first that does not fit ends it."""
        now_s = time.monotonic()
        in_time = [waiter for waiter in self._waiters if waiter.in_time_until_s >= now_s]
        in_time.sort(key=Waiter.turn)
        late = [waiter for waiter in self._waiters if waiter.in_time_until_s < now_s]
        for waiter in in_time:
            if not self._try(waiter):
                return
        if self._waiting_elsewhere():
            return
        # What was read for a prompt would be lost without room for its answer.
        late.sort(key=lambda waiter: not waiter.progress.cached_at)
        for waiter in late:
            if not self._try(waiter):
                return

    def _try(self, waiter: Waiter) -> bool:
        if waiter.placed.done():
            return True
        placement = self._choice.choose(waiter.call, waiter.progress)
        if placement is None:
            return False
        self._waiters.remove(waiter)
        waiter.placed.set_result(placement)
        return True


def _decide_s(call: RoutedCall, progress: Progress) -> float:
    """Return when a request may be refused early; never one that has begun or came back."""
    deadline_s = call.terms.deadline_s
    is_back = deadline_s is not None and deadline_s < FRESH_SHARE * call.route.timeout_s
    has_begun = bool(progress.made or progress.cached_at or call.arrivals)
    if is_back or has_begun or call.terms.last_event_id is not None:
        return math.inf
    return call.arrived_s + DECIDE_SHARE * call.route.target_s
