"""Counters and latency histograms of a router, by route, in a text format.

Values are buffered as plain numbers, and folded into histograms by the maintenance task instead of
while a request is served: importing the library takes longer than a request may be delayed.

The histograms are DDSketches, not HdrHistograms: a page of the latter for a thousand routes, in
pure Python, would block the router for seconds and take ten times the memory.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Collection, Iterator
from typing import TYPE_CHECKING

from yokedock.base.telemetry import TelemetryGuard

if TYPE_CHECKING:
    from ddsketch import LogCollapsingLowestDenseDDSketch

MAX_KEPT = 8192
"""Maximum number of buffered values, 0.9 MB; further ones are dropped and counted."""
LIBRARY_LOAD_THRESHOLD = 1024
"""The library is imported once this many values are buffered, so that the import does not delay a
start after a failure."""
FOLD_BATCH_SIZE = 500
"""Values folded without yielding to the event loop: 0.9 ms on a 2 GHz core."""
LINES_PER_BATCH = 100
"""Lines of a page generated without yielding to the event loop: 0.6 ms on a 2 GHz core."""
MAX_ROUTES = 1000
"""Maximum number of routes with separate metrics; further ones are counted together."""
NO_ROUTE = "none"
"""Label of requests that no route matched."""
REMOVED_ROUTES = "gone"
"""Label of routes that were removed from the configuration: their outcomes are summed, their
latencies dropped."""
OTHER_ROUTES = "other"
"""Label of routes beyond ``MAX_ROUTES``."""
AGGREGATE_LABELS = frozenset({NO_ROUTE, REMOVED_ROUTES, OTHER_ROUTES})
RELATIVE_ERROR = 0.02
"""Maximum relative error of a quantile."""
MAX_BINS = 1024
"""Bins of one histogram: enough for 1 µs to 10 days at that error."""
QUANTILES = (0.5, 0.95, 0.99)
MS_PER_SECOND = 1000


class RouterMetrics:
    """Counts outcomes and records latencies; ``text`` exports them."""

    def __init__(self) -> None:
        """Start at zero."""
        self.guard = TelemetryGuard()
        self._outcomes: dict[str, collections.Counter[str]] = {}
        self._late: collections.Counter[tuple[str, str, str]] = collections.Counter()
        """Late answers by service, route and the backend's zone."""
        self._buffer: collections.deque[tuple[str, str, float]] = collections.deque()
        self._dropped = 0
        self._histograms: dict[tuple[str, str], LogCollapsingLowestDenseDDSketch] = {}
        self._is_library_loaded = False

    def count(self, route: str, outcome: str) -> None:
        """Count one request of a route by its outcome."""
        label = self._label(route)
        self._outcomes.setdefault(label, collections.Counter())[outcome] += 1

    def count_late(self, service: str, route: str, zone: str) -> None:
        """Count an answer that missed its route's latency targets."""
        self._late[service, self._label(route), zone] += 1

    def record(self, route: str, measure: str, seconds: float) -> None:
        """Record a duration of a route."""
        if len(self._buffer) >= MAX_KEPT:
            self._dropped += 1
            return
        self._buffer.append((self._label(route), measure, seconds))

    def keep_only(self, routes: Collection[str]) -> None:
        """Drop the latencies of all other routes, which were removed, and sum up their counts."""
        kept = AGGREGATE_LABELS.union(routes)
        for route in self._outcomes.keys() - kept:
            removed = self._outcomes.setdefault(REMOVED_ROUTES, collections.Counter())
            removed.update(self._outcomes.pop(route))
        for service, route, zone in [key for key in self._late if key[1] not in kept]:
            self._late[REMOVED_ROUTES, REMOVED_ROUTES, zone] += self._late.pop(
                (service, route, zone)
            )
        for key in [key for key in self._histograms if key[0] not in kept]:
            del self._histograms[key]

    def fold_some(self) -> bool:
        """Fold a batch of buffered values into histograms; return whether more remain."""
        if not self._is_library_loaded and len(self._buffer) < LIBRARY_LOAD_THRESHOLD:
            return False
        self.guard.run("fold", self._fold)
        return bool(self._buffer)

    async def text(self, levels: dict[str, float]) -> bytes:
        """Return all metrics as lines ``name{labels} value``, with the gauges ``levels``.

        Durations are in milliseconds. Values that cannot be folded are left out and counted as
        failures. Yields to the event loop repeatedly.
        """
        while self._buffer:
            self.guard.run("fold", self._fold)
            await asyncio.sleep(0)
        lines = [f"router_{name} {value:g}" for name, value in sorted(levels.items())]
        for line in self._lines():
            lines.append(line)
            if len(lines) % LINES_PER_BATCH == 0:
                await asyncio.sleep(0)
        return ("\n".join(lines) + "\n").encode()

    def sizes(self) -> dict[str, int]:
        """Return the number of rows in each table of this component."""
        return {
            "outcome_routes": len(self._outcomes),
            "histograms": len(self._histograms),
            "late_rows": len(self._late),
        }

    def _label(self, route: str) -> str:
        """Return the label under which a route is counted."""
        if route in self._outcomes or route in AGGREGATE_LABELS or len(self._outcomes) < MAX_ROUTES:
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
        """Fold the oldest values into histograms; they are dropped if that fails.

        Values of removed routes are dropped too. They are recognized by having no counts: a request
        is always counted before its duration is recorded.
        """
        count = min(FOLD_BATCH_SIZE, len(self._buffer))
        values = [self._buffer.popleft() for _ in range(count)]
        from ddsketch import LogCollapsingLowestDenseDDSketch

        self._is_library_loaded = True
        for route, measure, seconds in values:
            if route not in self._outcomes:
                continue
            histogram = self._histograms.get((route, measure))
            if histogram is None:
                histogram = LogCollapsingLowestDenseDDSketch(RELATIVE_ERROR, MAX_BINS)
                self._histograms[route, measure] = histogram
            histogram.add(seconds)
