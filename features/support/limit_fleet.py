"""Routers that share the permits of one limited backend, in one process and without a network.

Datagrams take a few milliseconds, some are lost; routers speak at most every 10 ms, as they do.
"""

import heapq
import itertools
import math
import random

from yokedock.request.shared_rate import SharedRate

WAY_S = (0.002, 0.006)
GAP_S = 0.01
LOOK_S = 0.02
ANSWER_S = (0.01, 0.09)
TOLD_S = 0.5
WINDOW_S = 4.0
SETTLED_S = 4.0
"""Use is counted from here on: everybody has heard of the limit."""


class LimitRouter:
    """One life of a router: its view of the permits, and who waits for one."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.rate = SharedRate(name, fleet.now_s)
        self.rate._random = random.Random(fleet.chance.random())
        self.waits = []
        self.told_s = math.inf
        """When it had the first answer that names the limit."""
        self.is_dead = False
        self._unread = None
        """What came while it stood still, None while it runs."""
        self._spoke_s = -math.inf
        self._is_speaking = False
        self._is_looking = False

    def ask(self, may_wait):
        """Let a request come; it waits for a permit, or goes to another backend."""
        if self._unread is not None:
            return
        if not self.waits and self._wait_s() <= 0:
            self.send()
        elif may_wait:
            self.waits.append(self.fleet.now_s)
            self.change()
            self._look_in(LOOK_S)

    def send(self):
        """Take a permit and send a request; its answer comes later."""
        fleet = self.fleet
        if self.rate.per_s is not None:
            self.rate.take(fleet.now_s)
            self.change()
        fleet.arrivals.append((fleet.now_s, self))
        fleet.at(fleet.chance.uniform(*ANSWER_S), self.answered, fleet.limit_per_s, fleet.now_s)

    def answered(self, limit_per_s, sent_s):
        """Take in an answer, which names what was in force as it was made."""
        if self.is_dead:
            return
        self.rate.record_answer(limit_per_s, sent_s, self.fleet.now_s)
        if limit_per_s is not None:
            self.told_s = min(self.told_s, self.fleet.now_s)
        self.change()

    def look(self):
        """Give permits to those that wait; who waited for too long leaves."""
        self._is_looking = False
        oldest_s = self.fleet.now_s - self.fleet.patience_s
        while self.waits and not self.is_dead and self._unread is None:
            if self.waits[0] < oldest_s:
                self.waits.pop(0)
                self.change()
            elif (wait_s := self._wait_s()) > 0:
                self._look_in(min(wait_s, LOOK_S))
                return
            else:
                self.waits.pop(0)
                self.send()

    def change(self):
        """Speak soon."""
        if not self._is_speaking and not self.is_dead:
            self._is_speaking = True
            gap_s = max(0.0, self._spoke_s + GAP_S - self.fleet.now_s)
            self.fleet.at(gap_s, self.speak)

    def speak(self):
        """Tell all others."""
        fleet = self.fleet
        self._is_speaking, self._spoke_s = False, fleet.now_s
        if self.is_dead or self._unread is not None or math.isinf(self.rate.heard_s):
            return
        since_s = self.waits[0] if self.waits else fleet.now_s
        told = self.rate.share(fleet.now_s, len(self.waits), since_s)
        for other in fleet.routers:
            if other is not self and fleet.chance.random() >= fleet.loss:
                fleet.at(fleet.chance.uniform(*WAY_S), other.hear, self.name, told)

    def freeze(self, span_s):
        """Stand still for a while; what comes meanwhile is read after one more request was sent."""
        self._unread = []
        self.fleet.at(span_s, self._thaw)

    def _thaw(self):
        unread, self._unread = self._unread, None
        self.ask(may_wait=False)
        for datagram in unread:
            self.hear(*datagram)

    def hear(self, name, told):
        """Take in a datagram."""
        if self._unread is not None:
            self._unread.append((name, told))
        elif not self.is_dead:
            self.rate.heard(name, told, self.fleet.now_s)

    def beat(self):
        """Speak now and then."""
        if not self.is_dead:
            if self.fleet.now_s - self._spoke_s >= self.fleet.beat_s:
                self.speak()
            self.fleet.at(self.fleet.beat_s, self.beat)

    def _wait_s(self):
        since_s = self.waits[0] if self.waits else self.fleet.now_s
        return self.rate.wait_s(self.fleet.now_s, since_s, len(self.fleet.routers))

    def _look_in(self, wait_s):
        if not self._is_looking:
            self._is_looking = True
            self.fleet.at(wait_s + 1e-6, self.look)


class LimitFleet:
    """``size`` routers before one backend that names a limit."""

    def __init__(self, size, limit_per_s, seed=1, loss=0.0, beat_s=0.3, patience_s=1.5):
        self.now_s = 100.0
        self.limit_per_s = limit_per_s
        self.loss, self.beat_s, self.patience_s = loss, beat_s, patience_s
        self.chance = random.Random(seed)
        self.arrivals = []
        self._due = []
        self._numbers = itertools.count()
        self.routers = []
        self.routers = [self.start(number) for number in range(size)]

    def at(self, after_s, work, *arguments):
        """Do something later."""
        due_s = self.now_s + after_s
        heapq.heappush(self._due, (due_s, next(self._numbers), work, arguments))

    def start(self, number):
        """Return a new life of a router; whoever was there before is dead."""
        router = LimitRouter(self, f"10.0.{number // 250}.{number % 250}")
        self.at(self.chance.uniform(0, self.beat_s), router.beat)
        return router

    def restart(self, number):
        """Kill a router, and have it start again."""
        self.routers[number].is_dead = True
        self.routers[number] = self.start(number)

    def demand(self, per_s, share=1.0, may_wait=True):
        """Have requests come to a share of the routers, so many a second at all of them."""
        count = max(1, round(share * len(self.routers)))

        def come():
            router = self.routers[self.chance.randrange(count)]
            router.ask(may_wait)
            self.at(self.chance.expovariate(per_s), come)

        self.at(0.0, come)

    def play(self, span_s):
        """Let the time pass."""
        until_s = self.now_s + span_s
        while self._due and self._due[0][0] < until_s:
            self.now_s, _, work, arguments = heapq.heappop(self._due)
            work(*arguments)
        self.now_s = until_s

    def most_in_window(self, since_s=None):
        """Return the most requests in any window, from routers that had been told.

        From all routers, if it is counted only from ``since_s`` on, when all have heard.
        """
        told = [t for t, r in self.arrivals if t > r.told_s + TOLD_S]
        if since_s is not None:
            told = [t for t, _ in self.arrivals if t >= since_s]
        most = first = 0
        for last, at_s in enumerate(told):
            while told[first] < at_s - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most

    def used(self, since_s, until_s):
        """Return how many requests came in a span."""
        return sum(since_s <= at_s < until_s for at_s, _ in self.arrivals)
