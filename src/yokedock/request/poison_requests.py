"""Detects requests that crash the backends that run them, and quarantines these requests.

Some requests crash every engine that starts to run them, and callers retry with a new request id at
any router. With two attempts per call, one such request crashed sixteen engines of a fleet of five
within ten seconds, each as soon as it had restarted, together with all healthy streams on them.

Records are kept by the digest of the request, not by caller, route or service, so other requests of
the same caller are still served. A crash is attributed to every request that was at the backend.
Three rules keep harmless requests out of quarantine: a backend that responds to a later request has
not crashed, a request that was answered is harmless, and a crash at which a stronger suspect was
present is attributed to that suspect alone.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.router_state import SuspectRequest
from yokedock.errors import RequestQuarantined
from yokedock.request.request_digest import digest_text

_log = logger("poison")

MIN_CRASHES = 3
"""Crashes without a stronger suspect after which a request is quarantined regardless of the other
requests that were present: the platform's threshold for requests that must not be forwarded."""
MIN_EXCLUSIVE_CRASHES = 2
"""The same if no other request was at both backends. Waiting for a third crash would cost a fifth
of a fleet of five for some seconds."""
IMMEDIATE_CRASH_S = 0.01
"""A crash within this time after the request was sent is weak evidence: the backend may already
have been gone, or have reset a connection beyond its limit. It counts towards ``MIN_CRASHES`` only.
"""
SETTLE_S = 0.1
"""Minimum age of two crashes before they count: routers report within 10 ms plus the datagram's
transit time which other requests were at a backend, and repeat each report in case one is lost."""
QUARANTINE_S = 600.0
"""Retention time after the last crash. A request that was blamed wrongly is served again after it,
and one that is retried all day crashes two backends per such period."""
CRASH_GOSSIP_S = 1.0
"""How long a router reports a crash that it saw: in several datagrams, as some may be lost."""
MAX_GOSSIPED_REQUESTS = 16
"""Requests in one datagram, those with the most crashes first: 25 bytes each."""
MAX_CRASHES_KEPT = 8
"""Crashes kept of one request."""
MAX_SUSPECTS = 2_048
"""Requests kept, 0.6 MB; those with the oldest last crash are dropped first."""


class BackendCrash(msgspec.Struct, frozen=True):
    """The crash of one backend incarnation while it had the request."""

    ended_s: float
    """When it was detected (boot time, s)."""
    is_quick: bool = False
    """Whether it came immediately after the request was sent."""


class Suspect(msgspec.Struct, eq=False):
    """A request that was in progress at backends that crashed."""

    digest: int
    ends: dict[int, BackendCrash] = msgspec.field(default_factory=dict)
    """By incarnation number of the backend."""
    last_observed_s: float = 0.0
    """When this router itself saw the latest of them (boot time, s)."""

    def last_s(self) -> float:
        """Return the time of the latest crash."""
        return max(end.ended_s for end in self.ends.values())

    def lives(self, is_quick: bool) -> tuple[int, ...]:
        """Return the numbers of the incarnations that crashed immediately, or of the others."""
        return tuple(life for life, end in self.ends.items() if end.is_quick == is_quick)


def incarnation_number(instance: str) -> int:
    """Return a short identifier for a backend incarnation that is the same on every router."""
    return zlib.crc32(instance.encode())


class PoisonRequests:
    """Suspects by digest, from this router's own exchanges and from reports of other routers.

    ``on_change`` is called whenever a request may have become quarantined, ``on_crash_detected``
    when this router itself saw a crash, which it should report to the others at once.
    """

    def __init__(self, is_used: bool = True, clock: Callable[[], float] = boot_time_s) -> None:
        """Start without suspects; record none unless ``is_used``."""
        self._is_used = is_used
        self._clock = clock
        self._suspects: dict[int, Suspect] = {}
        self._by_incarnation: dict[int, set[int]] = {}
        """Digests of the requests that were at a backend when it crashed, by incarnation number."""
        self._logged: set[int] = set()
        self.is_explained: Callable[[int], bool] = lambda life: False
        """Returns whether something other than a single request explains a crash."""
        self.on_change: Callable[[], None] = lambda: None
        self.on_crash_detected: Callable[[], None] = lambda: None
        self.refused = 0
        """Number of requests that were not forwarded because of quarantine."""

    # --- Results of exchanges with backends ---

    def record_crash(self, digest: int, life: int, since_sent_s: float) -> None:
        """Record that a backend closed the connection ``since_sent_s`` after a request was sent."""
        if not self._is_used:
            return
        now_s = self._clock()
        self._add(digest, life, BackendCrash(now_s, since_sent_s < IMMEDIATE_CRASH_S))
        self._suspects[digest].last_observed_s = now_s
        self.on_crash_detected()
        self.on_change()

    def record_alive(self, life: int, sent_s: float) -> None:
        """Record an answer to a request sent at ``sent_s``: the backend had not crashed before.

        Responses to older requests prove nothing, however late they are read: they may have been
        buffered while this process was suspended.
        """
        for digest in list(self._by_incarnation.get(life, ())):
            if self._suspects[digest].ends[life].ended_s < sent_s:
                self._remove(digest, life)

    def record_harmless(self, digest: int) -> None:
        """Record that the request was answered completely, so it doesn't crash backends."""
        suspect = self._suspects.get(digest)
        if suspect is not None:
            self._drop(suspect)

    # --- Decisions ---

    def is_known(self) -> bool:
        """Return whether there is any suspect; without one, no digest is needed."""
        return bool(self._suspects)

    def require_not_quarantined(self, digest: int) -> None:
        """Raise ``RequestQuarantined`` if the request is quarantined."""
        remaining_s = self.quarantined_for_s(digest)
        if remaining_s:
            self.refused += 1
            message = "this request has crashed backends repeatedly; change it, or retry it later"
            raise RequestQuarantined(message, remaining_s)

    def quarantined_for_s(self, digest: int) -> float:
        """Return the remaining quarantine of a request in seconds, 0.0 if there is none."""
        suspect = self._suspects.get(digest)
        if suspect is None or not self._is_poison(suspect):
            return 0.0
        remaining_s = suspect.last_s() + QUARANTINE_S - self._clock()
        if remaining_s > 0.0 and digest not in self._logged:
            self._logged.add(digest)
            _log.warning(
                "request in quarantine",
                digest=digest_text(digest),
                ends=len(suspect.ends),
                for_s=round(remaining_s),
            )
        return max(0.0, remaining_s)

    def strongest_at(self, life: int) -> tuple[int, int] | None:
        """Return the digest that was at this crash and at most others, with their number.

        There is none if two requests were at equally many, or none at ``MIN_CRASHES``.
        """
        digests = self._by_incarnation.get(life, ())
        counts = sorted(((len(self._suspects[each].ends), each) for each in digests), reverse=True)
        if not counts or counts[0][0] < MIN_CRASHES:
            return None
        if len(counts) > 1 and counts[1][0] == counts[0][0]:
            return None
        return counts[0][1], counts[0][0]

    def _is_poison(self, suspect: Suspect) -> bool:
        attributed = self._attributed_crashes(suspect)
        if len(attributed) >= MIN_CRASHES:
            return True
        if len(attributed) < MIN_EXCLUSIVE_CRASHES:
            return False
        settled_s = self._clock() - SETTLE_S
        ends = [suspect.ends[life] for life in attributed]
        if any(end.is_quick or end.ended_s > settled_s for end in ends):
            return False
        others = [self._by_incarnation[life] - {suspect.digest} for life in attributed]
        return not set.intersection(*others)

    def _attributed_crashes(self, suspect: Suspect) -> set[int]:
        """Return the incarnations whose crashes are not explained by a stronger suspect."""
        if len(suspect.ends) < MIN_EXCLUSIVE_CRASHES:
            return set()
        count = len(suspect.ends)
        return {
            life
            for life in suspect.ends
            if not (self._has_stronger_suspect(life, count) or self.is_explained(life))
        }

    def _has_stronger_suspect(self, life: int, ends: int) -> bool:
        most = max(len(self._suspects[digest].ends) for digest in self._by_incarnation[life])
        return most > max(ends, MIN_EXCLUSIVE_CRASHES)

    # --- Gossip between routers ---

    def told(self) -> tuple[SuspectRequest, ...]:
        """Return the report for the other routers: what this one saw recently."""
        oldest_s = self._clock() - CRASH_GOSSIP_S
        return self._gossip_records(
            s for s in self._suspects.values() if s.last_observed_s >= oldest_s
        )

    def report_for_new_router(self) -> tuple[SuspectRequest, ...]:
        """Return the report for a newly started router: all suspects with several crashes."""
        return self._gossip_records(
            s for s in self._suspects.values() if len(s.ends) >= MIN_EXCLUSIVE_CRASHES
        )

    def _gossip_records(self, suspects: Iterable[Suspect]) -> tuple[SuspectRequest, ...]:
        # Suspects about to expire are not reported: otherwise two routers would renew each other's
        # records for ever.
        now_s = self._clock()
        fresh = [s for s in suspects if s.last_s() > now_s - QUARANTINE_S + CRASH_GOSSIP_S]
        fresh.sort(key=lambda s: (len(s.ends), s.last_s()), reverse=True)
        return tuple(
            SuspectRequest(s.digest, s.lives(False), s.lives(True), round(now_s - s.last_s(), 3))
            for s in fresh[:MAX_GOSSIPED_REQUESTS]
        )

    def heard(self, told: tuple[SuspectRequest, ...], told_s: float | None = None) -> None:
        """Apply another router's report, sent at ``told_s`` (boot time) or now."""
        if not told or not self._is_used:
            return
        told_s = self._clock() if told_s is None else told_s
        # Reports are repeated, and only new crashes count as a change. ``any`` gets a list, not a
        # generator, so that every record is merged.
        if any([self._merge(request, told_s) for request in told]):
            self.on_change()

    def _merge(self, request: SuspectRequest, told_s: float) -> bool:
        """Merge the report on one request; return whether it contained new crashes."""
        ended_s = told_s - request.age_s
        known = self._suspects.get(request.digest)
        has_changed = False
        for lives, is_quick in ((request.lives, False), (request.quick_lives, True)):
            for life in lives:
                if known is None or life not in known.ends:
                    self._add(request.digest, life, BackendCrash(ended_s, is_quick))
                    has_changed = True
        return has_changed

    # --- Maintenance ---

    def drop_old(self) -> None:
        """Drop requests whose last crash is long ago, and the oldest beyond the maximum number."""
        oldest_s = self._clock() - QUARANTINE_S
        by_age = sorted(self._suspects.values(), key=Suspect.last_s)
        surplus = max(0, len(by_age) - MAX_SUSPECTS)
        for position, suspect in enumerate(by_age):
            if position < surplus or suspect.last_s() < oldest_s:
                self._drop(suspect)

    def size(self) -> int:
        """Return the number of suspects."""
        return len(self._suspects)

    def levels(self) -> dict[str, float]:
        """Return the metric of requests that were not forwarded because of quarantine."""
        return {"requests_quarantined": self.refused}

    def _add(self, digest: int, life: int, end: BackendCrash) -> None:
        suspect = self._suspects.get(digest)
        if suspect is None:
            suspect = self._suspects[digest] = Suspect(digest)
        if life not in suspect.ends and len(suspect.ends) >= MAX_CRASHES_KEPT:
            self._remove(digest, min(suspect.ends, key=lambda old: suspect.ends[old].ended_s))
        suspect.ends[life] = end
        self._by_incarnation.setdefault(life, set()).add(digest)

    def _remove(self, digest: int, life: int) -> None:
        suspect = self._suspects[digest]
        del suspect.ends[life]
        digests = self._by_incarnation[life]
        digests.discard(digest)
        if not digests:
            del self._by_incarnation[life]
        if not suspect.ends:
            self._suspects.pop(digest, None)
            self._logged.discard(digest)

    def _drop(self, suspect: Suspect) -> None:
        for life in list(suspect.ends):
            self._remove(suspect.digest, life)
