"""A whole day, compressed: load rises and falls and the mix of classes shifts, and roles follow.

Three ways to give engines their roles share everything else: ``fixed`` (the morning's split, all
day), ``ladder`` (some engines flexible, the product's way) and ``schedule`` (an operator who knows
the day beforehand rolls a bundle with the best split at fixed times).
"""

from __future__ import annotations

import dataclasses
import tempfile
import threading
from pathlib import Path

import msgspec
import urllib3

from yokedock.base.clock import boot_time_s
from yokedock.process.admin_http import ProcessStatus
from yokedock.process.tables import format_table
from yokedock_emulator.bench_deployment import BenchDeployment
from yokedock_emulator.experiment import FIRST_PORT, MODEL, ExperimentInvalid, bench_plan
from yokedock_emulator.experiment import prefill_work as read_prefill_work
from yokedock_emulator.open_loop import OpenLoop, RequestResult
from yokedock_emulator.workload import USERS, User, best_split, day_schedule, mix_at

WAYS = ("fixed", "ladder", "schedule")
FLEXIBLE = {"jabal-rest": 2, "tinlliw": 4}
"""How many engines of each user may change their role."""
DWELL_S = 5.0
SAMPLE_S = 1.0
BIN_S = 5.0
SCHEDULED_CHANGES = 6


@dataclasses.dataclass(frozen=True)
class DayPlan:
    """One day: ``peak`` is the load at noon, as a share of what the engines carry."""

    user: str
    way: str
    peak: float
    seed: int
    duration_s: float


class RoleSample(msgspec.Struct, frozen=True):
    """How many engines had each role at a moment, seconds after the start."""

    at_s: float
    prefill: int
    decode: int


class DayBin(msgspec.Struct, frozen=True):
    """What happened to the requests that arrived in one slice of the day."""

    at_s: float
    offered_per_s: float
    good_per_s: float
    refused_per_s: float


class DayReport(msgspec.Struct, frozen=True):
    """What one day brought."""

    user: str
    way: str
    peak: float
    seed: int
    offered: int
    good: int
    refused: int
    good_share: float
    wasted_prefill: float
    role_changes: int
    bins: tuple[DayBin, ...]
    roles: tuple[RoleSample, ...]


class RoleSampler(threading.Thread):
    """Reads every agent's role once a second."""

    def __init__(self, bench: BenchDeployment, engines: list[str]) -> None:
        """Sample the agents of ``engines``."""
        super().__init__(name="role sampler", daemon=True)
        self._bench = bench
        self._engines = engines
        self._started_s = boot_time_s()
        self._stopping = threading.Event()
        self._last: dict[str, str] = {}
        self.samples: list[RoleSample] = []
        self.changes = 0

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()
        self.join()

    def run(self) -> None:
        """Sample until stopped."""
        while not self._stopping.wait(SAMPLE_S):
            roles = {name: self._role(name) for name in self._engines}
            self.changes += sum(
                1 for name, role in roles.items() if self._last.get(name, role) != role
            )
            self._last = roles
            found = list(roles.values())
            at_s = boot_time_s() - self._started_s
            sample = RoleSample(round(at_s, 1), found.count("prefill"), found.count("decode"))
            self.samples.append(sample)

    def _role(self, name: str) -> str:
        data = urllib3.request("GET", f"http://{self._bench.admin[name]}/status").data
        return msgspec.json.decode(data, type=ProcessStatus).role


def check_day(plan: DayPlan) -> None:
    """Raise ``ExperimentInvalid`` if no day can be made of the plan."""
    if plan.user not in USERS:
        raise ExperimentInvalid(f"no user {plan.user!r}; choose one of {', '.join(USERS)}")
    if plan.way not in WAYS:
        raise ExperimentInvalid(f"no way {plan.way!r}; choose one of {', '.join(WAYS)}")
    if not 0 < plan.peak <= 5:
        raise ExperimentInvalid("the peak must be above 0 and at most 5; 1 is the capacity")
    if not 10 <= plan.duration_s <= 3600:
        raise ExperimentInvalid("the duration must be from 10 to 3600 s")


def run_day(plan: DayPlan) -> DayReport:
    """Start a deployment in the morning's split, send the day's schedule, and report."""
    check_day(plan)
    user = best_split(USERS[plan.user])
    flexible = FLEXIBLE[plan.user] if plan.way == "ladder" else 0
    arrivals = day_schedule(user, plan.peak, plan.duration_s, plan.seed)
    with tempfile.TemporaryDirectory(prefix="yokedock-day-") as directory:
        setup = bench_plan(user, "corrected_load", flexible, DWELL_S)
        bench = BenchDeployment(setup, Path(directory), FIRST_PORT)
        sampler = RoleSampler(bench, [engine.name for engine in setup.engines])
        sampler.start()
        timers = _scheduled_changes(plan, user, bench) if plan.way == "schedule" else []
        try:
            name = f"day of {plan.user}, {plan.way}, seed {plan.seed}"
            loop = OpenLoop(bench.gateways, MODEL, lambda text: print(f"{name}: {text}"))
            results = loop.run(arrivals)
            computed, wasted = read_prefill_work(bench)
        finally:
            for timer in timers:
                timer.cancel()
            sampler.stop()
            bench.close()
    return _report(plan, results, sampler, wasted / max(1, computed))


def _scheduled_changes(plan: DayPlan, user: User, bench: BenchDeployment) -> list[threading.Timer]:
    """Roll a bundle with the split that is best for the coming part of the day, several times."""
    timers = []
    for number in range(1, SCHEDULED_CHANGES):
        moment = number / SCHEDULED_CHANGES
        split = best_split(mix_at(user, moment + 0.5 / SCHEDULED_CHANGES))
        roles = {
            f"engine-{n}": "prefill" if n < split.prefill_engines else "decode"
            for n in range(split.prefill_engines + split.decode_engines)
        }
        timer = threading.Timer(moment * plan.duration_s, bench.publish, [roles])
        timer.daemon = True
        timer.start()
        timers.append(timer)
    return timers


def _report(
    plan: DayPlan, results: list[RequestResult], sampler: RoleSampler, wasted: float
) -> DayReport:
    good = sum(result.is_good() for result in results)
    refused = sum(result.is_refused for result in results)
    return DayReport(
        plan.user,
        plan.way,
        plan.peak,
        plan.seed,
        len(results),
        good,
        refused,
        round(good / max(1, len(results)), 3),
        round(wasted, 4),
        sampler.changes,
        _bins(plan, results),
        tuple(sampler.samples),
    )


def _bins(plan: DayPlan, results: list[RequestResult]) -> tuple[DayBin, ...]:
    bins = []
    for number in range(int(plan.duration_s / BIN_S)):
        begin_s = number * BIN_S
        own = [r for r in results if begin_s <= r.arrival.at_s < begin_s + BIN_S]
        bins.append(
            DayBin(
                begin_s,
                len(own) / BIN_S,
                sum(r.is_good() for r in own) / BIN_S,
                sum(r.is_refused for r in own) / BIN_S,
            )
        )
    return tuple(bins)


def run_days(plans: list[DayPlan], out: Path) -> None:
    """Run all plans; print a table, and write the reports and a plot of each user's day."""
    reports = []
    for position, plan in enumerate(plans, 1):
        print(f"day {position} of {len(plans)}", flush=True)
        reports.append(run_day(plan))
    header = ("user", "roles", "peak", "seed", "offered", "good", "refused", "good share")
    rows = [
        (
            *(r.user, r.way, r.peak, r.seed, r.offered, r.good, r.refused, r.good_share),
            *(r.wasted_prefill, r.role_changes),
        )
        for r in reports
    ]
    print(format_table((*header, "wasted", "role changes"), rows))
    out.mkdir(parents=True, exist_ok=True)
    (out / "day.json").write_bytes(msgspec.json.format(msgspec.json.encode(reports)))
    _plot(reports, out)


def _plot(reports: list[DayReport], out: Path) -> None:
    """Draw load, goodput and roles over the day: a picture for each user, a column a way."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    first_seed = min(report.seed for report in reports)
    for user in sorted({report.user for report in reports}):
        own = [r for r in reports if r.user == user and r.seed == first_seed]
        figure, axes = pyplot.subplots(
            2, len(own), figsize=(5 * len(own), 6), sharex=True, sharey="row", squeeze=False
        )
        for column, report in enumerate(own):
            times = [each.at_s for each in report.bins]
            load, roles = axes[0][column], axes[1][column]
            load.step(times, [each.offered_per_s for each in report.bins], label="offered")
            load.step(times, [each.good_per_s for each in report.bins], label="within targets")
            load.step(times, [each.refused_per_s for each in report.bins], label="refused")
            load.set_title(f"{user}, {report.way}: {report.good_share:.3f} within targets")
            load.set_ylabel("requests/s")
            load.legend()
            moments = [each.at_s for each in report.roles]
            roles.step(moments, [each.prefill for each in report.roles], label="prefill")
            roles.step(moments, [each.decode for each in report.roles], label="decode")
            roles.set_ylabel("engines")
            roles.set_xlabel("s of the compressed day")
            roles.legend()
        figure.tight_layout()
        figure.savefig(out / f"day-{user}.png", dpi=80)
        pyplot.close(figure)
