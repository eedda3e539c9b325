"""Tests of the share of requests that backends get by their latency, in simulated time."""

import heapq
import itertools
import random

from support.stream_properties import Clock
from yokedock.connection.state_source import BackendEntry
from yokedock.request.backend_registry import BackendRegistry

SERVICE = "plain"
WORK_S = 0.03
SPAN_S = 60.0
MAX_AVOIDED_S = 2.0
"""How long a backend may stay unused after a single late response."""
MAX_SLOW_SHARE = 0.03
"""Share of requests that a backend may get which is slow at each, while others have room."""
SLOW_S = 1.0
SLOW_SHARE = 0.3
"""Share of requests that take ``SLOW_S`` at a sound backend."""
MAX_OUTLASTING_SHARE = 0.3
"""Share of these requests that may take longer than the time without data allowed to them."""


class LatencyFleet:
    """Clients that each send one request after the other, and backends with given latencies."""

    def __init__(self, seed, clients, slots, latency_s):
        self.clock = Clock()
        self.registry = BackendRegistry("", self.clock)
        self.registry._random = random.Random(seed)
        self.registry.update([BackendEntry(n, SERVICE, "", slots=slots) for n in latency_s], ())
        self.sent_s = {name: [] for name in latency_s}
        """By backend: when requests were sent to it, in seconds from the start."""
        self.patience_s = []
        """For each request its latency and the time without data that was allowed to it."""
        self._clients = clients
        self._latency_s = latency_s
        """By backend: the latency of its next response, as a function of the number before it."""

    def play(self):
        """Send requests for ``SPAN_S``."""
        start_s = self.clock.now_s
        order = itertools.count()
        ends = [(start_s, next(order), None) for _ in range(self._clients)]
        while ends[0][0] < start_s + SPAN_S:
            self.clock.now_s, _, answered = heapq.heappop(ends)
            if answered is not None:
                backend, latency_s = answered
                backend.outstanding -= 1
                backend.health.record_answer(self.clock.now_s, latency_s, is_failure=False)
            backend = self.registry.cheapest(SERVICE)
            backend.outstanding += 1
            sent_s = self.sent_s[backend.name]
            latency_s = self._latency_s[backend.name](len(sent_s))
            self.patience_s.append((latency_s, self.registry.patience_s(backend)))
            sent_s.append(self.clock.now_s - start_s)
            heapq.heappush(ends, (self.clock.now_s + latency_s, next(order), (backend, latency_s)))

    def outlasting_share(self, latency_s):
        """Return the share of the requests with this latency whose time without data ran out."""
        allowed_s = [patience_s for took_s, patience_s in self.patience_s if took_s == latency_s]
        return sum(patience_s < latency_s for patience_s in allowed_s) / len(allowed_s)

    def share_of(self, name):
        """Return the share of all requests that were sent to a backend."""
        return len(self.sent_s[name]) / sum(map(len, self.sent_s.values()))


def steady(latency_s):
    """Return the latency of a backend that takes this long for each request."""
    return lambda number: latency_s


def late_once(late_s, number_late):
    """Return the latency of a backend that is late with a single response."""
    return lambda number: late_s if number == number_late else WORK_S


def a_backend_that_was_late_once_is_used_again():
    """One late response, of the first request or a later one, excludes a backend for a time."""
    late = (0.05, 0.1, 0.2, 0.4, 1.0)
    for seed, slots, late_s, number in itertools.product(range(5), (1, 4), late, (0, 20)):
        latencies = {"a": late_once(late_s, number), "b": steady(WORK_S)}
        fleet = LatencyFleet(seed, 2, slots, latencies)
        fleet.play()
        sent_s = [*fleet.sent_s["a"], SPAN_S]
        avoided_s = max(after - before for before, after in itertools.pairwise(sent_s))
        assert avoided_s <= late_s + MAX_AVOIDED_S, (seed, slots, late_s, number, avoided_s)


def a_slow_backend_gets_few_requests():
    """A backend that is slow at each request gets a small share while others have room."""
    for seed, slow_s, others in itertools.product(range(5), (0.1, 0.3, 1.0), ("b", "bc")):
        fleet = LatencyFleet(
            seed, 2, 4, {n: steady(WORK_S) for n in others} | {"a": steady(slow_s)}
        )
        fleet.play()
        share = fleet.share_of("a")
        assert share <= MAX_SLOW_SHARE, (seed, slow_s, others, share)


def equal_backends_get_equal_shares():
    """Backends with the same latency get about the same number of requests."""
    for seed, slots in itertools.product(range(5), (1, 4)):
        fleet = LatencyFleet(seed, 2, slots, {n: steady(WORK_S) for n in "abc"})
        fleet.play()
        shares = {name: fleet.share_of(name) for name in "abc"}
        assert min(shares.values()) > 0.2, (seed, slots, shares)


def a_backend_with_some_slow_requests_is_given_time_for_them():
    """Ignoring single late responses in the choice must not shorten the time allowed to requests.

    Guards against slow requests that are abandoned and sent again though their backend is sound.
    """
    for seed, others in itertools.product(range(5), ("a", "ab", "abc")):
        chance = random.Random(seed)
        mixed = lambda number: SLOW_S if chance.random() < SLOW_SHARE else WORK_S  # noqa: E731, B023
        fleet = LatencyFleet(seed, 4, 4, {name: mixed for name in others})
        fleet.play()
        share = fleet.outlasting_share(SLOW_S)
        assert share <= MAX_OUTLASTING_SHARE, (seed, others, share)


LATENCY_PROPERTIES = {
    "a backend that was late once is used again": a_backend_that_was_late_once_is_used_again,
    "a slow backend gets few requests": a_slow_backend_gets_few_requests,
    "a backend with some slow requests is given time for them": (
        a_backend_with_some_slow_requests_is_given_time_for_them
    ),
    "equal backends get equal shares": equal_backends_get_equal_shares,
}
