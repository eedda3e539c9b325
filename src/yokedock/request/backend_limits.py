"""Rate limits stated by backends, for all backends that this router knows.

Passes limits from responses and from other routers to the ``SharedRate`` of each backend
incarnation, and provides the state that is sent to the other routers.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import msgspec

from yokedock.base.logs import logger
from yokedock.connection.router_state import LimitShare
from yokedock.request.shared_rate import MIN_RATE_PER_S, SharedRate

_log = logger("limits")

MS_PER_SECOND = 1000


class WaitingRequests(msgspec.Struct, frozen=True):
    """Requests queued at this router for the backends of one service."""

    count: int = 0
    since_s: float = math.inf
    """Since when the oldest of them waits (boot time)."""


class BackendLimit:
    """Rate limit of one backend incarnation; without a limit it accepts every request."""

    def __init__(self, limits: BackendLimits, name: str, service: str) -> None:
        """Start without a limit."""
        self._limits = limits
        self._name = name
        self._service = service
        self.rate: SharedRate | None = None
        """None without a limit, so that the check in each backend selection is cheap."""
        self._ended_s = -math.inf
        """When the last limit ended (boot time): older reports from other routers are ignored."""

    @property
    def per_s(self) -> float | None:
        """Return the requests per second that the backend accepts, None without a limit."""
        return self.rate.per_s if self.rate is not None else None

    def record_answer(self, limit_per_s: float | None, sent_s: float, now_s: float) -> None:
        """Apply the limit stated in a response; its request was sent at ``sent_s``."""
        if limit_per_s is None and self.rate is None:
            return
        if self._known(now_s).record_answer(limit_per_s, sent_s, now_s):
            self._log_change("answer")
            self._limits.on_change()

    def heard(self, router: str, told: LimitShare, now_s: float, told_s: float) -> None:
        """Apply a report that another router sent at ``told_s`` (boot time)."""
        is_stale = told_s - told.age_ms / MS_PER_SECOND <= self._ended_s
        if self.rate is None and (told.per_s < 0 or is_stale):
            return
        if self._known(now_s).heard(router, told, now_s, told_s):
            self._log_change(router)

    def wait_s(self, now_s: float) -> float:
        """Return the time until a request may be sent, 0 if now."""
        if self.rate is None:
            return 0.0
        waiting = self._limits.waiting(self._service)
        since_s = waiting.since_s if waiting.count else now_s
        return self.rate.wait_s(now_s, since_s, self._limits.fleet_size())

    def take(self, now_s: float) -> bool:
        """Take a permit for a request; return whether there is a limit and a permit was counted."""
        if self.per_s is None:
            return False
        assert self.rate is not None
        self.rate.take(now_s)
        self._limits.on_change()
        return True

    def share(self, now_s: float) -> LimitShare | None:
        """Return the state to send to the other routers, None if there is none."""
        if self.rate is None:
            return None
        waiting = self._limits.waiting(self._service)
        return self.rate.share(now_s, waiting.count, waiting.since_s)

    def discard_if_ended(self, now_s: float) -> None:
        """Discard a limit that has ended, once the other routers have been informed."""
        if self.rate is not None and self.rate.is_over(now_s):
            self._ended_s = self.rate.heard_s
            self.rate = None

    def _known(self, now_s: float) -> SharedRate:
        if self.rate is None:
            self.rate = SharedRate(self._limits.own_address, now_s)
        return self.rate

    def _log_change(self, source: str) -> None:
        _log.info(
            "backend names its limit", backend=self._name, limit_per_s=self.per_s, source=source
        )


class BackendLimits:
    """State shared by the limits of all backends."""

    def __init__(self, own_address: str = "", fleet_size: Callable[[], int] = lambda: 1) -> None:
        """``own_address`` is this router's address as the others see it.

        ``fleet_size`` returns the number of routers, including this one.
        """
        self.own_address = own_address
        self.fleet_size = fleet_size
        self.on_change: Callable[[], None] = lambda: None
        """Called when a change should be sent to the other routers."""
        self._waiting: dict[str, WaitingRequests] = {}

    def new_limit(self, name: str, service: str) -> BackendLimit:
        """Return a limit for a new backend incarnation."""
        return BackendLimit(self, name, service)

    def waiting(self, service: str) -> WaitingRequests:
        """Return the requests queued here for the backends of a service."""
        return self._waiting.get(service, NO_WAITING_REQUESTS)

    def record_waiting(self, service: str, count: int, since_s: float) -> None:
        """Record how many requests wait here, and since when (boot time) the oldest does."""
        if count:
            self._waiting[service] = WaitingRequests(count, since_s)
        else:
            self._waiting.pop(service, None)


NO_WAITING_REQUESTS = WaitingRequests()


def granted_per_s(limits: Iterable[BackendLimit]) -> float | None:
    """Return the combined rate of several backends, None if one of them has no limit."""
    granted = [limit.per_s for limit in limits]
    if not granted or None in granted:
        return None
    return sum(max(per_s, MIN_RATE_PER_S) for per_s in granted if per_s is not None)
