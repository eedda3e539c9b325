"""Selection of the engines for a generation, based on the reservations of all routers."""

from __future__ import annotations

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.randomness import new_random
from yokedock.connection.dialect import GenerationParameters
from yokedock.request.backend_incarnation import Backend
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.engine_costs import (
    COLOCATED_PREFILL_SLOWDOWN,
    INTERFERENCE_COST_S,
    START_S,
    AvailableEngine,
    DecodeCandidate,
    EngineCosts,
    PlacementQuery,
    colocated_cost_s,
    stream_demand,
)
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.engine_placement import DECODE_ROLE, PREFILL_ROLE, Placement, Progress
from yokedock.request.mechanisms import ALL_ON, Mechanisms
from yokedock.request.prompt_homes import PromptHomes
from yokedock.request.remote_reservations import EngineTotals
from yokedock.request.routed_call import RoutedCall
from yokedock.version.route_table import EngineTraits

MAX_MEMORY_FILL = 0.98
"""Share of an engine's memory that may be reserved."""
MAX_CANDIDATES = 48
"""Maximum number of engines per role evaluated for a placement; larger pools are sampled at random.
With 48 sampled out of several hundred, the best of them is among the best 5% of the pool with a
probability of 0.91 (1 - 0.95^48), and the cost of a placement does not depend on the fleet's
size."""


class EngineChoice:
    """Selects among the engines that have capacity."""

    def __init__(
        self, registry: BackendRegistry, ledger: EngineLedger, mechanisms: Mechanisms = ALL_ON
    ) -> None:
        """``registry`` and ``ledger`` are those shared by the whole process."""
        self._mechanisms = mechanisms
        self._costs = EngineCosts(ledger, mechanisms)
        self._registry = registry
        self._prompt_homes = PromptHomes(registry)
        self._ledger = ledger
        self._random = new_random()

    def choose(
        self,
        call: RoutedCall,
        progress: Progress,
        awaited_versions: frozenset[int] = frozenset(),
    ) -> Placement | None:
        """Select a prefill/decode pair or one engine for both phases, whichever costs less.

        Reserves memory at the decode engine. Returns None if no engine has capacity. Capacity of
        ``awaited_versions`` is left to the streams that have to go on there.
        """
        terms, traits = call.terms.generation, call.service.engine
        assert terms is not None and traits is not None
        service = call.service.name
        decodes = self._decodes(service, progress)
        if awaited_versions and progress.version is None:
            decodes = [engine for engine in decodes if engine.version not in awaited_versions]
        prefills = self._registry.usable(service, PREFILL_ROLE)
        placement_query = PlacementQuery(terms, progress, traits, self._homes(service, terms))
        available = self._with_capacity(self._sampled(decodes, placement_query), placement_query)
        if not available and len(decodes) > MAX_CANDIDATES:
            available = self._with_capacity(decodes, placement_query)
        if not available:
            return None
        cache_holders = self._cache_holders(service, placement_query)
        if not self._mechanisms.cached_copies:
            names = {candidate.backend.name for candidate in available}
            cache_holders = [holder for holder in cache_holders if holder.name in names]
        if cache_holders and not self._mechanisms.cached_copies:
            return self._open_placement(cache_holders[0], None, placement_query)
        candidates = [
            self._costs.evaluate(one, placement_query) for one in available[:MAX_CANDIDATES]
        ]
        if cache_holders:
            return self._reserve_near_cache(candidates, cache_holders, placement_query)
        colocated = min(candidates, key=colocated_cost_s)
        eligible = [
            p
            for p in self._sampled(prefills, placement_query)
            if self._is_eligible(p, placement_query)
        ]
        pair = self._costs.best_pair(eligible, candidates, placement_query)
        if pair is not None:
            colocated_s = colocated.colocated_s + self._costs.colocated_penalty_s(
                call, colocated.backend, pair.cost_s
            )
            if self._costs.would_interfere(call, colocated.backend):
                colocated_s += INTERFERENCE_COST_S
            if pair.cost_s <= colocated_s or not self._mechanisms.decode_reads:
                return self._open_placement(pair.decode, pair.prefill, placement_query)
        return self._open_placement(colocated.backend, None, placement_query)

    def _decodes(self, service: str, progress: Progress) -> list[Backend]:
        """Return the engines that may decode the rest of a generation."""
        version, is_unstated = progress.version, progress.is_unstated
        return self._registry.usable(service, DECODE_ROLE, version, is_unstated)

    def places(self, call: RoutedCall, progress: Progress) -> int:
        """Return how many generations like this one currently fit on all engines together."""
        terms, traits = call.terms.generation, call.service.engine
        assert terms is not None and traits is not None
        placement_query = PlacementQuery(terms, progress, traits)
        needed_tokens = placement_query.needed_tokens()
        return sum(
            self._capacity_at(available, traits, needed_tokens)
            for available in self._with_capacity(
                self._decodes(call.service.name, progress),
                placement_query,
            )
        )

    def has_place(self, call: RoutedCall, progress: Progress) -> bool:
        """Return whether the generation fits on some engine now."""
        terms, traits = call.terms.generation, call.service.engine
        assert terms is not None and traits is not None
        placement_query = PlacementQuery(terms, progress, traits)
        engines = self._decodes(call.service.name, progress)
        load_of, needed_tokens = self._ledger.load, placement_query.needed_tokens()
        return any(
            self._fits(engine, load_of(engine.name), placement_query, needed_tokens)
            for engine in engines
        )

    def has_engine(self, call: RoutedCall, progress: Progress) -> bool:
        """Return whether an engine may decode the generation, now or once it has capacity.

        Only a generation that has to go on at one software version may have none.
        """
        service = call.service.name
        if progress.is_unstated:
            return self._registry.may_continue_unstated(service, DECODE_ROLE, progress.avoid)
        if progress.version is None:
            return True
        return self._registry.has_version(service, progress.version, DECODE_ROLE, progress.avoid)

    def _capacity_at(
        self, available: AvailableEngine, traits: EngineTraits, needed_tokens: int
    ) -> int:
        free_tokens = MAX_MEMORY_FILL * traits.memory_tokens - available.load.memory_tokens
        free_slots = traits.slots - available.load.streams
        return max(1, min(free_slots, int(free_tokens / max(1, needed_tokens))))

    def first_token_s(self, call: RoutedCall, progress: Progress) -> float:
        """Return the minimum time from placement to first token, on idle engines.

        Current queues are ignored, as they may be gone by then, and a generation that is classified
        as late too early loses its turn to new arrivals.
        """
        terms = call.terms.generation
        if terms is None or progress.cached_at:
            return START_S
        tokens = terms.prompt_tokens + progress.made
        pace, service = self._ledger.pace, call.service.name
        prefill_times_s = [
            slowness * tokens / pace.prefill_rate(engine.name)
            for role, slowness in ((PREFILL_ROLE, 1.0), (DECODE_ROLE, COLOCATED_PREFILL_SLOWDOWN))
            for engine in self._registry.usable(service, role)[:MAX_CANDIDATES]
        ]
        return START_S + min(prefill_times_s, default=0.0)

    def _cache_holders(self, service: str, placement_query: PlacementQuery) -> list[Backend]:
        """Return the engines that hold the prompt in their prefix cache."""
        if not placement_query.progress.cached_at:
            return []
        now_s = boot_time_s()
        return [
            backend
            for backend in self._registry.usable(service)
            if backend.name in placement_query.progress.cached_at
            and self._is_eligible(backend, placement_query)
            and not backend.health.is_suspect(now_s)
        ]

    def _reserve_near_cache(
        self,
        candidates: list[DecodeCandidate],
        cache_holders: list[Backend],
        placement_query: PlacementQuery,
    ) -> Placement:
        """Place the generation on or near an engine that caches the prompt, with no new prefill."""
        decode, holder = self._costs.cheapest_cached(candidates, cache_holders)
        placement = self._open_placement(decode, None, placement_query)
        fetch_from = None if decode is holder else holder
        return msgspec.structs.replace(placement, fetch_from=fetch_from)

    def _open_placement(
        self, decode: Backend, prefill: Backend | None, placement_query: PlacementQuery
    ) -> Placement:
        """Reserve memory at the decode engine, and take permits of rate-limited engines."""
        demand = stream_demand(decode.name, placement_query.terms, placement_query.progress.made)
        reservation = self._ledger.open_stream(demand)
        now_s = boot_time_s()
        has_decode_permit = decode.limit.take(now_s)
        has_prefill_permit = prefill is not None and prefill.limit.take(now_s)
        return Placement(
            decode,
            prefill,
            placement_query.tokens,
            demand,
            reservation,
            has_decode_permit=has_decode_permit,
            has_prefill_permit=has_prefill_permit,
        )

    def _sampled(self, engines: list[Backend], placement_query: PlacementQuery) -> list[Backend]:
        """Return all engines, or a random sample including the prompt's homes and cache holders."""
        if len(engines) <= MAX_CANDIDATES:
            return engines
        wanted = placement_query.homes | placement_query.progress.cached_at
        known = (self._registry.get(name) for name in wanted)
        always = [backend for backend in known if backend is not None and backend in engines]
        return always + self._random.sample(engines, MAX_CANDIDATES - len(always))

    def _with_capacity(
        self, decodes: list[Backend], placement_query: PlacementQuery
    ) -> list[AvailableEngine]:
        """Return the decode engines with a free slot and enough memory for another stream."""
        loads = ((backend, self._ledger.load(backend.name)) for backend in decodes)
        needed_tokens = placement_query.needed_tokens()
        return [
            AvailableEngine(backend, load)
            for backend, load in loads
            if self._fits(backend, load, placement_query, needed_tokens)
        ]

    def _fits(
        self,
        backend: Backend,
        load: EngineTotals,
        placement_query: PlacementQuery,
        needed_tokens: int,
    ) -> bool:
        traits = placement_query.traits
        max_reserved = MAX_MEMORY_FILL * traits.memory_tokens - needed_tokens
        has_memory = load.memory_tokens <= max_reserved or load.memory_tokens == 0
        has_room = has_memory and load.streams < traits.slots
        return has_room and self._is_eligible(backend, placement_query)

    def _is_eligible(self, backend: Backend, placement_query: PlacementQuery) -> bool:
        is_avoided = backend.name in placement_query.progress.avoid
        return not is_avoided and not self._registry.is_changing(backend.name)

    def _homes(self, service: str, terms: GenerationParameters) -> frozenset[str]:
        """Return the home engines of a prompt, one per role, as given by its last part."""
        if not terms.parts or not self._mechanisms.prompt_homes:
            return frozenset()
        part_id = terms.parts[-1].part_id
        homes = [
            self._prompt_homes.home_of(part_id, service, role)
            for role in (PREFILL_ROLE, DECODE_ROLE)
        ]
        return frozenset(home for home in homes if home is not None)
