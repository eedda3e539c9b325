"""HdrHistograms per tenant and request class, which can be merged across nodes."""

from __future__ import annotations

import enum
import threading

import msgspec
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)


class Measure(enum.StrEnum):
    """The measured quantity. Times are in microseconds, prefill work in tokens."""

    FIRST_TOKEN_US = "first_token_us"
    BETWEEN_TOKENS_US = "between_tokens_us"
    REFUSAL_US = "refusal_us"
    WASTED_PREFILL_TOKENS = "wasted_prefill_tokens"
    PREFILL_TOKENS = "prefill_tokens"


class HistogramKey(msgspec.Struct, frozen=True):
    """Identifies a histogram: one measure of one tenant and request class."""

    tenant: str
    request_class: str
    measure: Measure


class EncodedHistogram(msgspec.Struct, frozen=True):
    """A histogram in HdrHistogram's compressed base64 encoding."""

    key: HistogramKey
    encoded: str


class HistogramRow(msgspec.Struct, frozen=True):
    """Summary statistics of one histogram."""

    tenant: str
    request_class: str
    measure: Measure
    count: int
    p50: float
    p95: float
    p99: float
    highest: float
    total: float


class Histograms:
    """All histograms of a process; thread-safe."""

    def __init__(self) -> None:
        """Create an empty collection; recording the first value creates a histogram."""
        self._lock = threading.Lock()
        self._histograms: dict[HistogramKey, HdrHistogram] = {}

    def record(self, tenant: str, request_class: str, measure: Measure, value: float) -> None:
        """Record a value."""
        self.record_many(tenant, request_class, measure, value, 1)

    def record_many(
        self, tenant: str, request_class: str, measure: Measure, value: float, count: int
    ) -> None:
        """Record a value ``count`` times."""
        key = HistogramKey(tenant, request_class, measure)
        with self._lock:
            histogram = self._histograms.get(key)
            if histogram is None:
                histogram = _new_histogram()
                self._histograms[key] = histogram
            histogram.record_value(min(max(int(value), LOWEST_US), HIGHEST_US), count)

    def encode(self) -> list[EncodedHistogram]:
        """Return all histograms, encoded for merging in another process."""
        with self._lock:
            return [
                EncodedHistogram(key, histogram.encode().decode())
                for key, histogram in self._histograms.items()
            ]

    def merge(self, encoded: list[EncodedHistogram]) -> None:
        """Add the histograms of another process."""
        with self._lock:
            for item in encoded:
                histogram = self._histograms.setdefault(item.key, _new_histogram())
                histogram.decode_and_add(item.encoded)

    def rows(self) -> list[HistogramRow]:
        """Return the summaries, sorted by tenant, class and measure."""
        with self._lock:
            rows = [_summarize(key, histogram) for key, histogram in self._histograms.items()]
        return sorted(rows, key=lambda row: (row.tenant, row.request_class, row.measure))


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def _summarize(key: HistogramKey, histogram: HdrHistogram) -> HistogramRow:
    p50, p95, p99 = (float(histogram.get_value_at_percentile(p)) for p in PERCENTILES)
    count = histogram.get_total_count()
    return HistogramRow(
        key.tenant,
        key.request_class,
        key.measure,
        count,
        p50,
        p95,
        p99,
        float(histogram.get_max_value()),
        float(histogram.get_mean_value()) * count,
    )
