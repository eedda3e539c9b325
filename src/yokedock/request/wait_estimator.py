"""Estimates the wait of a queued generation from the work ahead of it and expected arrivals."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable

from yokedock.base.clock import boot_time_s
from yokedock.connection.router_state import QueueShare
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.capacity_forecast import CapacityForecast, QueueAhead
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.engine_placement import DECODE_ROLE
from yokedock.request.waiter import Waiter

ARRIVALS_WINDOW_S = 2.0
"""Length of the window over which the arrival rate is measured."""


class RecentArrivals:
    """The recent arrival rate of generations at this router, by service."""

    def __init__(self) -> None:
        """Start with no arrivals."""
        self._times: dict[str, collections.deque[float]] = {}

    def note(self, service: str) -> None:
        """Record an arrival."""
        self._times.setdefault(service, collections.deque()).append(boot_time_s())

    def services(self) -> list[str]:
        """Return the services with recorded arrivals."""
        return list(self._times)

    def per_s(self, service: str) -> float:
        """Return the arrivals per second within the window."""
        times = self._times.get(service)
        if times is None:
            return 0.0
        oldest_s = boot_time_s() - ARRIVALS_WINDOW_S
        while times and times[0] < oldest_s:
            times.popleft()
        if not times:
            del self._times[service]
        return len(times) / ARRIVALS_WINDOW_S


class WaitEstimator:
    """Estimates waits from the forecast and the rate limits and rest periods of engines."""

    def __init__(
        self,
        registry: BackendRegistry,
        ledger: EngineLedger,
        forecast: CapacityForecast,
        elsewhere: Callable[[str], QueueShare],
        arrivals: RecentArrivals,
    ) -> None:
        """``elsewhere`` returns the totals queued for a service at all other routers."""
        self._registry = registry
        self._ledger = ledger
        self._forecast = forecast
        self._elsewhere = elsewhere
        self._arrivals = arrivals

    def wait_s(self, ahead: QueueAhead, service: str) -> float:
        """Return the estimated wait in seconds.

        It is no shorter than the engines' remaining rest period, and, if all of them have announced
        a rate limit, than the time those limits need to admit the waiters ahead.
        """
        rest_s = self._registry.unavailable_for_s(service, DECODE_ROLE)
        wait_s = max(rest_s, self._forecast.wait_s(ahead))
        granted_per_s = self._registry.granted_per_s(service, DECODE_ROLE)
        if granted_per_s:
            wait_s = max(wait_s, rest_s + (ahead.in_time + ahead.late) / granted_per_s)
        return wait_s

    def ahead(self, waiter: Waiter, queue: Iterable[Waiter]) -> QueueAhead:
        """Return the work ahead of a waiter, including new arrivals if it will be late."""
        now_s = boot_time_s()
        service = waiter.call.service.name
        engines = self._registry.usable(service, DECODE_ROLE, waiter.progress.version)
        streams = sum(self._ledger.streams(engine.name) for engine in engines)
        others = [other for other in queue if other is not waiter]
        elsewhere = self._elsewhere(service)
        if waiter.is_in_time(now_s):
            before = [w for w in others if w.is_in_time(now_s) and w.turn() < waiter.turn()]
            # Assume that half of the waiters at other routers go ahead of this one.
            ahead = QueueAhead(streams, len(before) + elsewhere.in_time / 2)
            if now_s + self._forecast.wait_s(ahead) <= waiter.in_time_until_s:
                return ahead
        in_time = [w for w in others if w.is_in_time(now_s)]
        late = [w for w in others if not w.is_in_time(now_s) and w.since_s < waiter.since_s]
        arrivals_per_s = self._arrivals.per_s(service) + elsewhere.arrivals_per_s
        ahead_in_time = len(in_time) + elsewhere.in_time
        return QueueAhead(streams, ahead_in_time, len(late), arrivals_per_s, is_late=True)
