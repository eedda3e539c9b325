"""Callers whose backend sends bytes without end, at each place of a response."""

from behave import then, when
from router_steps import STREAM_HEADERS, caller
from support.bounded_http_properties import failures_of, short_timeouts
from support.endless_worlds import (
    DEADLINE_S,
    LATE_S,
    SHAPES,
    Endless,
    play_all,
    play_flood,
    wrong_outcomes,
)
from support.router_world import request_bytes

PLAIN = {"a": "", "b": ""}
DECODE = {"d1": "decode", "d2": "decode"}
PREFILL = {"p1": "prefill", "p2": "prefill", **DECODE}


@when('the first backend of a call on "{route}" sends {kind} bytes without end, {pace}')
def endless_call(context, route, kind, pace):
    context.outcomes = play_all(Endless(kind, pace == "slowly"), route, PLAIN)


@when('the first decode engine of a stream on "{route}" sends {kind} bytes without end, {pace}')
def endless_stream(context, route, kind, pace):
    context.outcomes = play_all(Endless(kind, pace == "slowly"), route, DECODE)


@when(
    'the first prefill of a stream on "{route}" is answered with {kind} bytes without end, {pace}'
)
def endless_prefill(context, route, kind, pace):
    context.outcomes = play_all(Endless(kind, pace == "slowly", True), route, PREFILL)


@when('{count:d} requests on "{route}" at once get {kind} bytes without end at full speed')
def endless_together(context, count, route, kind):
    context.play_floods = lambda measures_memory: {
        shape: play_flood(kind, shape, route, count, measures_memory) for shape in SHAPES[kind]([])
    }


@when(
    'a client with {left_s:g} s streams on "{route}", '
    "and its engine sends comments for {comments_s:g} s first"
)
def comments_first(context, left_s, route, comments_s):
    context.world.backends["d"].faults = [f"comments for {comments_s} s"]
    headers = [("X-Deadline-Ms", str(round(left_s * 1000))), *STREAM_HEADERS]
    context.caller = caller(context)
    context.caller.send(request_bytes(route, headers=headers))
    context.answer = context.caller.read_answer()


@then("another backend answers before the deadline")
def answered(context):
    wrong = wrong_outcomes(
        context.outcomes,
        lambda each: each.status == 200 and each.is_whole and each.took_s < DEADLINE_S,
    )
    assert not wrong, wrong


@then("the caller has an error when the deadline is over")
def failed_in_time(context):
    wrong = wrong_outcomes(
        context.outcomes,
        lambda each: each.status in (502, 504) and each.took_s < DEADLINE_S + LATE_S,
    )
    assert not wrong, wrong


@then("the process has used less than {most_mb:d} MB of memory for them")
def little_memory(context, most_mb):
    used_mb = {shape: flood.peak_bytes / 1e6 for shape, flood in context.play_floods(True).items()}
    assert max(used_mb.values()) < most_mb, used_mb


@then("a call to another service was answered within {most_s:g} s each time meanwhile")
def answered_meanwhile(context, most_s):
    floods = context.play_floods(False)
    longest_s = {shape: max(flood.pings_s) for shape, flood in floods.items()}
    assert max(longest_s.values()) < most_s, longest_s


@when("the {name} meets bytes without end, {pace}")
def client_meets(context, name, pace):
    with short_timeouts():
        context.failures = failures_of(name, pace == "slowly")


@then("it ends with an error in time, and takes little memory")
def ends_in_time(context):
    assert not context.failures, "\n".join(context.failures)
