"""Selects the backend for a request from all those that the router knows.

Health is derived from the responses to requests alone; there are no probes.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable

from yokedock.base.clock import boot_time_s
from yokedock.base.randomness import new_random
from yokedock.request.backend_incarnation import Backend
from yokedock.request.backend_latency import lower_median
from yokedock.request.backend_limits import BackendLimits, granted_per_s
from yokedock.request.backend_list import BackendList
from yokedock.request.service_supply import ServiceSupply
from yokedock.request.software_version import UNKNOWN_VERSION

FAILURE_COST_FACTOR = 8.0
DEFAULT_LATENCY_S = 0.1
COST_JITTER = 0.05
REMOTE_ZONE_COST_FACTOR = 1.05
SILENCE_TIMEOUT_FACTOR = 6.0
"""Multiple of the expected latency after which another backend is tried; some requests take that
long."""
MIN_SILENCE_TIMEOUT_S = 0.3
"""Lower bound of the silence timeout: shorter pauses occur on every machine, for example from two
periods of CPU quota throttling and a lost packet."""


class BackendRegistry(BackendList):
    """A backend list that also provides the usable backends and the one with the lowest cost."""

    def __init__(
        self,
        zone: str,
        clock: Callable[[], float] = boot_time_s,
        limits: BackendLimits | None = None,
    ) -> None:
        """Start empty; ``zone`` is the router's own."""
        super().__init__(clock, limits)
        self._zone = zone
        self._random = new_random()
        self._changing: dict[str, tuple[str, ...]] = {}
        self._all_changing: frozenset[str] = frozenset()
        self.connection_share: Callable[[str], float] = lambda service: math.inf
        """Returns how many connections this router may have to a backend of a service."""

    def set_changing(self, router: str, engines: tuple[str, ...]) -> None:
        """Record which engines are changing their role by order of ``router``."""
        if self._changing.get(router, ()) == engines:
            return
        if engines:
            self._changing[router] = engines
        else:
            del self._changing[router]
        self._all_changing = frozenset(itertools.chain.from_iterable(self._changing.values()))

    def is_changing(self, name: str) -> bool:
        """Return whether an engine is changing its role."""
        return name in self._all_changing

    def record_waiting(self, service: str, count: int, since_s: float) -> None:
        """Record how many requests wait here for the backends of a service.

        ``since_s`` is the boot time since which the oldest waits. The other routers are informed if
        a backend has a rate limit, because permits are taken in order of waiting time.
        """
        self.limits.record_waiting(service, count, since_s)
        if any(backend.limit.rate is not None for backend in self.members(service, None)):
            self.limits.on_change()

    def granted_per_s(self, service: str, role: str | None = None) -> float | None:
        """Return the combined rate of the backends that stay, None if one of them has no limit."""
        found = self.members(service, role)
        return granted_per_s(b.limit for b in found if b.leaving_since_s is None)

    def waiting_elsewhere(self, service: str) -> int:
        """Return how many requests wait for permits at other routers."""
        rates = (backend.limit.rate for backend in self.members(service, None))
        return max((rate.waiting_elsewhere() for rate in rates if rate is not None), default=0)

    def levels(self) -> dict[str, float]:
        """Return how many backends are leaving, asked for back-off, or have a rate limit."""
        now_s = self._clock()
        notices = [backend.notices for backend in self._backends.values()]
        return {
            "backends_said_leaving": sum(n.leaving_since_s is not None for n in notices),
            "backends_resting": sum(n.is_backing_off(now_s) for n in notices),
            "backends_limited": sum(b.limit.per_s is not None for b in self._backends.values()),
        }

    def states_versions(self, service: str) -> bool:
        """Return whether any backend of a service states its software version."""
        return any(backend.entry.version for backend in self.members(service))

    def listed_versions(self, service: str) -> set[int]:
        """Return the software versions of the listed backends of a service."""
        return {backend.version for backend in self.members(service) if backend.is_listed}

    def has_several_versions(self, service: str) -> bool:
        """Return whether the listed backends of a service have different software versions."""
        return len(self.listed_versions(service)) > 1

    def has_version(
        self,
        service: str,
        version: int,
        role: str | None = None,
        without: frozenset[str] = frozenset(),
    ) -> bool:
        """Return whether a backend of a software version may be used now or after a pause.

        Backends named in ``without`` do not count.
        """
        now_s = self._clock()
        return version != UNKNOWN_VERSION and any(
            backend.version == version
            and not backend.has_ended
            and backend.name not in without
            and backend.may_take_as_last_resort(now_s)
            for backend in self.members(service, role)
        )

    def may_continue_unstated(
        self, service: str, role: str | None = None, without: frozenset[str] = frozenset()
    ) -> bool:
        """Return whether a stream that a backend without a stated version began may go on.

        It may go on anywhere until some backend states a version, then where none is stated.
        Backends named in ``without`` do not count.
        """
        now_s = self._clock()
        return not self.states_versions(service) or any(
            backend.version == UNKNOWN_VERSION
            and not backend.has_ended
            and backend.name not in without
            and backend.may_take_as_last_resort(now_s)
            for backend in self.members(service, role)
        )

    def usable(
        self,
        service: str,
        role: str | None = None,
        version: int | None = None,
        is_unstated: bool = False,
    ) -> list[Backend]:
        """Return the usable backends of a service, only healthy ones if there are any.

        Backends in back-off and those without a free permit or connection are excluded, even if no
        other is left. If ``version`` is given, only backends of that software version count; with
        ``is_unstated``, only those that state none.
        """
        now_s = self._clock()
        share = self.connection_share(service)
        found = self.members(service, role)
        if version is not None:
            is_known = version != UNKNOWN_VERSION
            found = [backend for backend in found if is_known and backend.version == version]
        elif is_unstated:
            found = [backend for backend in found if backend.version == UNKNOWN_VERSION]
        return _healthiest([b for b in found if b.outstanding < share and b.may_take(now_s)], now_s)

    def present(self, service: str) -> list[Backend]:
        """Return the backends of a service that may be used now or after their back-off."""
        return _healthiest(self.members(service, None), self._clock())

    def unavailable_for_s(self, service: str, role: str | None = None) -> float:
        """Return the seconds until a backend is usable, if all are in back-off or have no permit.

        Returns 0 if one is usable now, or if there is none.
        """
        if self.usable(service, role):
            return 0.0
        now_s = self._clock()
        staying = [b for b in self.members(service, role) if b.leaving_since_s is None]
        return min((b.available_in_s(now_s) for b in staying), default=0.0)

    def freed_per_s(self, service: str) -> float:
        """Return how many connections become free per second if all are in use, else 0."""
        if self.usable(service) or self.unavailable_for_s(service):
            return 0.0
        now_s = self._clock()
        staying = [b for b in self.members(service, None) if b.leaving_since_s is None]
        typical_s = typical_latency_s(staying)
        return sum(
            b.outstanding / b.health.latency.expected_mean_s(now_s, typical_s) for b in staying
        )

    def supply(self, service: str) -> ServiceSupply:
        """Return when and at what rate the backends of a service accept requests again."""
        return ServiceSupply(
            self.unavailable_for_s(service), self.granted_per_s(service), self.freed_per_s(service)
        )

    def next_permit_s(self, service: str, role: str | None = None) -> float | None:
        """Return the seconds until a rate-limited backend has a permit for this router again."""
        now_s = self._clock()
        found = [b for b in self.members(service, role) if b.limit.rate is not None]
        waits_s = [wait_s for b in found if (wait_s := b.limit.wait_s(now_s)) > 0]
        return min(waits_s, default=None)

    def cheapest(
        self, service: str, without: frozenset[str] = frozenset(), version: int | None = None
    ) -> Backend | None:
        """Return the backend with the lowest expected cost, None if there is none.

        If ``version`` is given, only backends of that software version count.
        """
        usable = [b for b in self.usable(service, version=version) if b.name not in without]
        if not usable:
            return None
        typical_s = _typical_usual_latency_s(usable)
        return min(usable, key=lambda backend: self._cost(backend, typical_s))

    def typical_latency_s(self, service: str) -> float:
        """Return the latency to expect of a service's backends, in seconds."""
        return typical_latency_s(self.usable(service))

    def slowest_latency_s(self, service: str) -> float:
        """Return the latency of a service's slowest recent response, 0 without one."""
        slowest = self._slowest.get(service)
        return slowest.value(self._clock()) if slowest is not None else 0.0

    def patience_s(self, backend: Backend) -> float:
        """Return the time without data after which the response of a backend is given up."""
        typical_s = self.typical_latency_s(backend.entry.service)
        expected_s = backend.health.latency.expected_mean_s(self._clock(), typical_s)
        return max(MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_FACTOR * expected_s)

    def _cost(self, backend: Backend, typical_s: float) -> float:
        now_s = self._clock()
        health = backend.health
        queued = backend.outstanding
        if backend.load is not None:
            queued = max(queued, backend.load.waiting + backend.load.running)
        rounds = max(1.0, (queued + 1) / max(1, backend.entry.slots))
        contention = 1.0 + 0.3 * queued / max(1, backend.entry.slots)
        cost = health.latency.expected_usual_s(now_s, typical_s) * rounds * contention
        cost *= 1.0 + FAILURE_COST_FACTOR * health.failure_rate(now_s)
        if backend.entry.zone != self._zone:
            cost *= REMOTE_ZONE_COST_FACTOR
        return cost * (1.0 + self._random.random() * COST_JITTER)


def _healthiest(found: list[Backend], now_s: float) -> list[Backend]:
    """Return the healthy backends that stay, else all that stay, else the last resorts."""
    staying = [backend for backend in found if backend.leaving_since_s is None]
    sound = [backend for backend in staying if now_s >= backend.health.suspect_until_s]
    return sound or staying or [b for b in found if b.may_take_as_last_resort(now_s)]


def typical_latency_s(backends: list[Backend]) -> float:
    """Return the median of the mean latencies, in seconds."""
    means_s = [b.health.latency.mean_s for b in backends]
    measured = sorted(mean_s for mean_s in means_s if mean_s is not None)
    return measured[len(measured) // 2] if measured else DEFAULT_LATENCY_S


def _typical_usual_latency_s(backends: list[Backend]) -> float:
    """Return the median of the usual latencies, in seconds; of an even number the lower one.

    A single slow backend, if there are two, would otherwise be measured by itself.
    """
    usual_s = [b.health.latency.usual_s for b in backends]
    measured = [one_s for one_s in usual_s if one_s is not None]
    return lower_median(measured) if measured else DEFAULT_LATENCY_S
