"""All backends that the router knows, and what their answers showed of them.

The registry follows the platform's list; health is learned from answers alone, without probes.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable, Iterable

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.state_source import BackendEntry
from yokedock.request.backend_life import Backend, life_name
from yokedock.request.backend_limits import BackendLimits, granted_per_s
from yokedock.request.backend_notices import SAID_KEPT_S
from yokedock.request.list_restoration import ListRestoration
from yokedock.request.service_supply import ServiceSupply

_log = logger("backends")

GONE_KEPT_S = 10.0
"""What answers showed of a backend is kept for this long after it left: it may come back."""
FAILURE_COST = 8.0
DEFAULT_LATENCY_S = 0.1
JITTER = 0.05
OTHER_ZONE_COST = 1.05
PATIENCE = 6.0
"""Times the expected latency after which another backend is asked; some work is that slow."""
LEAST_PATIENCE_S = 0.3
"""Shorter silences happen on every machine: two of its processor quotas and a lost packet."""


class BackendRegistry:
    """Backends by the name of their life. ``on_change`` is called after every change of the list.

    ``on_new_life`` is called with the life that ended when a backend has started anew.
    """

    def __init__(
        self,
        zone: str,
        clock: Callable[[], float] = boot_time_s,
        limits: BackendLimits | None = None,
    ) -> None:
        """Start empty; ``zone`` is the router's own."""
        self.limits = limits or BackendLimits()
        self._zone = zone
        self._clock = clock
        self._random = random.Random()
        self._backends: dict[str, Backend] = {}
        self._newest: dict[str, Backend] = {}
        """The newest life of each backend, by identifier."""
        self._members: dict[tuple[str, str | None], list[Backend]] | None = None
        """Backends by service and role, and by service alone; None after a change of the list."""
        self._restoration = ListRestoration()
        self._changing: dict[str, tuple[str, ...]] = {}
        self._all_changing: frozenset[str] = frozenset()
        self.connection_share: Callable[[str], float] = lambda service: math.inf
        """Returns how many connections this router may have to a backend of a service."""
        self.on_change: Callable[[], None] = lambda: None
        self.on_new_life: Callable[[Backend], None] = lambda backend: None

    def set_changing(self, router: str, engines: tuple[str, ...]) -> None:
        """Note which engines change their role by an order of ``router``."""
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

    def replace_all(self, entries: dict[str, BackendEntry]) -> None:
        """Take over a whole list: what it does not name is gone.

        After ``restore_all``, backends within their grace period are kept.
        """
        is_missing = self._restoration.is_missing
        gone = [name for name in self._newest if name not in entries and not is_missing(name)]
        now_s = self._clock()
        for entry in entries.values():
            self._put(entry, now_s)
        self._remove(gone, now_s)

    def restore_all(self, entries: dict[str, BackendEntry]) -> None:
        """Take over a whole list whose source has been restored from a backup.

        Backends that it does not name are kept for a grace period. A life that was leaving or
        removed does not become ready by an entry of the backup.
        """
        now_s = self._clock()
        listed = [instance for instance, backend in self._newest.items() if backend.is_listed]
        self._restoration.begin(listed, entries, now_s)
        for entry in entries.values():
            self._restoration.hold(self._life_name_of(entry), now_s)
        self.replace_all(entries)

    def update(self, changed: Iterable[BackendEntry], gone: Iterable[str]) -> None:
        """Take over changes that were written to the source."""
        now_s = self._clock()
        for entry in changed:
            self._restoration.release(self._life_name_of(entry))
            self._put(entry, now_s)
        self._remove(gone, now_s)

    def apply_restoration_timeouts(self) -> None:
        """Remove missing backends after their grace period, and use confirmed ones again."""
        now_s = self._clock()
        expired = self._restoration.pop_expired_missing(now_s)
        held = (self._backends.get(name) for name in self._restoration.pop_confirmed(now_s))
        confirmed = [backend for backend in held if backend is not None and backend.is_listed]
        for backend in confirmed:
            backend.note_listed()
        if expired or confirmed:
            names = [backend.name for backend in confirmed]
            _log.info("restored list reconciled", gone=expired, back=names)
            self._remove(expired, now_s)

    def drop_gone(self) -> None:
        """Drop backends that left long ago and have nothing under way, and limits that ended."""
        self.apply_restoration_timeouts()
        now_s = self._clock()
        for name, backend in list(self._backends.items()):
            backend.limit.drop_if_over(now_s)
            has_said = not backend.has_ended and backend.notices.matter(now_s)
            oldest_s = now_s - (SAID_KEPT_S if has_said else GONE_KEPT_S)
            since_s = backend.unlisted_since_s
            is_long_gone = not backend.is_listed and since_s is not None and since_s < oldest_s
            if is_long_gone and not backend.outstanding:
                del self._backends[name]
                self._members = None
                if self._newest.get(backend.entry.instance) is backend:
                    del self._newest[backend.entry.instance]
        listed = {backend.name for backend in self._newest.values() if backend.is_listed}
        self._restoration.drop_expired(listed, now_s)

    def note_waiting(self, service: str, count: int, since_s: float) -> None:
        """Note how many requests wait here for the backends of a service.

        ``since_s``: since when the first of them does (boot time). The other routers hear of it if
        there are permits that they take in order.
        """
        self.limits.note_waiting(service, count, since_s)
        if any(backend.limit.rate is not None for backend in self.members(service, None)):
            self.limits.on_change()

    def granted_per_s(self, service: str, role: str | None = None) -> float | None:
        """Return what the backends that stay take together, None if one of them has no limit."""
        found = self.members(service, role)
        return granted_per_s(b.limit for b in found if b.leaving_since_s is None)

    def waiting_elsewhere(self, service: str) -> int:
        """Return how many requests wait for permits at other routers."""
        rates = (backend.limit.rate for backend in self.members(service, None))
        return max((rate.waiting_elsewhere() for rate in rates if rate is not None), default=0)

    def levels(self) -> dict[str, float]:
        """Return how many backends said that they leave, want rest now, or name a limit."""
        now_s = self._clock()
        notices = [backend.notices for backend in self._backends.values()]
        return {
            "backends_said_leaving": sum(n.leaving_since_s is not None for n in notices),
            "backends_resting": sum(n.is_resting(now_s) for n in notices),
            "backends_limited": sum(b.limit.per_s is not None for b in self._backends.values()),
        }

    def now_s(self) -> float:
        """Return the time by the clock of all that is believed here (boot time)."""
        return self._clock()

    def lives(self) -> Iterable[Backend]:
        """Return all lives that are known, those that ended a moment ago included."""
        return self._backends.values()

    def get(self, name: str) -> Backend | None:
        """Return a backend by the name of its life."""
        return self._backends.get(name)

    def names(self) -> set[str]:
        """Return the names of all lives, those that ended a moment ago included."""
        return set(self._backends)

    def withdrawal_count(self) -> int:
        """Return the number of withdrawals and missing backends that are kept."""
        return self._restoration.size()

    def entries(self) -> dict[str, BackendEntry]:
        """Return all listed entries by identifier, without backends in their grace period."""
        return {
            instance: backend.entry
            for instance, backend in self._newest.items()
            if backend.is_listed and not self._restoration.is_missing(instance)
        }

    def usable(self, service: str, role: str | None = None) -> list[Backend]:
        """Return the backends of a service that may be used, sound ones if there are any.

        Never one that has asked for rest, or has no permit or connection left, also where no other
        is there.
        """
        now_s = self._clock()
        share = self.connection_share(service)
        found = self.members(service, role)
        return _soundest([b for b in found if b.outstanding < share and b.may_take(now_s)], now_s)

    def present(self, service: str) -> list[Backend]:
        """Return the backends of a service that may be used now or after their rest."""
        return _soundest(self.members(service, None), self._clock())

    def rest_left_s(self, service: str, role: str | None = None) -> float:
        """Return the seconds until a backend may be used where all rest or have no permit left.

        It is 0 if one may be used now, and where there is none.
        """
        if self.usable(service, role):
            return 0.0
        now_s = self._clock()
        staying = [b for b in self.members(service, role) if b.leaving_since_s is None]
        return min((b.free_in_s(now_s) for b in staying), default=0.0)

    def freed_per_s(self, service: str) -> float:
        """Return how many connections come free in a second where all are in use, else 0."""
        if self.usable(service) or self.rest_left_s(service):
            return 0.0
        now_s = self._clock()
        staying = [b for b in self.members(service, None) if b.leaving_since_s is None]
        typical_s = typical_latency_s(staying)
        return sum(b.outstanding / b.health.expected_latency_s(now_s, typical_s) for b in staying)

    def supply(self, service: str) -> ServiceSupply:
        """Return when and how fast the backends of a service take requests again."""
        return ServiceSupply(
            self.rest_left_s(service), self.granted_per_s(service), self.freed_per_s(service)
        )

    def next_permit_s(self, service: str, role: str | None = None) -> float | None:
        """Return the seconds until a limited backend has a permit for this router again."""
        now_s = self._clock()
        found = [b for b in self.members(service, role) if b.limit.rate is not None]
        waits_s = [wait_s for b in found if (wait_s := b.limit.wait_s(now_s)) > 0]
        return min(waits_s, default=None)

    def members(self, service: str, role: str | None = None) -> list[Backend]:
        """Return all known backends of a service; the same list until the list of all changes."""
        if self._members is None:
            self._members = {}
            for backend in self._backends.values():
                entry = backend.entry
                for key in ((entry.service, None), (entry.service, entry.role)):
                    self._members.setdefault(key, []).append(backend)
        return self._members.get((service, role), [])

    def cheapest(self, service: str, without: frozenset[str] = frozenset()) -> Backend | None:
        """Return the backend that should answer soonest, None if there is none."""
        usable = [b for b in self.usable(service) if b.name not in without]
        if not usable:
            return None
        typical_s = typical_latency_s(usable)
        return min(usable, key=lambda backend: self._cost(backend, typical_s))

    def typical_latency_s(self, service: str) -> float:
        """Return the latency to expect of a service's backends, in seconds."""
        return typical_latency_s(self.usable(service))

    def patience_s(self, backend: Backend) -> float:
        """Return the time after which a backend's silence says that no answer will come."""
        typical_s = self.typical_latency_s(backend.entry.service)
        expected_s = backend.health.expected_latency_s(self._clock(), typical_s)
        return max(LEAST_PATIENCE_S, PATIENCE * expected_s)

    def _cost(self, backend: Backend, typical_s: float) -> float:
        now_s = self._clock()
        health = backend.health
        queued = backend.outstanding
        if backend.load is not None:
            queued = max(queued, backend.load.waiting + backend.load.running)
        rounds = max(1.0, (queued + 1) / max(1, backend.entry.slots))
        crowding = 1.0 + 0.3 * queued / max(1, backend.entry.slots)
        cost = health.expected_latency_s(now_s, typical_s) * rounds * crowding
        cost *= 1.0 + FAILURE_COST * health.failure_share(now_s)
        if backend.entry.zone != self._zone:
            cost *= OTHER_ZONE_COST
        return cost * (1.0 + self._random.random() * JITTER)

    def _remove(self, gone: Iterable[str], now_s: float) -> None:
        """Mark backends as no longer listed, and call ``on_change``."""
        self._members = None
        for instance in gone:
            self._restoration.clear_missing(instance)
            backend = self._newest.get(instance)
            if backend is None:
                continue
            self._restoration.record_withdrawal(backend.name, False, backend.entry.revision, now_s)
            backend.is_listed = False
            backend.note_unlisted(now_s)
        self.on_change()

    def _life_name_of(self, entry: BackendEntry) -> str:
        """Return the name of an entry's life: the newest known if the entry has no start time."""
        newest = self._newest.get(entry.instance)
        return newest.name if newest is not None and not entry.born_ms else life_name(entry)

    def _put(self, entry: BackendEntry, now_s: float) -> None:
        before = self._newest.get(entry.instance)
        if before is not None and 0 < entry.born_ms < before.entry.born_ms:
            # Said by the life before, and heard late: of this one it says nothing.
            _log.info("entry of an earlier life", backend=before.name, born_ms=entry.born_ms)
            return
        if before is not None and not entry.born_ms:
            entry = msgspec.structs.replace(entry, born_ms=before.entry.born_ms)
        is_known = before is not None and before.entry.born_ms == entry.born_ms
        backend = before if before is not None and is_known else self._begin(entry, before, now_s)
        self._restoration.clear_missing(entry.instance)
        if entry.is_leaving:
            self._restoration.record_withdrawal(backend.name, True, backend.entry.revision, now_s)
        elif self._restoration.is_held(backend.name, entry.revision):
            is_leaving = self._restoration.is_leaving(backend.name)
            entry = msgspec.structs.replace(entry, is_leaving=is_leaving)
        else:
            self._restoration.clear_withdrawal(backend.name)
            backend.entry = entry
            backend.note_listed()
            return
        backend.entry = entry
        backend.is_listed = True
        if not is_known:
            # Since when is not known: it may have been leaving for longer than it may be used.
            backend.note_gone(now_s)
        backend.note_unlisted(now_s)

    def _begin(self, entry: BackendEntry, before: Backend | None, now_s: float) -> Backend:
        """Begin a new life; of the one before nothing is kept but how soon it ended."""
        backend = Backend(entry, now_s, self.limits)
        self._backends[backend.name] = self._newest[entry.instance] = backend
        if before is not None:
            backend.succeed(before)
            before.is_listed = False
            before.note_gone(now_s)
            before.end(entry.born_ms)
            _log.info(
                "backend started anew",
                backend=backend.name,
                lived_s=round(now_s - before.known_s, 1),
                restarts=backend.restarts,
            )
            self.on_new_life(before)
        return backend


def _soundest(found: list[Backend], now_s: float) -> list[Backend]:
    """Return those that stay and are sound, else those that stay, else who may be a last resort."""
    staying = [backend for backend in found if backend.leaving_since_s is None]
    sound = [backend for backend in staying if now_s >= backend.health.suspect_until_s]
    return sound or staying or [b for b in found if b.may_take_as_last_resort(now_s)]


def typical_latency_s(backends: list[Backend]) -> float:
    """Return the median of measured latencies, in seconds."""
    measured = sorted(b.health.latency_s for b in backends if b.health.latency_s is not None)
    return measured[len(measured) // 2] if measured else DEFAULT_LATENCY_S
