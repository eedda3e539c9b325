"""Tests of engine choice while one engine cuts off every response, with 68 simulated routers.

The engine reports itself healthy and resets every request. The reservations there are released at
once, so it appears idler than all others, and each of the 68 routers would send it a request.
"""

import heapq
import itertools
import random
from unittest import mock

from support.stream_properties import Clock
from yokedock.request import engine_choice, engine_costs
from yokedock.request.backend_gossip import BackendGossip
from yokedock.request.engine_choice import EngineChoice
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.engine_placement import DECODE_ROLE, PREFILL_ROLE, Progress
from yokedock_emulator.decision_cost import MODEL_SERVICE, DecisionFleet, FleetShape

ROUTERS = 68
ARRIVALS_PER_S = 92.0
"""A burst of 1.7 times the load of the users' largest deployment, in total for all routers."""
SPAN_S = 4.0
RESET_DELAY_S = 0.037
SILENCE_TIMEOUT_S = 0.45
"""Time without output after which an engine counts as silent."""
NEWS_S = 0.02
"""Time from a failure until other routers know of it. Reservations are known at once here."""
PREFILL_DURATION_S = 0.1
STREAM_DURATION_S = 1.0


class BrokenFleet:
    """Routers that place generations; the engine ``broken`` resets or ignores each request."""

    def __init__(self, seed, role, tells=True, falls_silent=False):
        self.clock = Clock()
        self.chance = random.Random(seed)
        self.tells = tells
        self.falls_silent = falls_silent
        self.detection_delay_s = SILENCE_TIMEOUT_S if falls_silent else RESET_DELAY_S
        self.fleets = [DecisionFleet(FleetShape(2, 60), 0.3, seed) for _ in range(ROUTERS)]
        for fleet in self.fleets:
            fleet.registry._clock = self.clock
        self.ledger = EngineLedger(self.clock)
        self.choices = [EngineChoice(f.registry, self.ledger) for f in self.fleets]
        engines = self.fleets[0].registry.usable(MODEL_SERVICE, role)
        self.broken = self.chance.choice(engines).name
        self.lost = 0
        self._numbers = itertools.count()
        self._events = []

    def _schedule(self, due_s, act):
        heapq.heappush(self._events, (due_s, next(self._numbers), act))

    def play(self):
        """Simulate arrivals for ``SPAN_S``; return how many reached the broken engine."""
        due_s = self.clock.now_s
        until_s = due_s + SPAN_S
        while (due_s := due_s + self.chance.expovariate(ARRIVALS_PER_S)) < until_s:
            self._schedule(due_s, self._handle_arrival)
        while self._events:
            self.clock.now_s, _, act = heapq.heappop(self._events)
            act()
        return self.lost

    def _handle_arrival(self):
        number = self.chance.randrange(ROUTERS)
        fleet = self.fleets[number]
        call = fleet.call(self.chance.randrange(10_000))
        placement = self.choices[number].choose(call, Progress())
        reads = placement.prefill or placement.decode
        reading = self.ledger.open_prefill(reads.name, placement.tokens)
        is_lost = self.broken in (reads.name, placement.decode.name)
        now_s = self.clock.now_s
        ends = [
            (PREFILL_DURATION_S, lambda: self.ledger.close_prefill(reading, is_done=False)),
            (STREAM_DURATION_S, lambda: self.ledger.close_stream(placement.reservation)),
        ]
        if is_lost:
            self.lost += 1
            ends.append((self.detection_delay_s, lambda: self._record_detected_failure(fleet)))
        for after_s, end in ends:
            self._schedule(now_s + (self.detection_delay_s if is_lost else after_s), end)

    def _record_detected_failure(self, fleet):
        backend = fleet.registry.get(self.broken)
        if self.falls_silent:
            backend.health.record_silence(self.clock.now_s)
        else:
            backend.health.record_broken(self.clock.now_s)
        if self.tells:
            told = BackendGossip(fleet.registry).broken()
            assert set(told) == {self.broken}
            self._schedule(self.clock.now_s + NEWS_S, lambda: self._tell(fleet, told))

    def _tell(self, sender, told):
        for fleet in self.fleets:
            if fleet is not sender:
                BackendGossip(fleet.registry).apply_remote_broken(told)


def count_lost_at_broken(seed, role, tells=True, falls_silent=False):
    """Return how many generations were placed on the broken engine in four seconds."""
    fleet = BrokenFleet(seed, role, tells, falls_silent)
    with (
        mock.patch.object(engine_costs, "boot_time_s", fleet.clock),
        mock.patch.object(engine_choice, "boot_time_s", fleet.clock),
    ):
        return fleet.play()


def what_one_router_learned_all_know():
    """An engine that resets every request gets a few generations, not one from each router."""
    for role, seed in itertools.product((PREFILL_ROLE, DECODE_ROLE), (1, 2, 3)):
        alone, together = (count_lost_at_broken(seed, role, tells) for tells in (False, True))
        assert together <= 12 and together <= alone / 2, (role, seed, alone, together)


def a_silence_is_known_to_all():
    """A silent engine gets few generations after the first router has detected the silence."""
    for role, seed in itertools.product((PREFILL_ROLE, DECODE_ROLE), (1, 2, 3)):
        alone, together = (count_lost_at_broken(seed, role, tells, True) for tells in (False, True))
        assert together <= alone * 2 / 3, (role, seed, alone, together)


def an_engine_that_recovered_is_used_again():
    """12 s after the last reported failure, the failure rate of an engine is below 0.08."""
    clock = Clock()
    fleet = DecisionFleet(FleetShape(2, 6), 0.3)
    fleet.registry._clock = clock
    backend = fleet.registry.usable(MODEL_SERVICE)[0]
    BackendGossip(fleet.registry).apply_remote_broken({backend.name: 60, "unknown": 90})
    assert abs(backend.health.failure_rate(clock.now_s) - 0.6) < 0.01
    BackendGossip(fleet.registry).apply_remote_broken({backend.name: 20})
    assert abs(backend.health.failure_rate(clock.now_s) - 0.6) < 0.01
    assert BackendGossip(fleet.registry).broken() == {}, (
        "reports received from other routers are not forwarded"
    )
    backend.health.record_answer(clock.now_s, 0.1, is_failure=False)
    assert backend.health.failure_rate(clock.now_s) < 0.5
    clock.now_s += 12.0
    assert backend.health.failure_rate(clock.now_s) < 0.08


BROKEN_ENGINE_PROPERTIES = {
    "what one router learned all know": what_one_router_learned_all_know,
    "a silence is known to all": a_silence_is_known_to_all,
    "an engine that recovered is used again": an_engine_that_recovered_is_used_again,
}
