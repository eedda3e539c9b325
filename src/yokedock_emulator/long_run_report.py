"""What a long run has seen: its samples, and how they are printed."""

from __future__ import annotations

import msgspec


class LongRunSample(msgspec.Struct, frozen=True):
    """What was seen at one moment. ``tables`` holds the router's own counts of what it keeps."""

    at_s: float
    """Seconds since the beginning."""
    requests: int
    resident_mb: float
    descriptors: int
    processor_us_a_request: float
    median_ms: float
    tables: dict[str, float]


class LongRunReport(msgspec.Struct, frozen=True):
    """The whole run."""

    answers: dict[str, int]
    """Answers by kind and status."""
    unexpected: list[str]
    """The first answers that were not as they should be."""
    metrics_pages: int
    failed_metrics_pages: int
    samples: list[LongRunSample]


TABLES = ("backends", "pace", "promises", "resting_connections", "retry_times", "histograms")
"""The tables that are printed; the report has all."""


def print_report(report: LongRunReport) -> None:
    """Print the answers and one line a sample."""
    print(f"answers: {report.answers}")
    print(f"not as they should be: {report.unexpected or 'none'}")
    print(f"metrics pages: {report.metrics_pages}, failed {report.failed_metrics_pages}")
    header = ("s", "requests", "MB", "descriptors", "us/request", "median ms", *TABLES)
    print("  ".join(f"{name:>12}" for name in header))
    for sample in report.samples:
        sizes = [sample.tables.get(f"router_table_{name}", 0.0) for name in TABLES]
        row = (
            sample.at_s,
            sample.requests,
            sample.resident_mb,
            sample.descriptors,
            sample.processor_us_a_request,
            sample.median_ms,
            *sizes,
        )
        print("  ".join(f"{value:>12g}" for value in row))
