"""The retry budget of the whole fleet: each router spends only its own share of it.

What counts is every arrival at a service beyond the first of each request, in any window.
"""

from __future__ import annotations

import collections
import time
from collections.abc import Callable

import msgspec

from yokedock.request.routed_call import RoutedCall

SAFETY = 0.75
"""Share of the budget that is used: routers come and go, and windows slide."""


class RetryBounds(msgspec.Struct, frozen=True):
    """In every window: extra arrivals <= ``ratio`` * requests + ``allowance``, over the fleet."""

    ratio: float = 0.2
    window_s: float = 10.0
    allowance: float = 50.0


class RetryAllowance:
    """Counts requests and extra arrivals of this router by service."""

    def __init__(
        self,
        bounds: RetryBounds,
        fleet_size: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """``fleet_size`` returns how many routers share the allowance, this one included."""
        self._bounds = bounds
        self._fleet_size = fleet_size
        self._clock = clock
        self._requests: dict[str, collections.deque[float]] = {}
        self._extras: dict[str, collections.deque[float]] = {}

    def note_request(self, service: str) -> None:
        """Count a caller's request."""
        self._requests.setdefault(service, collections.deque()).append(self._clock())

    def may_spend(self, service: str, reserve: float = 0.0) -> bool:
        """Return whether one more extra arrival fits; ``reserve`` of the share is left for others.

        ``reserve`` is a share from 0 to 1.
        """
        requests = self._count(self._requests, service)
        extras = self._count(self._extras, service)
        share = self._bounds.ratio * requests
        share += self._bounds.allowance / max(1, self._fleet_size())
        return extras + 1 <= SAFETY * (1.0 - reserve) * share

    def may_try_again(self, call: RoutedCall, least_left_s: float, is_arrival: bool = True) -> bool:
        """Return whether another backend may be tried for ``call``.

        Not with less than ``least_left_s`` left; ``is_arrival``: the last try reached a backend, so
        that the next one spends the allowance.
        """
        if call.left_s() < least_left_s or not call.may_run_again():
            return False
        return not is_arrival or self.may_spend(call.service.name)

    def note_extra(self, service: str) -> None:
        """Count an arrival beyond the first of a request."""
        self._extras.setdefault(service, collections.deque()).append(self._clock())

    def drop_old(self) -> None:
        """Drop what lies before the window, and services without any request in it."""
        for counted in (self._requests, self._extras):
            for service in list(counted):
                if not self._count(counted, service):
                    del counted[service]

    def size(self) -> int:
        """Return how many requests and extra arrivals are remembered."""
        tables = (self._requests, self._extras)
        return sum(len(times) for counted in tables for times in counted.values())

    def _count(self, counted: dict[str, collections.deque[float]], service: str) -> int:
        times = counted.get(service)
        if not times:
            return 0
        oldest_s = self._clock() - self._bounds.window_s
        while times and times[0] < oldest_s:
            times.popleft()
        return len(times)
