"""Counters and latency histograms of a router, by route, as text for operators.

Values are kept as plain numbers first and folded into histograms by the upkeep task, never behind a
request: loading the library takes longer than a request may wait.

The histograms are DDSketches, not HdrHistograms: a page of those for a thousand routes, in pure
Python, would block the router for seconds and take ten times the memory.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Collection, Iterator
from typing import TYPE_CHECKING

from yokedock.base.telemetry import TelemetryGuard

if TYPE_CHECKING:
    from ddsketch import LogCollapsingLowestDenseDDSketch

MOST_KEPT = 8192
"""Values that are kept before they are folded; more are dropped and counted. 0.9 MB at most."""
LOAD_FROM = 1024
"""The library is loaded once so many values wait: a start after a failure is not held up."""
FOLDED_AT_ONCE = 500
"""Values folded without letting other work run: 0.9 ms on a 2 GHz core."""
LINES_AT_ONCE = 100
"""Lines of a page made without letting other work run: 0.6 ms on a 2 GHz core."""
MOST_ROUTES = 1000
"""Routes that are told apart; others are counted together."""
NO_ROUTE = "none"
"""Stands for requests that no route matched."""
GONE_ROUTES = "gone"
"""Stands for routes that the configuration no longer has: their outcomes are summed, their
latencies dropped."""
OTHER_ROUTES = "other"
"""Stands for routes beyond ``MOST_ROUTES``."""
SUMMED = frozenset({NO_ROUTE, GONE_ROUTES, OTHER_ROUTES})
RELATIVE_ERROR = 0.02
"""How far a percentile may be from the true one, as a share of it."""
MOST_BINS = 1024
"""Bins of one histogram: enough for 1 us to 10 days at that error."""
QUANTILES = (0.5, 0.95, 0.99)
MS_PER_SECOND = 1000


class RouterMetrics:
    """Counts outcomes and records latencies; ``text`` tells them."""

    def __init__(self) -> None:
        """Start at zero."""
        self.guard = TelemetryGuard()
        self._outcomes: dict[str, collections.Counter[str]] = {}
        self._late: collections.Counter[tuple[str, str, str]] = collections.Counter()
        """Late answers by service, route and the backend's zone."""
        self._kept: collections.deque[tuple[str, str, float]] = collections.deque()
        self._dropped = 0
        self._histograms: dict[tuple[str, str], LogCollapsingLowestDenseDDSketch] = {}
        self._is_loaded = False

    def count(self, route: str, outcome: str) -> None:
        """Count one request of a route by its outcome."""
        label = self._label(route)
        self._outcomes.setdefault(label, collections.Counter())[outcome] += 1

    def count_late(self, service: str, route: str, zone: str) -> None:
        """Count an answer that came later than its route's targets."""
        self._late[service, self._label(route), zone] += 1

    def record(self, route: str, measure: str, seconds: float) -> None:
        """Record a duration of a route."""
        if len(self._kept) >= MOST_KEPT:
            self._dropped += 1
            return
        self._kept.append((self._label(route), measure, seconds))

    def keep_only(self, routes: Collection[str]) -> None:
        """Forget what was recorded of all other routes: they are gone."""
        kept = SUMMED.union(routes)
        for route in self._outcomes.keys() - kept:
            gone = self._outcomes.setdefault(GONE_ROUTES, collections.Counter())
            gone.update(self._outcomes.pop(route))
        for service, route, zone in [key for key in self._late if key[1] not in kept]:
            self._late[GONE_ROUTES, GONE_ROUTES, zone] += self._late.pop((service, route, zone))
        for key in [key for key in self._histograms if key[0] not in kept]:
            del self._histograms[key]

    def fold_some(self) -> bool:
        """Put some of what is kept into histograms; return whether more should be folded now."""
        if not self._is_loaded and len(self._kept) < LOAD_FROM:
            return False
        self.guard.run("fold", self._fold)
        return bool(self._kept)

    async def text(self, levels: dict[str, float]) -> bytes:
        """Return everything as lines ``name{labels} value``; ``levels`` are of this moment.

        Durations are in milliseconds. What cannot be told is left out and counted among the
        failures. Other work runs in between.
        """
        while self._kept:
            self.guard.run("fold", self._fold)
            await asyncio.sleep(0)
        lines = [f"router_{name} {value:g}" for name, value in sorted(levels.items())]
        for line in self._lines():
            lines.append(line)
            if len(lines) % LINES_AT_ONCE == 0:
                await asyncio.sleep(0)
        return ("\n".join(lines) + "\n").encode()

    def sizes(self) -> dict[str, int]:
        """Return how many rows the tables of this part hold."""
        return {
            "outcome_routes": len(self._outcomes),
            "histograms": len(self._histograms),
            "late_rows": len(self._late),
        }

    def _label(self, route: str) -> str:
        """Return the name under which a route is counted."""
        if route in self._outcomes or route in SUMMED or len(self._outcomes) < MOST_ROUTES:
            return route
        return OTHER_ROUTES

    def _lines(self) -> Iterator[str]:
        for route, outcomes in sorted(self._outcomes.items()):
            for outcome, count in sorted(outcomes.items()):
                yield f'router_requests{{route="{route}",outcome="{outcome}"}} {count}'
        for (service, route, zone), count in sorted(self._late.items()):
            labels = f'service="{service}",route="{route}",zone="{zone}"'
            yield f"router_late{{{labels}}} {count}"
        for (route, measure), histogram in sorted(self._histograms.items()):
            labels = f'route="{route}",measure="{measure}"'
            yield f"router_ms_count{{{labels}}} {histogram.count:g}"
            for quantile in QUANTILES:
                milliseconds = (histogram.get_quantile_value(quantile) or 0.0) * MS_PER_SECOND
                yield f'router_ms{{{labels},quantile="{quantile:.2f}"}} {milliseconds:.3g}'
        yield f"router_values_dropped {self._dropped}"
        for kind, count in sorted(self.guard.failures.items()):
            yield f'router_telemetry_failures{{kind="{kind}"}} {count}'

    def _fold(self) -> None:
        """Put the oldest values into histograms; they are dropped if that fails.

        Those of routes that are gone are dropped too: a request is counted before it is recorded.
        """
        count = min(FOLDED_AT_ONCE, len(self._kept))
        values = [self._kept.popleft() for _ in range(count)]
        from ddsketch import LogCollapsingLowestDenseDDSketch

        self._is_loaded = True
        for route, measure, seconds in values:
            if route not in self._outcomes:
                continue
            histogram = self._histograms.get((route, measure))
            if histogram is None:
                histogram = LogCollapsingLowestDenseDDSketch(RELATIVE_ERROR, MOST_BINS)
                self._histograms[route, measure] = histogram
            histogram.add(seconds)
