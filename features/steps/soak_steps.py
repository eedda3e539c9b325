from behave import given, then, when
from support.deployment import Deployment
from support.judge import (
    assert_answered_once,
    assert_not_run_is_true,
    assert_nothing_dropped,
    assert_version_everywhere,
    executions_of,
    note_told,
)
from support.soak import Soak


@given("a deployment whose engines check {what}")
def deployment_of_soak(context, what):
    context.deployment = Deployment(checks_fencing=what == "fencing tokens")


@when("{requests:d} requests are sent while faults strike, drawn with the seed {seed:d}")
def run_soak(context, requests, seed):
    context.soak = Soak(context.deployment, seed)
    print(f"    seed {seed}")
    context.soak.run(requests)
    for caller in context.soak.all_callers():
        note_told(caller)


@then("every caller got one final answer, its own and true")
def one_true_answer(context):
    soak = context.soak
    for stream in soak.streams:
        caller = stream.caller
        detail = f"{stream.request_id} {caller.status} {caller.data[-300:]!r} {caller.error}"
        if stream.has_disconnected or is_broken(caller):
            assert caller.is_prefix(), detail
            assert stream.has_disconnected or soak.may_have_broken(stream.gateway, stream.sent_s), (
                detail
            )
        else:
            assert_answered_once(caller)
        assert_not_run_is_true(context.deployment, caller, stream.request_id)


def is_broken(caller):
    """Return whether the connection ended without a final answer."""
    return caller.status is None or (caller.status == 200 and not caller.ends())


@then("no key ran twice")
def no_key_twice(context):
    for call in context.soak.calls:
        runs = executions_of(context.deployment, call.key)
        told = [(c.status, c.data[:200], c.error) for c in call.callers]
        assert len(runs) <= 1, (call.key, runs, told, context.soak.struck)
        if any(caller.status == 200 for caller in call.callers):
            assert len(runs) == 1, (call.key, told)
        outcomes = [caller.outcome() for caller in call.callers if caller.status != 200]
        if len(outcomes) == len(call.callers) and set(outcomes) == {"not_run"}:
            assert not runs, (call.key, told)


@then("nothing was dropped by a role change")
def nothing_dropped(context):
    assert_nothing_dropped(context.deployment)


@then("the newest version is in force everywhere")
def newest_version(context):
    assert_version_everywhere(context.deployment)
