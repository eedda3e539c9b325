"""HdrHistograms for each tenant and class, which can be merged over nodes."""

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
    """What is measured. Times are in microseconds, prefill work in tokens."""

    FIRST_TOKEN_US = "first_token_us"
    BETWEEN_TOKENS_US = "between_tokens_us"
    REFUSAL_US = "refusal_us"
    WASTED_PREFILL_TOKENS = "wasted_prefill_tokens"
    PREFILL_TOKENS = "prefill_tokens"


class HistogramKey(msgspec.Struct, frozen=True):
    """Which histogram: a measure of one tenant and class."""

    tenant: str
    request_class: str
    measure: Measure


class EncodedHistogram(msgspec.Struct, frozen=True):
    """A histogram in HdrHistogram's own compressed base64 form."""

    key: HistogramKey
    encoded: str


class HistogramRow(msgspec.Struct, frozen=True):
    """The summary of one histogram."""

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
    """All histograms of a process. Safe for use by several threads."""

    def __init__(self) -> None:
        """Start with no histogram: each is made on its first value."""
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
        """Return all histograms in a form that can be merged elsewhere."""
        with self._lock:
            return [
                EncodedHistogram(key, histogram.encode().decode())
                for key, histogram in self._histograms.items()
            ]

    def merge(self, encoded: list[EncodedHistogram]) -> None:
        """Add histograms of another process."""
        with self._lock:
            for item in encoded:
                histogram = self._histograms.setdefault(item.key, _new_histogram())
                histogram.decode_and_add(item.encoded)

    def rows(self) -> list[HistogramRow]:
        """Return summaries, in order of tenant, class and measure."""
        with self._lock:
            rows = [_row(key, histogram) for key, histogram in self._histograms.items()]
        return sorted(rows, key=lambda row: (row.tenant, row.request_class, row.measure))


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def _row(key: HistogramKey, histogram: HdrHistogram) -> HistogramRow:
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
