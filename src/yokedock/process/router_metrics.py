"""Counters and latency histograms of a router, by route, as text for operators.

Values are kept as plain numbers first: the histogram library is loaded only when somebody asks, or
after many requests, so that a start after a failure is not held up by it.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from yokedock.base.histograms import Histograms

MOST_KEPT = 4096
"""Values that are kept before they are folded into histograms."""


class RouterMetrics:
    """Counts outcomes and records latencies; ``text`` tells them."""

    def __init__(self) -> None:
        """Start at zero."""
        self._outcomes: collections.Counter[tuple[str, str]] = collections.Counter()
        self._kept: list[tuple[str, str, float]] = []
        self._histograms: Histograms | None = None

    def count(self, route: str, outcome: str) -> None:
        """Count one request of a route by its outcome."""
        self._outcomes[route, outcome] += 1

    def record(self, route: str, measure: str, seconds: float) -> None:
        """Record a duration of a route."""
        self._kept.append((route, measure, seconds))
        if len(self._kept) >= MOST_KEPT:
            self._fold()

    def text(self, levels: dict[str, float]) -> bytes:
        """Return everything as lines ``name{labels} value``; ``levels`` are of this moment.

        Durations are in milliseconds.
        """
        lines = [f"router_{name} {value:g}" for name, value in sorted(levels.items())]
        lines += [
            f'router_requests{{route="{route}",outcome="{outcome}"}} {count}'
            for (route, outcome), count in sorted(self._outcomes.items())
        ]
        for row in self._fold().rows():
            labels = f'route="{row.tenant}",measure="{row.request_class}"'
            lines.append(f"router_ms_count{{{labels}}} {row.count}")
            for name, value in (("50", row.p50), ("95", row.p95), ("99", row.p99)):
                lines.append(f'router_ms{{{labels},quantile="0.{name}"}} {value / 1000:g}')
        return ("\n".join(lines) + "\n").encode()

    def _fold(self) -> Histograms:
        """Put what was kept into histograms."""
        from yokedock.base.histograms import Histograms, Measure

        if self._histograms is None:
            self._histograms = Histograms()
        for route, measure, seconds in self._kept:
            self._histograms.record(route, measure, Measure.FIRST_TOKEN_US, seconds * 1e6)
        self._kept.clear()
        return self._histograms
