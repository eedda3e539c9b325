"""Runs the real gateways and agents against emulated engines, and reports goodput and waste."""

from __future__ import annotations

import dataclasses
import tempfile
import threading
from pathlib import Path

import msgspec
import urllib3

from yokedock.errors import YokedockError
from yokedock.process.tables import format_table
from yokedock_emulator.bench_deployment import BenchDeployment, BenchEngine, BenchPlan, IniSections
from yokedock_emulator.ledgers import EngineLedger
from yokedock_emulator.open_loop import OpenLoop, RequestResult
from yokedock_emulator.workload import (
    KV_BYTES_PER_TOKEN,
    LINK_BYTES_PER_S,
    PREFILL_TOKENS_PER_S,
    SLOTS,
    STEP_BASE_MS,
    STEP_PER_STREAM_MS,
    USERS,
    TrafficClass,
    User,
    fluid_limit,
    schedule,
)

MODEL = "model"
FIRST_PORT = 23000
WARM_UP_S = 4.0
POLICIES: dict[str, dict[str, str]] = {
    "corrected_load": {},
    "least_loaded": {"policy": "least_loaded"},
    "round_robin": {"policy": "round_robin"},
    "no_reserve": {"reserve": "no"},
    "no_prefix": {"prefix_affinity": "no"},
    "no_correction": {"correct_load": "no"},
}
"""The [placement] settings of each policy; the last three switch one mechanism off."""


class ExperimentInvalid(YokedockError):
    """The experiment's settings are wrong; the message names the remedy."""

    code = "experiment_invalid"


@dataclasses.dataclass(frozen=True)
class ExperimentPlan:
    """One run.

    ``kept_ms``: how long engines keep a prefill. ``kills_engine``: a decode engine is killed at
    half time and stays down. ``returns``: a refused caller comes back once, when it was told to.
    """

    user: str
    policy: str
    load: float
    seed: int
    duration_s: float
    kept_ms: int = 3000
    kills_engine: bool = False
    returns: bool = False


class ClassReport(msgspec.Struct, frozen=True):
    """What one class got. Times in ms; refusals by how fast they were given."""

    name: str
    sent: int
    good: int
    whole: int
    refused: int
    failed: int
    first_token_p50_ms: float
    first_token_p95_ms: float
    between_tokens_p95_ms: float
    refusal_p99_ms: float
    without_retry_after: int


class ExperimentReport(msgspec.Struct, frozen=True):
    """What one run brought. Goodput is requests a second that met both targets."""

    user: str
    policy: str
    load: float
    seed: int
    offered_per_s: float
    bound_per_s: float
    goodput_per_s: float
    goodput_vs_bound: float
    wasted_prefill: float
    goodput_vs_bound_left: float
    """After the kill of an engine, over the bound of what is left; 0 where none was killed."""
    returned: int
    returned_whole: int
    classes: tuple[ClassReport, ...]


def check_plan(plan: ExperimentPlan) -> None:
    """Raise ``ExperimentInvalid`` if a run cannot be made of the plan."""
    if plan.user not in USERS:
        raise ExperimentInvalid(f"no user {plan.user!r}; choose one of {', '.join(USERS)}")
    if plan.policy not in POLICIES:
        raise ExperimentInvalid(f"no policy {plan.policy!r}; choose one of {', '.join(POLICIES)}")
    if not 0 < plan.load <= 5:
        raise ExperimentInvalid("the load must be above 0 and at most 5; 1 is the capacity")
    if not WARM_UP_S < plan.duration_s <= 3600:
        raise ExperimentInvalid(f"the duration must be over {WARM_UP_S} s and at most 3600")


def run_experiment(plan: ExperimentPlan) -> ExperimentReport:
    """Start a deployment, send the schedule, and report."""
    check_plan(plan)
    user = USERS[plan.user]
    bound = fluid_limit(user).requests_per_s
    arrivals = schedule(user, plan.load * bound, plan.duration_s, plan.seed)
    with tempfile.TemporaryDirectory(prefix="yokedock-bench-") as directory:
        setup = bench_plan(user, plan.policy, kept_ms=plan.kept_ms)
        bench = BenchDeployment(setup, Path(directory), FIRST_PORT)
        if plan.kills_engine:
            _kill_at(bench, setup.engines[-1].name, plan.duration_s / 2)
        try:
            name = f"{plan.user} {plan.policy} load {plan.load} seed {plan.seed}"
            loop = OpenLoop(
                bench.gateways, MODEL, lambda text: print(f"{name}: {text}"), plan.returns
            )
            results = loop.run(arrivals)
            computed, wasted = prefill_work(bench)
        finally:
            bench.close()
    return _report(plan, user, bound, results, wasted / max(1, computed))


def _kill_at(bench: BenchDeployment, engine: str, after_s: float) -> None:
    """Kill an engine, not its agent, after some time."""
    timer = threading.Timer(after_s, bench.nodes[f"engine-{engine}"].kill)
    timer.daemon = True
    timer.start()


def bench_plan(
    user: User, policy: str, flexible: int = 0, dwell_s: float = 60.0, kept_ms: int = 3000
) -> BenchPlan:
    """Return what to start for a user; ``flexible`` engines may change their role."""
    options = [
        *("--slots", str(SLOTS), "--step-base-ms", str(STEP_BASE_MS)),
        *("--step-per-stream-ms", str(STEP_PER_STREAM_MS)),
        *("--prefill-tokens-per-s", str(PREFILL_TOKENS_PER_S)),
        *("--link-bytes-per-s", str(LINK_BYTES_PER_S), "--kept-ms", str(kept_ms)),
    ]
    backend = {
        "slots": str(SLOTS),
        "link_bytes_per_s": str(LINK_BYTES_PER_S),
        "kept_ms": str(kept_ms),
    }
    roles = ["prefill"] * user.prefill_engines + ["decode"] * user.decode_engines
    first_flexible = user.prefill_engines - (flexible + 1) // 2
    engines = tuple(
        BenchEngine(
            f"engine-{number}",
            user.zones[number % len(user.zones)],
            role,
            tuple(options),
            backend,
            first_flexible <= number < first_flexible + flexible,
        )
        for number, role in enumerate(roles)
    )
    bundle: IniSections = {f"class {c.name}": _class_options(c) for c in user.classes}
    bundle["limits"] = {"role_dwell_s": str(dwell_s)}
    step_ms = STEP_BASE_MS + STEP_PER_STREAM_MS * SLOTS
    model = {
        "prefill_tokens_per_s": str(PREFILL_TOKENS_PER_S),
        "kv_bytes_per_token": str(KV_BYTES_PER_TOKEN),
        "step_ms": str(step_ms),
    }
    gateways = user.zones[:2]
    return BenchPlan(MODEL, model, engines, bundle, gateways, {"placement": POLICIES[policy]})


def _class_options(traffic: TrafficClass) -> dict[str, str]:
    return {
        "priority": str(traffic.priority),
        "first_token_ms": str(traffic.first_token_ms),
        "between_tokens_ms": str(traffic.between_tokens_ms),
    }


def prefill_work(bench: BenchDeployment) -> tuple[int, int]:
    """Return computed and wasted prefill tokens, by the engines' ledgers."""
    computed = wasted = 0
    for name, url in bench.engine_urls.items():
        if not bench.nodes[f"engine-{name}"].is_alive():
            continue
        data = urllib3.request("GET", f"{url}/ledger").data
        ledger = msgspec.json.decode(data, type=EngineLedger)
        computed += ledger.prefill_tokens
        wasted += ledger.wasted_prefill_tokens
    return computed, wasted


def _report(
    plan: ExperimentPlan, user: User, bound: float, results: list[RequestResult], wasted: float
) -> ExperimentReport:
    """Count what arrived after the warm-up; who came back after a refusal counts apart."""
    first_tries = [result for result in results if not result.is_return]
    counted = [result for result in first_tries if result.arrival.at_s >= WARM_UP_S]
    returned = [result for result in results if result.is_return]
    window_s = plan.duration_s - WARM_UP_S
    good = sum(result.is_good() for result in counted)
    offered = len(counted) / window_s
    reachable = min(bound, offered)
    return ExperimentReport(
        plan.user,
        plan.policy,
        plan.load,
        plan.seed,
        round(offered, 3),
        round(bound, 3),
        round(good / window_s, 3),
        round(good / window_s / reachable, 3),
        round(wasted, 4),
        _goodput_vs_bound_left(plan, user, counted) if plan.kills_engine else 0.0,
        len(returned),
        sum(result.is_whole for result in returned),
        tuple(_class_report(c, counted) for c in user.classes),
    )


def _goodput_vs_bound_left(plan: ExperimentPlan, user: User, counted: list[RequestResult]) -> float:
    """Return the goodput of what arrived after the kill, over what the other engines carry."""
    left = fluid_limit(dataclasses.replace(user, decode_engines=user.decode_engines - 1))
    window_s = plan.duration_s / 2
    after = [result for result in counted if result.arrival.at_s >= window_s]
    reachable = min(left.requests_per_s, len(after) / window_s)
    return round(sum(result.is_good() for result in after) / window_s / reachable, 3)


def _class_report(traffic: TrafficClass, results: list[RequestResult]) -> ClassReport:
    own = [result for result in results if result.arrival.traffic.name == traffic.name]
    whole = [result for result in own if result.is_whole]
    refused = [result for result in own if result.is_refused]
    first = [result.first_token_ms for result in whole]
    between = [result.between_tokens_ms for result in whole]
    refusals = [(result.ended_s - result.sent_s) * 1000 for result in refused]
    return ClassReport(
        traffic.name,
        len(own),
        sum(result.is_good() for result in own),
        len(whole),
        len(refused),
        len(own) - len(whole) - len(refused),
        percentile(first, 0.5),
        percentile(first, 0.95),
        percentile(between, 0.95),
        percentile(refusals, 0.99),
        sum(1 for result in refused if not result.retry_after_s),
    )


def percentile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie; 0 for none."""
    if not values:
        return 0.0
    return round(sorted(values)[min(len(values) - 1, int(len(values) * share))], 2)


def print_reports(reports: list[ExperimentReport]) -> None:
    """Print one line a run, and one a class below it."""
    header = (
        *("user", "load", "policy", "class", "sent", "good", "whole", "refused", "failed"),
        *("first p50", "p95 ms", "between p95", "refusal p99", "goodput/bound", "wasted"),
        *("of bound left", "returned", "whole"),
    )
    rows: list[tuple[object, ...]] = []
    for r in reports:
        blank = ("",) * (len(header) - 8)
        totals = (r.goodput_vs_bound, r.wasted_prefill, r.goodput_vs_bound_left)
        rows.append((r.user, r.load, r.policy, *blank, *totals, r.returned, r.returned_whole))
        rows += [
            (
                *("", "", "", c.name, c.sent, c.good, c.whole, c.refused, c.failed),
                *(c.first_token_p50_ms, c.first_token_p95_ms, c.between_tokens_p95_ms),
                *(c.refusal_p99_ms, "", "", "", "", ""),
            )
            for c in r.classes
        ]
    print(format_table(header, rows))
