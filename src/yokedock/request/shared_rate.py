"""Distributed rate limiting by gossip: one token bucket per backend, shared by all routers.

Each router reports how many permits it has taken and whether requests wait for one, and subtracts
the permits reported by others from its own view of the bucket. If two routers take the last permit
at the same moment, the bucket is overdrawn and all wait until it has refilled. Over time the fleet
therefore uses the granted rate, wherever the demand is. Fixed shares would leave most of it unused:
of 1.3 requests per second, one of 370 routers could send one in five minutes.
"""

from __future__ import annotations

import math

import msgspec

from yokedock.base.randomness import new_random
from yokedock.connection.router_state import LimitShare

STEP_S = 0.015
"""Time until other routers know of a taken permit: a router sends at most every 10 ms, plus the
transit time of the datagram. Routers that compete for a free permit are spaced by this."""
TIE_S = 0.02
"""Waits that began within this time of each other are tied; the router address decides."""
BURST_S = 0.25
"""Permits may accumulate for this long, but at least one. Exceeds the steps of a large fleet."""
MIN_RATE_PER_S = 0.1
"""A backend with a lower limit still gets this rate, since otherwise no response would report that
the limit has ended."""
BASELINE_WINDOW_S = 1.0
"""For a router first heard from within this time after the limit became known, earlier permits are
unknown and not counted. For one first heard from later, all permits that it took are counted."""
NO_LIMIT_PER_S = -1.0
"""Sent in place of the rate when the limit has ended."""
LIMIT_END_GOSSIP_S = 1.0
"""How long routers report the end of a limit: at least two datagrams, one of which may be lost."""


class RouterPermits(msgspec.Struct):
    """Another router's permits at a backend, as it last reported them."""

    taken: int
    waiting: int = 0
    since_s: float = math.inf
    """Since when its oldest request waits."""


class SharedRate:
    """One router's view of the token bucket of one backend. Times are seconds of boot time."""

    def __init__(self, own_address: str, now_s: float) -> None:
        """Start without a limit; ``own_address`` breaks ties, as the other routers see it."""
        self._own_address = own_address
        self._random = new_random()
        self.per_s: float | None = None
        """Requests per second that the backend accepts, None without a limit."""
        self.heard_s = -math.inf
        """When the latest response that states so arrived, here or at another router."""
        self.taken = 0
        """Permits that this router has taken."""
        self._began_s = now_s
        self._others: dict[str, RouterPermits] = {}
        self._available = 0.0
        """Permits that were free at ``_available_s``; negative if the bucket is overdrawn."""
        self._available_s = now_s
        self._random_draw = self._random.random()

    # --- The limit ---

    def record_answer(self, limit_per_s: float | None, sent_s: float, now_s: float) -> bool:
        """Apply the limit stated in a response; return whether that changes the limit.

        The request was sent at ``sent_s``. Responses can overtake each other: one to a request that
        was sent before the latest statement arrived may be older, and can only lower the limit.
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
        """Return whether the limit has ended and the other routers have been informed."""
        return self.per_s is None and now_s > self.heard_s + LIMIT_END_GOSSIP_S

    # --- Permits ---

    def take(self, now_s: float) -> None:
        """Take a permit even if none is free: a request that must be sent overdraws the bucket."""
        self.taken += 1
        self._set_available(self._free(now_s) - 1.0, now_s)

    def wait_s(self, now_s: float, since_s: float, routers: int) -> float:
        """Return the time until this router may take a permit, 0 if now.

        ``since_s`` is when its oldest request began to wait; a new request is placed behind all
        that wait. ``routers`` is the number of routers that may have new requests at the same time:
        the order between them is drawn at random for each permit.
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

    # --- Gossip between routers ---

    def share(self, now_s: float, waiting: int, since_s: float) -> LimitShare:
        """Return the report for others: ``waiting`` requests wait, the oldest since ``since_s``."""
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
        """Apply another router's report, sent at ``told_s`` or now if that is None.

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
        """Drop the waiting requests of a silent router; the permits that it took remain counted."""
        other = self._others.get(router)
        if other is not None:
            other.waiting = 0

    # --- The token bucket ---

    def _rate(self) -> float:
        return max(self.per_s or 0.0, MIN_RATE_PER_S)

    def _most(self) -> float:
        """Return the maximum number of accumulated permits."""
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
