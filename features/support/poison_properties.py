"""Tests of the quarantine for requests that crash backends, with a fleet simulated in one process.

A few requests crash every engine that starts to run them, and are retried at any router. Harmless
streams on the same engines are interrupted by these crashes and continue on another engine.
"""

import dataclasses
import heapq
import itertools
import random

from support.stream_properties import Clock
from yokedock.request.poison_requests import (
    CRASH_GOSSIP_S,
    MAX_CRASHES_KEPT,
    MAX_SUSPECTS,
    QUARANTINE_S,
    SETTLE_S,
    PoisonRequests,
    incarnation_number,
)

NEWS_S = 0.02
"""Time from a crash until the other routers have received a report of it."""
CRASH_DELAY_S = 0.1
"""Time from the start of a poison request until its engine crashes."""
RESTART_DELAY_S = 4.0
STREAM_DURATION_S = 0.6
SPAN_S = 60.0


@dataclasses.dataclass(frozen=True)
class Shape:
    """Size of a fleet, and its load."""

    routers: int
    engines: int
    streams_per_s: float
    poison_count: int
    copies: int
    """Copies of each poison request that are sent at the same time."""
    retry_interval_s: float
    """Time after which the copies are sent again."""
    crash_interval_s: float = 0.0
    """Interval at which a quarter of the engines crash for other reasons; 0: never."""


@dataclasses.dataclass
class Run:
    """One request, sent through one router to one engine at a time."""

    digest: int
    router: int
    attempts_left: int
    crashes_engine: bool
    sent_s: float = 0.0


class PoisonedFleet:
    """Engines that run streams and crash on poison requests; ``play`` simulates one minute."""

    def __init__(self, shape, seed, is_used=True):
        self.shape = shape
        self.clock = Clock()
        self.chance = random.Random(seed)
        self.routers = [PoisonRequests(is_used, self.clock) for _ in range(shape.routers)]
        self.lives = [0] * shape.engines
        self.up = set(range(shape.engines))
        self.running = {engine: [] for engine in range(shape.engines)}
        self.ends = dict.fromkeys(range(shape.poison_count), 0)
        self.late_sends = dict.fromkeys(range(shape.poison_count), 0)
        """Sends more than 3 s after the third crash."""
        self.third_s = {}
        self.sound = 0
        self.harmless_refused = 0
        self._numbers = itertools.count(shape.poison_count)
        self._order = itertools.count()
        self._events = []

    def _schedule(self, after_s, act, *arguments):
        due_s = self.clock.now_s + after_s
        heapq.heappush(self._events, (due_s, next(self._order), act, arguments))

    def play(self):
        until_s = self.clock.now_s + SPAN_S
        self._schedule(0.0, self._send_harmless)
        for poison in range(self.shape.poison_count):
            self._schedule(self.chance.uniform(1.0, 5.0), self._send_poison_copies, poison)
        if self.shape.crash_interval_s:
            self._schedule(self.shape.crash_interval_s, self._crash_some_engines)
        while self._events and self._events[0][0] < until_s:
            self.clock.now_s, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
        return self

    def _send_harmless(self):
        self._schedule(self.chance.expovariate(self.shape.streams_per_s), self._send_harmless)
        self.sound += 1
        router = self.chance.randrange(self.shape.routers)
        self._send(Run(next(self._numbers), router, 2, False))

    def _send_poison_copies(self, poison):
        self._schedule(self.shape.retry_interval_s, self._send_poison_copies, poison)
        for _ in range(self.shape.copies):
            router = self.chance.randrange(self.shape.routers)
            self._send(Run(poison, router, 2, True))

    def _send(self, run):
        if self.routers[run.router].quarantined_for_s(run.digest):
            self.harmless_refused += not run.crashes_engine
            return
        if not self.up or not run.attempts_left:
            return
        run.attempts_left -= 1
        run.sent_s = self.clock.now_s
        engine = self.chance.choice(sorted(self.up))
        self.running[engine].append(run)
        if run.crashes_engine:
            third_s = self.third_s.get(run.digest)
            late = third_s is not None and self.clock.now_s > third_s + 3.0
            self.late_sends[run.digest] += late
            self._schedule(
                CRASH_DELAY_S, self._crash_engine, engine, self.lives[engine], run.digest
            )
        else:
            self._schedule(STREAM_DURATION_S, self._whole, engine, run)

    def _whole(self, engine, run):
        if run in self.running[engine]:
            self.running[engine].remove(run)
            self.routers[run.router].record_harmless(run.digest)

    def _crash_some_engines(self):
        self._schedule(self.shape.crash_interval_s, self._crash_some_engines)
        for engine in self.chance.sample(sorted(self.up), len(self.up) // 4):
            self._crash_engine(engine, self.lives[engine])

    def _crash_engine(self, engine, life, culprit=None):
        if self.lives[engine] != life or engine not in self.up:
            return
        if culprit is not None:
            self.ends[culprit] += 1
            if self.ends[culprit] == 3:
                self.third_s[culprit] = self.clock.now_s
        self.up.discard(engine)
        self._schedule(RESTART_DELAY_S, self._restart_engine, engine)
        number = incarnation_number(f"{engine}-{life}")
        runs, self.running[engine] = self.running[engine], []
        for run in runs:
            self.routers[run.router].record_crash(run.digest, number, self.clock.now_s - run.sent_s)
        for router in {run.router for run in runs}:
            told = self.routers[router].told()
            self._schedule(NEWS_S, self._tell, router, told)
        for run in runs:
            self._send(run)

    def _tell(self, sender, told):
        for number, router in enumerate(self.routers):
            if number != sender:
                router.heard(told)

    def _restart_engine(self, engine):
        self.lives[engine] += 1
        self.up.add(engine)


SHAPES = (
    Shape(5, 4, 5.0, 1, 1, 4.0),
    Shape(5, 4, 5.0, 1, 4, 4.0),
    Shape(4, 8, 9.0, 3, 2, 4.0),
    Shape(68, 60, 55.0, 3, 4, 3.0),
    Shape(68, 60, 55.0, 6, 4, 3.0, crash_interval_s=7.0),
)


def poison_ends_few_engines():
    """A poison request crashes three engines, and those that its copies reach before the reports.

    Copies whose engines crash at the same time have each been retried on another engine before the
    routers have received the reports.
    """
    for shape, seed in itertools.product(SHAPES, range(5)):
        fleet = PoisonedFleet(shape, seed).play()
        most = max(3, shape.copies) + shape.copies
        assert max(fleet.ends.values()) <= most, (shape, seed, fleet.ends)
        assert max(fleet.late_sends.values()) <= 3, (shape, seed, fleet.late_sends)
        without = PoisonedFleet(shape, seed, is_used=False).play()
        assert max(without.ends.values()) > most, (shape, seed, without.ends)


def sound_requests_are_spared():
    """At most one in 500 harmless streams is refused, despite poison requests and crashes."""
    for shape, seed in itertools.product(SHAPES, range(5)):
        fleet = PoisonedFleet(shape, seed).play()
        assert fleet.harmless_refused <= 1 + fleet.sound / 500, (
            shape,
            seed,
            fleet.harmless_refused,
        )


def crashes_alone_quarantine_nobody():
    """At most one in 500 streams is refused if a quarter of the engines crash every 3 s."""
    for routers, engines, rate in ((5, 4, 5.0), (68, 60, 55.0)):
        shape = Shape(routers, engines, rate, 0, 0, 0.0, crash_interval_s=3.0)
        for seed in range(5):
            fleet = PoisonedFleet(shape, seed).play()
            assert fleet.harmless_refused <= fleet.sound / 500, (
                shape,
                seed,
                fleet.harmless_refused,
            )


def ended(router, digest, *lives):
    """Record crashes of incarnations ``lives``, each 1 s after it received the request."""
    for life in lives:
        router.record_crash(digest, life, 1.0)


def a_backend_that_answers_has_not_ended():
    """A recorded crash is discarded once the backend responds to a later request."""
    clock = Clock()
    router = PoisonRequests(clock=clock)
    ended(router, 7, 1, 2, 3)
    sent_before_s = clock.now_s - 0.1
    clock.now_s += 5.0
    router.record_alive(1, sent_before_s)
    assert router.quarantined_for_s(7), (
        "response read late, after a process pause: its request preceded the crash"
    )
    for life in (1, 2):
        router.record_alive(life, clock.now_s)
    assert not router.quarantined_for_s(7)


def quick_ends_count_only_as_three():
    """Immediate crashes count only towards three: the backend may already have been gone."""
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
    """A complete response clears the crashes that were recorded for a request."""
    router = PoisonRequests(clock=Clock())
    ended(router, 7, 1, 2)
    router.record_harmless(7)
    ended(router, 7, 3, 4)
    assert router.size() == 1 and len(router.told()[0].lives) == 2


def a_pair_counts_where_nothing_else_was_at_both():
    """Two crashes suffice for the only request at both, once other routers had time to report."""
    clock = Clock()
    router = PoisonRequests(clock=clock)
    ended(router, 7, 1, 2)
    ended(router, 8, 1)
    assert not router.quarantined_for_s(7), (
        "other routers may still report requests that were there"
    )
    clock.now_s += SETTLE_S + 0.01
    assert router.quarantined_for_s(7) and not router.quarantined_for_s(8)
    ended(router, 8, 2)
    assert not router.quarantined_for_s(7), "two requests were at both"


def an_end_is_put_down_to_the_stronger_suspect():
    """A harmless request at three crashes is released once a stronger suspect is known."""
    router = PoisonRequests(clock=Clock())
    ended(router, 8, 1, 2, 3)
    assert router.quarantined_for_s(8)
    ended(router, 7, 1, 2, 3, 4)
    assert router.quarantined_for_s(7) and not router.quarantined_for_s(8)


def quarantine_is_forgotten():
    """A quarantine ends ten minutes after the last crash, although routers gossip about it."""
    clock = Clock()
    routers = [PoisonRequests(clock=clock) for _ in range(3)]
    ended(routers[0], 7, 1, 2, 3)
    ended_s = clock.now_s
    for _ in range(round(QUARANTINE_S * 2)):
        clock.now_s += 0.7
        for one, other in itertools.permutations(routers, 2):
            other.heard(one.told() + one.report_for_new_router())
        for router in routers:
            router.drop_old()
        if clock.now_s - ended_s < QUARANTINE_S - CRASH_GOSSIP_S:
            assert all(router.quarantined_for_s(7) for router in routers)
    assert not any(router.size() for router in routers)


def suspects_are_bounded():
    """The number of suspects is bounded, and so is the number of crashes kept of each."""
    clock = Clock()
    router = PoisonRequests(clock=clock)
    for number in range(3 * MAX_SUSPECTS):
        clock.now_s += 0.001
        router.record_crash(number, number % 50, 1.0)
    router.drop_old()
    assert router.size() == MAX_SUSPECTS
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
