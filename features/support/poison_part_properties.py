"""Tests of the quarantine for prompt parts that crash engines, with a simulated fleet.

Requests with a harmful part crash each engine that begins to write an answer on them, and no two
are alike. Harmless requests share their other parts, are at the same engines, and are repeated when
an engine crashes. Engines also crash for other reasons, and routers start anew.
"""

import dataclasses
import heapq
import itertools
import random

from support.stream_properties import Clock
from yokedock.request.crash_records import RESTART_LISTED_S, CrashRecords
from yokedock.request.poison_parts import (
    FIRST_QUARANTINE_S,
    FORGET_S,
    MAX_CRASHES_KEPT,
    MAX_REQUESTS_KEPT,
    MAX_SOUND,
    MAX_SUSPECTS,
    PROOF_S,
    TRIAL_SPREAD,
    PoisonParts,
)
from yokedock.request.poison_requests import PoisonRequests
from yokedock.request.request_digest import part_key

NEWS_S = 0.02
"""Time from a crash until the other routers have received a report of it."""
LOST_SHARE = 0.1
"""Share of datagrams that are lost; a report is in three of them."""
REPEAT_S = 0.3
"""Time between the datagrams with a report."""
START_S = (0.03, 0.25)
"""Time from the arrival of a request at an engine to the start of its answer."""
CRASH_DELAY_S = 0.06
RESTART_DELAY_S = 4.0
ANSWER_S = (0.8, 2.0)
SPAN_S = 25.0
POISON = 1 << 30
"""Number of the request that crashes engines by its body."""
REPEAT_DELAY_S = 0.15
CONTACT_S = 3.0


@dataclasses.dataclass(frozen=True)
class Shape:
    """Size of a fleet, and its load."""

    routers: int
    engines: int
    harmless_per_s: float
    harmful_per_s: float
    first_parts: int
    """Number of different first parts of prompts."""
    middle_parts: int
    place: int = 1
    """Place of the harmful part in the prompt."""
    harmful_parts: int = 1
    crash_interval_s: float = 0.0
    """Interval at which some engines crash for other reasons; 0: never."""
    restart_s: float = 0.0
    """When all routers start anew; 0: never."""
    attempts: int = 2
    harmful_from_s: tuple = (2.0, 4.0)
    poison_interval_s: float = 0.0
    """Interval at which one request comes that crashes engines by its body; 0: never."""


@dataclasses.dataclass
class Run:
    """One request, at one engine at a time."""

    number: int
    parts: tuple
    harmful: int | None
    router: int
    attempts_left: int
    crashes_engine: bool = False
    began_s: float | None = None
    is_over: bool = False


class Fleet:
    """Engines that crash on harmful parts; ``play`` simulates one minute."""

    def __init__(self, shape, seed, is_used=True):
        self.shape = shape
        self.clock = Clock()
        self.chance = random.Random(seed)
        self.chance_of_requests = random.Random(f"{seed}-requests")
        self.is_used = is_used
        self.routers = []
        self._start_routers()
        self.touched_s = self.clock.now_s
        self.lives = [0] * shape.engines
        self.up = set(range(shape.engines))
        self.running = {engine: [] for engine in range(shape.engines)}
        self.ends = {part: [] for part in range(shape.harmful_parts)}
        self.late_sends = dict.fromkeys(range(shape.harmful_parts), 0)
        """Sends by routers in touch later than ``CONTACT_S`` after the fifth crash."""
        self.harmless = 0
        self.blamed = 0
        self.served = 0
        self._numbers = itertools.count()
        self._order = itertools.count()
        self._events = []

    def _start_routers(self):
        self.records = [
            CrashRecords(
                PoisonRequests(self.is_used, self.clock), PoisonParts(self.is_used, self.clock)
            )
            for _ in range(self.shape.routers)
        ]
        self.routers = [records.parts for records in self.records]

    def _schedule(self, after_s, act, *arguments):
        due_s = self.clock.now_s + after_s
        heapq.heappush(self._events, (due_s, next(self._order), act, arguments))

    def play(self):
        shape, until_s = self.shape, self.clock.now_s + SPAN_S
        self._schedule(0.0, self._send_harmless)
        if shape.harmful_per_s:
            self._schedule(self.chance.uniform(*shape.harmful_from_s), self._send_harmful)
        if shape.poison_interval_s:
            self._schedule(shape.poison_interval_s, self._send_poison)
        if shape.crash_interval_s:
            self._schedule(shape.crash_interval_s, self._crash_some)
        if shape.restart_s:
            self._schedule(shape.restart_s, self._restart_routers)
        while self._events and self._events[0][0] < until_s:
            self.clock.now_s, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
        return self

    def _restart_routers(self):
        for runs in self.running.values():
            for run in runs:
                run.is_over = True
            runs.clear()
        self._start_routers()
        self.touched_s = self.clock.now_s

    def _prompt(self, own):
        first = part_key(f"first-{self.chance.randrange(self.shape.first_parts)}")
        middle = part_key(f"middle-{self.chance.randrange(self.shape.middle_parts)}")
        return [first, middle][: self.chance.choice((1, 2))] if own else [first, middle]

    def _send_harmless(self):
        self._schedule(self.chance.expovariate(self.shape.harmless_per_s), self._send_harmless)
        self.harmless += 1
        self._new_run(tuple(self._prompt(own=True)), None)

    def _send_harmful(self):
        self._schedule(self.chance.expovariate(self.shape.harmful_per_s), self._send_harmful)
        harmful = self.chance.randrange(self.shape.harmful_parts)
        # Harmful requests share their other parts with one caller's harmless ones.
        parts = [part_key("first-0"), part_key("middle-0")]
        parts.insert(self.shape.place, part_key(f"harmful-{harmful}"))
        self._new_run(tuple(parts), harmful)

    def _send_poison(self):
        self._schedule(self.shape.poison_interval_s, self._send_poison)
        router = self.chance.randrange(self.shape.routers)
        self._send(Run(POISON, (), None, router, self.shape.attempts, crashes_engine=True))

    def _new_run(self, parts, harmful):
        router = self.chance.randrange(self.shape.routers)
        crashes_engine = harmful is not None
        number = next(self._numbers)
        self._send(Run(number, parts, harmful, router, self.shape.attempts, crashes_engine))

    def _send(self, run):
        if self.routers[run.router].find_withheld(run.parts, run.number) is not None:
            self.blamed += not run.crashes_engine
            return
        if not self.up or not run.attempts_left:
            return
        if self.records[run.router].requests.quarantined_for_s(run.number):
            self.blamed += not run.crashes_engine
            return
        run.attempts_left -= 1
        run.began_s = None
        engine = self.chance.choice(sorted(self.up))
        self.running[engine].append(run)
        if run.harmful is not None:
            self._count_late(run.harmful)
        start_s = self.chance.uniform(*START_S)
        self._schedule(start_s, self._begin, engine, self.lives[engine], run)

    def _count_late(self, harmful):
        ends = self.ends[harmful]
        late_s = max(ends[4] if len(ends) > 4 else float("inf"), self.touched_s) + CONTACT_S
        self.late_sends[harmful] += self.clock.now_s > late_s

    def _is_at(self, engine, life, run):
        return self.lives[engine] == life and any(run is other for other in self.running[engine])

    def _begin(self, engine, life, run):
        if not self._is_at(engine, life, run):
            return
        if run.crashes_engine:
            self._schedule(CRASH_DELAY_S, self._crash, engine, life, run.harmful)
            return
        run.began_s = self.clock.now_s
        self._schedule(PROOF_S, self._prove, engine, life, run)
        self._schedule(self.chance.uniform(*ANSWER_S), self._whole, engine, life, run)

    def _prove(self, engine, life, run):
        if self._is_at(engine, life, run):
            router = self.routers[run.router]
            router.record_sound(run.parts)
            self._gossip(run.router, (), router.objections())

    def _whole(self, engine, life, run):
        if self._is_at(engine, life, run):
            self.running[engine] = [other for other in self.running[engine] if other is not run]
            self.served += 1

    def _crash_some(self):
        self._schedule(self.shape.crash_interval_s, self._crash_some)
        count = max(1, len(self.up) // 5)
        for engine in self.chance.sample(sorted(self.up), min(count, len(self.up))):
            self._crash(engine, self.lives[engine])

    def _crash(self, engine, life, harmful=None):
        if self.lives[engine] != life or engine not in self.up:
            return
        if harmful is not None:
            self.ends[harmful].append(self.clock.now_s)
        self.up.discard(engine)
        self._schedule(RESTART_DELAY_S, self._restart, engine)
        runs, self.running[engine] = self.running[engine], []
        number = engine * 10_000 + life
        oldest_s = self.clock.now_s - PROOF_S
        for run in runs:
            since_sent_s = 1.0
            self.records[run.router].requests.record_crash(run.number, number, since_sent_s)
            if run.began_s is None or run.began_s > oldest_s:
                self.routers[run.router].record_crash(run.parts, run.number, number)
        for router in {run.router for run in runs}:
            self._gossip(router, self.routers[router].recent_report(), ())
        for run in runs:
            delay_s = REPEAT_DELAY_S if run.began_s is None else 0.0
            self._schedule(delay_s, self._send, run)

    def _gossip(self, sender, told, sound):
        requests = self.records[sender].requests.told()
        for delay_s in (NEWS_S, NEWS_S + REPEAT_S, NEWS_S + 2 * REPEAT_S):
            if told or sound:
                self._schedule(delay_s, self._deliver, self.routers, sender, told, sound)
            if requests:
                sent = (self.records, sender, requests, self.clock.now_s)
                self._schedule(delay_s, self._hear, *sent)

    def _hear(self, records, sender, requests, told_s):
        for number, each in enumerate(records):
            if number != sender and self.chance_of_requests.random() >= LOST_SHARE:
                each.requests.heard(requests, told_s)

    def _deliver(self, routers, sender, told, sound):
        if routers is not self.routers:
            return
        for number, router in enumerate(routers):
            if number != sender and self.chance.random() >= LOST_SHARE:
                router.apply_report(told, sound, self.clock.now_s)
                objections = router.objections()
                for other in routers if objections and told else ():
                    other.apply_report((), objections, self.clock.now_s)

    def _restart(self, engine):
        self.lives[engine] += 1
        self.up.add(engine)


SMALL = Shape(4, 7, 9.0, 3.0, 5, 10)
LARGE = Shape(68, 60, 90.0, 10.0, 50, 100)
HARMFUL = (
    SMALL,
    dataclasses.replace(SMALL, place=0),
    dataclasses.replace(SMALL, first_parts=1, middle_parts=1),
    dataclasses.replace(SMALL, first_parts=1000, middle_parts=1000),
    dataclasses.replace(SMALL, harmful_parts=2),
    dataclasses.replace(SMALL, harmful_per_s=10.0),
    dataclasses.replace(SMALL, crash_interval_s=3.0),
    dataclasses.replace(SMALL, restart_s=10.0),
)
STARTING = tuple(
    dataclasses.replace(
        SMALL,
        engines=4,
        harmless_per_s=40.0,
        harmful_per_s=harmful_per_s,
        first_parts=3,
        middle_parts=2,
        harmful_from_s=(0.1, 0.6),
        poison_interval_s=0.1,
    )
    for harmful_per_s in (0.0, 3.0)
)
"""Fleets that have just started, with a request that crashes engines, without and with a part."""
ORDINARY = tuple(
    dataclasses.replace(
        SMALL, harmful_per_s=0.0, crash_interval_s=1.0, first_parts=first, middle_parts=middle
    )
    for first, middle in ((1, 1), (5, 10), (30, 60), (1000, 1000))
)
SEEDS = 5


def plays():
    """Yield each shape with harmful parts, and a seed."""
    yield from itertools.product(HARMFUL, range(SEEDS))
    yield LARGE, 1


def a_crashing_part_is_withheld_after_few_crashes():
    """At most three requests with it are sent later than the contact time after five crashes."""
    for shape, seed in plays():
        fleet = Fleet(shape, seed).play()
        assert max(fleet.late_sends.values()) <= 3, (shape, seed, fleet.late_sends)
    without = Fleet(SMALL, 1, is_used=False).play()
    assert max(without.late_sends.values()) > 3, without.late_sends


def harmless_parts_beside_it_are_spared():
    """At most one in 500 requests without it is refused for its other parts."""
    for shape, seed in plays():
        fleet = Fleet(shape, seed).play()
        assert fleet.blamed <= fleet.harmless / 500, (shape, seed, fleet.blamed, fleet.harmless)


# Guards against popular parts withheld for crashes under a request that crashes engines itself.
def harmless_parts_beside_a_crashing_request_are_spared():
    """At most one in 500 requests is refused in plays of fleets that have just started."""
    for shape in STARTING:
        fleets = [Fleet(shape, seed).play() for seed in range(SEEDS)]
        blamed = sum(fleet.blamed for fleet in fleets)
        harmless = sum(fleet.harmless for fleet in fleets)
        assert blamed <= harmless / 500, (shape, blamed, harmless)
        assert max(max(fleet.late_sends.values()) for fleet in fleets) <= 3, shape


def crashes_alone_withhold_no_part():
    """No part is withheld if engines crash all the time, also when all routers start anew."""
    for shape, seed in itertools.product(ORDINARY, range(SEEDS)):
        for restart_s in (0.0, 10.2):
            restarted = dataclasses.replace(shape, restart_s=restart_s)
            fleet = Fleet(restarted, seed).play()
            assert not fleet.blamed, (restarted, seed, fleet.blamed, fleet.harmless)


def crash(router, parts, *lives, interval_s=0.5):
    """Record crashes of incarnations ``lives``, each under another request with these parts."""
    for life in lives:
        router.record_crash(parts, 1000 + life, life)
        router._clock.now_s += interval_s


def an_answer_anywhere_proves_a_part_sound():
    """A router that saw an answer on a part objects when another one suspects it."""
    clock = Clock()
    router, other = PoisonParts(clock=clock), PoisonParts(clock=clock)
    other.record_sound([7])
    crash(router, [7], 1, 2)
    assert router.find_withheld([7], 1)
    other.apply_report(router.report_for_new_router(), ())
    assert not other.find_withheld([7], 1) and other.objections() == (7,)
    router.apply_report((), other.objections())
    assert not router.find_withheld([7], 1) and not router.size()


def one_request_blames_no_part():
    """Crashes under repeats of one request don't count against the parts of its prompt."""
    router = PoisonParts(clock=Clock())
    for life in range(6):
        router.record_crash([7], 1, life)
        router._clock.now_s += 0.5
    assert not router.find_withheld([7], 1)


def crashes_at_one_moment_count_once():
    """Engines that fail together, as in a rack, are one crash."""
    router = PoisonParts(clock=Clock())
    crash(router, [7], 1, 2, 3, 4, interval_s=0.005)
    router._clock.now_s += 1.0
    assert not router.find_withheld([7], 1)
    crash(router, [7], 5)
    assert router.find_withheld([7], 1)


def parts_that_cannot_be_told_apart_are_withheld_together():
    """Of two parts at the same crashes, requests with only one of them are sent."""
    router = PoisonParts(clock=Clock())
    crash(router, [7, 8], 1, 2)
    assert router.find_withheld([7, 8], 1)
    assert not router.find_withheld([7], 1) and not router.find_withheld([8, 9], 1)
    router.record_sound([8])
    assert router.find_withheld([7], 1) and not router.find_withheld([8, 9], 1)


def an_engine_that_answers_later_has_not_crashed():
    """A recorded crash is discarded once the engine responds to a later request."""
    router = PoisonParts(clock=Clock())
    crash(router, [7], 1, 2)
    assert router.find_withheld([7], 1)
    router.record_alive(1, router._clock.now_s)
    assert not router.find_withheld([7], 1)


# Guards against crashes that are discarded when the restarted engine answers before it is listed.
def an_engine_that_answers_before_its_restart_is_listed_has_crashed():
    """Answers attributed to an incarnation discard its crash if they go on after a restart."""
    clock = Clock()
    records = CrashRecords(PoisonRequests(clock=clock), PoisonParts(clock=clock))
    crash(records.parts, [7], 1, 2)
    records.record_alive(1, clock.now_s)
    records.record_alive(1, clock.now_s + RESTART_LISTED_S / 2)
    assert records.parts.find_withheld([7], 1), "the answers may be those of the next incarnation"
    records.record_alive(1, clock.now_s + RESTART_LISTED_S)
    assert not records.parts.find_withheld([7], 1), "it is still listed as the same"


def a_withheld_part_is_tried_by_one_request_at_a_time():
    """After its quarantine, requests with a harmful part crash one engine a trial, ever later."""
    clock = Clock()
    routers = [PoisonParts(clock=clock) for _ in range(4)]
    crash(routers[0], [7], 1, 2)
    for router in routers[1:]:
        router.apply_report(routers[0].report_for_new_router(), ())
    trials_s = []
    for step in range(round(FORGET_S)):
        clock.now_s += 1.0
        for number, router in enumerate(routers):
            request = 4 * step + number
            if router.find_withheld([7], request) is None:
                trials_s.append(clock.now_s)
                router.record_crash([7], request, 10_000 + len(trials_s))
                for other in routers:
                    other.apply_report(router.recent_report(), ())
            router.drop_old()
    assert 5 <= len(trials_s) <= 7, trials_s
    gaps_s = [later - earlier for earlier, later in itertools.pairwise(trials_s)]
    assert gaps_s == sorted(gaps_s) and gaps_s[0] >= FIRST_QUARANTINE_S, gaps_s


def a_part_blamed_wrongly_comes_free_with_a_trial():
    """An answer on the first request that is sent as a trial frees the part at every router."""
    clock = Clock()
    routers = [PoisonParts(clock=clock) for _ in range(3)]
    crash(routers[0], [7], 1, 2)
    for router in routers[1:]:
        router.apply_report(routers[0].report_for_new_router(), ())
    clock.now_s += FIRST_QUARANTINE_S * (1.0 + TRIAL_SPREAD)
    assert not routers[1].find_withheld([7], 5), "the trial"
    assert routers[1].find_withheld([7], 6), "others wait for its result"
    assert not routers[1].find_withheld([7], 5), "the trial is checked again before it is sent"
    routers[1].record_sound([7])
    for router in routers:
        router.apply_report((), routers[1].objections())
        assert not router.find_withheld([7], 8)


def withheld_parts_are_forgotten():
    """Crashes are forgotten after a while, although routers gossip about them."""
    clock = Clock()
    routers = [PoisonParts(clock=clock) for _ in range(3)]
    crash(routers[0], [7], 1, 2)
    for _ in range(round(FORGET_S * 2)):
        clock.now_s += 0.7
        for one, other in itertools.permutations(routers, 2):
            other.apply_report(one.recent_report() + one.report_for_new_router(), ())
        for router in routers:
            router.drop_old()
    assert not any(router.size() for router in routers)


def part_records_are_bounded():
    """The numbers of suspects, of crashes kept of each and of sound parts are bounded."""
    clock = Clock()
    router = PoisonParts(clock=clock)
    for number in range(3 * MAX_SUSPECTS):
        clock.now_s += 0.06
        router.record_crash([number, -1], number, number % 500)
    for number in range(3 * MAX_SOUND):
        router.record_sound([1_000_000 + number])
    router.drop_old()
    assert router.size() == MAX_SUSPECTS and router.sound_size() == MAX_SOUND
    report = next(each for each in router.report_for_new_router() if each.part == -1)
    assert len(report.crashes) == MAX_CRASHES_KEPT
    assert all(len(each.requests) <= MAX_REQUESTS_KEPT for each in report.crashes)


POISON_PART_PROPERTIES = {
    "a crashing part is withheld after few crashes": a_crashing_part_is_withheld_after_few_crashes,
    "harmless parts beside it are spared": harmless_parts_beside_it_are_spared,
    "harmless parts beside a crashing request are spared": (
        harmless_parts_beside_a_crashing_request_are_spared
    ),
    "crashes alone withhold no part": crashes_alone_withhold_no_part,
    "an answer anywhere proves a part sound": an_answer_anywhere_proves_a_part_sound,
    "one request blames no part": one_request_blames_no_part,
    "crashes at one moment count once": crashes_at_one_moment_count_once,
    "inseparable parts are withheld together": (
        parts_that_cannot_be_told_apart_are_withheld_together
    ),
    "an engine that answers later has not crashed": an_engine_that_answers_later_has_not_crashed,
    "an engine that answers before its restart is listed has crashed": (
        an_engine_that_answers_before_its_restart_is_listed_has_crashed
    ),
    "a withheld part is tried by one request at a time": (
        a_withheld_part_is_tried_by_one_request_at_a_time
    ),
    "a part blamed wrongly comes free with a trial": (
        a_part_blamed_wrongly_comes_free_with_a_trial
    ),
    "withheld parts are forgotten": withheld_parts_are_forgotten,
    "part records are bounded": part_records_are_bounded,
}
