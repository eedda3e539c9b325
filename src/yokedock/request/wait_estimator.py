"""What stands before a generation that waits for room: here, elsewhere, and still to come."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable

from yokedock.base.clock import boot_time_s
from yokedock.connection.router_state import QueueShare
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.engine_placement import DECODE_ROLE
from yokedock.request.room_forecast import QueueAhead, RoomForecast
from yokedock.request.waiter import Waiter

ARRIVALS_WINDOW_S = 2.0
"""Arrivals of this time count as the present rate."""


class RecentArrivals:
    """How many generations came here lately, by service."""

    def __init__(self) -> None:
        """Start with none."""
        self._times: dict[str, collections.deque[float]] = {}

    def note(self, service: str) -> None:
        """Note an arrival."""
        self._times.setdefault(service, collections.deque()).append(boot_time_s())

    def services(self) -> list[str]:
        """Return the services at which some came."""
        return list(self._times)

    def per_s(self, service: str) -> float:
        """Return how many came in a second."""
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
    """Counts what goes before a waiter, for the forecast."""

    def __init__(
        self,
        registry: BackendRegistry,
        ledger: EngineLedger,
        forecast: RoomForecast,
        elsewhere: Callable[[str], QueueShare],
        arrivals: RecentArrivals,
    ) -> None:
        """``elsewhere`` sums what waits for the engines of a service at all other routers."""
        self._registry = registry
        self._ledger = ledger
        self._forecast = forecast
        self._elsewhere = elsewhere
        self._arrivals = arrivals

    def wait_s(self, ahead: QueueAhead, service: str) -> float:
        """Return the seconds until room comes, not before an engine's rest ends.

        Nor faster than engines that have all named a limit take streams.
        """
        rest_s = self._registry.rest_left_s(service, DECODE_ROLE)
        wait_s = max(rest_s, self._forecast.wait_s(ahead))
        granted_per_s = self._registry.granted_per_s(service, DECODE_ROLE)
        if granted_per_s:
            wait_s = max(wait_s, rest_s + (ahead.in_time + ahead.late) / granted_per_s)
        return wait_s

    def ahead(self, waiter: Waiter, queue: Iterable[Waiter]) -> QueueAhead:
        """Return what goes before a waiter: those in time, and newcomers too if it will be late."""
        now_s = boot_time_s()
        service = waiter.call.service.name
        engines = self._registry.usable(service, DECODE_ROLE)
        streams = sum(self._ledger.streams(engine.name) for engine in engines)
        others = [other for other in queue if other is not waiter]
        elsewhere = self._elsewhere(service)
        if waiter.is_in_time(now_s):
            before = [w for w in others if w.is_in_time(now_s) and w.turn() < waiter.turn()]
            # Of those at other routers as many go before it as behind it.
            ahead = QueueAhead(streams, len(before) + elsewhere.in_time / 2)
            if now_s + self._forecast.wait_s(ahead) <= waiter.in_time_until_s:
                return ahead
        in_time = [w for w in others if w.is_in_time(now_s)]
        late = [w for w in others if not w.is_in_time(now_s) and w.since_s < waiter.since_s]
        arrivals_per_s = self._arrivals.per_s(service) + elsewhere.arrivals_per_s
        ahead_in_time = len(in_time) + elsewhere.in_time
        return QueueAhead(streams, ahead_in_time, len(late), arrivals_per_s, is_late=True)
