"""Requests that reach a router which is being stopped."""

import asyncio
from unittest import mock

from behave import given, then, when
from support.router_world import RawCaller, request_bytes

from yokedock.base.clock import boot_time_s
from yokedock.request.unary_call import UnaryCalls

FIRST_CALL = "r-1"
OTHER_CALL = "r-other"
HELD_CALL = "r-held"
STREAM_HEADERS = [("X-Model", "m"), ("X-Tokens", "50,60"), ("X-Prompt-Parts", "ab:50")]


@given('backend "{name}" takes {work_s:g} s for each call after the first, which it holds')
def hold_first(context, name, work_s):
    def processing_time_s(arrival):
        return 60.0 if arrival.header("X-Request-Id") == FIRST_CALL else work_s

    context.world.backends[name].processing_time_s = processing_time_s


@given('one of 20 calls to backend "{name}" takes {long_s:g} s, and the others {short_s:g} s')
def mostly_short(context, name, long_s, short_s):
    def processing_time_s(arrival):
        special_s = {"r-7": long_s, HELD_CALL: 60.0}
        return special_s.get(arrival.header("X-Request-Id"), short_s)

    context.world.backends[name].processing_time_s = processing_time_s


@when('the router is told to stop while a call to backend "{name}" goes on')
def stop_during_call(context, name):
    backend = context.world.backends[name]
    count = len(backend.arrivals)
    context.held_caller = RawCaller(context.world, context.router.settings.callers.listen)
    context.held_caller.send(request_bytes("once", body=b"abc", request_id=HELD_CALL))
    context.world.wait_for(lambda: len(backend.arrivals) > count, "the call")
    context.world.loop.call_soon_threadsafe(context.router.stop_event.set)
    context.world.wait_for(lambda: not context.router.is_ready, "stopping")


@given("every call waits for a backend without end")
def wait_without_end(context):
    async def wait(calls, call, tried):
        await asyncio.Event().wait()

    patcher = mock.patch.object(UnaryCalls, "_next_backend", wait)
    patcher.start()
    context.add_cleanup(patcher.stop)


@when('a client sends POST on "{name}" while the router is told to stop, and waits for its answer')
def send_in_stop(context, name):
    context.world.loop.call_soon_threadsafe(context.router.stop_event.set)
    context.world.wait_for(lambda: not context.router.is_ready, "stopping")
    caller = RawCaller(context.world, context.router.settings.callers.listen)
    caller.send(request_bytes(name, body=b"abc"))
    context.answer = caller.read_answer()
    context.answered_s = context.world.run(now()) - context.router._stop.since_s


@when('{late_s:g} s later another client sends POST on "{name}"')
def send_late(context, late_s, name):
    context.world.run(asyncio.sleep(late_s))
    caller = RawCaller(context.world, context.router.settings.callers.listen)
    began_s = context.world.run(now())
    caller.send(request_bytes(name, body=b"abc", request_id=OTHER_CALL))
    context.answer = caller.read_answer()
    context.took_s = context.world.run(now()) - began_s


@then("the other client gets {status:d} within {limit_s:g} s")
def other_gets(context, status, limit_s):
    assert context.answer[0] == status, context.answer
    assert context.took_s <= limit_s, context.took_s


@then('backend "{name}" got {count:d} calls')
def got_calls(context, name, count):
    assert len(context.world.backends[name].arrivals) == count


@then("the answer came {least_s:g} to {most_s:g} s into the stop")
def came_between(context, least_s, most_s):
    assert least_s <= context.answered_s <= most_s, context.answered_s


async def now():
    return boot_time_s()


@when('{late_s:g} s later a client streams on "{name}"')
def stream_late(context, late_s, name):
    context.world.run(asyncio.sleep(late_s))
    caller = RawCaller(context.world, context.router.settings.callers.listen)
    caller.send(request_bytes(name, headers=STREAM_HEADERS))
    context.answer = caller.read_answer()


@then("the stream is answered 200 and whole")
def is_whole(context):
    assert context.world.backends["p"].arrivals, "no prompt was read"
    status, _, body, is_whole = context.answer
    assert (status, is_whole) == (200, True), (status, body)
