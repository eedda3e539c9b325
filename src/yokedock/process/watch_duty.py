"""Which routers watch the shared source of state; the others learn from them.

A source that all routers watch is asked as often as there are routers: 68 of them made 3,900 calls
in a quiet minute, though little changed. Here a few watch, and tell the others at once.

Each router tells how long ago the source answered it, and watches itself unless ``MOST_WATCHERS``
that come before it in a fixed order were answered within ``FRESH_S``. A watcher that is gone, cut
off or turned away is so replaced within that time and what its silence takes to be noticed. Nothing
is agreed upon: where views differ, a few more watch than are needed.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from yokedock.base.clock import boot_time_s

MOST_WATCHERS = 6
"""Routers that watch. A third of the machines may be cut off from the source at once: that all
watchers are among them then happens once in 700 times. Fleets up to this size all watch."""
WATCH_S = 1.0
"""How long a watch may rest where others depend on it: its answer is the sign of life."""
OWN_WATCH_S = 2.0
"""How long it may rest where every router watches for itself."""
FRESH_S = 1.8
"""An answer of the source is fresh for this time: a watch, 0.3 s until the next datagram, one lost
datagram, and some 0.2 s on a busy machine. It bounds how long a change stays unknown where all
watchers lose the source at once without a sign."""
SHORTEST_READ_DELAY_S = 0.8
LONGEST_READ_DELAY_S = 1.6
"""When every router has to read everything, all but the initial readers wait this long for the
state of another router, which is announced within 0.3 s and then fetched. The random spread keeps
routers from reading simultaneously when the initial readers are cut off."""
NEVER = -1
"""Told instead of an age: the source never answered, or refused the last call."""
MS_PER_SECOND = 1000
MOST_RANKS = 4096
"""Routers whose place in the order is kept at hand."""


class SourceContact(msgspec.Struct, frozen=True):
    """What another router told of its contact with the source."""

    router: str
    age_ms: int
    """Time since the source answered that router, ``NEVER`` if it did not."""
    heard_s: float
    """When it told that (boot time, s)."""
    is_leaving: bool = False

    def age_s(self, now_s: float) -> float | None:
        """Return how long ago the source answered, None if it did not."""
        if self.age_ms == NEVER:
            return None
        return self.age_ms / MS_PER_SECOND + now_s - self.heard_s


class WatchDuty:
    """Whether this router watches the source, by what the others tell."""

    def __init__(
        self,
        own: str,
        contacts: Callable[[], Iterable[SourceContact]],
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        """``contacts`` returns what the routers told that were heard a moment ago."""
        self._rank = _rank(own)
        self._contacts = contacts
        self._clock = clock

    def is_due(self) -> bool:
        """Return whether this router is to watch now."""
        now_s = self._clock()
        before = 0
        for contact in self._contacts():
            age_s = contact.age_s(now_s)
            is_fresh = age_s is not None and age_s <= FRESH_S and not contact.is_leaving
            if is_fresh and _rank(contact.router) < self._rank:
                before += 1
                if before >= MOST_WATCHERS:
                    return False
        return True

    def is_initial_reader(self) -> bool:
        """Return whether this router reads at once when every router has to read everything.

        The others wait for its state: hundreds of full reads within a second would overload the
        source.
        """
        staying = (contact for contact in self._contacts() if not contact.is_leaving)
        return sum(_rank(contact.router) < self._rank for contact in staying) < MOST_WATCHERS

    def read_delay_range_s(self) -> tuple[float, float]:
        """Return the shortest and longest wait for the state of another router, in seconds.

        The wait precedes a full read when every router has to read everything.
        """
        if self.is_initial_reader():
            return 0.0, 0.0
        return SHORTEST_READ_DELAY_S, LONGEST_READ_DELAY_S

    def watch_s(self) -> float:
        """Return how long a watch may rest."""
        others = sum(1 for _ in self._contacts())
        return OWN_WATCH_S if others < MOST_WATCHERS else WATCH_S

    def youngest_s(self) -> float | None:
        """Return how long ago the source answered any other router, None if it did not."""
        now_s = self._clock()
        ages = (contact.age_s(now_s) for contact in self._contacts())
        return min((age_s for age_s in ages if age_s is not None), default=None)


@functools.lru_cache(maxsize=MOST_RANKS)
def _rank(router: str) -> int:
    """Return a router's place in the order: by hash, so that watchers spread over all zones."""
    return xxhash.xxh64_intdigest(router.encode())
