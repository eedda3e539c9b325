"""Selects the routers that watch the shared state source; the others receive changes from them.

The load on a source that all routers watch grows with their number: 68 routers made 3,900 calls in
an idle minute with few changes. Therefore only a few watch, and report changes to the others at
once.

Each router reports how long ago the source responded to it, and watches the source itself unless
``MAX_WATCHERS`` routers that precede it in a fixed order had a response within ``FRESH_S``. A
watcher that has ended, is cut off or is rejected by the source is thus replaced within that time
plus the time to detect its silence. No agreement is required: where the routers' views differ, a
few more than necessary watch.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from yokedock.base.clock import boot_time_s

MAX_WATCHERS = 6
"""Number of routers that watch. If a third of the machines is cut off from the source
simultaneously, the probability that all watchers are among them is 1/700. In fleets up to this size
all watch."""
WATCH_S = 1.0
"""Maximum duration of a watch that other routers depend on: its response shows that it works."""
UNSHARED_WATCH_S = 2.0
"""Maximum duration of a watch if every router watches for itself."""
FRESH_S = 1.8
"""How long a response of the source counts as fresh: the duration of a watch, 0.3 s until the next
datagram, one lost datagram, and about 0.2 s on a busy machine. It bounds how long a change remains
unknown if all watchers lose the source simultaneously without an error."""
MIN_READ_DELAY_S = 0.8
MAX_READ_DELAY_S = 1.6
"""When every router has to read the full state, all except the initial readers wait this long for
the state of another router, which is announced within 0.3 s and then fetched. The random spread
keeps routers from reading simultaneously if the initial readers are cut off."""
NEVER = -1
"""Reported instead of an age: the source has never responded, or the last call failed."""
MS_PER_SECOND = 1000
RANK_CACHE_SIZE = 4096
"""Number of routers whose rank is cached."""


class SourceContact(msgspec.Struct, frozen=True):
    """Another router's report on its contact with the source."""

    router: str
    age_ms: int
    """Time since the source responded to that router, ``NEVER`` if it did not."""
    heard_s: float
    """When the report was received (boot time, s)."""
    is_leaving: bool = False

    def age_s(self, now_s: float) -> float | None:
        """Return how long ago the source responded, None if it did not."""
        if self.age_ms == NEVER:
            return None
        return self.age_ms / MS_PER_SECOND + now_s - self.heard_s


class WatcherSelection:
    """Decides whether this router watches the source, from the reports of the others."""

    def __init__(
        self,
        own: str,
        contacts: Callable[[], Iterable[SourceContact]],
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        """``contacts`` returns the last reports of the live routers."""
        self._rank = _rank(own)
        self._contacts = contacts
        self._clock = clock

    def is_due(self) -> bool:
        """Return whether this router should watch now."""
        now_s = self._clock()
        before = 0
        for contact in self._contacts():
            age_s = contact.age_s(now_s)
            is_fresh = age_s is not None and age_s <= FRESH_S and not contact.is_leaving
            if is_fresh and _rank(contact.router) < self._rank:
                before += 1
                if before >= MAX_WATCHERS:
                    return False
        return True

    def is_initial_reader(self) -> bool:
        """Return whether this router reads at once when every router has to read the full state.

        The others wait for its state: hundreds of full reads within a second would overload the
        source.
        """
        staying = (contact for contact in self._contacts() if not contact.is_leaving)
        return sum(_rank(contact.router) < self._rank for contact in staying) < MAX_WATCHERS

    def read_delay_range_s(self) -> tuple[float, float]:
        """Return the shortest and longest wait for the state of another router, in seconds.

        The wait precedes a full read when every router has to read the full state.
        """
        if self.is_initial_reader():
            return 0.0, 0.0
        return MIN_READ_DELAY_S, MAX_READ_DELAY_S

    def watch_s(self) -> float:
        """Return the maximum duration of a watch."""
        others = sum(1 for _ in self._contacts())
        return UNSHARED_WATCH_S if others < MAX_WATCHERS else WATCH_S

    def min_source_age_s(self) -> float | None:
        """Return how long ago the source last responded to another router, None if it did not."""
        now_s = self._clock()
        ages = (contact.age_s(now_s) for contact in self._contacts())
        return min((age_s for age_s in ages if age_s is not None), default=None)


@functools.lru_cache(maxsize=RANK_CACHE_SIZE)
def _rank(router: str) -> int:
    """Return a router's rank, a hash, so that the watchers are spread over all zones."""
    return xxhash.xxh64_intdigest(router.encode())
