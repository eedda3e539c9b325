"""A rate that a backend grants to all routers together: one token bucket, of which each has a view.

Pattern: distributed rate limiting by gossip. Each router tells how many permits it has taken and
who waits for one; whoever hears of a permit takes it from its own view of the bucket. Two routers
that take the last permit at the same moment overdraw it, and all wait until that is paid back: in
the long run the fleet takes what is granted, wherever the demand is. Shares that are fixed
beforehand would leave most of it unused: of 1.3 requests a second one of 370 routers could send one
in five minutes.
"""

from __future__ import annotations

import math

import msgspec

from yokedock.base.randomness import new_random
from yokedock.connection.router_state import LimitShare

STEP_S = 0.015
"""From a permit taken until the other routers know of it: a router speaks at most every 10 ms, and
the way of a datagram. Who may take a free permit is a step apart."""
TIE_S = 0.02
"""Waits that began nearer to each other than this are tied: addresses decide."""
BURST_S = 0.25
"""Permits of so much time may be saved up, one at least. It outlasts the steps of a large fleet."""
LEAST_PER_S = 0.1
"""A backend that names less is still asked this often, or nobody would hear that its need ended."""
BASELINE_WINDOW_S = 1.0
"""What routers had taken before is not known of those that are heard within this time."""
NO_LIMIT_PER_S = -1.0
"""Told in the place of a rate that has ended."""
LIMIT_END_GOSSIP_S = 1.0
"""Routers tell of an end for so long: two datagrams at least, of which one may be lost."""


class RouterPermits(msgspec.Struct):
    """What another router told of its permits at a backend."""

    taken: int
    waiting: int = 0
    since_s: float = math.inf
    """Since when its first request waits."""


class SharedRate:
    """One router's view of the bucket of one backend. Times are seconds of boot time."""

    def __init__(self, own_address: str, now_s: float) -> None:
        """Start without a limit; ``own_address`` decides ties as the others see them."""
        self._own_address = own_address
        self._random = new_random()
        self.per_s: float | None = None
        """Requests a second that the backend takes, None if it names no limit."""
        self.heard_s = -math.inf
        """When the newest answer came that says so, here or at another router."""
        self.taken = 0
        """Permits that this router has taken."""
        self._began_s = now_s
        self._others: dict[str, RouterPermits] = {}
        self._available = 0.0
        """Permits that were free at ``_available_s``; less than 0 if the bucket is overdrawn."""
        self._available_s = now_s
        self._random_draw = self._random.random()

    # --- The limit ---

    def note_answer(self, limit_per_s: float | None, sent_s: float, now_s: float) -> bool:
        """Take in what an answer names; return whether that changes anything.

        Its request was sent at ``sent_s``. Answers overtake each other: one to a request that was
        sent before the newest word came may be older, and can only make the limit stricter.
        """
        is_newer = sent_s >= self.heard_s
        if not is_newer and not _is_stricter(limit_per_s, self.per_s):
            return False
        return self._apply_limit(limit_per_s, now_s, now_s)

    def _apply_limit(self, limit_per_s: float | None, heard_s: float, now_s: float) -> bool:
        self.heard_s = max(self.heard_s, heard_s)
        if limit_per_s == self.per_s:
            return False
        available = self._free(now_s) if self.per_s is not None else 0.0
        self.per_s = limit_per_s
        self._set_available(min(available, self._most()), now_s)
        return True

    def is_over(self, now_s: float) -> bool:
        """Return whether there is no limit any more, and all were told."""
        return self.per_s is None and now_s > self.heard_s + LIMIT_END_GOSSIP_S

    # --- Permits ---

    def take(self, now_s: float) -> None:
        """Take a permit, also one that is not free: what must be sent overdraws the bucket."""
        self.taken += 1
        self._set_available(self._free(now_s) - 1.0, now_s)

    def wait_s(self, now_s: float, since_s: float, routers: int) -> float:
        """Return after what time this router may take a permit, 0 if now.

        ``since_s`` is since when its first request waits; one that has just come goes behind all
        that wait. ``routers`` may have such requests: who begins is drawn anew for each permit.
        """
        if self.per_s is None:
            return 0.0
        free = self._free(now_s)
        before = sum(self._precedes(name, other, since_s) for name, other in self._others.items())
        steps = max(0, before - max(0, math.floor(free) - 1))
        if since_s >= now_s and free < 2.0:
            steps += math.floor(math.log2(1.0 + self._random_draw * max(0, routers - 1)))
        available_since_s = self._available_s + (1.0 - self._available) / self._rate()
        return max(0.0, available_since_s + steps * STEP_S - now_s)

    def waiting_elsewhere(self) -> int:
        """Return how many requests wait at other routers."""
        return sum(other.waiting for other in self._others.values())

    def _precedes(self, name: str, other: RouterPermits, since_s: float) -> bool:
        if not other.waiting:
            return False
        if abs(other.since_s - since_s) < TIE_S:
            return name < self._own_address
        return other.since_s < since_s

    # --- What routers tell each other ---

    def share(self, now_s: float, waiting: int, since_s: float) -> LimitShare:
        """Return what is told: ``waiting`` requests wait here, the first since ``since_s``."""
        return LimitShare(
            NO_LIMIT_PER_S if self.per_s is None else self.per_s,
            _to_ms(now_s - self.heard_s),
            self.taken,
            waiting,
            _to_ms(now_s - since_s) if waiting else 0,
        )

    def heard(
        self, router: str, told: LimitShare, now_s: float, told_s: float | None = None
    ) -> bool:
        """Take in what another router told at ``told_s``, just now if that is None.

        Returns whether the limit changed.
        """
        told_s = now_s if told_s is None else told_s
        before = self._others.get(router)
        if before is None:
            is_known = now_s < self._began_s + BASELINE_WINDOW_S
            before = self._others[router] = RouterPermits(told.taken if is_known else 0)
        elif told.taken < before.taken:
            before.taken = 0
        more = told.taken - before.taken
        before.taken = told.taken
        before.waiting = told.waiting
        before.since_s = told_s - told.waited_ms / 1000
        if more:
            self._set_available(self._free(now_s) - more, now_s)
        heard_s = told_s - told.age_ms / 1000
        if heard_s <= self.heard_s:
            return False
        limit_per_s = None if told.per_s < 0 else told.per_s
        return self._apply_limit(limit_per_s, heard_s, now_s)

    def forget(self, router: str) -> None:
        """Drop what waits at a router that is heard no longer; what it took stays taken."""
        other = self._others.get(router)
        if other is not None:
            other.waiting = 0

    # --- The bucket ---

    def _rate(self) -> float:
        return max(self.per_s or 0.0, LEAST_PER_S)

    def _most(self) -> float:
        """Return how many permits may be saved up."""
        return max(1.0, BURST_S * self._rate())

    def _free(self, now_s: float) -> float:
        grown = self._available + (now_s - self._available_s) * self._rate()
        return min(grown, self._most())

    def _set_available(self, available: float, now_s: float) -> None:
        self._available, self._available_s = available, now_s
        self._random_draw = self._random.random()


def _is_stricter(limit_per_s: float | None, other_per_s: float | None) -> bool:
    if limit_per_s is None:
        return False
    return other_per_s is None or limit_per_s < other_per_s


def _to_ms(span_s: float) -> int:
    return max(0, round(span_s * 1000))
