"""Chooses where a prompt is read and where its answer is made, from what all routers promised.

A narrow base class, so that the choice can be replaced; ``LedgerPlacement`` is the one in use.
"""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import random
import time

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
SELF_PREFILL_HANDICAP_S = 0.15
"""How much sooner reading on the decode engine must be, since it slows the streams there."""
START_S = 0.08
"""From the end of a prefill to the first token: transfer and first step."""
WAIT_MARGIN_S = 0.1
COME_BACK_S = 1.5
JITTER_S = 0.012


@dataclasses.dataclass(frozen=True)
class Placement:
    """Where a request is read and where its answer is made."""

    decode: Backend
    prefill: Backend | None
    """None: the decode engine reads the prompt itself."""
    tokens: int
    """Prompt tokens to be read, including those already made."""


class EnginePlacement(abc.ABC):
    """Chooses engines for a generation."""

    @abc.abstractmethod
    async def place(self, call: RoutedCall, made: int, avoid: frozenset[str]) -> Placement:
        """Return where the request goes; waits for room, raises ``Refused`` if none will come.

        ``made`` tokens were made earlier by an engine that was lost.
        """


class LedgerPlacement(EnginePlacement):
    """Places by promised memory and reading backlog."""

    def __init__(self, registry: BackendRegistry, ledger: EngineLedger, zone: str) -> None:
        """``zone`` is the router's own."""
        self._registry = registry
        self._ledger = ledger
        self._zone = zone
        self._random = random.Random()
        self._room = asyncio.Event()
        ledger.on_room = self._room.set

    async def place(self, call: RoutedCall, made: int, avoid: frozenset[str]) -> Placement:
        """Return where the request goes; waits for room, raises ``NoDecodeRoom`` in the end."""
        until_s = self._wait_until_s(call, made)
        while True:
            placement = self._choose(call, made, avoid)
            if placement is not None:
                return placement
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                message = f"no engine of {call.service.name} has room; retry later"
                raise NoDecodeRoom(message, COME_BACK_S)
            await self._wait_for_room(left_s)

    def _wait_until_s(self, call: RoutedCall, made: int) -> float:
        """Return until when waiting may still meet the target for the first token."""
        if made:
            return min(call.deadline_s, time.monotonic() + call.route.target_s)
        prompt = call.terms.generation.prompt_tokens if call.terms.generation else 0
        takes_s = prompt / self._ledger.prefill_rate + START_S + WAIT_MARGIN_S
        return min(call.deadline_s, call.target_s - takes_s)

    async def _wait_for_room(self, left_s: float) -> None:
        """Wait until room may have come free; a moment of chance keeps routers from colliding."""
        self._room.clear()
        try:
            async with asyncio.timeout(left_s):
                await self._room.wait()
                await asyncio.sleep(self._random.random() * JITTER_S)
        except TimeoutError:
            return

    def _choose(self, call: RoutedCall, made: int, avoid: frozenset[str]) -> Placement | None:
        terms, traits = call.terms.generation, call.service.engine
        assert terms is not None and traits is not None
        tokens = terms.prompt_tokens + made
        need = stream_demand("", terms, made).memory_tokens()
        roomy = self._roomy(call.service.name, traits, need, avoid)
        if not roomy:
            return None
        prefills = self._registry.usable(call.service.name, PREFILL_ROLE)
        prefills = [backend for backend in prefills if backend.name not in avoid]
        pairs = [(p, d) for p in prefills for d in roomy]
        costs_s = [self._pair_cost_s(prefill, decode, tokens, traits) for prefill, decode in pairs]
        best = pairs[costs_s.index(min(costs_s))] if pairs else None
        alone = min(roomy, key=lambda d: self._alone_cost_s(d, tokens, traits))
        if best is None:
            return Placement(alone, None, tokens)
        pair_s = self._pair_cost_s(best[0], best[1], tokens, traits)
        if self._alone_cost_s(alone, tokens, traits) + SELF_PREFILL_HANDICAP_S < pair_s:
            return Placement(alone, None, tokens)
        return Placement(best[1], best[0], tokens)

    def _roomy(
        self, service: str, traits: EngineTraits, need: int, avoid: frozenset[str]
    ) -> list[Backend]:
        """Return the decode engines with room for ``need`` tokens and one more stream."""
        usable = self._registry.usable(service, DECODE_ROLE)
        return [
            backend
            for backend in usable
            if backend.name not in avoid
            and self._ledger.streams(backend.name) < traits.slots
            and self._fits(backend.name, traits, need)
        ]

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
