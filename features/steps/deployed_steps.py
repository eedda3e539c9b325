import asyncio
import importlib.util
import os
import select
import shutil
import tempfile
from pathlib import Path

from behave import given, then, when

from yokedock_emulator.deployed_router import DeployedRouter
from yokedock_emulator.long_run import LongRun, LongRunPlan

ROOT = Path(__file__).resolve().parents[2]
LOGS = ROOT / "build" / "test-logs"
ROUTES = 100
MOST = {
    "router_table_backends": 8 + 60,
    "router_table_histograms": 1003,
    "router_table_outcome_routes": 1003,
    "router_table_pace": 2 * (8 + 60),
    "router_table_resting_connections": 400,
    "router_table_cache_lists": 8 + 60,
    "router_table_routers": 1,
    "router_table_votes": 1,
    "router_table_promises": 3 * 24,
    "router_table_tasks": 10 * 24,
}
"""Most that each table may hold: 8 backends and 24 callers at a time, a backend replaced every half
second and kept for ten, routes told apart up to a thousand."""


@given("the router built by the deploy file's own build line")
def build(context):
    context.folder = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, context.folder, ignore_errors=True)
    context.router = DeployedRouter(ROOT, context.folder)
    context.router.build()


@given("its log goes to a pipe that nobody reads")
def unread_pipe(context):
    context.reading, context.output = os.pipe()
    context.add_cleanup(os.close, context.reading)
    context.add_cleanup(os.close, context.output)


@when("callers send {count:d} requests while backends and routes come and go")
def long_run(context, count):
    plan = LongRunPlan(requests=count, duration_s=600.0, routes=ROUTES, sample_s=2.0)
    LOGS.mkdir(parents=True, exist_ok=True)
    with (LOGS / f"long-run-{count}-router.log").open("wb") as file:
        output = getattr(context, "output", file.fileno())
        run = LongRun(plan, context.router, output)
        context.report = asyncio.run(run.run())


@then("the pipe is full")
def pipe_is_full(context):
    poll = select.poll()
    poll.register(context.output, select.POLLOUT)
    assert poll.poll(0) == [], "the router has written less than a pipe takes"


@then("every answer was as it should be")
def as_it_should_be(context):
    print(context.report.answers)
    assert not context.report.unexpected, context.report.unexpected
    kinds = {name.split(" ")[0] for name in context.report.answers}
    assert kinds == {"once", "repeat", "chat", "idle", "unknown"}, kinds


@then("every metrics page could be read")
def pages(context):
    assert context.report.metrics_pages >= 3
    assert context.report.failed_metrics_pages == 0


@then("nothing that the router keeps grew with the length of the run")
def flat(context):
    for sample in context.report.samples:
        for name, most in MOST.items():
            assert sample.tables[name] <= most, (name, sample.tables[name], most)
        assert sample.tables["router_values_dropped"] == 0
    last = context.report.samples[-1].tables
    assert last["router_active"] == 0 and last["router_table_promises"] == 0, last


@given('a copy of the sources in which a function of the metrics imports "{library}"')
def copy_sources(context, library):
    context.copy = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, context.copy, ignore_errors=True)
    for name in ("src", "deploy"):
        shutil.copytree(ROOT / name, context.copy / name)
    shutil.copy(ROOT / "requirements.lock", context.copy)
    module = context.copy / "src/yokedock/process/router_metrics.py"
    module.write_text(module.read_text() + f"\ndef later():\n    import {library}\n")


def check_of_the_deployment(root):
    spec = importlib.util.spec_from_file_location("check", ROOT / "tools/check_deployment.py")
    check = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(check)
    return check.problems(root)


@then('the check of the deployment names "{library}"')
def names_library(context, library):
    found = check_of_the_deployment(context.copy)
    assert len(found) == 1 and f"imports {library};" in found[0], found


@then("the check of the deployment has nothing to say of the sources themselves")
def says_nothing(context):
    assert check_of_the_deployment(ROOT) == []
