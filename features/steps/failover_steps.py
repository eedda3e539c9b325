from behave import then, when
from support.deployment import DECODE, PREFILL
from support.faults import busy


def kill_all(context, names):
    for name in names:
        context.deployment.nodes[name].kill()


@when("both decode agents are killed and the step goes on")
def kill_decode_agents(context):
    kill_all(context, DECODE)
    context.go_on()


@when("both decode agents are killed, the step goes on, and both are replaced")
def replace_decode_agents(context):
    kill_all(context, DECODE)
    context.go_on()
    for name in DECODE:
        context.deployment.nodes[name].start()


@when("both decode engines are killed and the step goes on")
def kill_decode_engines(context):
    kill_all(context, [f"engine {name}" for name in DECODE])
    context.go_on()


@when("both prefill agents are killed")
def kill_prefill_agents(context):
    kill_all(context, PREFILL)
    deployment = context.deployment
    deployment.wait_for(
        lambda: (
            not any(
                peer.connected
                for peer in deployment.status("gateway-1").peers
                if peer.name in PREFILL
            )
        ),
        5.0,
        "noticed",
    )


@when("the decode engine is killed twice, each time in mid-stream")
def kill_twice(context):
    deployment, caller = context.deployment, context.cell.caller
    first = busy(deployment, DECODE)
    second = next(name for name in DECODE if name != first)
    events = caller.data.count(b"\n\n")
    deployment.nodes[f"engine {first}"].restart()
    context.go_on()
    caller.wait_events(events + 2)
    deployment.hold("decoding")
    deployment.nodes[f"engine {second}"].restart()
    deployment.hold("")


@then("the caller has one final answer with the outcome unknown")
def outcome_unknown(context):
    caller = context.cell.caller.wait()
    assert caller.status is not None and caller.status != 200, (caller.status, caller.data)
    assert caller.outcome() == "unknown", caller.data


@then("the caller has one final event after the right beginning")
def final_event(context):
    caller = context.cell.caller.wait()
    assert caller.status == 200 and caller.ends() == 1 and caller.is_prefix(), caller.data[-400:]
    assert caller.outcome() == "unknown", caller.json_error()


@then("the caller is refused with a time to come back")
def refused(context):
    caller = context.caller.wait()
    assert caller.status == 503 and caller.outcome() == "not_run", (caller.status, caller.data)
    assert int(caller.headers["Retry-After"]) >= 1
