"""Which requests come into quarantine, in a fleet in one process: poison, victims and newcomers.

Pattern: a few requests crash every engine which begins to run them and come again at any router,
beside sound streams that lose their engines with them and go on at the next.
"""

import dataclasses
import heapq
import itertools
import random

from support.stream_properties import Clock
from yokedock.request.poison_requests import (
    CRASH_GOSSIP_S,
    FORGOTTEN_S,
    MAX_CRASHES_KEPT,
    MAX_KEPT,
    SETTLE_S,
    PoisonRequests,
    incarnation_number,
)

NEWS_S = 0.02
"""From an end until the other routers know of it."""
CRASH_S = 0.1
"""From the beginning of a run until its engine ends."""
BACK_S = 4.0
STREAM_S = 0.6
SPAN_S = 60.0


@dataclasses.dataclass(frozen=True)
class Shape:
    """One fleet and its load."""

    routers: int
    engines: int
    streams_per_s: float
    poisons: int
    copies: int
    """Of a poison request that come at once."""
    again_s: float
    """After this time they come again."""
    crashes_every_s: float = 0.0
    """A quarter of the engines crash by themselves so often; 0: never."""


@dataclasses.dataclass
class Run:
    """One request at one engine, through one router."""

    digest: int
    router: int
    attempts_left: int
    ends_engine: bool
    sent_s: float = 0.0


class PoisonedFleet:
    """Engines that run streams and end under poison; ``play`` lets a minute pass."""

    def __init__(self, shape, seed, is_used=True):
        self.shape = shape
        self.clock = Clock()
        self.chance = random.Random(seed)
        self.routers = [PoisonRequests(is_used, self.clock) for _ in range(shape.routers)]
        self.lives = [0] * shape.engines
        self.up = set(range(shape.engines))
        self.running = {engine: [] for engine in range(shape.engines)}
        self.ends = dict.fromkeys(range(shape.poisons), 0)
        self.late_sends = dict.fromkeys(range(shape.poisons), 0)
        """Sends later than three seconds after the third end."""
        self.third_s = {}
        self.sound = 0
        self.sound_refused = 0
        self._numbers = itertools.count(shape.poisons)
        self._order = itertools.count()
        self._events = []

    def _at(self, after_s, act, *arguments):
        due_s = self.clock.now_s + after_s
        heapq.heappush(self._events, (due_s, next(self._order), act, arguments))

    def play(self):
        until_s = self.clock.now_s + SPAN_S
        self._at(0.0, self._sound_arrives)
        for poison in range(self.shape.poisons):
            self._at(self.chance.uniform(1.0, 5.0), self._poison_arrives, poison)
        if self.shape.crashes_every_s:
            self._at(self.shape.crashes_every_s, self._some_crash)
        while self._events and self._events[0][0] < until_s:
            self.clock.now_s, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
        return self

    def _sound_arrives(self):
        self._at(self.chance.expovariate(self.shape.streams_per_s), self._sound_arrives)
        self.sound += 1
        router = self.chance.randrange(self.shape.routers)
        self._send(Run(next(self._numbers), router, 2, False))

    def _poison_arrives(self, poison):
        self._at(self.shape.again_s, self._poison_arrives, poison)
        for _ in range(self.shape.copies):
            router = self.chance.randrange(self.shape.routers)
            self._send(Run(poison, router, 2, True))

    def _send(self, run):
        if self.routers[run.router].quarantined_for_s(run.digest):
            self.sound_refused += not run.ends_engine
            return
        if not self.up or not run.attempts_left:
            return
        run.attempts_left -= 1
        run.sent_s = self.clock.now_s
        engine = self.chance.choice(sorted(self.up))
        self.running[engine].append(run)
        if run.ends_engine:
            third_s = self.third_s.get(run.digest)
            late = third_s is not None and self.clock.now_s > third_s + 3.0
            self.late_sends[run.digest] += late
            self._at(CRASH_S, self._ends, engine, self.lives[engine], run.digest)
        else:
            self._at(STREAM_S, self._whole, engine, run)

    def _whole(self, engine, run):
        if run in self.running[engine]:
            self.running[engine].remove(run)
            self.routers[run.router].record_harmless(run.digest)

    def _some_crash(self):
        self._at(self.shape.crashes_every_s, self._some_crash)
        for engine in self.chance.sample(sorted(self.up), len(self.up) // 4):
            self._ends(engine, self.lives[engine])

    def _ends(self, engine, life, culprit=None):
        if self.lives[engine] != life or engine not in self.up:
            return
        if culprit is not None:
            self.ends[culprit] += 1
            if self.ends[culprit] == 3:
                self.third_s[culprit] = self.clock.now_s
        self.up.discard(engine)
        self._at(BACK_S, self._back, engine)
        number = incarnation_number(f"{engine}-{life}")
        runs, self.running[engine] = self.running[engine], []
        for run in runs:
            self.routers[run.router].record_crash(run.digest, number, self.clock.now_s - run.sent_s)
        for router in {run.router for run in runs}:
            told = self.routers[router].told()
            self._at(NEWS_S, self._tell, router, told)
        for run in runs:
            self._send(run)

    def _tell(self, teller, told):
        for number, router in enumerate(self.routers):
            if number != teller:
                router.heard(told)

    def _back(self, engine):
        self.lives[engine] += 1
        self.up.add(engine)


SHAPES = (
    Shape(5, 4, 5.0, 1, 1, 4.0),
    Shape(5, 4, 5.0, 1, 4, 4.0),
    Shape(4, 8, 9.0, 3, 2, 4.0),
    Shape(68, 60, 55.0, 3, 4, 3.0),
    Shape(68, 60, 55.0, 6, 4, 3.0, crashes_every_s=7.0),
)


def poison_ends_few_engines():
    """A poison request ends three engines, and what its copies met before anybody could know.

    Copies that end their engines at one moment have each gone to another by the time of the news.
    """
    for shape, seed in itertools.product(SHAPES, range(5)):
        fleet = PoisonedFleet(shape, seed).play()
        most = max(3, shape.copies) + shape.copies
        assert max(fleet.ends.values()) <= most, (shape, seed, fleet.ends)
        assert max(fleet.late_sends.values()) <= 3, (shape, seed, fleet.late_sends)
        without = PoisonedFleet(shape, seed, is_used=False).play()
        assert max(without.ends.values()) > most, (shape, seed, without.ends)


def sound_requests_are_spared():
    """Of the streams that lose their engines to poison and crashes, one in 500 is refused."""
    for shape, seed in itertools.product(SHAPES, range(5)):
        fleet = PoisonedFleet(shape, seed).play()
        assert fleet.sound_refused <= 1 + fleet.sound / 500, (shape, seed, fleet.sound_refused)


def crashes_alone_quarantine_nobody():
    """Engines that crash by themselves, a quarter every three seconds, cost no stream its place."""
    for routers, engines, rate in ((5, 4, 5.0), (68, 60, 55.0)):
        shape = Shape(routers, engines, rate, 0, 0, 0.0, crashes_every_s=3.0)
        for seed in range(5):
            fleet = PoisonedFleet(shape, seed).play()
            assert fleet.sound_refused <= fleet.sound / 500, (shape, seed, fleet.sound_refused)


def ended(router, digest, *lives):
    """Have a request at backends that end a second after they got it."""
    for life in lives:
        router.record_crash(digest, life, 1.0)


def a_backend_that_answers_has_not_ended():
    """What it broke off counts for nothing once it answers what was sent after that."""
    clock = Clock()
    router = PoisonRequests(clock=clock)
    ended(router, 7, 1, 2, 3)
    sent_before_s = clock.now_s - 0.1
    clock.now_s += 5.0
    router.record_alive(1, sent_before_s)
    assert router.quarantined_for_s(7), "that answer lay here while the process stood still"
    for life in (1, 2):
        router.record_alive(life, clock.now_s)
    assert not router.quarantined_for_s(7)


def quick_ends_count_only_as_three():
    """A connection that breaks as soon as it is used may belong to a backend that was gone."""
    clock = Clock()
    router, other = PoisonRequests(clock=clock), PoisonRequests(clock=clock)
    router.record_crash(7, 1, 0.002)
    router.record_crash(7, 2, 0.5)
    other.heard(router.told())
    clock.now_s += 2 * SETTLE_S
    assert not router.quarantined_for_s(7) and not other.quarantined_for_s(7)
    other.record_crash(7, 3, 0.001)
    assert other.quarantined_for_s(7)


def a_request_that_is_answered_is_sound():
    """One whole answer takes a request off the suspects."""
    router = PoisonRequests(clock=Clock())
    ended(router, 7, 1, 2)
    router.record_harmless(7)
    ended(router, 7, 3, 4)
    assert router.size() == 1 and len(router.told()[0].lives) == 2


def a_pair_counts_where_nothing_else_was_at_both():
    """Two ends are enough for the only request that was at both, once the others were heard."""
    clock = Clock()
    router = PoisonRequests(clock=clock)
    ended(router, 7, 1, 2)
    ended(router, 8, 1)
    assert not router.quarantined_for_s(7), "others may still tell of what was there"
    clock.now_s += SETTLE_S + 0.01
    assert router.quarantined_for_s(7) and not router.quarantined_for_s(8)
    ended(router, 8, 2)
    assert not router.quarantined_for_s(7), "two requests were at both"


def an_end_is_put_down_to_the_stronger_suspect():
    """A victim that met the same poison three times goes on once that is known."""
    router = PoisonRequests(clock=Clock())
    ended(router, 8, 1, 2, 3)
    assert router.quarantined_for_s(8)
    ended(router, 7, 1, 2, 3, 4)
    assert router.quarantined_for_s(7) and not router.quarantined_for_s(8)


def quarantine_is_forgotten():
    """Ten minutes after the last end the request is a new one, though routers remind each other."""
    clock = Clock()
    routers = [PoisonRequests(clock=clock) for _ in range(3)]
    ended(routers[0], 7, 1, 2, 3)
    ended_s = clock.now_s
    for _ in range(round(FORGOTTEN_S * 2)):
        clock.now_s += 0.7
        for one, other in itertools.permutations(routers, 2):
            other.heard(one.told() + one.report_for_new_router())
        for router in routers:
            router.drop_old()
        if clock.now_s - ended_s < FORGOTTEN_S - CRASH_GOSSIP_S:
            assert all(router.quarantined_for_s(7) for router in routers)
    assert not any(router.size() for router in routers)


def suspects_are_bounded():
    """Neither a flood of ends nor one request with many grows without end."""
    clock = Clock()
    router = PoisonRequests(clock=clock)
    for number in range(3 * MAX_KEPT):
        clock.now_s += 0.001
        router.record_crash(number, number % 50, 1.0)
    router.drop_old()
    assert router.size() == MAX_KEPT
    ended(router, -1, *range(10_000, 10_000 + 3 * MAX_CRASHES_KEPT))
    told = next(request for request in router.told() if request.digest == -1)
    assert len(told.lives) == MAX_CRASHES_KEPT


POISON_PROPERTIES = {
    "poison ends few engines": poison_ends_few_engines,
    "sound requests are spared": sound_requests_are_spared,
    "crashes alone quarantine nobody": crashes_alone_quarantine_nobody,
    "a backend that answers has not ended": a_backend_that_answers_has_not_ended,
    "quick ends count only as three": quick_ends_count_only_as_three,
    "a request that is answered is sound": a_request_that_is_answered_is_sound,
    "a pair counts where nothing else was at both": a_pair_counts_where_nothing_else_was_at_both,
    "an end is put down to the stronger suspect": an_end_is_put_down_to_the_stronger_suspect,
    "quarantine is forgotten": quarantine_is_forgotten,
    "suspects are bounded": suspects_are_bounded,
}
