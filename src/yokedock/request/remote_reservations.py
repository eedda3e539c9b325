"""Reservations of other routers per engine, with incrementally maintained totals.

A router reports all its engines at once, many times a second, but totals are read far more often:
for every engine considered for a placement. An update costs time proportional to the engines named
in a datagram, independent of the number of routers. With 68 routers and 60 engines, reading a total
takes 0.2 us instead of 17 us (`yokedock-emulator decision-cost`).
"""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from yokedock.connection.router_state import EngineShare

LIFETIME_S = 2.0
"""The reservations of a silent router expire after this time."""


class EngineTotals(msgspec.Struct):
    """The load of several routers at one engine."""

    memory_tokens: int = 0
    streams: int = 0
    prefill_tokens: int = 0

    def add(self, share: EngineShare) -> None:
        """Add a router's share."""
        self.memory_tokens += share.memory_tokens
        self.streams += share.streams
        self.prefill_tokens += share.prefill_tokens

    def subtract(self, share: EngineShare) -> None:
        """Subtract a router's share."""
        self.memory_tokens -= share.memory_tokens
        self.streams -= share.streams
        self.prefill_tokens -= share.prefill_tokens


NO_TOTALS = EngineTotals()
"""Totals of an engine without reports; never modified."""
EMPTY_SHARE = EngineShare()


class ReportedShares(msgspec.Struct, frozen=True):
    """The last report of a router and the time at which it was made (boot time, s), if known."""

    heard_s: float
    shares: dict[str, EngineShare]


class ReportedEngine(msgspec.Struct):
    """The totals of all reports that name one engine."""

    totals: EngineTotals
    report_count: int = 0


class RemoteReservations:
    """The shares of other routers and their totals by engine."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with no reports."""
        self._clock = clock
        self._heard: dict[str, ReportedShares] = {}
        self._engines: dict[str, ReportedEngine] = {}
        self._next_expiry_s = math.inf
        """No share expires before this time."""

    def heard(
        self, router: str, shares: dict[str, EngineShare], told_s: float | None = None
    ) -> bool:
        """Store a router's report, made now or at ``told_s`` (boot time).

        Returns whether it frees capacity at any engine.
        """
        before = self._heard.pop(router, None)
        told_s = self._clock() if told_s is None else told_s
        self._heard[router] = ReportedShares(told_s, shares)
        self._next_expiry_s = min(self._next_expiry_s, told_s + LIFETIME_S)
        self._add(shares)
        if before is None:
            return False
        self._subtract(before.shares)
        return any(
            _frees_capacity(share, shares.get(engine, EMPTY_SHARE))
            for engine, share in before.shares.items()
        )

    def forget(self, router: str) -> bool:
        """Remove a router's reservations; return whether there were any."""
        before = self._heard.pop(router, None)
        if before is None:
            return False
        self._subtract(before.shares)
        return True

    def drop_expired(self) -> bool:
        """Remove expired reports; return whether there were any."""
        now_s = self._clock()
        if now_s <= self._next_expiry_s:
            return False
        oldest_s = now_s - LIFETIME_S
        expired = [router for router, report in self._heard.items() if report.heard_s < oldest_s]
        for router in expired:
            self.forget(router)
        expiry_times_s = (report.heard_s + LIFETIME_S for report in self._heard.values())
        self._next_expiry_s = min(expiry_times_s, default=math.inf)
        return bool(expired)

    def totals(self, engine: str) -> EngineTotals:
        """Return the totals of an engine; callers must not modify them."""
        self.drop_expired()
        reported = self._engines.get(engine)
        return NO_TOTALS if reported is None else reported.totals

    def size(self) -> int:
        """Return the number of stored shares and totals."""
        return len(self._engines) + sum(len(report.shares) for report in self._heard.values())

    def oldest_age_s(self) -> float:
        """Return the age of the oldest stored report with shares, 0 if there is none."""
        report_times_s = [report.heard_s for report in self._heard.values() if report.shares]
        return self._clock() - min(report_times_s) if report_times_s else 0.0

    def _add(self, shares: dict[str, EngineShare]) -> None:
        for engine, share in shares.items():
            reported = self._engines.get(engine)
            if reported is None:
                reported = self._engines[engine] = ReportedEngine(EngineTotals())
            reported.totals.add(share)
            reported.report_count += 1

    def _subtract(self, shares: dict[str, EngineShare]) -> None:
        """Subtract a report. An engine is removed once no report names it.

        Totals of zero do not mean that, since a share may consist of zeros.
        """
        for engine, share in shares.items():
            reported = self._engines[engine]
            reported.totals.subtract(share)
            reported.report_count -= 1
            if not reported.report_count:
                del self._engines[engine]


def _frees_capacity(before: EngineShare, now: EngineShare) -> bool:
    return now.memory_tokens < before.memory_tokens or now.streams < before.streams
