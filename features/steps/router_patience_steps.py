"""Backends that were given up though they were sound; seen in soaks of routers as deployed.

Seen: 502 after 0.3 s for a call that may be repeated, while its backend worked; streams cut after a
freeze of the router though their engines had sent everything.
"""

import asyncio
import socket
import threading
import time

from behave import given, then, when
from router_steps import caller
from support.router_world import request_bytes
from support.stream_properties import registry

from yokedock.request.retry_allowance import RetryBounds
from yokedock.request.silence_detector import SilenceDetector

PATIENCE_S = 0.2
COMES_S = 0.05
STANDS_STILL_S = 0.4
ENOUGH_ANSWERS = 12
MAX_ANSWERS = 80
"""Limit on setup requests, as random selection can leave a backend unused after the minimum."""


@given("its budget allows one repeat in a window")
def one_repeat(context):
    # Three quarters of an allowance are used: 1.5, which is one whole repeat.
    context.router._request_handler._unary._allowance._bounds = RetryBounds(0.0, 10.0, 2.0)


@when('{count:d} clients send POST on "{name}", one a moment after the other')
def send_each(context, count, name):
    context.callers = [caller(context) for _ in range(count)]
    for number, each in enumerate(context.callers):
        each.send(request_bytes(name, body=b"abc", request_id=f"r-{number}"))
        context.world.run(asyncio.sleep(0.1))


@when('{count:d} clients send POST on "{name}" at the same moment')
def send_together(context, count, name):
    context.callers = [caller(context) for _ in range(count)]
    for number, each in enumerate(context.callers):
        each.send(request_bytes(name, body=b"abc", request_id=f"r-{number}"))


@when("one of them was sent to the other backend and {count:d} were sent before")
def one_repeated(context, count):
    backends = context.world.backends.values()
    arrived = lambda: sum(len(b.arrivals) for b in backends)  # noqa: E731
    context.world.wait_for(lambda: arrived() == count + 1, "one repeat")
    context.world.run(asyncio.sleep(0.3))
    assert arrived() == count + 1, arrived()


@when("one of them was sent to the other backend and a while has passed")
def repeated(context):
    backends = context.world.backends.values()
    context.world.wait_for(lambda: sum(len(b.arrivals) for b in backends) == 3, "one repeat")
    context.world.run(asyncio.sleep(0.3))


@then("both clients get {status:d}")
@then("all of these clients get {status:d}")
def all_get(context, status):
    statuses = [each.read_answer()[0] for each in context.callers]
    assert statuses == [status] * len(context.callers), statuses


@given('all backends have answered in {work_s:g} s on "{route}" several times')
@given('both backends have answered in {work_s:g} s on "{route}" several times')
def both_answered(context, work_s, route):
    backends = context.world.backends.values()
    for backend in backends:
        backend.processing_time_s = lambda arrival: work_s
    for number in range(MAX_ANSWERS):
        one = caller(context)
        one.send(request_bytes(route, body=b"abc", request_id=f"before-{number}"))
        assert one.read_answer()[0] == 200
        if number + 1 >= ENOUGH_ANSWERS and all(backend.arrivals for backend in backends):
            break
    assert all(backend.arrivals for backend in backends)
    context.known = {backend.name: len(backend.arrivals) for backend in backends}


def send_late(context, route, work_s):
    """Send the request with the id that ``has_late_id`` finds, to backends that work so long."""
    for backend in context.world.backends.values():
        backend.processing_time_s = lambda arrival: work_s
    context.caller = caller(context)
    context.caller.send(request_bytes(route, body=b"abc", request_id="late"))


@when(
    'a client sends POST on "{route}" to a backend that works for {work_s:g} s '
    "while the other one is gone"
)
def slow_and_dead(context, route, work_s):
    backends = context.world.backends.values()
    send_late(context, route, work_s)
    has_it = lambda b: len(b.arrivals) > context.known[b.name]  # noqa: E731
    context.world.wait_for(lambda: any(map(has_it, backends)), "a backend has it")
    (context.slow,) = [b for b in backends if has_it(b)]
    (dead,) = [b for b in backends if b is not context.slow]
    context.world.run(dead.stop())
    context.answer = context.caller.read_answer()


@when(
    'a client sends POST on "{route}" to two backends that work for {work_s:g} s '
    "while the third one is gone"
)
def two_slow_and_one_gone(context, route, work_s):
    backends = context.world.backends.values()
    send_late(context, route, work_s)
    asked = lambda: [b for b in backends if any(map(has_late_id, b.arrivals))]  # noqa: E731
    context.world.wait_for(lambda: len(asked()) == 1, "a backend has it")
    (first,) = asked()
    context.world.wait_for(lambda: len(asked()) == 2, "another backend has it")
    (third,) = [b for b in backends if b not in asked()]

    async def clear_first_and_stop_third():
        health = context.router._registry.get(first.name).health
        health.suspect_until_s, health.failures = 0.0, 0.0
        latency = context.router._registry.get(third.name).health.latency
        latency.mean_s = latency.usual_s = 2 * work_s
        await third.stop()

    context.world.run(clear_first_and_stop_third())
    context.answer = context.caller.read_answer()


@when('a client sends POST on "{route}" and the backend without it is gone')
def other_is_gone(context, route):
    backends = context.world.backends.values()
    context.caller = caller(context)
    context.caller.send(request_bytes(route, body=b"abc", request_id="late"))
    context.world.wait_for(lambda: any(b.arrivals for b in backends), "a backend has it")
    (other,) = [b for b in backends if not b.arrivals]
    context.world.run(other.stop())


@given("the packets of all its connections are late by {delay_s:g} s")
def all_packets_late(context, delay_s):
    exchanges = context.router._request_handler._unary._attempt_runner._exchanges
    context.pool = exchanges.pool
    context.pool.link.shared_delay.current_s = lambda: delay_s


@when('a client sends POST on "{route}" and its router has reserved the backend without it')
def other_is_reserved(context, route):
    backends = context.world.backends.values()
    context.caller = caller(context)
    context.caller.send(request_bytes(route, body=b"abc", request_id="late"))
    context.world.wait_for(lambda: any(b.arrivals for b in backends), "a backend has it")
    (context.other,) = [b for b in backends if not b.arrivals]
    context.world.wait_for(lambda: context.other.connections, "a reserved connection")


@when("another request of the router cannot connect to the reserved backend")
def cannot_connect(context):
    async def refuse_connections():
        context.other._server.close()
        context.pool.forget(context.other.address)
        context.other.gate.set()

    context.world.run(refuse_connections())


@then("the client that waited gets {status:d}")
def waiting_client_gets(context, status):
    found = context.caller.read_answer()[0]
    assert found == status, found


@then("its request was sent to one backend, once")
def sent_once(context):
    arrivals = [a for b in context.world.backends.values() for a in b.arrivals]
    assert len(arrivals) == 1, arrivals


@then("its request was sent to two backends, once each")
def sent_to_each_once(context):
    counts = [len(backend.arrivals) for backend in context.world.backends.values()]
    assert counts == [1, 1], counts


@then("its request was sent to two backends")
def sent_to_two(context):
    arrivals = [a for b in context.world.backends.values() for a in b.arrivals if has_late_id(a)]
    asked = {n for n, b in context.world.backends.items() if any(map(has_late_id, b.arrivals))}
    assert len(asked) == 2 and len(arrivals) == 3, (asked, len(arrivals))


def has_late_id(arrival):
    return arrival.header("X-Request-Id") == "late"


@then("its backend was asked once")
def asked_once(context):
    asked = [a for a in context.slow.arrivals if has_late_id(a)]
    assert len(asked) == 1, f"{len(asked)} times"


@given("a stream whose next event comes while the process stands still")
def comes_meanwhile(context):
    async def play():
        own, other = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=own)
        stream = SilenceDetector().open(registry("d").get("d"), may_move=True)
        waiting = asyncio.create_task(stream.within(PATIENCE_S, reader.read(1)))
        await asyncio.sleep(0)
        threading.Timer(COMES_S, other.send, (b"x",)).start()
        time.sleep(STANDS_STILL_S)
        try:
            return await waiting
        finally:
            writer.close()
            other.close()

    context.play = play


@when("the process goes on, later than its patience")
def goes_on(context):
    context.read = asyncio.run(context.play())


@then("the event is read")
def event_is_read(context):
    assert context.read == b"x"
