"""The limits that backends name, of all backends that one router knows.

Carries what answers and other routers say to the ``SharedRate`` of each life of a backend, and
tells the others what this router has of it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import msgspec

from yokedock.base.logs import logger
from yokedock.connection.router_state import LimitShare
from yokedock.request.shared_rate import LEAST_PER_S, SharedRate

_log = logger("limits")

MS_A_SECOND = 1000


class WaitingRequests(msgspec.Struct, frozen=True):
    """What waits at this router for the backends of one service."""

    count: int = 0
    since_s: float = math.inf
    """Since when the first of them waits (boot time)."""


class BackendLimit:
    """What one life of a backend takes; without a limit it takes everything."""

    def __init__(self, limits: BackendLimits, name: str, service: str) -> None:
        """Start without a limit."""
        self._limits = limits
        self._name = name
        self._service = service
        self.rate: SharedRate | None = None
        """None while no limit is named: that is asked for each backend at every choice."""
        self._ended_s = -math.inf
        """When the last limit ended (boot time): what others heard of it before says nothing."""

    @property
    def per_s(self) -> float | None:
        """Return the requests a second that the backend takes, None if it names no limit."""
        return self.rate.per_s if self.rate is not None else None

    def note_answer(self, limit_per_s: float | None, sent_s: float, now_s: float) -> None:
        """Take in what an answer names; its request was sent at ``sent_s``."""
        if limit_per_s is None and self.rate is None:
            return
        if self._known(now_s).note_answer(limit_per_s, sent_s, now_s):
            self._log_change("answer")
            self._limits.on_change()

    def heard(self, router: str, told: LimitShare, now_s: float, told_s: float) -> None:
        """Take in what another router told at ``told_s`` (boot time)."""
        is_stale = told_s - told.age_ms / MS_A_SECOND <= self._ended_s
        if self.rate is None and (told.per_s < 0 or is_stale):
            return
        if self._known(now_s).heard(router, told, now_s, told_s):
            self._log_change(router)

    def wait_s(self, now_s: float) -> float:
        """Return after what time a request may be sent, 0 if now."""
        if self.rate is None:
            return 0.0
        waiting = self._limits.waiting(self._service)
        since_s = waiting.since_s if waiting.count else now_s
        return self.rate.wait_s(now_s, since_s, self._limits.fleet_size())

    def take(self, now_s: float) -> bool:
        """Take a permit for a request; return whether one was needed, and is counted now."""
        if self.per_s is None:
            return False
        assert self.rate is not None
        self.rate.take(now_s)
        self._limits.on_change()
        return True

    def share(self, now_s: float) -> LimitShare | None:
        """Return what the others are told, None if there is nothing to tell."""
        if self.rate is None:
            return None
        waiting = self._limits.waiting(self._service)
        return self.rate.share(now_s, waiting.count, waiting.since_s)

    def discard_if_ended(self, now_s: float) -> None:
        """Forget a limit that has ended, once all were told."""
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
    """What the limits of all backends have in common."""

    def __init__(self, own_address: str = "", fleet_size: Callable[[], int] = lambda: 1) -> None:
        """``own_address`` is this router's as the others know it; ``fleet_size`` counts it too."""
        self.own_address = own_address
        self.fleet_size = fleet_size
        self.on_change: Callable[[], None] = lambda: None
        """Called when the other routers should hear of a change here."""
        self._waiting: dict[str, WaitingRequests] = {}

    def new_limit(self, name: str, service: str) -> BackendLimit:
        """Return what is to be known of a new life of a backend."""
        return BackendLimit(self, name, service)

    def waiting(self, service: str) -> WaitingRequests:
        """Return what waits here for the backends of a service."""
        return self._waiting.get(service, NO_WAITING_REQUESTS)

    def note_waiting(self, service: str, count: int, since_s: float) -> None:
        """Note how many requests wait here, and since when (boot time) the first of them does."""
        if count:
            self._waiting[service] = WaitingRequests(count, since_s)
        else:
            self._waiting.pop(service, None)


NO_WAITING_REQUESTS = WaitingRequests()


def granted_per_s(limits: Iterable[BackendLimit]) -> float | None:
    """Return what several backends take together in a second, None if one names no limit."""
    granted = [limit.per_s for limit in limits]
    if not granted or None in granted:
        return None
    return sum(max(per_s, LEAST_PER_S) for per_s in granted if per_s is not None)
