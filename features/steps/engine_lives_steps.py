"""Engines that start anew under the identifier that they had, as the list of backends tells it."""

import time

import msgspec
from behave import given, then, when
from router_steps import STREAM_HEADERS, caller, decode_engines, world
from support.router_world import request_bytes

from yokedock.base.clock import boot_time_s, wall_clock_ms
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import StateSnapshot

FIRST_MS = 1_000
START_LEAD_S = 0.05
"""Less than the clock margin, so that the connection may belong to either life."""
OLD_ENOUGH_S = 0.3
"""Clocks of machines differ: connections that were opened so long before are the old life's."""


def born(context, name, born_ms):
    return msgspec.structs.replace(context.world.entry(name), born_ms=born_ms)


def start_anew(context, backend):
    """Have the list say that a backend started anew; what was open stays open, and silent."""
    backend.stop_responding()
    time.sleep(OLD_ENOUGH_S)
    tell_start(context, backend, wall_clock_ms())


def tell_start(context, backend, born_ms):
    context.world.tell(context.router, changed=[born(context, backend.name, born_ms)])
    context.told_s = time.monotonic()


@given("a router that knows them as started")
def router_of_lives(context):
    entries = {name: born(context, name, FIRST_MS) for name in world(context).backends}
    snapshot = StateSnapshot(SourcePosition(0, 1), context.world.snapshot().table, entries)
    context.router = context.world.start_router(snapshot)
    context.world.wait_for(lambda: context.router.is_ready, "ready")


@when('a client streams on "{name}" and its engine holds it after event {last:d}')
def hold_stream(context, name, last):
    for engine in decode_engines(context):
        engine.faults = [f"wait after event {last}"]
    context.caller = caller(context)
    context.caller.send(request_bytes(name, headers=STREAM_HEADERS))
    context.caller.read_until(b"id: %d\n" % last)
    for engine in decode_engines(context):
        engine.faults = []
    (context.holder,) = [engine for engine in decode_engines(context) if engine.runs()]


@when("that engine starts anew under its identifier")
def holder_starts_anew(context):
    start_anew(context, context.holder)


@when("the prefill engine starts anew under its identifier")
def prefill_starts_anew(context):
    engine = next(b for b in context.world.backends.values() if b.role == "prefill")
    context.ended_address = engine.address
    context.arrivals_before = {b.name: len(b.arrivals) for b in context.world.backends.values()}
    start_anew(context, engine)


@then("the stream goes on within {limit_s:f} s, each event once and in order")
def goes_on(context, limit_s):
    rest = context.caller.read_until(b"\r\n0\r\n\r\n")
    took_s = time.monotonic() - context.told_s
    assert took_s < limit_s, f"{took_s:.2f} s"
    numbers = [int(line[4:]) for line in rest.split(b"\n") if line.startswith(b"id: ")]
    assert numbers == [3, 4, 5, 6], numbers


@then("no order named the memory of a life that had ended")
def no_ended_memory(context):
    for backend in context.world.backends.values():
        for arrival in backend.arrivals[context.arrivals_before[backend.name] :]:
            source = arrival.header("X-Kv-Source") or ""
            is_new = any(a.header("X-Stage") for a in backend.arrivals)
            assert not source.startswith(context.ended_address) or is_new, source


@when('a client sends a call on "{name}" and its backend starts anew under its identifier')
def call_and_restart(context, name):
    context.caller = caller(context)
    context.caller.send(request_bytes(name))
    (backend,) = context.world.backends.values()
    context.world.wait_for(lambda: backend.arrivals, "it has reached the backend")
    start_anew(context, backend)


@then("the client gets {status:d} within {limit_s:f} s")
def answered_within(context, status, limit_s):
    assert context.caller.read_answer()[0] == status
    took_s = time.monotonic() - context.told_s
    assert took_s < limit_s, f"{took_s:.2f} s"


@when('backend "{name}" starts anew under its identifier, and old connections are silent')
def starts_anew_silently(context, name):
    start_anew(context, context.world.backends[name])


@when('{delay_s:g} s later backend "{name}" says in its answers that it leaves')
def report_leaving_after_delay(context, delay_s, name):
    time.sleep(delay_s)
    context.world.backends[name].is_leaving = True


@when('the list says that "{name}" started anew just before its first request')
def tell_start_before_first_request(context, name):
    backend = context.world.backends[name]
    age_s = boot_time_s() - backend.arrivals[0].arrived_s
    born_ms = wall_clock_ms() - round((age_s + START_LEAD_S) * 1000)
    tell_start(context, backend, born_ms)


@when("its backend, which has started anew before that, is heard of only now")
def late_news(context):
    (backend,) = context.world.backends.values()
    context.world.wait_for(lambda: backend.arrivals, "it has reached the backend")
    tell_start(context, backend, wall_clock_ms() - 1_000)
    context.world.loop.call_soon_threadsafe(backend.gate.set)


@when('a client sends a call on "{name}" and does not wait for it')
def call_only(context, name):
    context.caller = caller(context)
    context.caller.send(request_bytes(name))
