import asyncio
import atexit
import functools
import tempfile
from pathlib import Path

from behave import given, then, when
from support.soak_histories import HISTORIES, HistoryBuilder

from yokedock_emulator.deployed_router import DeployedRouter
from yokedock_emulator.router_soak.router_soak import run_soak
from yokedock_emulator.router_soak.soak_judge import judge
from yokedock_emulator.router_soak.soak_operator import POOLS, SoakOperator
from yokedock_emulator.router_soak.soak_plan import SoakEvent
from yokedock_emulator.router_soak.soak_records import SoakHistory

ROOT = Path(__file__).resolve().parents[2]
LOGS = ROOT / "build" / "test-logs"


@functools.cache
def built_router():
    """Build once for all seeds of a run."""
    folder = tempfile.TemporaryDirectory()
    atexit.register(folder.cleanup)
    router = DeployedRouter(ROOT, Path(folder.name))
    router.build()
    return router


@given("routers built by the deploy file's own build line")
def build(context):
    context.router = built_router()


@when("four of them are soaked for {seconds:d} seconds with the seed {seed:d}")
def soak(context, seconds, seed):
    context.report = run_soak(seed, float(seconds), context.router, LOGS)


@then("clients and backends have seen no rule broken")
def no_rule_broken(context):
    assert not context.report.violations, context.report.violations
    answered = sum(n for name, n in context.report.answers.items() if name.endswith("200"))
    assert answered > context.report.requests / 2, context.report.answers


@then("routers were stopped, frozen and told of new configurations meanwhile")
def was_struck(context):
    events = context.report.events
    assert {"terminate", "freeze", "configuration"} <= events.keys(), events


@given("an empty soak history")
def empty_history(context):
    context.history = SoakHistory()


@when("a backend is drained and ends by itself while its replacement starts")
def drain_and_crash(context):
    async def drain_during_crash():
        operator = SoakOperator(context.history)
        await operator.start()
        try:
            backend = operator.serving[0]
            drain = asyncio.create_task(operator.strike(SoakEvent(0.0, "drain")))
            await asyncio.sleep(0)
            backend.kill()
            backend.on_crash(backend)
            context.drained = await drain
            context.serving = {each.instance for each in operator.serving}
        finally:
            operator.stop()

    asyncio.run(drain_during_crash())


@then("its draining is recorded and its replacement serves")
def is_drained_and_replaced(context):
    backends = sum(count for _, _, count in POOLS)
    assert context.drained in context.history.leaving_s
    assert context.drained not in context.serving and len(context.serving) == backends


@given("a history in which {what}")
def history(context, what):
    made = HistoryBuilder()
    HISTORIES[what](made)
    context.found = judge(made.history)


@then('the judge finds a broken rule "{rule}" and nothing else')
def finds(context, rule):
    assert {found.rule for found in context.found} == {rule}, context.found


@then("the judge finds no broken rule")
def finds_nothing(context):
    assert context.found == [], context.found
