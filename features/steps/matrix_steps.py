import time
import uuid

from behave import given, then, when
from support.caller import ServiceCaller, StreamCaller
from support.deployment import DECODE, HOMES, PREFILL, SERVICE
from support.faults import MatrixCell, strike
from support.judge import (
    assert_answered_once,
    assert_no_new_work,
    assert_not_run_is_true,
    assert_nothing_dropped,
    assert_nothing_held,
    assert_version_everywhere,
    executions_of,
    note_told,
)

from yokedock.base.clock import boot_time_s
from yokedock.request.attempt import DECODE_CANDIDATES, RESERVE_TIMEOUT_S

TOKENS = 30
RESERVE_WAIT_S = RESERVE_TIMEOUT_S * min(DECODE_CANDIDATES, len(DECODE))
"""How long a gateway waits in all for decode agents that do not reply."""
PROMPT = "Describe the ridge route between hut 7 and hut 9 for {}. "
GATEWAY, OTHER_GATEWAY = "gateway-1", "gateway-2"
MODEL_HOLDS = {
    "prefilling": "prefilling",
    "prefilled": "prefilled",
    "transferring": "transferring",
    "first token out": "first-token",
    "decoding": "decoding",
    "releasing": "releasing",
}
EVENTS_BEFORE = {"first token out": 1, "decoding": 5}


@given("a model request at the step {step}")
def model_request_at(context, step):
    deployment = context.deployment
    context.go_on = lambda: deployment.hold("")
    context.sent = []
    context.is_held_at_decode = step == "admitted"
    context.held_s = boot_time_s()
    if step == "admitted":
        hold_relays(context, deployment.agent_relays, DECODE)
    elif step == "reserved":
        hold_relays(context, deployment.agent_relays, PREFILL)
    else:
        deployment.hold(MODEL_HOLDS[step])
    caller = send_model_request(context)
    wait_for_step(context, caller, step)
    context.cell = MatrixCell(deployment, GATEWAY, caller)


def send_model_request(context):
    """Send a request under a new identifier and return its caller."""
    context.request_id = f"cell-{uuid.uuid4().hex[:12]}"
    prompt = PROMPT.format(context.request_id) * 8
    url = context.deployment.urls[GATEWAY]
    headers = {"X-Request-Id": context.request_id}
    return StreamCaller(url, prompt, TOKENS, headers)


def hold_relays(context, relays_by_name, names):
    """Hold what goes forth to ``names``, and let it go on with the step."""
    relays = [relays_by_name[name] for name in names]
    for relay in relays:
        relay.hold("forth")

    def go_on():
        for relay in relays:
            relay.heal()

    context.go_on = go_on


def refused_while_held_s(context):
    """Return when the refused caller may come back, in seconds.

    Fails unless it was refused no sooner than the gateway may, as not run.
    """
    caller = context.cell.caller
    held_s = boot_time_s() - context.held_s
    detail = f"after at most {held_s:.2f} s: {caller.status} {caller.data[-400:]!r} {caller.error}"
    assert held_s >= RESERVE_WAIT_S, detail
    assert caller.status == 503 and caller.outcome() == "not_run", detail
    context.sent.append((caller, context.request_id))
    return float(caller.headers["Retry-After"])


def wait_for_step(context, caller, step):
    deployment = context.deployment
    if step in EVENTS_BEFORE:
        caller.wait_events(EVENTS_BEFORE[step])
        return
    if step == "releasing":
        caller.wait()
        return
    if step in ("admitted", "reserved"):
        wait_in_flight(deployment)
        return
    kinds = {"prefilling": "prefill", "prefilled": "export", "transferring": "import"}
    deployment.wait_for(lambda: kinds[step] in held_kinds(deployment), 10.0, f"at step {step}")


def wait_in_flight(deployment):
    deployment.wait_for(lambda: deployment.status(GATEWAY).in_flight, 10.0, "admitted")


def held_kinds(deployment):
    return {
        item.kind for name in deployment.engine_names() for item in deployment.ledger(name).held
    }


@when("the fault strikes: {fault}")
def fault_strikes(context, fault):
    strike(context.cell, fault, go_on_after(context, fault))


@when("two faults strike: {first} and then {second}")
def two_faults(context, first, second):
    """Strike the second while the first lasts; the same fault twice comes one after the other."""
    cell = context.cell
    go_on = go_on_after(context, first, second)
    if first == second:
        strike(cell, first, go_on)
        strike(cell, second, lambda: None)
    else:
        strike(cell, first, lambda: strike(cell, second, go_on))


def go_on_after(context, *faults):
    """Return what releases the step, after which a caller that was refused comes back.

    The gateway waits for decode agents for ``RESERVE_WAIT_S`` and then refuses with a time to come
    back. If the faults take longer than that to prepare, the request is no longer at the step: its
    caller sends it again, once, when it was told to. Not where the faults concern the gateway or
    the caller itself.
    """
    reaches_caller = any(f.startswith("caller") or f.endswith(": gateway") for f in faults)
    if reaches_caller or not context.is_held_at_decode:
        return context.go_on

    def go_on():
        cell = context.cell
        if cell.caller.is_waiting():
            context.go_on()
            return
        retry_after_s = refused_while_held_s(context)
        context.go_on()
        time.sleep(retry_after_s)
        cell.caller = send_model_request(context)

    return go_on


@then("the caller has {what}")
def caller_has(context, what):
    caller = context.cell.caller.wait()
    detail = f"{caller.status} {caller.data[-400:]!r} {caller.error}"
    if what == "the whole answer":
        assert caller.is_whole(), detail
    elif what == "one final answer":
        assert_answered_once(caller)
    else:
        assert what == "left", what
        assert caller.is_prefix(), detail


@then("the judge finds nothing wrong")
def judge(context):
    deployment = context.deployment
    context.sent.append((context.cell.caller, context.request_id))
    for caller, _ in context.sent:
        note_told(caller)
    assert_nothing_held(deployment)
    assert_nothing_dropped(deployment)
    for caller, request_id in context.sent:
        assert_not_run_is_true(deployment, caller, request_id)
    assert_version_everywhere(deployment)
    leaving = getattr(context.cell, "leaving", None)
    if leaving:
        assert_no_new_work(context, leaving)


# --- Calls that may not be repeated ---


@given("a service call at the step {step}")
def service_call_at(context, step):
    deployment = context.deployment
    context.go_on = lambda: deployment.hold("", "service ")
    context.key = deployment.fresh_key()
    if step == "admitted":
        hold_relays(context, deployment.agent_relays, HOMES)
    elif step == "sent":
        hold_relays(context, deployment.engine_relays, HOMES)
    else:
        deployment.hold(step, "service ")
    url = deployment.urls[GATEWAY]
    caller = ServiceCaller(url, SERVICE, b"confirm", context.key)
    context.request_id = ""
    if step in ("admitted", "sent"):
        wait_in_flight(deployment)
    if step in ("executing", "executed"):
        wait_arrived(context, step)
    context.cell = MatrixCell(deployment, GATEWAY, caller)
    context.sent = []
    context.is_held_at_decode = False


def wait_arrived(context, step):
    deployment = context.deployment
    if step == "executed":
        condition = lambda: executions_of(deployment, context.key)  # noqa: E731
    else:
        before = sum(deployment.ledger(f"service {name}").arrived for name in HOMES)
        condition = lambda: before <= arrived(deployment) and busy_home(deployment)  # noqa: E731
    deployment.wait_for(condition, 10.0, step)


def arrived(deployment):
    return sum(deployment.ledger(f"service {name}").arrived for name in HOMES)


def busy_home(deployment):
    return any(deployment.status(name).in_flight for name in HOMES)


@when("the caller repeats the call through another gateway during the fault: {fault}")
def repeat_during(context, fault):
    url = context.deployment.urls[OTHER_GATEWAY]
    context.repeats = []

    def go_on():
        context.repeats.append(ServiceCaller(url, SERVICE, b"confirm", context.key))
        context.go_on()

    strike(context.cell, fault, go_on)


@when("repeats it again after the fault")
def repeat_after(context):
    url = context.deployment.urls[OTHER_GATEWAY]
    for caller in context.repeats:
        caller.wait()
    context.repeats.append(ServiceCaller(url, SERVICE, b"confirm", context.key).wait())


@then("the call ran at most once and every answer tells the truth")
def at_most_once(context):
    callers = [context.cell.caller.wait(), *context.repeats]
    runs = executions_of(context.deployment, context.key)
    detail = [(c.status, c.data[:200], c.error) for c in callers]
    for caller in callers:
        note_told(caller)
    assert len(runs) <= 1, (runs, detail)
    done = [caller for caller in callers if caller.status == 200]
    assert not done or len(runs) == 1, (runs, detail)
    assert len({caller.data for caller in done}) <= 1, detail
    told = [caller.outcome() for caller in callers if caller.status not in (None, 200)]
    if told and len(told) == len(callers) and set(told) == {"not_run"}:
        assert not runs, (runs, detail)
    assert_version_everywhere(context.deployment)


@then("the last repeat got the answer")
def last_repeat(context):
    last = context.repeats[-1]
    assert last.status == 200, (last.status, last.data)
