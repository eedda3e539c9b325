"""Chooses the engines of one generation from what all routers promised, if any has room."""

from __future__ import annotations

import time

import msgspec

from yokedock.connection.dialect import GenerationTerms
from yokedock.request.backend_registry import Backend, BackendRegistry
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.engine_placement import DECODE_ROLE, PREFILL_ROLE, Placement, Progress
from yokedock.request.mechanisms import ALL_ON, Mechanisms
from yokedock.request.routed_call import RoutedCall
from yokedock.version.homes import home_of
from yokedock.version.route_table import EngineTraits

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
MOVE_COST_S = 0.3
"""How much later reading on the decode engine may be, since a pair moves the prompt's memory and
keeps two engines busy. With the handicaps: a decode engine that is less than a third full reads
alone, one that is fuller only where the pair is that much slower. Measured on three deployments,
three seeds: quiet days 0.928 to 0.941, 0.951 to 0.958, 0.961 to 0.963, memory moved down by 13 in
100, days with trouble up by 0.000 to 0.005; 0.6 made the first quiet day 0.933."""
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


class Sought(msgspec.Struct, frozen=True):
    """What a placement is sought for."""

    terms: GenerationTerms
    progress: Progress
    traits: EngineTraits
    homes: frozenset[str]
    """Where the prompt goes, at whichever router it comes: one engine of each role."""

    @property
    def tokens(self) -> int:
        """Return the tokens to be read."""
        return self.terms.prompt_tokens + self.progress.made


class EngineChoice:
    """Weighs engines by promised memory, reading backlog, pace and failures."""

    def __init__(
        self, registry: BackendRegistry, ledger: EngineLedger, mechanisms: Mechanisms = ALL_ON
    ) -> None:
        """Share the process's backends and promises."""
        self._mechanisms = mechanisms
        self._registry = registry
        self._ledger = ledger

    def choose(self, call: RoutedCall, progress: Progress) -> Placement | None:
        """Return the cheaper of a pair of engines and one that does both, its memory promised.

        Returns None if no engine has room.
        """
        terms, traits = call.terms.generation, call.service.engine
        assert terms is not None and traits is not None
        sought = Sought(terms, progress, traits, self._homes(call.service.name, terms))
        roomy = self._roomy(call.service.name, sought)
        if not roomy:
            return None
        keepers = self._keepers(call.service.name, sought)
        if not self._mechanisms.cached_copies:
            keepers = [keeper for keeper in keepers if keeper in roomy]
        if keepers and not self._mechanisms.cached_copies:
            return self._promise(keepers[0], None, sought)
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
            if pair_s <= alone_s or not self._mechanisms.decode_reads:
                prefill, decode = pairs[costs_s.index(pair_s)]
                return self._promise(decode, prefill, sought)
        return self._promise(alone, None, sought)

    def places(self, call: RoutedCall, progress: Progress) -> int:
        """Return how many generations like this one have room now, over all engines."""
        terms, traits = call.terms.generation, call.service.engine
        assert terms is not None and traits is not None
        sought = Sought(terms, progress, traits, frozenset())
        need = stream_demand("", terms, progress.made).memory_tokens()
        return sum(
            self._places_at(engine.name, traits, need)
            for engine in self._roomy(call.service.name, sought)
        )

    def _places_at(self, engine: str, traits: EngineTraits, need: int) -> int:
        free_tokens = FILL * traits.memory_tokens - self._ledger.memory_tokens(engine)
        free_slots = traits.slots - self._ledger.streams(engine)
        return max(1, min(free_slots, int(free_tokens / max(1, need))))

    def first_token_s(self, call: RoutedCall, progress: Progress) -> float:
        """Return the shortest time from a placement to the first token, with nothing before it.

        What waits at the engines now may be gone by then, and who is taken for late too early loses
        its turn to newcomers. Measured with the backlog counted in: no difference on quiet days, on
        days with trouble one within chance (0.550 and 0.544).
        """
        terms = call.terms.generation
        if terms is None or progress.cached_at:
            return START_S
        tokens = terms.prompt_tokens + progress.made
        pace, service = self._ledger.pace, call.service.name
        reads_s = [
            slowness * tokens / pace.read_rate(engine.name)
            for role, slowness in ((PREFILL_ROLE, 1.0), (DECODE_ROLE, SELF_PREFILL_SLOWNESS))
            for engine in self._registry.usable(service, role)
        ]
        return START_S + min(reads_s, default=0.0)

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
        return msgspec.structs.replace(placement, fetch_from=fetch_from)

    def _handicap_s(self, call: RoutedCall, alone: Backend, pair_s: float) -> float:
        """Return how much sooner reading alone must be: more on a full engine."""
        if time.monotonic() + pair_s >= call.target_s - TARGET_MARGIN_S:
            return SELF_PREFILL_HANDICAP_S
        traits = call.service.engine
        assert traits is not None
        fullness = self._ledger.memory_tokens(alone.name) / traits.memory_tokens
        move_s = MOVE_COST_S if self._mechanisms.decode_reads_when_calm else 0.0
        return SELF_PREFILL_HANDICAP_S + FULL_HANDICAP_S * fullness - move_s

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
        if prefill.name in sought.homes:
            cost_s -= HOME_BONUS_S
        return cost_s + self._decode_cost_s(decode, sought) + self._risk_s(prefill)

    def _alone_cost_s(self, decode: Backend, sought: Sought) -> float:
        read_s = SELF_PREFILL_SLOWNESS * self._read_cost_s(decode, sought)
        return read_s + self._decode_cost_s(decode, sought)

    def _read_cost_s(self, engine: Backend, sought: Sought) -> float:
        """Return the predicted time to read the prompt."""
        backlog_s = self._ledger.backlog_s(engine.name)
        return backlog_s + sought.tokens / self._ledger.pace.read_rate(engine.name)

    def _homes(self, service: str, terms: GenerationTerms) -> frozenset[str]:
        """Return the homes of a prompt, by rendezvous hashing of its last part."""
        if not terms.parts or not self._mechanisms.prompt_homes:
            return frozenset()
        part_id = terms.parts[-1].part_id
        roles = [self._registry.usable(service, role) for role in (PREFILL_ROLE, DECODE_ROLE)]
        homes = [home_of(part_id, [backend.name for backend in engines]) for engines in roles]
        return frozenset(home for home in homes if home is not None)

    def _decode_cost_s(self, decode: Backend, sought: Sought) -> float:
        """Return what speaks against a decode engine: how full and slow it is, its failures."""
        fullness = self._ledger.memory_tokens(decode.name) / sought.traits.memory_tokens
        slowness = self._ledger.pace.slowness(decode.name) - TOLERATED_SLOWNESS
        cost_s = START_S + FULL_COST_S * fullness + SLOW_COST_S * max(0.0, slowness)
        if decode.name in sought.homes:
            cost_s -= HOME_BONUS_S
        return cost_s + self._risk_s(decode)

    def _risk_s(self, backend: Backend) -> float:
        return backend.health.failure_share(time.monotonic())


def stream_demand(engine: str, terms: GenerationTerms, made: int) -> StreamDemand:
    """Return the memory a generation is expected to take at ``engine``."""
    expected = terms.output_hint if terms.output_hint is not None else terms.most_output_tokens / 2
    expected = min(expected, terms.most_output_tokens)
    return StreamDemand(engine, terms.prompt_tokens, expected, terms.most_output_tokens, made)
