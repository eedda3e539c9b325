"""Chooses where a prompt is read and where its answer is made, from what all routers promised.

A narrow base class, so that the choice can be replaced; ``LedgerPlacement`` is the one in use.
"""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import random
import sys
import time
from collections.abc import Callable

from yokedock.connection.dialect import GenerationTerms
from yokedock.errors import NoDecodeRoom
from yokedock.request.backend_registry import Backend, BackendRegistry
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.routed_call import RoutedCall
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
START_S = 0.08
"""From the end of a prefill to the first token: transfer and first step."""
WAIT_MARGIN_S = 0.1
COME_BACK_S = 1.5
JITTER_S = 0.012
RECHECK_S = 0.1
"""Waiting requests look for room at least this often."""
LEAST_SILENCE_S = 2.0
"""Callers wait at least this long for the first event (the platform's figure)."""
WAIT_SHARE_OF_SILENCE = 0.85
WAIT_SHARE_OF_LIMIT = 0.45
"""Longest wait for room, as a share of the caller's patience and of the request's whole time."""


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


class EnginePlacement(abc.ABC):
    """Chooses engines for a generation."""

    @abc.abstractmethod
    async def place(self, call: RoutedCall, made: int, avoid: frozenset[str]) -> Placement:
        """Return where the request goes; waits for room, raises ``Refused`` if none will come.

        ``made`` tokens were made earlier by an engine that was lost.
        """

    @abc.abstractmethod
    def waiting_in_time(self) -> int:
        """Return how many requests wait for room that can still meet their target."""


@dataclasses.dataclass
class Waiter:
    """One request that waits for room."""

    call: RoutedCall
    made: int
    avoid: frozenset[str]
    in_time_until_s: float
    """Placed by then, its first token is in time."""
    placed: asyncio.Future[Placement]


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

    async def place(self, call: RoutedCall, made: int, avoid: frozenset[str]) -> Placement:
        """Return where the request goes; waits for room, raises ``NoDecodeRoom`` in the end."""
        placed: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        waiter = Waiter(call, made, avoid, self._in_time_until_s(call, made), placed)
        self._waiters.append(waiter)
        self._pump()
        try:
            async with asyncio.timeout(self._patience_s(call)):
                while True:
                    done, _ = await asyncio.wait({placed}, timeout=RECHECK_S)
                    if done:
                        return placed.result()
                    self._pump()
        except TimeoutError:
            message = f"no engine of {call.service.name} has room; retry later"
            raise NoDecodeRoom(message, COME_BACK_S) from None
        finally:
            self._leave(waiter)

    def waiting_in_time(self) -> int:
        """Return how many requests wait for room that can still meet their target."""
        now_s = time.monotonic()
        return sum(1 for waiter in self._waiters if waiter.in_time_until_s >= now_s)

    def _in_time_until_s(self, call: RoutedCall, made: int) -> float:
        """Return until when a placement still meets the target for the first token."""
        if made:
            return time.monotonic() + call.route.target_s
        prompt = call.terms.generation.prompt_tokens if call.terms.generation else 0
        return call.target_s - prompt / self._ledger.prefill_rate - START_S - WAIT_MARGIN_S

    def _patience_s(self, call: RoutedCall) -> float:
        """Return how long waiting makes sense: callers give up on a silent stream."""
        route = call.route
        silence_s = max(LEAST_SILENCE_S, 4 * route.target_s, 8 * route.gap_target_s)
        waited_s = time.monotonic() - call.arrived_s
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
        late = [waiter for waiter in self._waiters if waiter.in_time_until_s < now_s]
        for waiter in in_time:
            if not self._try(waiter):
                return
        if self._waiting_elsewhere():
            return
        for waiter in late:
            if not self._try(waiter):
                return

    def _try(self, waiter: Waiter) -> bool:
        if waiter.placed.done():
            return True
        placement = self._choose(waiter.call, waiter.made, waiter.avoid)
        if placement is None:
            return False
        self._waiters.remove(waiter)
        waiter.placed.set_result(placement)
        return True

    def _choose(self, call: RoutedCall, made: int, avoid: frozenset[str]) -> Placement | None:
        terms, traits = call.terms.generation, call.service.engine
        assert terms is not None and traits is not None
        tokens = terms.prompt_tokens + made
        need = stream_demand("", terms, made).memory_tokens()
        roomy = self._roomy(call.service.name, traits, need, avoid)
        if not roomy:
            return None
        prefills = self._registry.usable(call.service.name, PREFILL_ROLE)
        prefills = [backend for backend in prefills if self._is_open(backend, avoid)]
        pairs = [(p, d) for p in prefills for d in roomy]
        costs_s = [self._pair_cost_s(prefill, decode, tokens, traits) for prefill, decode in pairs]
        best = pairs[costs_s.index(min(costs_s))] if pairs else None
        alone = min(roomy, key=lambda d: self._alone_cost_s(d, tokens, traits))
        if best is not None:
            pair_s = min(costs_s)
            handicap_s = SELF_PREFILL_HANDICAP_S
            if time.monotonic() + pair_s < call.target_s - TARGET_MARGIN_S:
                fullness = self._ledger.memory_tokens(alone.name) / traits.memory_tokens
                handicap_s += FULL_HANDICAP_S * fullness
            if pair_s <= self._alone_cost_s(alone, tokens, traits) + handicap_s:
                return self._promise(best[1], best[0], terms, made)
        return self._promise(alone, None, terms, made)

    def _promise(
        self, decode: Backend, prefill: Backend | None, terms: GenerationTerms, made: int
    ) -> Placement:
        """Promise memory at the chosen engine."""
        demand = stream_demand(decode.name, terms, made)
        promise = self._ledger.open_stream(demand)
        return Placement(decode, prefill, terms.prompt_tokens + made, demand, promise)

    def _roomy(
        self, service: str, traits: EngineTraits, need: int, avoid: frozenset[str]
    ) -> list[Backend]:
        """Return the decode engines with room for ``need`` tokens and one more stream."""
        usable = self._registry.usable(service, DECODE_ROLE)
        return [
            backend
            for backend in usable
            if self._is_open(backend, avoid)
            and self._ledger.streams(backend.name) < traits.slots
            and self._fits(backend.name, traits, need)
        ]

    def _is_open(self, backend: Backend, avoid: frozenset[str]) -> bool:
        return backend.name not in avoid and not self._registry.is_changing(backend.name)

    def _fits(self, engine: str, traits: EngineTraits, need: int) -> bool:
        promised = self._ledger.memory_tokens(engine)
        return promised == 0 or promised + need <= FILL * traits.memory_tokens

    def _pair_cost_s(
        self, prefill: Backend, decode: Backend, tokens: int, traits: EngineTraits
    ) -> float:
        """Return the predicted time to the first token, with what should weigh against the pair."""
        backlog = self._ledger.prefill_backlog(prefill.name)
        cost_s = (backlog + tokens) / self._ledger.prefill_rate
        if prefill.entry.zone != decode.entry.zone:
            cost_s += OTHER_ZONE_COST_S
        return cost_s + self._decode_cost_s(decode, traits) + self._risk_s(prefill)

    def _alone_cost_s(self, decode: Backend, tokens: int, traits: EngineTraits) -> float:
        backlog = self._ledger.prefill_backlog(decode.name)
        read_s = SELF_PREFILL_SLOWNESS * (backlog + tokens) / self._ledger.prefill_rate
        return read_s + self._decode_cost_s(decode, traits)

    def _decode_cost_s(self, decode: Backend, traits: EngineTraits) -> float:
        """Return what speaks against a decode engine: how full it is, and its failures."""
        fullness = self._ledger.memory_tokens(decode.name) / traits.memory_tokens
        return START_S + 0.1 * fullness + self._risk_s(decode)

    def _risk_s(self, backend: Backend) -> float:
        return backend.health.failure_share(time.monotonic())


def stream_demand(engine: str, terms: GenerationTerms, made: int) -> StreamDemand:
    """Return the memory a generation is expected to take at ``engine``."""
    expected = terms.output_hint if terms.output_hint is not None else terms.most_output_tokens / 2
    expected = min(expected, terms.most_output_tokens)
    return StreamDemand(engine, terms.prompt_tokens, expected, terms.most_output_tokens, made)
