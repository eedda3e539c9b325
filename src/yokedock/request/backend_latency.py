"""Latency of one backend as measured by this router: for time limits, and for the choice.

Time limits go by all responses, since some requests take long. The choice of a backend ignores a
single late response, since any process may stand still for a moment.
"""

from __future__ import annotations

import msgspec

EWMA_WEIGHT = 0.2
HALF_LIFE_S = 6.0
"""Half-life of a measured latency without new responses."""
FILTER_LENGTH = 3
"""Length of the median filter in front of the usual latency."""


class BackendLatency(msgspec.Struct):
    """Moving averages of the latencies of responses without failures. Times are boot times (s)."""

    mean_s: float | None = None
    """Average of all latencies, None without a response."""
    usual_s: float | None = None
    """Average of the median-filtered latencies, None without a response."""
    noted_s: float = 0.0
    """When the latest response arrived."""
    latest_s: tuple[float, ...] = ()
    """The latest latencies, at most ``FILTER_LENGTH``."""

    def note(self, latency_s: float, now_s: float) -> None:
        """Add the latency of a response that arrived at ``now_s``."""
        before_s = self.mean_s if self.mean_s is not None else latency_s
        self.mean_s = before_s + EWMA_WEIGHT * (latency_s - before_s)
        self._note_usual(latency_s, now_s)
        self.noted_s = now_s

    def _note_usual(self, latency_s: float, now_s: float) -> None:
        """Add a latency to the usual one, in which earlier ones count less the older they are."""
        self.latest_s = (*self.latest_s, latency_s)[-FILTER_LENGTH:]
        filtered_s = lower_median(self.latest_s)
        if self.usual_s is None or len(self.latest_s) < FILTER_LENGTH:
            self.usual_s = filtered_s
            return
        earlier = (1.0 - EWMA_WEIGHT) * self._trust(now_s)
        self.usual_s = filtered_s + earlier * (self.usual_s - filtered_s)

    def expected_mean_s(self, now_s: float, typical_s: float) -> float:
        """Return the mean latency, decayed to that which is typical of the service."""
        return self._decayed(self.mean_s, now_s, typical_s)

    def expected_usual_s(self, now_s: float, typical_s: float) -> float:
        """Return the usual latency, decayed to that which is typical of the service.

        A single response does not show whether the backend is slow or was late once.
        """
        is_known = len(self.latest_s) != 1
        return self._decayed(self.usual_s if is_known else None, now_s, typical_s)

    def _decayed(self, measured_s: float | None, now_s: float, typical_s: float) -> float:
        if measured_s is None:
            return typical_s
        return typical_s + (measured_s - typical_s) * self._trust(now_s)

    def _trust(self, now_s: float) -> float:
        """Return the weight (0 to 1) of the measured latencies, which falls with their age."""
        return float(0.5 ** ((now_s - self.noted_s) / HALF_LIFE_S))


def lower_median(values: tuple[float, ...] | list[float]) -> float:
    """Return the median, of an even number of values the lower one; there must be a value."""
    return sorted(values)[(len(values) - 1) // 2]
