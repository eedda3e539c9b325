"""The command line of the emulator: stand-ins, load and experiments."""

from __future__ import annotations

from pathlib import Path

import cyclopts
import msgspec

from yokedock.base.logs import set_up_logs
from yokedock.process.bundle_files import read_signed
from yokedock.process.cli import run_app
from yokedock.process.exit import exit_now
from yokedock.process.stop_signals import StopSignals

app = cyclopts.App(name="yokedock-emulator", help="Stand-ins, load and experiments.")
REREAD_S = 0.5


def _report(name: str, url: str) -> StopSignals:
    """Print where a stand-in listens; return the signals that end it."""
    signals = StopSignals()
    print(f"{name} at {url}", flush=True)
    return signals


def _serve(name: str, url: str) -> None:
    """Print where a stand-in listens, and return on SIGTERM or SIGINT."""
    _report(name, url).wait_for_stop()


@app.command
def engine(
    *,
    listen: str = "127.0.0.1:0",
    role: str = "decode",
    slots: int = 32,
    step_base_ms: float = 15.0,
    step_per_stream_ms: float = 0.2,
    prefill_tokens_per_s: float = 8000.0,
    kept_ms: int = 3000,
    link_bytes_per_s: float = 2e9,
    checks_fencing: bool = True,
    clock_tokens: bool = False,
) -> None:
    """Run a model engine."""
    from yokedock_emulator.engine_state import EngineProfile
    from yokedock_emulator.model_engine_http import ModelEngineServer

    set_up_logs("warning")
    profile = EngineProfile(
        role=role,
        slots=slots,
        step_base_ms=step_base_ms,
        step_per_stream_ms=step_per_stream_ms,
        prefill_tokens_per_s=prefill_tokens_per_s,
        kept_ms=kept_ms,
        link_bytes_per_s=link_bytes_per_s,
        checks_fencing=checks_fencing,
        clock_tokens=clock_tokens,
    )
    _serve("engine", ModelEngineServer(profile, listen).url)


@app.command
def service(*, listen: str = "127.0.0.1:0", duration_ms: float = 5.0) -> None:
    """Run a plain service."""
    from yokedock_emulator.plain_service import PlainService

    set_up_logs("warning")
    _serve("service", PlainService(listen, duration_ms).url)


@app.command
def platform(*, listen: str = "127.0.0.1:0", bundle: Path | None = None) -> None:
    """Run the configuration service and the machine list.

    BUNDLE is a directory written by ``yokedock bundle sign``; it is published, and again whenever
    it changes.
    """
    from yokedock_emulator.platform import Platform

    set_up_logs("warning")
    stand_in = Platform(listen)
    signals = _report("platform", stand_in.url)
    if bundle is None:
        signals.wait_for_stop()
        return
    published = b""
    while signals.wait(REREAD_S if published else 0) is None:
        signed = read_signed(bundle)
        if signed.envelope != published:
            stand_in.publish_bundle(signed)
            published = signed.envelope


@app.command
def stream_load(
    address: str,
    *,
    streams: int,
    token: str,
    model: str,
    max_tokens: int = 4096,
    opening_s: float = 4.0,
    settle_s: float = 2.0,
    window_s: float = 6.0,
) -> None:
    """Open many streams at a gateway (ADDRESS) and report the age of tokens as JSON."""
    from yokedock_emulator.stream_load import StreamLoad

    load = StreamLoad(address, token, model, max_tokens)
    report = load.run(streams, opening_s, settle_s, window_s)
    load.close()
    print(msgspec.json.encode(report).decode())


@app.command(name="path-cost")
def path_cost(*, streams: str = "50,100,200,300,400,500", out: Path | None = None) -> None:
    """Measure what one gateway costs, over several numbers of STREAMS."""
    from yokedock_emulator.path_cost import measure_path_cost

    measure_path_cost([int(count) for count in streams.split(",")], out)


@app.command
def slopes(*, names: str = "", out: Path | None = None) -> None:
    """Measure the slopes on which docs/CAPACITY.md is built; all of them if none is named."""
    from yokedock_emulator.slopes import MEASUREMENTS, measure_slopes

    measure_slopes(names.split(",") if names else list(MEASUREMENTS), out)
    exit_now(0)


@app.command
def experiment(
    *,
    users: str = "jabal-rest,tinlliw",
    policies: str = "corrected_load,least_loaded,round_robin",
    loads: str = "0.7,1.0,1.3",
    seeds: str = "1",
    duration_s: float = 30.0,
    kept_ms: int = 3000,
    kills_engine: bool = False,
    returns: bool = False,
    out: Path | None = None,
) -> None:
    """Run policies side by side for both users and report goodput and wasted prefill.

    KEPT_MS is how long engines keep a prefill; KILLS_ENGINE kills a decode engine at half time;
    with RETURNS, refused callers come back once, when they were told to.
    """
    from yokedock_emulator.experiment import ExperimentPlan, check_plan
    from yokedock_emulator.experiment_suite import run_suite

    plans = [
        ExperimentPlan(
            *(user, policy, number(load, "loads"), int(number(seed, "seeds")), duration_s),
            *(kept_ms, kills_engine, returns),
        )
        for user in users.split(",")
        for load in loads.split(",")
        for seed in seeds.split(",")
        for policy in policies.split(",")
    ]
    for plan in plans:
        check_plan(plan)
    run_suite(plans, out)


@app.command
def day(
    *,
    users: str = "jabal-rest,tinlliw",
    ways: str = "fixed,ladder,schedule",
    peak: float = 0.9,
    seeds: str = "1",
    duration_s: float = 120.0,
    out: Path = Path("bench-results"),
) -> None:
    """Run a compressed day with each way of giving engines their roles; plots go to OUT."""
    from yokedock_emulator.day import DayPlan, check_day, run_days

    plans = [
        DayPlan(user, way, peak, int(number(seed, "seeds")), duration_s)
        for user in users.split(",")
        for seed in seeds.split(",")
        for way in ways.split(",")
    ]
    for plan in plans:
        check_day(plan)
    run_days(plans, out)


def number(text: str, option: str) -> float:
    """Return a number of a list option; raises ``ExperimentInvalid``."""
    from yokedock_emulator.experiment import ExperimentInvalid

    try:
        return float(text)
    except ValueError:
        raise ExperimentInvalid(f"--{option} has {text!r}; write numbers by commas") from None


@app.command(name="long-run")
def long_run(
    *,
    requests: int = 1_000_000,
    duration_s: float = 600.0,
    routes: int = 200,
    callers: int = 24,
    sample_s: float = 10.0,
    seed: int = 1,
    log: Path = Path("bench-results/long-run.log"),
    out: Path = Path("bench-results/long-run.json"),
) -> None:
    """Run one router as the deploy file builds it, until REQUESTS were sent or DURATION_S is over.

    Backends are replaced, routes renamed, callers come and go; prints what it holds, by sample.
    Run in the root of the repository. The router's log goes to LOG, the report as JSON to OUT.
    """
    from yokedock_emulator.long_run import LongRunPlan, run_long
    from yokedock_emulator.long_run_report import print_report

    log.parent.mkdir(parents=True, exist_ok=True)
    plan = LongRunPlan(
        requests=requests,
        duration_s=duration_s,
        routes=routes,
        callers=callers,
        sample_s=sample_s,
        seed=seed,
    )
    report = run_long(plan, Path.cwd(), log)
    out.write_bytes(msgspec.json.encode(report))
    print_report(report)


@app.command(name="router-soak")
def router_soak(
    *,
    seed: int = 1,
    seconds: float = 20.0,
    seeds: int = 1,
    two_versions: bool = False,
    crashing_parts: bool = False,
    stops_in_turn: bool = False,
    silent_moments: bool = False,
    endless_bytes: bool = False,
    uneven_balancing: bool = False,
    all_routers_killed: bool = False,
    version_rollouts: bool = False,
    out: Path = Path("build/test-logs"),
) -> None:
    """Soak four routers in faults for SECONDS, with SEEDS seeds one after another from SEED.

    Run in the root of the repository. Ends with status 1 if a rule was broken; the schedule, the
    stories and the logs are then kept in OUT. With TWO_VERSIONS, decode engines of two software
    versions serve side by side; with CRASHING_PARTS, parts of some prompts crash engines; with
    STOPS_IN_TURN, routers are stopped in series, and get new connections until they exit; with
    SILENT_MOMENTS, sound backends send nothing for a moment and then go on; with ENDLESS_BYTES,
    backends answer some requests with bytes that never end; with UNEVEN_BALANCING, most new
    connections come to one router for some seconds (links are not narrow); with
    ALL_ROUTERS_KILLED, all routers are killed at the same moment, some times; with
    VERSION_ROLLOUTS, engines of new software versions join while one router is frozen.
    """
    from yokedock_emulator.router_soak.router_soak import run_soaks
    from yokedock_emulator.router_soak.soak_plan import SoakOptions

    options = SoakOptions(
        two_versions,
        crashing_parts,
        stops_in_turn,
        silent_moments,
        endless_bytes,
        uneven_balancing,
        all_routers_killed,
        version_rollouts,
    )
    reports = run_soaks(range(seed, seed + seeds), seconds, Path.cwd(), out, options)
    broken = [report.seed for report in reports if report.violations]
    print(f"{len(reports) - len(broken)} passed, {len(broken)} failed {broken}")
    raise SystemExit(1 if broken else 0)


@app.command
def simulate(
    *,
    seed: int = 1,
    seconds: float = 20.0,
    seeds: int = 1,
    two_versions: bool = False,
    crashing_parts: bool = False,
    stops_in_turn: bool = False,
    silent_moments: bool = False,
    endless_bytes: bool = False,
    uneven_balancing: bool = False,
    all_routers_killed: bool = False,
    version_rollouts: bool = False,
    out: Path = Path("build/test-logs"),
) -> None:
    """Soak four routers for SECONDS in simulated time, with SEEDS seeds one after another.

    The same seed gives the same history and digest, regardless of the machine and its load. Ends
    with status 1 if a rule was broken; the schedule, the stories and the logs are then kept in OUT.
    With TWO_VERSIONS, decode engines of two software versions serve side by side; with
    CRASHING_PARTS, parts of some prompts crash engines; with STOPS_IN_TURN, routers are stopped in
    series, and get new connections until they exit; with SILENT_MOMENTS, sound backends send
    nothing for a moment and then go on; with ENDLESS_BYTES, backends answer some requests with
    bytes that never end; with UNEVEN_BALANCING, most new connections come to one router for some
    seconds, and links are narrow; with ALL_ROUTERS_KILLED, all routers are killed at the same
    moment, some times; with VERSION_ROLLOUTS, engines of new software versions join while one
    router is frozen or cut off.
    """
    from yokedock_emulator.router_soak.soak_plan import SoakOptions
    from yokedock_emulator.simulation.simulate import ensure_fixed_hash_seed, simulate_soak

    ensure_fixed_hash_seed()
    options = SoakOptions(
        two_versions,
        crashing_parts,
        stops_in_turn,
        silent_moments,
        endless_bytes,
        uneven_balancing,
        all_routers_killed,
        version_rollouts,
    )
    results = [simulate_soak(each, seconds, out, options) for each in range(seed, seed + seeds)]
    broken = [result.report.seed for result in results if result.report.violations]
    print(f"{len(results) - len(broken)} passed, {len(broken)} failed {broken}")
    raise SystemExit(1 if broken else 0)


@app.command(name="decision-cost")
def decision_cost(*, out: Path | None = None) -> None:
    """Print what one decision of a router costs in ms of a core, by the size of the fleet.

    No network is used. The figures go to OUT as JSON too.
    """
    from yokedock_emulator.decision_cost import SHAPES, measure, print_costs

    costs = [measure(shape) for shape in SHAPES]
    if out is not None:
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_bytes(msgspec.json.encode(costs))
    print_costs(costs)


@app.command(name="hollow-agents")
def hollow_agents(*, count: int) -> None:
    """Run COUNT agents without back ends in one process, and print their addresses."""
    from yokedock_emulator.hollow import run_hollow_agents

    run_hollow_agents(count)


@app.command(name="link-churn")
def link_churn(*, peers: int = 100, rounds: int = 5) -> None:
    """Connect to PEERS hollow agents and leave them in mid-traffic, ROUNDS times."""
    from yokedock_emulator.hollow import run_link_churn

    run_link_churn(peers, rounds)


@app.command(name="hollow-gateways")
def hollow_gateways(address: str, *, count: int, heartbeat_ms: int = 1000) -> None:
    """Run the links of COUNT gateways to one agent (ADDRESS) in one process."""
    from yokedock_emulator.hollow import run_hollow_gateways

    run_hollow_gateways(address, count, heartbeat_ms)


def main() -> None:
    """Entry point of ``yokedock-emulator``."""
    run_app(app)
