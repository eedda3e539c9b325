"""Backends that say in their answers that they leave, or that they want rest for a while."""

import time

from behave import given, then, when
from router_steps import caller, decode_engines, send_many, share_fault
from support.router_world import request_bytes

from yokedock.base.clock import boot_time_s

REST_BEGINS_S = 0.5
"""What was on its way when the backend spoke may reach it so long afterwards."""
TRIES = 40
"""Requests after which a backend that is as good as the others has been chosen."""
PAUSE_S = 0.02


def backend_of(context, name):
    return context.world.backends[name]


def prompt_headers(number):
    """Return the headers of a generation whose prompt is like no other."""
    return [("X-Model", "m"), ("X-Tokens", "50,60"), ("X-Prompt-Parts", f"c{number}:50")]


def send_one(context, route, is_stream=False):
    context.sent = getattr(context, "sent", 0) + 1
    context.caller = caller(context)
    headers = prompt_headers(context.sent) if is_stream else ()
    data = request_bytes(route, body=b"abc", headers=headers, request_id=f"n-{context.sent}")
    context.caller.send(data)
    started_s = time.monotonic()
    context.answer = context.caller.read_answer()
    context.took_s = time.monotonic() - started_s
    return context.answer


def send_until_answered(context, route, name, is_stream=False):
    backend = backend_of(context, name)
    arrivals_before = len(backend.arrivals)
    for _ in range(TRIES):
        send_one(context, route, is_stream)
        if len(backend.arrivals) > arrivals_before:
            break
    assert len(backend.arrivals) > arrivals_before, f"{name} was never chosen"
    context.answered_s = backend.arrivals[-1].arrived_s
    context.known_arrivals = len(backend.arrivals)


@given('backend "{name}" says in its answers that it leaves')
def says_leaving(context, name):
    backend_of(context, name).is_leaving = True


@given('backend "{name}" asks for {rest_s:g} s of rest and then serves')
def asks_for_rest(context, name, rest_s):
    backend_of(context, name).faults = [f"rest {rest_s:g}"]
    context.rest_s = rest_s


@given("all backends ask for {rest_s:g} s of rest")
def all_ask_for_rest(context, rest_s):
    for backend in context.world.backends.values():
        backend.faults = [f"rest {rest_s:g}"]


@given("the first decode engine that is asked wants {rest_s:g} s of rest")
def first_wants_rest(context, rest_s):
    share_fault(decode_engines(context), f"rest {rest_s:g}")
    context.rest_s = rest_s


@given('engine "{name}" reads the first prompt at once and the others in {delay_s:g} s')
def reads_one_soon(context, name, delay_s):
    context.reader = backend_of(context, name)
    context.reader.processing_time_s = lambda arrival: (
        0.0 if arrival is context.reader.arrivals[0] else delay_s
    )


@when('backend "{name}" works for {work_s:g} s on each request from now on')
@given('backend "{name}" works for {work_s:g} s on each request')
def works_for(context, name, work_s):
    backend_of(context, name).processing_time_s = lambda arrival: work_s


@given('backend "{name}" works for {work_s:g} s on its first request')
def works_once(context, name, work_s):
    backend = backend_of(context, name)
    backend.processing_time_s = lambda arrival: work_s if len(backend.arrivals) == 1 else 0.0


@when('a client sends POST on "{route}" and takes the time')
def send_timed(context, route):
    send_one(context, route)


@when('a client sends POST on "{route}" until "{name}" has answered')
def send_until(context, route, name):
    send_until_answered(context, route, name)


@when('clients stream on "{route}" until "{name}" has answered')
def stream_until(context, route, name):
    send_until_answered(context, route, name, is_stream=True)


@when('{later_s:g} s later a client sends POST on "{route}" {count:d} times on one connection')
def send_later(context, later_s, route, count):
    time.sleep(later_s)
    send_many(context, route, count)


@when('{later_s:g} s later a client sends POST on "{route}" {count:d} times to the second router')
def send_later_to_second(context, later_s, route, count):
    time.sleep(later_s)
    context.router = context.routers[1]
    send_many(context, route, count)


@when('{later_s:g} s later a client sends POST on "{route}" with body "abc"')
def send_one_later(context, later_s, route):
    time.sleep(later_s)
    send_one(context, route)


@when('{later_s:g} s later clients stream on "{route}" {count:d} times')
def stream_later(context, later_s, route, count):
    time.sleep(later_s)
    for _ in range(count):
        status, _, _, is_whole = send_one(context, route, is_stream=True)
        assert status == 200 and is_whole, context.answer


@when('a client goes on sending POST on "{route}" for {span_s:g} s')
def send_on(context, route, span_s):
    until_s = boot_time_s() + span_s
    while boot_time_s() < until_s:
        assert send_one(context, route)[0] == 200, context.answer
        time.sleep(PAUSE_S)


@when(
    'a client sends a call on "{route}" and its backend asks another one for {rest_s:g} s of rest'
    " meanwhile"
)
def rest_amid_a_call(context, route, rest_s):
    (backend,) = context.world.backends.values()
    loop = context.world.loop
    loop.call_soon_threadsafe(backend.gate.clear)
    first = caller(context)
    first.send(request_bytes(route, body=b"first", request_id="first"))
    context.world.wait_for(lambda: backend.arrivals, "the first call is there")
    backend.faults = [f"rest {rest_s:g}"]
    context.rest_s = rest_s
    assert send_one(context, route)[0] == 503
    context.answered_s = backend.arrivals[-1].arrived_s
    loop.call_soon_threadsafe(backend.gate.set)
    assert first.read_answer()[0] == 200
    time.sleep(REST_BEGINS_S)


@when('{count:d} clients stream on "{route}" at the same time')
def stream_together(context, count, route):
    callers = [caller(context) for _ in range(count)]
    for number, one in enumerate(callers):
        one.send(request_bytes(route, headers=prompt_headers(number), request_id=f"s-{number}"))
    context.answers = [one.read_answer() for one in callers]
    runs = [(run.arrived_s, b) for b in decode_engines(context) for run in b.runs()]
    context.answered_s, context.resting = min(runs, key=lambda run: run[0])


@when('backend "{name}" resets the next request on "{route}"')
def resets_next(context, name, route):
    backend_of(context, name).faults = ["reset"]
    assert send_one(context, route)[0] == 502, context.answer


@then('"{name}" got nothing since')
def got_nothing(context, name):
    since = backend_of(context, name).arrivals[context.known_arrivals :]
    assert not since, since


@then('"{name}" got nothing since but what releases memory')
def got_no_work(context, name):
    since = backend_of(context, name).arrivals[context.known_arrivals :]
    assert all(arrival.method == "DELETE" for arrival in since), since


@then('no request reached "{name}" between 0.5 s after that answer and the end of the rest')
def none_in_rest(context, name):
    require_rest(context, backend_of(context, name))


@then("no request reached that engine between 0.5 s after that answer and the end of the rest")
def none_in_its_rest(context):
    require_rest(context, context.resting)


def require_rest(context, backend):
    begin_s = context.answered_s + REST_BEGINS_S
    end_s = context.answered_s + context.rest_s
    within = [a for a in backend.arrivals if begin_s < a.arrived_s < end_s]
    assert not within, within


@then("no request is suspected of ending backends")
def none_suspected(context):
    assert context.router._crashes.requests.size() == 0


@then('requests reached "{name}" after the rest')
def some_after_rest(context, name):
    end_s = context.answered_s + context.rest_s
    assert any(a.arrived_s > end_s for a in backend_of(context, name).arrivals)


@then("it was answered within {limit_s:g} s")
def answered_soon(context, limit_s):
    assert context.took_s < limit_s, f"{context.took_s:.2f} s"


@then("each backend got {count:d} request")
def each_got(context, count):
    got = {b.name: len(b.arrivals) for b in context.world.backends.values()}
    assert set(got.values()) == {count}, got


@then("all of these streams are whole")
def all_whole(context):
    assert all(answer[0] == 200 and answer[3] for answer in context.answers), context.answers


@then("no prompt was read twice")
def read_once_each(context):
    read = [a.header("X-Request-Id") for a in context.reader.arrivals if a.method != "DELETE"]
    assert len(read) == len(set(read)), read
