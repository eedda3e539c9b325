"""The retry budget of the whole fleet: each router spends only its own share of it.

What counts is every arrival at a service beyond the first of each request, in any window. A request
has its further arrivals set aside when it decides to go on, before it waits for room and connects:
requests that break at the same moment must not all count on the same room.
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
"""Share of the budget that is used. Arrivals are counted one by one; the rest is for requests, that
a router may count in another window than its arrivals: docs/DESIGN.md has the arithmetic."""
SETTLE_S = 1.0
"""An arrival counts for so much longer than the window: an engine may take it up after it was sent,
at most by the time after which a silent engine is given up."""


class RetryBounds(msgspec.Struct, frozen=True):
    """In every window: extra arrivals <= ``ratio`` * requests + ``allowance``, over the fleet."""

    ratio: float = 0.2
    window_s: float = 10.0
    allowance: float = 50.0


class ServiceCounts(msgspec.Struct, eq=False):
    """What this router counts for one service; times are those of the clock in use."""

    requests: collections.deque[float] = msgspec.field(default_factory=collections.deque)
    extras: collections.deque[float] = msgspec.field(default_factory=collections.deque)
    set_aside: int = 0
    """Further arrivals that requests have decided on and that have not happened yet."""


class RequestRetries:
    """The further arrivals of one request; what is set aside is given back at its end."""

    def __init__(self, allowance: RetryAllowance, service: str, request_id: str) -> None:
        """Start with nothing set aside."""
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
        """Give back what was not used."""
        self.give_back()

    def may_go_on(self, call: RoutedCall, min_left_s: float, is_arrival: bool = True) -> bool:
        """Return whether another backend may be tried for ``call``; if so, it is paid for.

        Not with less than ``min_left_s`` left; ``is_arrival``: the last try reached a backend, so
        that the next one spends the allowance.
        """
        if call.left_s() < min_left_s or not call.may_run_again():
            return False
        return not is_arrival or self.set_aside(1)

    def set_aside(self, arrivals: int) -> bool:
        """Have exactly so many further arrivals set aside; False: the share has no room for them.

        What was set aside before counts towards them, and stays if there is no room: the share may
        have shrunk in a wait since then.
        """
        more = arrivals - self._set_aside
        if arrivals and not self._allowance.has_room(self._service, more):
            self._allowance.record_denied(self._service, self._request_id, more)
            return False
        self._allowance.counts(self._service).set_aside += more
        self._set_aside = arrivals
        return True

    def note_arrival(self) -> None:
        """Count a further arrival that happens now, paid from what was set aside."""
        if self._set_aside:
            self._set_aside -= 1
            self._allowance.counts(self._service).set_aside -= 1
        else:
            _log.warning("repeat not set aside", request=self._request_id, service=self._service)
        self._allowance.note_extra(self._service)

    def give_back(self) -> None:
        """Give back what is set aside."""
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
        """``fleet_size`` returns how many routers share the allowance, this one included.

        It must count every router that may have spent a share within the window, so also those that
        are not heard now. ``is_first_start``: nobody can have spent this router's share before it.
        """
        self._bounds = bounds
        self._fleet_size = fleet_size
        self._clock = clock
        # What this router's life before spent is not known, and it counts until this time.
        self._previous_run_until_s = clock() + (
            0.0 if is_first_start else bounds.window_s + SETTLE_S
        )
        self._services: dict[str, ServiceCounts] = {}
        self._made = 0
        self._denied = 0

    def request(self, service: str, request_id: str = "") -> RequestRetries:
        """Return the account of a new request; entering it counts the request."""
        return RequestRetries(self, service, request_id)

    def has_room(self, service: str, arrivals: int = 1) -> bool:
        """Return whether so many more extra arrivals fit into this router's share."""
        counts = self.counts(service)
        return len(counts.extras) + counts.set_aside + arrivals <= self._share(counts)

    def counts(self, service: str) -> ServiceCounts:
        """Return what counts now for a service."""
        counts = self._services.setdefault(service, ServiceCounts())
        now_s = self._clock()
        _drop_before(counts.requests, now_s - self._bounds.window_s)
        _drop_before(counts.extras, now_s - self._bounds.window_s - SETTLE_S)
        return counts

    def record_request(self, service: str) -> None:
        """Count a caller's request."""
        self.counts(service).requests.append(self._clock())

    def note_extra(self, service: str) -> None:
        """Count an arrival beyond the first of a request."""
        self._made += 1
        self.counts(service).extras.append(self._clock())

    def record_denied(self, service: str, request_id: str, arrivals: int) -> None:
        """Count and log a repeat that is not made because the budget is spent."""
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
        """Drop what lies before the window, and services without anything in it."""
        for service in list(self._services):
            counts = self.counts(service)
            if not (counts.requests or counts.extras or counts.set_aside):
                del self._services[service]

    def size(self) -> int:
        """Return how many requests and extra arrivals are remembered."""
        return sum(len(c.requests) + len(c.extras) for c in self._services.values())

    def levels(self) -> dict[str, float]:
        """Return what operators see: repeats made and denied since the start."""
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
