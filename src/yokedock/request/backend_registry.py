"""All backends that the router knows, and what their answers showed of them.

The registry follows the platform's list; health is learned from answers alone, without probes.
"""

from __future__ import annotations

import itertools
import math
import random
import time
from collections.abc import Callable, Iterable

import msgspec

from yokedock.connection.dialect import BackendLoad
from yokedock.connection.state_source import BackendEntry
from yokedock.request.poison_requests import life_number
from yokedock.version.homes import HashRing

GONE_GRACE_S = 1.0
"""A backend that vanished from the list without notice may still be used for this long, as a last
resort: entries that lapsed with the list itself are back soon."""
LEAVING_GRACE_S = 1.0
"""The same for one that says it is leaving, where nothing else is left."""
GONE_KEPT_S = 10.0
"""What answers showed of a backend is kept for this long after it left: it may come back."""
SUSPECT_S = 1.0
"""A backend that did not accept or fell silent is avoided for this long, doubled each time."""
LONGEST_SUSPECT_S = 4.0
FAILURE_WEIGHT = 0.25
"""Weight of the newest answer in the share of failures."""
FAILURE_HALF_LIFE_S = 4.0
"""Without answers, the share of failures halves in this time, so that a backend is tried again."""
TELL_BROKEN_S = 1.0
"""Routers tell of an engine for so long after it broke an answer off: several datagrams, of which
some may be lost. An engine that fails at once looks empty to everybody, since what was promised
there is taken back: each of 68 routers sent it a prompt to learn that, 78 in four seconds on the
heaviest large day. What one router saw is told to all: 10 ms and the way of a datagram."""
FAILURE_COST = 8.0
PERCENT = 100
LATENCY_WEIGHT = 0.2
LATENCY_HALF_LIFE_S = 6.0
DEFAULT_LATENCY_S = 0.1
JITTER = 0.05
OTHER_ZONE_COST = 1.05
PATIENCE = 6.0
"""An answer that takes this many times the expected latency is not waited for where another backend
may be asked: work of one in a hundred takes five times the mean on the users' services."""
LEAST_PATIENCE_S = 0.3
"""Shorter silences happen on every machine: two of its processor quotas and a lost packet."""


class Health(msgspec.Struct):
    """What answers showed: failures, latency, silence. Times are monotonic seconds."""

    failures: float = 0.0
    latency_s: float | None = None
    noted_s: float = 0.0
    suspect_until_s: float = 0.0
    suspect_for_s: float = SUSPECT_S
    broke_s: float = -math.inf
    """When this process saw an answer broken off, or none that was one, or none at all."""
    told: float = 0.0
    """The largest share of failures that another router told of, at ``told_s``."""
    told_s: float = 0.0

    def failure_share(self, now_s: float) -> float:
        """Return the share of failures here, or at another router if it is larger, faded."""
        own = self.own_failure_share(now_s)
        return max(own, _faded(self.told, now_s - self.told_s)) if self.told else own

    def own_failure_share(self, now_s: float) -> float:
        """Return the share of failures that this process saw, faded since the last answer."""
        return _faded(self.failures, now_s - self.noted_s) if self.failures else 0.0

    def expected_latency_s(self, now_s: float, typical_s: float) -> float:
        """Return the latency to expect: the measured one, fading to the service's typical one."""
        if self.latency_s is None:
            return typical_s
        trust = float(0.5 ** ((now_s - self.noted_s) / LATENCY_HALF_LIFE_S))
        return typical_s + (self.latency_s - typical_s) * trust

    def is_suspect(self, now_s: float) -> bool:
        """Return whether the backend was silent a moment ago."""
        return now_s < self.suspect_until_s

    def note_answer(self, now_s: float, latency_s: float, is_failure: bool) -> None:
        """Note an answer; a failure's latency says nothing about speed."""
        share = self.own_failure_share(now_s)
        self.failures = share + FAILURE_WEIGHT * (float(is_failure) - share)
        if not is_failure:
            before = self.latency_s if self.latency_s is not None else latency_s
            self.latency_s = before + LATENCY_WEIGHT * (latency_s - before)
            self.suspect_until_s = 0.0
            self.suspect_for_s = SUSPECT_S
            self.told *= 1.0 - FAILURE_WEIGHT
        self.noted_s = now_s

    def note_broken(self, now_s: float) -> None:
        """Note an answer that was broken off or was none; the other routers hear of it."""
        self.note_answer(now_s, 0.0, is_failure=True)
        self.broke_s = now_s

    def note_told(self, share: float, now_s: float) -> None:
        """Take in what another router saw; the largest share counts, faded as its own are."""
        if share > _faded(self.told, now_s - self.told_s):
            self.told, self.told_s = share, now_s

    def note_silence(self, now_s: float) -> None:
        """Note that the backend could not be reached or gave no answer; the others hear of it."""
        if not self.is_suspect(now_s):
            self.suspect_until_s = now_s + self.suspect_for_s
            self.suspect_for_s = min(2 * self.suspect_for_s, LONGEST_SUSPECT_S)
        share = self.own_failure_share(now_s)
        self.failures = share + FAILURE_WEIGHT * (1.0 - share)
        self.noted_s = now_s
        self.broke_s = now_s


class Backend:
    """One incarnation of a backend."""

    def __init__(self, entry: BackendEntry) -> None:
        """Start with what the list says."""
        self.entry = entry
        self.name = entry.instance
        """Identifier of the incarnation."""
        self.life = life_number(entry.instance)
        """The same at every router."""
        self.health = Health()
        self.outstanding = 0
        """Requests that this process has at the backend."""
        self.load: BackendLoad | None = None
        self.leaving_since_s: float | None = None
        self.is_listed = True

    def note_gone(self, now_s: float) -> None:
        """Note that another incarnation has the address: this one is gone already."""
        self.leaving_since_s = now_s - GONE_GRACE_S

    def may_take_as_last_resort(self, now_s: float) -> bool:
        """Return whether a backend that is leaving may still be used."""
        if self.leaving_since_s is None:
            return True
        return now_s - self.leaving_since_s < min(LEAVING_GRACE_S, GONE_GRACE_S)


class BackendRegistry:
    """Backends by identifier. ``on_change`` is called after every change of the list."""

    def __init__(self, zone: str, clock: Callable[[], float] = time.monotonic) -> None:
        """Start empty; ``zone`` is the router's own."""
        self._zone = zone
        self._clock = clock
        self._random = random.Random()
        self._backends: dict[str, Backend] = {}
        self._members: dict[tuple[str, str | None], list[Backend]] | None = None
        """Backends by service and role, and by service alone; None after a change of the list."""
        self._rings: dict[tuple[str, str], HashRing] = {}
        self._changing: dict[str, tuple[str, ...]] = {}
        self._all_changing: frozenset[str] = frozenset()
        self.on_change: Callable[[], None] = lambda: None

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
        """Take over a whole list: what it does not name is gone."""
        gone = [name for name in self._backends if name not in entries]
        self.update(entries.values(), gone)

    def update(self, changed: Iterable[BackendEntry], gone: Iterable[str]) -> None:
        """Take over changes."""
        now_s = self._clock()
        self._members = None
        for entry in changed:
            self._put(entry, now_s)
        for name in gone:
            backend = self._backends.get(name)
            if backend is None:
                continue
            backend.is_listed = False
            if backend.leaving_since_s is None:
                backend.leaving_since_s = now_s
        self.on_change()

    def drop_gone(self) -> None:
        """Drop backends that left long ago and have nothing under way."""
        oldest_s = self._clock() - GONE_KEPT_S
        for name, backend in list(self._backends.items()):
            since_s = backend.leaving_since_s
            is_long_gone = not backend.is_listed and since_s is not None and since_s < oldest_s
            if is_long_gone and not backend.outstanding:
                del self._backends[name]
                self._members = None

    def broken(self) -> dict[str, int]:
        """Return the share of failures, in percent, of backends that broke an answer lately."""
        now_s = self._clock()
        oldest_s = now_s - TELL_BROKEN_S
        return {
            name: round(PERCENT * backend.health.own_failure_share(now_s))
            for name, backend in self._backends.items()
            if backend.health.broke_s >= oldest_s
        }

    def heard_broken(self, broken: dict[str, int]) -> None:
        """Take in what another router told of backends that broke answers."""
        now_s = self._clock()
        for name, percent in broken.items():
            backend = self._backends.get(name)
            if backend is not None:
                backend.health.note_told(percent / PERCENT, now_s)

    def get(self, name: str) -> Backend | None:
        """Return a backend by identifier."""
        return self._backends.get(name)

    def names(self) -> set[str]:
        """Return the identifiers of all backends, those that left a moment ago included."""
        return set(self._backends)

    def entries(self) -> dict[str, BackendEntry]:
        """Return all entries that are listed now."""
        listed = self._backends.items()
        return {name: b.entry for name, b in listed if b.leaving_since_s is None}

    def usable(self, service: str, role: str | None = None) -> list[Backend]:
        """Return the backends of a service that may be used, sound ones if there are any."""
        now_s = self._clock()
        found = self._found(service, role)
        staying = [backend for backend in found if backend.leaving_since_s is None]
        sound = [backend for backend in staying if now_s >= backend.health.suspect_until_s]
        return sound or staying or [b for b in found if b.may_take_as_last_resort(now_s)]

    def _found(self, service: str, role: str | None) -> list[Backend]:
        if self._members is None:
            self._rings.clear()
            self._members = {}
            for backend in self._backends.values():
                entry = backend.entry
                for key in ((entry.service, None), (entry.service, entry.role)):
                    self._members.setdefault(key, []).append(backend)
        return self._members.get((service, role), [])

    def home_of(self, key: str, service: str, role: str) -> str | None:
        """Return the backend that is the home of a key: the same one at every router.

        It is the next one in the order of the key while the first one is not sound.
        """
        found = self._found(service, role)
        ring = self._rings.get((service, role))
        if ring is None:
            ring = HashRing(b.name for b in found if b.leaving_since_s is None)
            self._rings[service, role] = ring
        return ring.home_of(key, self._is_sound)

    def _is_sound(self, name: str) -> bool:
        backend = self._backends.get(name)
        if backend is None or backend.leaving_since_s is not None:
            return False
        return not backend.health.is_suspect(self._clock())

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

    def _put(self, entry: BackendEntry, now_s: float) -> None:
        backend = self._backends.get(entry.instance)
        if backend is None:
            backend = Backend(entry)
            self._backends[entry.instance] = backend
        backend.entry = entry
        backend.is_listed = True
        if entry.is_leaving:
            backend.leaving_since_s = backend.leaving_since_s or now_s
        else:
            backend.leaving_since_s = None


def _faded(share: float, age_s: float) -> float:
    return float(share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S))


def typical_latency_s(backends: list[Backend]) -> float:
    """Return the median of measured latencies, in seconds."""
    measured = sorted(b.health.latency_s for b in backends if b.health.latency_s is not None)
    return measured[len(measured) // 2] if measured else DEFAULT_LATENCY_S
