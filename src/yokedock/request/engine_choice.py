"""Chooses the engines of one generation from what all routers promised, if any has room."""

from __future__ import annotations

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.randomness import new_random
from yokedock.connection.dialect import GenerationTerms
from yokedock.request.backend_life import Backend
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.engine_costs import (
    DISTURBANCE_COST_S,
    SELF_PREFILL_SLOWNESS,
    START_S,
    DecodeCandidate,
    EngineCosts,
    RoomyEngine,
    Sought,
    alone_cost_s,
    stream_demand,
)
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.engine_placement import DECODE_ROLE, PREFILL_ROLE, Placement, Progress
from yokedock.request.mechanisms import ALL_ON, Mechanisms
from yokedock.request.prompt_homes import PromptHomes
from yokedock.request.routed_call import RoutedCall
from yokedock.version.route_table import EngineTraits

FILL = 0.98
"""Share of an engine's memory that is promised."""
MOST_WEIGHED = 48
"""Engines of a role that one placement weighs. Above that they are drawn by chance: with 48 of
several hundred drawn, the best of them is among the best 5 in 100 nine times of ten (1 - 0.95^48 =
0.91), and a placement costs as much in a fleet of any size."""


class EngineChoice:
    """Chooses among the engines that have room."""

    def __init__(
        self, registry: BackendRegistry, ledger: EngineLedger, mechanisms: Mechanisms = ALL_ON
    ) -> None:
        """Share the process's backends and promises."""
        self._mechanisms = mechanisms
        self._costs = EngineCosts(ledger, mechanisms)
        self._registry = registry
        self._prompt_homes = PromptHomes(registry)
        self._ledger = ledger
        self._random = new_random()

    def choose(self, call: RoutedCall, progress: Progress) -> Placement | None:
        """Return the cheaper of a pair of engines and one that does both, its memory promised.

        Returns None if no engine has room.
        """
        terms, traits = call.terms.generation, call.service.engine
        assert terms is not None and traits is not None
        service = call.service.name
        decodes = self._registry.usable(service, DECODE_ROLE)
        prefills = self._registry.usable(service, PREFILL_ROLE)
        sought = Sought(terms, progress, traits, self._homes(service, terms))
        roomy = self._roomy(self._drawn(decodes, sought), sought)
        if not roomy and len(decodes) > MOST_WEIGHED:
            roomy = self._roomy(decodes, sought)
        if not roomy:
            return None
        keepers = self._keepers(service, sought)
        if not self._mechanisms.cached_copies:
            names = {candidate.backend.name for candidate in roomy}
            keepers = [keeper for keeper in keepers if keeper.name in names]
        if keepers and not self._mechanisms.cached_copies:
            return self._promise(keepers[0], None, sought)
        candidates = [self._costs.weighed(one, sought) for one in roomy[:MOST_WEIGHED]]
        if keepers:
            return self._promise_kept(candidates, keepers, sought)
        alone = min(candidates, key=alone_cost_s)
        opened = [p for p in self._drawn(prefills, sought) if self._is_open(p, sought)]
        pair = self._costs.best_pair(opened, candidates, sought)
        if pair is not None:
            alone_s = alone.alone_s + self._costs.handicap_s(call, alone.backend, pair.cost_s)
            if self._costs.would_disturb(call, alone.backend):
                alone_s += DISTURBANCE_COST_S
            if pair.cost_s <= alone_s or not self._mechanisms.decode_reads:
                return self._promise(pair.decode, pair.prefill, sought)
        return self._promise(alone.backend, None, sought)

    def places(self, call: RoutedCall, progress: Progress) -> int:
        """Return how many generations like this one have room now, over all engines."""
        terms, traits = call.terms.generation, call.service.engine
        assert terms is not None and traits is not None
        sought = Sought(terms, progress, traits)
        need = stream_demand("", terms, progress.made).memory_tokens()
        return sum(
            self._places_at(roomy, traits, need)
            for roomy in self._roomy(self._registry.usable(call.service.name, DECODE_ROLE), sought)
        )

    def _places_at(self, roomy: RoomyEngine, traits: EngineTraits, need: int) -> int:
        free_tokens = FILL * traits.memory_tokens - roomy.load.memory_tokens
        free_slots = traits.slots - roomy.load.streams
        return max(1, min(free_slots, int(free_tokens / max(1, need))))

    def first_token_s(self, call: RoutedCall, progress: Progress) -> float:
        """Return the shortest time from a placement to the first token, with nothing before it.

        What waits at the engines now may be gone by then, and who is taken for late too early loses
        its turn to newcomers.
        """
        terms = call.terms.generation
        if terms is None or progress.cached_at:
            return START_S
        tokens = terms.prompt_tokens + progress.made
        pace, service = self._ledger.pace, call.service.name
        reads_s = [
            slowness * tokens / pace.read_rate(engine.name)
            for role, slowness in ((PREFILL_ROLE, 1.0), (DECODE_ROLE, SELF_PREFILL_SLOWNESS))
            for engine in self._registry.usable(service, role)[:MOST_WEIGHED]
        ]
        return START_S + min(reads_s, default=0.0)

    def _keepers(self, service: str, sought: Sought) -> list[Backend]:
        """Return the engines that keep the prompt in their prefix cache."""
        if not sought.progress.cached_at:
            return []
        now_s = boot_time_s()
        return [
            backend
            for backend in self._registry.usable(service)
            if backend.name in sought.progress.cached_at
            and self._is_open(backend, sought)
            and not backend.health.is_suspect(now_s)
        ]

    def _promise_kept(
        self, candidates: list[DecodeCandidate], keepers: list[Backend], sought: Sought
    ) -> Placement:
        """Promise memory where the prompt is kept, or near to there: it is not read again."""
        decode, keeper = self._costs.cheapest_copy(candidates, keepers)
        placement = self._promise(decode, None, sought)
        fetch_from = None if decode is keeper else keeper
        return msgspec.structs.replace(placement, fetch_from=fetch_from)

    def _promise(self, decode: Backend, prefill: Backend | None, sought: Sought) -> Placement:
        """Promise memory at the chosen engine, and take the permits of engines that are limited."""
        demand = stream_demand(decode.name, sought.terms, sought.progress.made)
        promise = self._ledger.open_stream(demand)
        now_s = boot_time_s()
        has_decode_permit = decode.limit.take(now_s)
        has_prefill_permit = prefill is not None and prefill.limit.take(now_s)
        return Placement(
            decode,
            prefill,
            sought.tokens,
            demand,
            promise,
            has_decode_permit=has_decode_permit,
            has_prefill_permit=has_prefill_permit,
        )

    def _drawn(self, engines: list[Backend], sought: Sought) -> list[Backend]:
        """Return the engines to look at: all, or some by chance, the prompt's home and keepers."""
        if len(engines) <= MOST_WEIGHED:
            return engines
        wanted = sought.homes | sought.progress.cached_at
        known = (self._registry.get(name) for name in wanted)
        always = [backend for backend in known if backend is not None and backend in engines]
        return always + self._random.sample(engines, MOST_WEIGHED - len(always))

    def _roomy(self, decodes: list[Backend], sought: Sought) -> list[RoomyEngine]:
        """Return the decode engines with room for one more stream and its memory."""
        need = stream_demand("", sought.terms, sought.progress.made).memory_tokens()
        slots = sought.traits.slots
        most_promised = FILL * sought.traits.memory_tokens - need
        load_of = self._ledger.load
        roomy: list[RoomyEngine] = []
        for backend in decodes:
            load = load_of(backend.name)
            has_memory = load.memory_tokens <= most_promised or load.memory_tokens == 0
            if has_memory and load.streams < slots and self._is_open(backend, sought):
                roomy.append(RoomyEngine(backend, load))
        return roomy

    def _is_open(self, backend: Backend, sought: Sought) -> bool:
        is_avoided = backend.name in sought.progress.avoid
        return not is_avoided and not self._registry.is_changing(backend.name)

    def _homes(self, service: str, terms: GenerationTerms) -> frozenset[str]:
        """Return the homes of a prompt, one of each role, by its last part."""
        if not terms.parts or not self._mechanisms.prompt_homes:
            return frozenset()
        part_id = terms.parts[-1].part_id
        homes = [
            self._prompt_homes.home_of(part_id, service, role)
            for role in (PREFILL_ROLE, DECODE_ROLE)
        ]
        return frozenset(home for home in homes if home is not None)
