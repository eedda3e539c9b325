"""Which requests end the backends that run them, and are kept from backends for a while.

Pattern: a request crashes every engine which begins to run it. Its caller sends it again, with a
new id, to any router; with two attempts a try, one request ended sixteen engines of a fleet of five
in ten seconds, each as soon as it was back, and took every sound stream on them along.

What is kept hangs on the request itself (its digest), never on its caller, route or service: other
requests of the same caller go on. Blame is spread over all that was sent to a backend that ended,
so three things keep sound requests out of quarantine: a backend that answers after all has not
ended, a request that is answered is sound, and an end that a stronger suspect was part of is put
down to that one alone.
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
"""Ends that nothing else explains, after which a request is in quarantine whatever else was there:
the platform's figure for a request that is not to be sent on."""
MIN_EXCLUSIVE_CRASHES = 2
"""The same where no other request was at both backends. Waiting for the third would cost a fifth of
a fleet of five for some seconds."""
IMMEDIATE_CRASH_S = 0.01
"""An end sooner after the request was sent is weak evidence: the backend may have been gone, or
have reset one connection too many. It counts towards three ends, not towards two."""
SETTLE_S = 0.1
"""A pair counts once it is so old: routers tell each other of what else was at a backend within
10 ms and the way of a datagram, and each word is said again while one may be lost."""
FORGOTTEN_S = 600.0
"""So long after the last end under a request it is taken for a new one: one that is wrong to blame
is served again, one that comes all day ends two backends in that time."""
TELL_S = 1.0
"""A router tells of an end for so long after it saw it: several datagrams, some may be lost."""
MAX_GOSSIPED_REQUESTS = 16
"""Requests in one datagram, those with the most ends first: 25 bytes each."""
MOST_ENDS = 8
"""Ends kept of one request."""
MOST_KEPT = 2_048
"""Requests kept, 0.6 MB; the ones whose last end is oldest go first."""


class BackendCrash(msgspec.Struct, frozen=True):
    """The end of one life of a backend while it had the request."""

    ended_s: float
    """When (boot time, s)."""
    is_quick: bool = False
    """Whether it came as soon as the request was sent."""


class Suspect(msgspec.Struct, eq=False):
    """A request under which backends ended."""

    digest: int
    ends: dict[int, BackendCrash] = msgspec.field(default_factory=dict)
    """By the number of the backend's life."""
    last_observed_s: float = 0.0
    """When this router itself saw the newest of them (boot time, s)."""

    def last_s(self) -> float:
        """Return when the newest end was."""
        return max(end.ended_s for end in self.ends.values())

    def lives(self, is_quick: bool) -> tuple[int, ...]:
        """Return the numbers of the lives that ended quickly, or of the others."""
        return tuple(life for life, end in self.ends.items() if end.is_quick == is_quick)


def life_number(instance: str) -> int:
    """Return a short name for one life of a backend: the same at every router."""
    return zlib.crc32(instance.encode())


class PoisonRequests:
    """Suspects by digest, from this router's own exchanges and from what others tell.

    ``on_change`` is called whenever a request may have come into quarantine, ``on_end`` when this
    router saw an end: the others are to hear of it at once.
    """

    def __init__(self, is_used: bool = True, clock: Callable[[], float] = boot_time_s) -> None:
        """Start without suspects; if not ``is_used``, stay so."""
        self._is_used = is_used
        self._clock = clock
        self._suspects: dict[int, Suspect] = {}
        self._by_incarnation: dict[int, set[int]] = {}
        """Digests of what was at a backend as it ended, by the life's number."""
        self._logged: set[int] = set()
        self.on_change: Callable[[], None] = lambda: None
        self.on_end: Callable[[], None] = lambda: None
        self.refused = 0
        """Requests that were kept from backends since the start."""

    # --- What exchanges with backends showed ---

    def note_end(self, digest: int, life: int, since_sent_s: float) -> None:
        """Note that a backend closed ``since_sent_s`` after it got the request."""
        if not self._is_used:
            return
        now_s = self._clock()
        self._add(digest, life, BackendCrash(now_s, since_sent_s < IMMEDIATE_CRASH_S))
        self._suspects[digest].last_observed_s = now_s
        self.on_end()
        self.on_change()

    def note_alive(self, life: int, sent_s: float) -> None:
        """Note that a backend answered what was sent at ``sent_s``: it had not ended before.

        An answer to something older proves nothing, however late it is read: it may have lain here
        while this process stood still.
        """
        for digest in list(self._by_incarnation.get(life, ())):
            if self._suspects[digest].ends[life].ended_s < sent_s:
                self._remove(digest, life)

    def note_sound(self, digest: int) -> None:
        """Note that the request was answered whole: it does not end what runs it."""
        suspect = self._suspects.get(digest)
        if suspect is not None:
            self._drop(suspect)

    # --- Decisions ---

    def is_known(self) -> bool:
        """Return whether there is any suspect; without one, no digest is needed."""
        return bool(self._suspects)

    def require_not_quarantined(self, digest: int) -> None:
        """Raise ``RequestQuarantined`` for a request that is kept from backends."""
        left_s = self.quarantined_for_s(digest)
        if left_s:
            self.refused += 1
            message = (
                "backends ended under this request again and again; change it, or send it later"
            )
            raise RequestQuarantined(message, left_s)

    def quarantined_for_s(self, digest: int) -> float:
        """Return for how long the request is still kept from backends, 0.0 if it is not."""
        suspect = self._suspects.get(digest)
        if suspect is None or not self._is_poison(suspect):
            return 0.0
        left_s = suspect.last_s() + FORGOTTEN_S - self._clock()
        if left_s > 0.0 and digest not in self._logged:
            self._logged.add(digest)
            _log.warning(
                "request in quarantine",
                digest=digest_text(digest),
                ends=len(suspect.ends),
                for_s=round(left_s),
            )
        return max(0.0, left_s)

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
        """Return the ends at which no stronger suspect was present."""
        if len(suspect.ends) < MIN_EXCLUSIVE_CRASHES:
            return set()
        return {
            life for life in suspect.ends if not self._has_stronger_suspect(life, len(suspect.ends))
        }

    def _has_stronger_suspect(self, life: int, ends: int) -> bool:
        most = max(len(self._suspects[digest].ends) for digest in self._by_incarnation[life])
        return most > max(ends, MIN_EXCLUSIVE_CRASHES)

    # --- Between routers ---

    def told(self) -> tuple[SuspectRequest, ...]:
        """Return what the other routers are to hear: what this one saw a moment ago."""
        oldest_s = self._clock() - TELL_S
        return self._gossip_records(
            s for s in self._suspects.values() if s.last_observed_s >= oldest_s
        )

    def told_to_newcomer(self) -> tuple[SuspectRequest, ...]:
        """Return what a router that has just started is to hear: all of any weight."""
        return self._gossip_records(
            s for s in self._suspects.values() if len(s.ends) >= MIN_EXCLUSIVE_CRASHES
        )

    def _gossip_records(self, suspects: Iterable[Suspect]) -> tuple[SuspectRequest, ...]:
        # What will soon be forgotten is not told: two routers would remind each other for ever.
        now_s = self._clock()
        fresh = [s for s in suspects if s.last_s() > now_s - FORGOTTEN_S + TELL_S]
        fresh.sort(key=lambda s: (len(s.ends), s.last_s()), reverse=True)
        return tuple(
            SuspectRequest(s.digest, s.lives(False), s.lives(True), round(now_s - s.last_s(), 3))
            for s in fresh[:MAX_GOSSIPED_REQUESTS]
        )

    def heard(self, told: tuple[SuspectRequest, ...], told_s: float | None = None) -> None:
        """Take in what another router told, just now or at ``told_s`` (boot time)."""
        if not told or not self._is_used:
            return
        told_s = self._clock() if told_s is None else told_s
        # The same is said several times: only what is new is looked at.
        if any([self._merge(request, told_s) for request in told]):
            self.on_change()

    def _merge(self, request: SuspectRequest, told_s: float) -> bool:
        """Take in what was told of one request; return whether it is news."""
        ended_s = told_s - request.age_s
        known = self._suspects.get(request.digest)
        has_changed = False
        for lives, is_quick in ((request.lives, False), (request.quick_lives, True)):
            for life in lives:
                if known is None or life not in known.ends:
                    self._add(request.digest, life, BackendCrash(ended_s, is_quick))
                    has_changed = True
        return has_changed

    # --- Upkeep ---

    def drop_old(self) -> None:
        """Forget requests whose last end is long ago, and the oldest of too many."""
        oldest_s = self._clock() - FORGOTTEN_S
        by_age = sorted(self._suspects.values(), key=Suspect.last_s)
        surplus = max(0, len(by_age) - MOST_KEPT)
        for position, suspect in enumerate(by_age):
            if position < surplus or suspect.last_s() < oldest_s:
                self._drop(suspect)

    def size(self) -> int:
        """Return how many requests are suspects."""
        return len(self._suspects)

    def levels(self) -> dict[str, float]:
        """Return what operators see: requests kept from backends since the start."""
        return {"requests_quarantined": self.refused}

    def _add(self, digest: int, life: int, end: BackendCrash) -> None:
        suspect = self._suspects.get(digest)
        if suspect is None:
            suspect = self._suspects[digest] = Suspect(digest)
        if life not in suspect.ends and len(suspect.ends) >= MOST_ENDS:
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
