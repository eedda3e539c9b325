"""Chooses where a prompt is read and where its answer is made, from what all routers promised.

A narrow base class, so that the choice can be replaced; ``LedgerPlacement`` is the one in use.
"""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import math
import random
import sys
import time
from collections.abc import Callable

from yokedock.connection.dialect import GenerationTerms
from yokedock.errors import NoDecodeRoom
from yokedock.request.backend_registry import Backend, BackendRegistry
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.engine_pace import FIRST_READ_RATE
from yokedock.request.routed_call import RoutedCall
from yokedock.version.homes import home_of
from yokedock.version.route_table import EngineTraits

PREFILL_ROLE = "prefill"
DECODE_ROLE = "decode"
FILL = 0.98
"""Share of an engine's memory that is promised."""
OTHER_ZONE_COST_S = 0.05
"""How much later an engine in the same zone may be before one in another zone is better."""
SELF_PREFILL_SLOWNESS = 2.0
"""A decode engine reads prompts this much slower than a prefill engine (the platform's figure)."""
SELF_PREFILL_HANDICAP_S = 0.1
FULL_HANDICAP_S = 0.6
"""How much sooner reading on the decode engine must be, on an empty and on a full engine: it slows
all streams there, and so the rate at which room comes free."""
TARGET_MARGIN_S = 0.25
"""A pair predicted to be later than this before the target is no better than reading alone."""
FETCH_COST_S = 0.25
"""How much later an engine that keeps the prompt may be before it is copied to another."""
HOME_BONUS_S = 0.1
FULL_COST_S = 0.1
SLOW_COST_S = 0.3
"""What an engine costs that makes tokens half as fast as is typical, above what is tolerated."""
TOLERATED_SLOWNESS = 1.15
PAUSE_SHARE = 0.92
"""Share of the longest pause that is allowed which reading beside streams may bring about."""
DISTURBANCE_COST_S = 0.5
START_S = 0.08
"""From the end of a prefill to the first token: transfer and first step."""
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


@dataclasses.dataclass(frozen=True)
class Progress:
    """What earlier attempts of a request left behind, as far as it bears on the next placement."""

    made: int = 0
    """Tokens made, and passed on, by an engine that was lost."""
    avoid: frozenset[str] = frozenset()
    """Engines that refused it."""
    cached_at: frozenset[str] = frozenset()
    """Engines that read its prompt a moment ago and may still keep it in their prefix cache."""
    silent_since_s: float | None = None
    """Since when the caller has heard nothing (monotonic s), None for since it asked."""


@dataclasses.dataclass(frozen=True)
class Placement:
    """Where a request is read and where its answer is made; its memory is promised."""

    decode: Backend
    prefill: Backend | None
    """None: the decode engine reads the prompt itself."""
    tokens: int
    """Prompt tokens to be read, including those already made."""
    demand: StreamDemand
    promise: int
    """Key of the promise in the ledger; whoever gets the placement closes it."""
    fetch_from: Backend | None = None
    """An engine that keeps the prompt, where the decode engine does not."""


class EnginePlacement(abc.ABC):
    """Chooses engines for a generation."""

    @abc.abstractmethod
    async def place(self, call: RoutedCall, progress: Progress) -> Placement:
        """Return where the request goes; waits for room, raises ``Refused`` if none will come."""

    @abc.abstractmethod
    def waiting_in_time(self) -> int:
        """Return how many requests wait for room that can still meet their target."""


@dataclasses.dataclass
class Waiter:
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


@dataclasses.dataclass(frozen=True)
class Sought:
    """What a placement is sought for."""

    terms: GenerationTerms
    progress: Progress
    traits: EngineTraits

    @property
    def tokens(self) -> int:
        """Return the tokens to be read."""
        return self.terms.prompt_tokens + self.progress.made


class LedgerPlacement(EnginePlacement):
    """Places by promised memory and reading backlog.

    Requests that can still meet their target go first, in the order of their arrival; those that
    cannot take what room is left, and wait until their caller would give up.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        ledger: EngineLedger,
        zone: str,
        waiting_elsewhere: Callable[[], int],
    ) -> None:
        """``waiting_elsewhere`` counts requests at other routers that can still be in time."""
        self._registry = registry
        self._ledger = ledger
        self._zone = zone
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
        placement = self._choose(waiter.call, waiter.progress)
        if placement is None:
            return False
        self._waiters.remove(waiter)
        waiter.placed.set_result(placement)
        return True

    def _choose(self, call: RoutedCall, progress: Progress) -> Placement | None:
        """Return the cheaper of a pair of engines and one that does both, None if none has room."""
        terms, traits = call.terms.generation, call.service.engine
        assert terms is not None and traits is not None
        sought = Sought(terms, progress, traits)
        roomy = self._roomy(call.service.name, sought)
        if not roomy:
            return None
        keepers = self._keepers(call.service.name, sought)
        if keepers:
            return self._promise_kept(roomy, keepers, sought)
        prefills = self._registry.usable(call.service.name, PREFILL_ROLE)
        prefills = [backend for backend in prefills if self._is_open(backend, sought)]
        pairs = [(p, d) for p in prefills for d in roomy]
        alone = min(roomy, key=lambda decode: self._alone_cost_s(decode, sought))
        if pairs:
            costs_s = [self._pair_cost_s(prefill, decode, sought) for prefill, decode in pairs]
            pair_s = min(costs_s)
            alone_s = self._alone_cost_s(alone, sought) + self._handicap_s(call, alone, pair_s)
            if self._would_disturb(call, alone):
                alone_s += DISTURBANCE_COST_S
            if pair_s <= alone_s:
                prefill, decode = pairs[costs_s.index(pair_s)]
                return self._promise(decode, prefill, sought)
        return self._promise(alone, None, sought)

    def _keepers(self, service: str, sought: Sought) -> list[Backend]:
        """Return the engines that keep the prompt in their prefix cache."""
        now_s = time.monotonic()
        return [
            backend
            for backend in self._registry.usable(service)
            if backend.name in sought.progress.cached_at
            and self._is_open(backend, sought)
            and not backend.health.is_suspect(now_s)
        ]

    def _promise_kept(
        self, roomy: list[Backend], keepers: list[Backend], sought: Sought
    ) -> Placement:
        """Promise memory where the prompt is kept, or near to there: it is not read again."""

        def cost_s(decode: Backend, keeper: Backend) -> float:
            cost_s = self._ledger.backlog_s(decode.name) + self._decode_cost_s(decode, sought)
            if decode is not keeper:
                cost_s += FETCH_COST_S
                if decode.entry.zone != keeper.entry.zone:
                    cost_s += OTHER_ZONE_COST_S
            return cost_s

        pairs = [(decode, keeper) for decode in roomy for keeper in keepers]
        decode, keeper = min(pairs, key=lambda pair: cost_s(*pair))
        placement = self._promise(decode, None, sought)
        fetch_from = None if decode is keeper else keeper
        return dataclasses.replace(placement, fetch_from=fetch_from)

    def _handicap_s(self, call: RoutedCall, alone: Backend, pair_s: float) -> float:
        """Return how much sooner reading alone must be: more on a full engine."""
        if time.monotonic() + pair_s >= call.target_s - TARGET_MARGIN_S:
            return SELF_PREFILL_HANDICAP_S
        traits = call.service.engine
        assert traits is not None
        fullness = self._ledger.memory_tokens(alone.name) / traits.memory_tokens
        return SELF_PREFILL_HANDICAP_S + FULL_HANDICAP_S * fullness

    def _would_disturb(self, call: RoutedCall, alone: Backend) -> bool:
        """Return whether reading on ``alone`` makes pauses there longer than the target."""
        longest_s = PAUSE_SHARE * call.route.gap_target_s
        is_slow = self._ledger.pace.reading_pause_s(alone.name) > longest_s > 0
        return is_slow and self._ledger.streams(alone.name) > 0

    def _promise(self, decode: Backend, prefill: Backend | None, sought: Sought) -> Placement:
        """Promise memory at the chosen engine."""
        demand = stream_demand(decode.name, sought.terms, sought.progress.made)
        promise = self._ledger.open_stream(demand)
        return Placement(decode, prefill, sought.tokens, demand, promise)

    def _roomy(self, service: str, sought: Sought) -> list[Backend]:
        """Return the decode engines with room for one more stream and its memory."""
        need = stream_demand("", sought.terms, sought.progress.made).memory_tokens()
        traits = sought.traits
        usable = self._registry.usable(service, DECODE_ROLE)
        return [
            backend
            for backend in usable
            if self._is_open(backend, sought)
            and self._ledger.streams(backend.name) < traits.slots
            and self._fits(backend.name, traits, need)
        ]

    def _is_open(self, backend: Backend, sought: Sought) -> bool:
        is_avoided = backend.name in sought.progress.avoid
        return not is_avoided and not self._registry.is_changing(backend.name)

    def _fits(self, engine: str, traits: EngineTraits, need: int) -> bool:
        promised = self._ledger.memory_tokens(engine)
        return promised == 0 or promised + need <= FILL * traits.memory_tokens

    def _pair_cost_s(self, prefill: Backend, decode: Backend, sought: Sought) -> float:
        """Return the predicted time to the first token, with what should weigh against the pair."""
        cost_s = self._read_cost_s(prefill, sought)
        if prefill.entry.zone != decode.entry.zone:
            cost_s += OTHER_ZONE_COST_S
        if self._is_home(prefill, sought):
            cost_s -= HOME_BONUS_S
        return cost_s + self._decode_cost_s(decode, sought) + self._risk_s(prefill)

    def _alone_cost_s(self, decode: Backend, sought: Sought) -> float:
        read_s = SELF_PREFILL_SLOWNESS * self._read_cost_s(decode, sought)
        return read_s + self._decode_cost_s(decode, sought)

    def _read_cost_s(self, engine: Backend, sought: Sought) -> float:
        """Return the predicted time to read the prompt."""
        backlog_s = self._ledger.backlog_s(engine.name)
        return backlog_s + sought.tokens / self._ledger.pace.read_rate(engine.name)

    def _is_home(self, engine: Backend, sought: Sought) -> bool:
        """Return whether a prompt goes to this engine of its role, at whichever router it comes.

        When it comes again, its home may still keep it in its prefix cache.
        """
        if not sought.terms.parts:
            return False
        names = [b.name for b in self._registry.usable(engine.entry.service, engine.entry.role)]
        return home_of(sought.terms.parts[-1].part_id, names) == engine.name

    def _decode_cost_s(self, decode: Backend, sought: Sought) -> float:
        """Return what speaks against a decode engine: how full and slow it is, its failures."""
        fullness = self._ledger.memory_tokens(decode.name) / sought.traits.memory_tokens
        slowness = self._ledger.pace.slowness(decode.name) - TOLERATED_SLOWNESS
        cost_s = START_S + FULL_COST_S * fullness + SLOW_COST_S * max(0.0, slowness)
        if self._is_home(decode, sought):
            cost_s -= HOME_BONUS_S
        return cost_s + self._risk_s(decode)

    def _risk_s(self, backend: Backend) -> float:
        return backend.health.failure_share(time.monotonic())


def _decide_s(call: RoutedCall, progress: Progress) -> float:
    """Return when a request may be refused early; never one that has begun or came back."""
    deadline_s = call.terms.deadline_s
    is_back = deadline_s is not None and deadline_s < FRESH_SHARE * call.route.timeout_s
    has_begun = bool(progress.made or progress.cached_at or call.arrivals)
    if is_back or has_begun or call.terms.last_event_id is not None:
        return math.inf
    return call.arrived_s + DECIDE_SHARE * call.route.target_s


def stream_demand(engine: str, terms: GenerationTerms, made: int) -> StreamDemand:
    """Return the memory a generation is expected to take at ``engine``."""
    expected = terms.output_hint if terms.output_hint is not None else terms.most_output_tokens / 2
    expected = min(expected, terms.most_output_tokens)
    return StreamDemand(engine, terms.prompt_tokens, expected, terms.most_output_tokens, made)
