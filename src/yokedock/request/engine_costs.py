"""What speaks for and against each engine of one generation, in seconds until its first token."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.connection.dialect import GenerationTerms
from yokedock.request.backend_life import Backend
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.engine_placement import Progress
from yokedock.request.mechanisms import Mechanisms
from yokedock.request.remote_promises import EngineTotals
from yokedock.request.routed_call import RoutedCall
from yokedock.version.route_table import EngineTraits

OTHER_ZONE_COST_S = 0.05
"""How much later an engine in the same zone may be before one in another zone is better."""
COLOCATED_PREFILL_SLOWDOWN = 2.0
"""A decode engine reads prompts this much slower than a prefill engine (the platform's figure)."""
COLOCATED_PENALTY_S = 0.1
COLOCATED_FULL_PENALTY_S = 0.6
"""How much sooner reading on the decode engine must be, on an empty and on a full engine: it slows
all streams there, and so the rate at which room comes free."""
TRANSFER_COST_S = 0.3
"""How much later reading on the decode engine may be, since a pair moves the prompt's memory and
keeps two engines busy. With the handicaps: a decode engine that is less than a third full reads
alone, one that is fuller only where the pair is that much slower."""
TARGET_MARGIN_S = 0.25
"""A pair predicted to be later than this before the target is no better than reading alone."""
CACHE_COPY_COST_S = 0.25
"""How much later an engine that keeps the prompt may be before it is copied to another."""
AFFINITY_BONUS_S = 0.1
UTILIZATION_COST_S = 0.1
SLOWNESS_COST_S = 0.3
"""What an engine costs that makes tokens half as fast as is typical, above what is tolerated."""
SLOWNESS_TOLERANCE = 1.15
MAX_PAUSE_SHARE = 0.92
"""Share of the longest pause that is allowed which reading beside streams may bring about."""
INTERFERENCE_COST_S = 0.5
START_S = 0.08
"""From the end of a prefill to the first token: transfer and first step."""


class Sought(msgspec.Struct, frozen=True):
    """What a placement is sought for."""

    terms: GenerationTerms
    progress: Progress
    traits: EngineTraits
    homes: frozenset[str] = frozenset()
    """Where the prompt goes, at whichever router it comes: one engine of each role."""

    @property
    def tokens(self) -> int:
        """Return the tokens to be read."""
        return self.terms.prompt_tokens + self.progress.made


class RoomyEngine(msgspec.Struct, frozen=True, gc=False):
    """A decode engine with room, and what is promised there."""

    backend: Backend
    load: EngineTotals


class DecodeCandidate(msgspec.Struct, frozen=True, gc=False):
    """A decode engine and what it costs, in seconds."""

    backend: Backend
    cost_s: float
    """As one of a pair."""
    colocated_s: float
    """If it reads the prompt too."""


class EnginePair(msgspec.Struct, frozen=True, gc=False):
    """A prefill and a decode engine and the predicted time to the first token, in seconds."""

    prefill: Backend
    decode: Backend
    cost_s: float


def _cost_s(candidate: DecodeCandidate) -> float:
    return candidate.cost_s


def colocated_cost_s(candidate: DecodeCandidate) -> float:
    """Return what an engine costs that reads the prompt too, in seconds."""
    return candidate.colocated_s


class EngineCosts:
    """Weighs engines by promised memory, reading backlog, pace and failures."""

    def __init__(self, ledger: EngineLedger, mechanisms: Mechanisms) -> None:
        """Share the process's promises."""
        self._ledger = ledger
        self._mechanisms = mechanisms

    def weighed(self, available: RoomyEngine, sought: Sought) -> DecodeCandidate:
        """Return a decode engine with its costs."""
        decode = available.backend
        cost_s = self._decode_cost_s(decode, available.load, sought)
        colocated_s = (
            COLOCATED_PREFILL_SLOWDOWN * self._prefill_time_s(decode, available.load, sought)
            + cost_s
        )
        return DecodeCandidate(decode, cost_s, colocated_s)

    def best_pair(
        self, prefills: Iterable[Backend], candidates: list[DecodeCandidate], sought: Sought
    ) -> EnginePair | None:
        """Return the cheapest pair, None without a prefill engine.

        The cost of a pair is that of its two engines and one for different zones: the cheapest pair
        is one of the cheapest of each zone, so that the work grows with the sum of both kinds.
        """
        by_zone: dict[str, DecodeCandidate] = {}
        for candidate in candidates:
            zone = candidate.backend.entry.zone
            if zone not in by_zone or candidate.cost_s < by_zone[zone].cost_s:
                by_zone[zone] = candidate
        cheapest = min(by_zone.values(), key=_cost_s)
        best: EnginePair | None = None
        for prefill in prefills:
            cost_s = self._prefill_cost_s(prefill, sought)
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
        """Return an engine to decode at and the keeper of the prompt that it is copied from."""

        def cost_s(candidate: DecodeCandidate, keeper: Backend) -> float:
            decode = candidate.backend
            cost_s = self._ledger.backlog_s(decode.name) + candidate.cost_s
            if decode is not keeper:
                cost_s += CACHE_COPY_COST_S
                if decode.entry.zone != keeper.entry.zone:
                    cost_s += OTHER_ZONE_COST_S
            return cost_s

        pairs = [(candidate, keeper) for candidate in candidates for keeper in cache_holders]
        candidate, keeper = min(pairs, key=lambda pair: cost_s(*pair))
        return candidate.backend, keeper

    def colocated_penalty_s(self, call: RoutedCall, alone: Backend, pair_s: float) -> float:
        """Return how much sooner reading alone must be: more on a full engine."""
        if boot_time_s() + pair_s >= call.target_s - TARGET_MARGIN_S:
            return COLOCATED_PENALTY_S
        traits = call.service.engine
        assert traits is not None
        fullness = self._ledger.memory_tokens(alone.name) / traits.memory_tokens
        transfer_s = TRANSFER_COST_S if self._mechanisms.decode_reads_when_calm else 0.0
        return COLOCATED_PENALTY_S + COLOCATED_FULL_PENALTY_S * fullness - transfer_s

    def would_interfere(self, call: RoutedCall, alone: Backend) -> bool:
        """Return whether reading on ``alone`` makes pauses there longer than the target."""
        longest_s = MAX_PAUSE_SHARE * call.route.gap_target_s
        is_slow = self._ledger.pace.reading_pause_s(alone.name) > longest_s > 0
        return is_slow and self._ledger.streams(alone.name) > 0

    def _prefill_cost_s(self, prefill: Backend, sought: Sought) -> float:
        """Return the predicted time to read the prompt, and the engine's risk and bonus."""
        load = self._ledger.load(prefill.name)
        cost_s = self._prefill_time_s(prefill, load, sought) + self._failure_cost_s(prefill)
        return cost_s - AFFINITY_BONUS_S if prefill.name in sought.homes else cost_s

    def _prefill_time_s(self, engine: Backend, load: EngineTotals, sought: Sought) -> float:
        """Return the predicted time to read the prompt."""
        tokens_to_prefill = load.prefill_tokens + sought.tokens
        return tokens_to_prefill / self._ledger.pace.read_rate(engine.name)

    def _decode_cost_s(self, decode: Backend, load: EngineTotals, sought: Sought) -> float:
        """Return the cost of a decode engine: how full and slow it is, its failures."""
        fullness = load.memory_tokens / sought.traits.memory_tokens
        slowness = self._ledger.pace.slowness(decode.name) - SLOWNESS_TOLERANCE
        cost_s = START_S + UTILIZATION_COST_S * fullness + SLOWNESS_COST_S * max(0.0, slowness)
        if decode.name in sought.homes:
            cost_s -= AFFINITY_BONUS_S
        return cost_s + self._failure_cost_s(decode)

    def _failure_cost_s(self, backend: Backend) -> float:
        return backend.health.failure_share(boot_time_s())


def stream_demand(engine: str, terms: GenerationTerms, made: int) -> StreamDemand:
    """Return the memory a generation is expected to take at ``engine``."""
    expected = terms.output_hint if terms.output_hint is not None else terms.most_output_tokens / 2
    expected = min(expected, terms.most_output_tokens)
    return StreamDemand(engine, terms.prompt_tokens, expected, terms.most_output_tokens, made)
