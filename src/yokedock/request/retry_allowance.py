"""Retry budget of the whole fleet, of which each router spends only its own share.

Every arrival at a service beyond the first of each request counts, in any window. A request
reserves budget when it decides to retry, before it waits for capacity and connects, so that
requests that fail at the same moment do not all rely on the same remaining budget.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from types import TracebackType
from typing import Self

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.request.routed_call import RoutedCall

_log = logger("retries")

USABLE_BUDGET_SHARE = 0.8
"""Share of the budget that is used. Arrivals are counted exactly; the margin is for requests, which
a router may count in a different window than their arrivals: docs/DESIGN.md has the arithmetic."""
SETTLE_S = 1.0
"""An arrival counts this much longer than the window: an engine may accept it some time after it
was sent, at most the time after which an unresponsive engine is given up."""


class RetryBounds(msgspec.Struct, frozen=True):
    """In every window: extra arrivals <= ``ratio`` * requests + ``allowance``, over the fleet."""

    ratio: float = 0.2
    window_s: float = 10.0
    allowance: float = 50.0


class ServiceCounts(msgspec.Struct, eq=False):
    """Counts of this router for one service; times are those of the clock in use."""

    requests: collections.deque[float] = msgspec.field(default_factory=collections.deque)
    extras: collections.deque[float] = msgspec.field(default_factory=collections.deque)
    set_aside: int = 0
    """Extra arrivals that requests have reserved and not yet made."""


class RequestRetries:
    """The extra arrivals of one request; unused reservations are released when it ends."""

    def __init__(self, allowance: RetryAllowance, service: str, request_id: str) -> None:
        """Start without a reservation."""
        self._allowance = allowance
        self._service = service
        self._request_id = request_id
        self._set_aside = 0

    def __enter__(self) -> Self:
        """Count the request."""
        self._allowance.record_request(self._service)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the unused reservation."""
        self.give_back()

    def reserve_retry(self, call: RoutedCall, min_left_s: float, uses_budget: bool = True) -> bool:
        """Return whether ``call`` may try another backend; if so, the budget for it is reserved.

        At least ``min_left_s`` must be left. ``uses_budget``: the last attempt reached a backend,
        so the next one uses budget.
        """
        if call.remaining_s() < min_left_s or not call.may_run_again():
            return False
        return not uses_budget or self.set_aside(max(1, self._set_aside))

    def set_aside(self, arrivals: int) -> bool:
        """Reserve exactly ``arrivals`` further arrivals; return whether the budget suffices.

        An earlier reservation counts towards them, also if the share has shrunk since. It remains
        if the budget doesn't suffice for more.
        """
        if self.try_set_aside(arrivals):
            return True
        more = arrivals - self._set_aside
        self._allowance.record_denied(self._service, self._request_id, more)
        return False

    def try_set_aside(self, arrivals: int) -> bool:
        """Reserve like ``set_aside``, for callers that ask repeatedly: no denial is recorded."""
        more = arrivals - self._set_aside
        if more > 0 and not self._allowance.has_room(self._service, more):
            return False
        self._allowance.counts(self._service).set_aside += more
        self._set_aside = arrivals
        return True

    def record_arrival(self) -> None:
        """Count a further arrival that is made now, using the reservation."""
        if self._set_aside:
            self._set_aside -= 1
            self._allowance.counts(self._service).set_aside -= 1
        else:
            _log.warning(
                "retry without reserved budget", request=self._request_id, service=self._service
            )
        self._allowance.record_extra(self._service)

    def give_back(self) -> None:
        """Release the reservation."""
        self._allowance.counts(self._service).set_aside -= self._set_aside
        self._set_aside = 0


class RetryAllowance:
    """Counts requests and extra arrivals of this router by service."""

    def __init__(
        self,
        bounds: RetryBounds,
        fleet_size: Callable[[], int],
        is_first_start: bool = False,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        """``fleet_size`` returns how many routers share the allowance, including this one.

        It must count every router that may have spent a share within the window, including those
        that are currently silent. ``is_first_start``: this router's share cannot have been spent
        before.
        """
        self._bounds = bounds
        self._fleet_size = fleet_size
        self._clock = clock
        # What this router spent before a restart is unknown, and counts until this time.
        self._previous_run_until_s = clock() + (
            0.0 if is_first_start else bounds.window_s + SETTLE_S
        )
        self._services: dict[str, ServiceCounts] = {}
        self._made = 0
        self._denied = 0

    def request(self, service: str, request_id: str = "") -> RequestRetries:
        """Return the retry account of a new request; entering its context counts the request."""
        return RequestRetries(self, service, request_id)

    def has_room(self, service: str, arrivals: int = 1) -> bool:
        """Return whether so many more extra arrivals fit into this router's share."""
        counts = self.counts(service)
        return len(counts.extras) + counts.set_aside + arrivals <= self._share(counts)

    def counts(self, service: str) -> ServiceCounts:
        """Return the current counts of a service."""
        counts = self._services.setdefault(service, ServiceCounts())
        now_s = self._clock()
        _drop_before(counts.requests, now_s - self._bounds.window_s)
        _drop_before(counts.extras, now_s - self._bounds.window_s - SETTLE_S)
        return counts

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        self.counts(service).requests.append(self._clock())

    def record_extra(self, service: str) -> None:
        """Count an arrival beyond the first of a request."""
        self._made += 1
        self.counts(service).extras.append(self._clock())

    def record_denied(self, service: str, request_id: str, arrivals: int) -> None:
        """Count and log a retry that is not made because the budget is spent."""
        self._denied += 1
        counts = self.counts(service)
        _log.info(
            "retry budget spent",
            request=request_id,
            service=service,
            wanted=arrivals,
            made=len(counts.extras),
            set_aside=counts.set_aside,
            share=round(self._share(counts), 2),
            routers=self._fleet_size(),
        )

    def drop_old(self) -> None:
        """Drop counts older than the window, and services without any left."""
        for service in list(self._services):
            counts = self.counts(service)
            if not (counts.requests or counts.extras or counts.set_aside):
                del self._services[service]

    def size(self) -> int:
        """Return how many requests and extra arrivals are stored."""
        return sum(len(c.requests) + len(c.extras) for c in self._services.values())

    def levels(self) -> dict[str, float]:
        """Return the metrics of retries made and denied since the start."""
        return {"retries_made": self._made, "retries_denied": self._denied}

    def _share(self, counts: ServiceCounts) -> float:
        """Return how many extra arrivals this router may make in a window."""
        fixed = self._bounds.allowance / max(1, self._fleet_size())
        is_alone = self._clock() >= self._previous_run_until_s
        fixed *= USABLE_BUDGET_SHARE if is_alone else 1.0 - USABLE_BUDGET_SHARE
        return USABLE_BUDGET_SHARE * self._bounds.ratio * len(counts.requests) + fixed


def _drop_before(times: collections.deque[float], oldest_s: float) -> None:
    while times and times[0] < oldest_s:
        times.popleft()
