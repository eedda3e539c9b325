"""Simulates routers that share one backend's rate limit, in one process without a network.

Datagrams arrive after 2 to 6 ms or are lost; as in production, each router sends a report at most
every 10 ms.
"""

import heapq
import itertools
import math
import random

from yokedock.request.shared_rate import SharedRate

DATAGRAM_DELAY_S = (0.002, 0.006)
MIN_SEND_INTERVAL_S = 0.01
POLL_INTERVAL_S = 0.02
RESPONSE_DELAY_S = (0.01, 0.09)
TOLD_S = 0.5
WINDOW_S = 4.0
SETTLED_S = 4.0
"""Time after which all routers know of the limit and usage is counted."""


class LimitRouter:
    """One incarnation of a router: its view of the permits, and its requests that wait for one."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.rate = SharedRate(name, fleet.now_s)
        self.rate._random = random.Random(fleet.chance.random())
        self.waits = []
        self.told_s = math.inf
        """When it received the first response that states the limit."""
        self.is_dead = False
        self._unread = None
        """Datagrams received while the router is frozen, None while it runs."""
        self._spoke_s = -math.inf
        self._is_speaking = False
        self._is_poll_scheduled = False

    def ask(self, may_wait):
        """Handle a request; without a permit it waits, or goes elsewhere if it may not wait."""
        if self._unread is not None:
            return
        if not self.waits and self._wait_s() <= 0:
            self.send()
        elif may_wait:
            self.waits.append(self.fleet.now_s)
            self.change()
            self._schedule_poll(POLL_INTERVAL_S)

    def send(self):
        """Take a permit and send a request; schedule its response."""
        fleet = self.fleet
        if self.rate.per_s is not None:
            self.rate.take(fleet.now_s)
            self.change()
        fleet.arrivals.append((fleet.now_s, self))
        fleet.at(
            fleet.chance.uniform(*RESPONSE_DELAY_S), self.answered, fleet.limit_per_s, fleet.now_s
        )

    def answered(self, limit_per_s, sent_s):
        """Apply a response, which states the limit at the time its request was sent."""
        if self.is_dead:
            return
        self.rate.record_answer(limit_per_s, sent_s, self.fleet.now_s)
        if limit_per_s is not None:
            self.told_s = min(self.told_s, self.fleet.now_s)
        self.change()

    def look(self):
        """Send waiting requests as permits become free; drop those that exceeded their patience."""
        self._is_poll_scheduled = False
        oldest_s = self.fleet.now_s - self.fleet.patience_s
        while self.waits and not self.is_dead and self._unread is None:
            if self.waits[0] < oldest_s:
                self.waits.pop(0)
                self.change()
            elif (wait_s := self._wait_s()) > 0:
                self._schedule_poll(min(wait_s, POLL_INTERVAL_S))
                return
            else:
                self.waits.pop(0)
                self.send()

    def change(self):
        """Schedule a report to the other routers, within the minimum interval between reports."""
        if not self._is_speaking and not self.is_dead:
            self._is_speaking = True
            gap_s = max(0.0, self._spoke_s + MIN_SEND_INTERVAL_S - self.fleet.now_s)
            self.fleet.at(gap_s, self.speak)

    def speak(self):
        """Send a report to all other routers; some datagrams are lost."""
        fleet = self.fleet
        self._is_speaking, self._spoke_s = False, fleet.now_s
        if self.is_dead or self._unread is not None or math.isinf(self.rate.heard_s):
            return
        since_s = self.waits[0] if self.waits else fleet.now_s
        told = self.rate.share(fleet.now_s, len(self.waits), since_s)
        for other in fleet.routers:
            if other is not self and fleet.chance.random() >= fleet.loss:
                fleet.at(fleet.chance.uniform(*DATAGRAM_DELAY_S), other.hear, self.name, told)

    def freeze(self, span_s):
        """Freeze for a while. Received datagrams are read only after another request was sent."""
        self._unread = []
        self.fleet.at(span_s, self._thaw)

    def _thaw(self):
        unread, self._unread = self._unread, None
        self.ask(may_wait=False)
        for datagram in unread:
            self.hear(*datagram)

    def hear(self, name, told):
        """Apply a datagram, or keep it unread while the router is frozen."""
        if self._unread is not None:
            self._unread.append((name, told))
        elif not self.is_dead:
            self.rate.heard(name, told, self.fleet.now_s)

    def send_heartbeat(self):
        """Send a report if none was sent for one heartbeat interval."""
        if not self.is_dead:
            if self.fleet.now_s - self._spoke_s >= self.fleet.heartbeat_interval_s:
                self.speak()
            self.fleet.at(self.fleet.heartbeat_interval_s, self.send_heartbeat)

    def _wait_s(self):
        since_s = self.waits[0] if self.waits else self.fleet.now_s
        return self.rate.wait_s(self.fleet.now_s, since_s, len(self.fleet.routers))

    def _schedule_poll(self, wait_s):
        if not self._is_poll_scheduled:
            self._is_poll_scheduled = True
            self.fleet.at(wait_s + 1e-6, self.look)


class LimitFleet:
    """A fleet of ``size`` routers, and one backend that states a limit in its responses."""

    def __init__(
        self, size, limit_per_s, seed=1, loss=0.0, heartbeat_interval_s=0.3, patience_s=1.5
    ):
        self.now_s = 100.0
        self.limit_per_s = limit_per_s
        self.loss, self.heartbeat_interval_s, self.patience_s = (
            loss,
            heartbeat_interval_s,
            patience_s,
        )
        self.chance = random.Random(seed)
        self.arrivals = []
        self._due = []
        self._numbers = itertools.count()
        self.routers = []
        self.routers = [self.start(number) for number in range(size)]

    def at(self, after_s, work, *arguments):
        """Schedule a call after a delay in simulated time."""
        due_s = self.now_s + after_s
        heapq.heappush(self._due, (due_s, next(self._numbers), work, arguments))

    def start(self, number):
        """Return a new incarnation of a router and schedule its heartbeats."""
        router = LimitRouter(self, f"10.0.{number // 250}.{number % 250}")
        self.at(self.chance.uniform(0, self.heartbeat_interval_s), router.send_heartbeat)
        return router

    def restart(self, number):
        """Kill a router and replace it with a new incarnation."""
        self.routers[number].is_dead = True
        self.routers[number] = self.start(number)

    def demand(self, per_s, share=1.0, may_wait=True):
        """Generate requests at a share of the routers, at least one, with ``per_s`` in total."""
        count = max(1, round(share * len(self.routers)))

        def come():
            router = self.routers[self.chance.randrange(count)]
            router.ask(may_wait)
            self.at(self.chance.expovariate(per_s), come)

        self.at(0.0, come)

    def play(self, span_s):
        """Advance the simulated time by ``span_s`` and run the scheduled calls."""
        until_s = self.now_s + span_s
        while self._due and self._due[0][0] < until_s:
            self.now_s, _, work, arguments = heapq.heappop(self._due)
            work(*arguments)
        self.now_s = until_s

    def max_in_window(self, since_s=None):
        """Return the highest number of requests in any window of ``WINDOW_S``.

        Counts requests of routers that received the limit more than ``TOLD_S`` before; with
        ``since_s``, requests of all routers from then on.
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
        """Return the number of requests sent within a time span."""
        return sum(since_s <= at_s < until_s for at_s, _ in self.arrivals)
