"""Runs experiments one after the other and sets the product's policy against the baseline."""

from __future__ import annotations

from pathlib import Path

import msgspec

from yokedock_emulator.experiment import (
    ExperimentPlan,
    ExperimentReport,
    print_reports,
    run_experiment,
)

PRODUCT, BASELINE = "corrected_load", "least_loaded"


class Comparison(msgspec.Struct, frozen=True):
    """The product against the baseline for one user and load, over all seeds."""

    user: str
    load: float
    seeds: int
    goodput_vs_least_loaded: float
    goodput_vs_bound: float
    wasted_prefill: float
    wasted_prefill_least_loaded: float


def run_suite(plans: list[ExperimentPlan], out: Path | None) -> list[ExperimentReport]:
    """Run all plans; print a table and, where both policies ran, a JSON line of comparisons."""
    reports = []
    for position, plan in enumerate(plans, 1):
        print(f"run {position} of {len(plans)}", flush=True)
        report = run_experiment(plan)
        reports.append(report)
        print(f"goodput over the bound: {report.goodput_vs_bound}", flush=True)
        _write(reports, out)
    print_reports(reports)
    for comparison in compare(reports):
        print(msgspec.json.encode(comparison).decode())
    return reports


def _write(reports: list[ExperimentReport], out: Path | None) -> None:
    """Write what there is after every run, so that a long suite may be cut off."""
    if out is not None:
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_bytes(msgspec.json.format(msgspec.json.encode(reports)))


def compare(reports: list[ExperimentReport]) -> list[Comparison]:
    """Return one comparison for each user and load at which both policies ran."""
    comparisons = []
    for user, load in sorted({(r.user, r.load) for r in reports}):
        own = [r for r in reports if (r.user, r.load, r.policy) == (user, load, PRODUCT)]
        base = [r for r in reports if (r.user, r.load, r.policy) == (user, load, BASELINE)]
        if own and base:
            comparisons.append(
                Comparison(
                    user,
                    load,
                    len(own),
                    round(
                        _mean(own, "goodput_per_s") / max(0.001, _mean(base, "goodput_per_s")), 3
                    ),
                    round(_mean(own, "goodput_vs_bound"), 3),
                    round(_mean(own, "wasted_prefill"), 4),
                    round(_mean(base, "wasted_prefill"), 4),
                )
            )
    return comparisons


def _mean(reports: list[ExperimentReport], field: str) -> float:
    return sum(float(getattr(report, field)) for report in reports) / len(reports)
