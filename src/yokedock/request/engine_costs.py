"""Cost model for the candidate engines of a generation, in seconds until its first token."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.connection.dialect import GenerationParameters
from yokedock.request.backend_incarnation import Backend
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.engine_placement import Progress
from yokedock.request.mechanisms import Mechanisms
from yokedock.request.remote_reservations import EngineTotals
from yokedock.request.routed_call import RoutedCall
from yokedock.version.route_table import EngineTraits

OTHER_ZONE_COST_S = 0.05
"""Added to the cost of a pair in different zones: an engine in the same zone may be this much
later."""
COLOCATED_PREFILL_SLOWDOWN = 2.0
"""Prefill on a decode engine takes this many times as long as on a prefill engine (platform
value)."""
COLOCATED_PENALTY_S = 0.1
COLOCATED_FULL_PENALTY_S = 0.6
"""How much faster prefill on the decode engine has to be than a pair: by ``COLOCATED_PENALTY_S`` on
an empty engine, by the sum of both on a full one. It slows down all streams there, and thus the
rate at which capacity becomes free."""
TRANSFER_COST_S = 0.3
"""How much slower prefill on the decode engine may be, since a pair has to transfer the prompt's KV
cache and keeps two engines busy. Net of the penalties, a decode engine less than one third full may
be slower than the pair, and a fuller one has to be faster."""
TARGET_MARGIN_S = 0.25
"""A pair predicted to finish later than this before the target has no advantage over prefill on the
decode engine, so that only ``COLOCATED_PENALTY_S`` is applied."""
CACHE_COPY_COST_S = 0.25
"""Cost of copying a cached prompt: an engine that already holds it may be this much later."""
AFFINITY_BONUS_S = 0.1
UTILIZATION_COST_S = 0.1
SLOWNESS_COST_S = 0.3
"""Cost of generating tokens at half the typical speed, counted beyond ``SLOWNESS_TOLERANCE``."""
SLOWNESS_TOLERANCE = 1.15
MAX_PAUSE_SHARE = 0.92
"""Share of the gap target that a pause caused by prefilling beside streams may take up."""
INTERFERENCE_COST_S = 0.5
START_S = 0.08
"""Time from the end of the prefill to the first token: transfer and first decode step."""


class PlacementQuery(msgspec.Struct, frozen=True):
    """The requirements of a placement."""

    terms: GenerationParameters
    progress: Progress
    traits: EngineTraits
    homes: frozenset[str] = frozenset()
    """The prompt's home engines, one per role and the same at every router."""

    @property
    def tokens(self) -> int:
        """Return the number of tokens to prefill."""
        return self.terms.prompt_tokens + self.progress.made

    def needed_tokens(self) -> int:
        """Return the tokens of memory that the generation needs at a decode engine."""
        return stream_demand("", self.terms, self.progress.made).memory_tokens()


class AvailableEngine(msgspec.Struct, frozen=True, gc=False):
    """A decode engine with capacity, and the load reserved there."""

    backend: Backend
    load: EngineTotals


class DecodeCandidate(msgspec.Struct, frozen=True, gc=False):
    """A decode engine and its costs, in seconds."""

    backend: Backend
    cost_s: float
    """Cost as the decode engine of a pair."""
    colocated_s: float
    """Cost if it prefills the prompt as well."""


class EnginePair(msgspec.Struct, frozen=True, gc=False):
    """A prefill and a decode engine, with the predicted time to the first token in seconds."""

    prefill: Backend
    decode: Backend
    cost_s: float


def _cost_s(candidate: DecodeCandidate) -> float:
    return candidate.cost_s


def colocated_cost_s(candidate: DecodeCandidate) -> float:
    """Return the cost of a decode engine that prefills the prompt as well, in seconds."""
    return candidate.colocated_s


class EngineCosts:
    """Computes engine costs from reserved memory, prefill backlog, speed and failures."""

    def __init__(self, ledger: EngineLedger, mechanisms: Mechanisms) -> None:
        """``ledger`` is the one shared by the whole process."""
        self._ledger = ledger
        self._mechanisms = mechanisms

    def evaluate(
        self, available: AvailableEngine, placement_query: PlacementQuery
    ) -> DecodeCandidate:
        """Return a decode engine with its costs."""
        decode = available.backend
        cost_s = self._decode_cost_s(decode, available.load, placement_query)
        colocated_s = (
            COLOCATED_PREFILL_SLOWDOWN
            * self._prefill_time_s(decode, available.load, placement_query)
            + cost_s
        )
        return DecodeCandidate(decode, cost_s, colocated_s)

    def best_pair(
        self,
        prefills: Iterable[Backend],
        candidates: list[DecodeCandidate],
        placement_query: PlacementQuery,
    ) -> EnginePair | None:
        """Return the cheapest pair, None if there is no prefill engine.

        The cost of a pair is the sum of the costs of its engines, plus a surcharge for different
        zones. It is therefore sufficient to consider the cheapest decode engine of each zone, and
        the effort grows with the sum of the numbers of engines instead of their product.
        """
        by_zone: dict[str, DecodeCandidate] = {}
        for candidate in candidates:
            zone = candidate.backend.entry.zone
            if zone not in by_zone or candidate.cost_s < by_zone[zone].cost_s:
                by_zone[zone] = candidate
        cheapest = min(by_zone.values(), key=_cost_s)
        best: EnginePair | None = None
        for prefill in prefills:
            cost_s = self._prefill_cost_s(prefill, placement_query)
            decode, decode_s = cheapest, cheapest.cost_s + OTHER_ZONE_COST_S
            near = by_zone.get(prefill.entry.zone)
            if near is not None and near.cost_s <= decode_s:
                decode, decode_s = near, near.cost_s
            if best is None or cost_s + decode_s < best.cost_s:
                best = EnginePair(prefill, decode.backend, cost_s + decode_s)
        return best

    def cheapest_cached(
        self, candidates: list[DecodeCandidate], cache_holders: list[Backend]
    ) -> tuple[Backend, Backend]:
        """Return the cheapest decode engine and the cache holder to copy the prompt from."""

        def cost_s(candidate: DecodeCandidate, holder: Backend) -> float:
            decode = candidate.backend
            cost_s = self._ledger.backlog_s(decode.name) + candidate.cost_s
            if decode is not holder:
                cost_s += CACHE_COPY_COST_S
                if decode.entry.zone != holder.entry.zone:
                    cost_s += OTHER_ZONE_COST_S
            return cost_s

        pairs = [(candidate, holder) for candidate in candidates for holder in cache_holders]
        candidate, holder = min(pairs, key=lambda pair: cost_s(*pair))
        return candidate.backend, holder

    def colocated_penalty_s(self, call: RoutedCall, colocated: Backend, pair_s: float) -> float:
        """Return how much faster prefill on ``colocated`` must be; it grows with utilization."""
        if boot_time_s() + pair_s >= call.target_s - TARGET_MARGIN_S:
            return COLOCATED_PENALTY_S
        traits = call.service.engine
        assert traits is not None
        fullness = self._ledger.memory_tokens(colocated.name) / traits.memory_tokens
        transfer_s = TRANSFER_COST_S if self._mechanisms.decode_reads_when_calm else 0.0
        return COLOCATED_PENALTY_S + COLOCATED_FULL_PENALTY_S * fullness - transfer_s

    def would_interfere(self, call: RoutedCall, colocated: Backend) -> bool:
        """Return whether prefill on ``colocated`` would cause too long pauses in its streams."""
        max_duration_s = MAX_PAUSE_SHARE * call.route.gap_target_s
        is_slow = self._ledger.pace.prefilling_pause_s(colocated.name) > max_duration_s > 0
        return is_slow and self._ledger.streams(colocated.name) > 0

    def _prefill_cost_s(self, prefill: Backend, placement_query: PlacementQuery) -> float:
        """Return the predicted prefill time, plus failure cost and minus any affinity bonus."""
        load = self._ledger.load(prefill.name)
        cost_s = self._prefill_time_s(prefill, load, placement_query) + self._failure_cost_s(
            prefill
        )
        return cost_s - AFFINITY_BONUS_S if prefill.name in placement_query.homes else cost_s

    def _prefill_time_s(
        self, engine: Backend, load: EngineTotals, placement_query: PlacementQuery
    ) -> float:
        """Return the predicted time to prefill the prompt, including the backlog."""
        tokens_to_prefill = load.prefill_tokens + placement_query.tokens
        return tokens_to_prefill / self._ledger.pace.prefill_rate(engine.name)

    def _decode_cost_s(
        self, decode: Backend, load: EngineTotals, placement_query: PlacementQuery
    ) -> float:
        """Return the cost of a decode engine from its utilization, speed, affinity and failures."""
        fullness = load.memory_tokens / placement_query.traits.memory_tokens
        slowness = self._ledger.pace.slowness(decode.name) - SLOWNESS_TOLERANCE
        cost_s = START_S + UTILIZATION_COST_S * fullness + SLOWNESS_COST_S * max(0.0, slowness)
        if decode.name in placement_query.homes:
            cost_s -= AFFINITY_BONUS_S
        return cost_s + self._failure_cost_s(decode)

    def _failure_cost_s(self, backend: Backend) -> float:
        return backend.health.failure_rate(boot_time_s())


def stream_demand(engine: str, terms: GenerationParameters, made: int) -> StreamDemand:
    """Return the memory demand expected of a generation at ``engine``."""
    expected = terms.output_hint if terms.output_hint is not None else terms.max_output_tokens / 2
    expected = min(expected, terms.max_output_tokens)
    return StreamDemand(engine, terms.prompt_tokens, expected, terms.max_output_tokens, made)
