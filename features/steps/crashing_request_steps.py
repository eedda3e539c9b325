"""A request that ends every backend which begins to run it, and comes again at any router.

Seen: one request was sent to backends again and again and ended sixteen of them in ten seconds. How
it came about: its caller sent it again, with a new id, to whichever router; each took it for a new
request and moved it on as often as its route allows. What caused it: nothing was kept of a request
beyond one attempt, and nothing about it was told to the other routers. What proved it: the ends
that the stand-ins counted.
"""

import contextlib
import time

from behave import given, then, when
from router_steps import STREAM_HEADERS, caller, world
from support.crashing_backends import CRASHING_BODY, CrashingBackends
from support.router_world import request_bytes, table

from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import StateSnapshot

PAUSE_S = 0.15
"""Between two sends: backends that ended are back after 0.1 s."""


@given('decode engines "d", "e", "f" and "g"')
def four_decode_engines(context):
    for name in "defg":
        world(context).add_backend(name, "llm", "decode")


@given("two routers that hear each other")
def two_routers(context):
    entries = world(context).snapshot().backends
    start_two_routers(context, (entries, entries))


def start_two_routers(context, known):
    """Start two routers that know these backends and hear each other."""
    snapshots = [StateSnapshot(SourcePosition(0, 1), table(1), entries) for entries in known]
    first = context.world.start_router(snapshots[0])
    seed = first.settings.fleet.address
    address = f"127.0.0.2:{seed.rpartition(':')[2]}"
    second = context.world.start_router(snapshots[1], (seed,), address)
    context.routers = [first, second]
    context.router = first
    for router in context.routers:
        context.world.wait_for(lambda r=router: r.is_ready, "ready")
        context.world.wait_for(lambda r=router: r._gossip.fleet_size() == 2, "both are heard")


@given("backends end when they run a certain request, and come back as new ones")
def crashing_backends(context):
    context.mortals = CrashingBackends(context.world, context.routers)


@when('a caller sends that request on "{name}" {count:d} times, at the routers in turn')
def send_in_turn(context, name, count):
    context.answers = []
    for number in range(count):
        router = context.routers[number % len(context.routers)]
        context.answers.append(send_once(context, router, name, CRASHING_BODY, f"c-{number}"))
        time.sleep(PAUSE_S)


def send_once(context, router, name, body, request_id):
    """Send a request on a connection of its own; return its answer, None if there was none."""
    headers = STREAM_HEADERS if name in ("chat", "talk") else ()
    sender = caller(context, router)
    sender.send(request_bytes(name, body=body, headers=headers, request_id=request_id))
    try:
        return sender.read_answer()
    except (EOFError, ConnectionError):
        return None


@then("at most {most:d} backends have ended")
def few_ended(context, most):
    ended = context.mortals.ended()
    assert 0 < ended <= most, f"{ended} backends ended: {context.mortals.story()}"


@then("at most {most:d} more arrivals of it came after the third end")
def few_more(context, most):
    ends = [a.arrived_s for a in context.mortals.arrivals() if a.crashed_backend]
    if len(ends) < 3:
        return
    later = [a for a in context.mortals.arrivals() if a.arrived_s > ends[2]]
    assert len(later) <= most, f"{len(later)} arrivals came after the third end"


@then("its last answer is {status:d} with a time to come back")
def last_answer(context, status):
    answer = context.answers[-1]
    assert answer is not None and answer[0] == status, answer
    assert float(answer[1]["retry-after"]) > 0, answer


@when('a caller sends that request on "{name}" {count:d} times at once, at the routers in turn')
def send_at_once(context, name, count):
    senders = []
    for number in range(count):
        sender = caller(context, context.routers[number % len(context.routers)])
        sender.send(
            request_bytes(
                name, body=CRASHING_BODY, headers=STREAM_HEADERS, request_id=f"at-once-{number}"
            )
        )
        senders.append(sender)
    for sender in senders:
        with contextlib.suppress(EOFError, ConnectionError):
            sender.read_answer()


@when('a caller sends that request on "{name}" {count:d} times, at the second router')
def send_at_second(context, name, count):
    for number in range(count):
        send_once(context, context.routers[1], name, CRASHING_BODY, f"second-{number}")
        time.sleep(PAUSE_S)


@when("the same caller sends another body to the same path {count:d} times, at the routers in turn")
def send_sound(context, count):
    context.answers = []
    for number in range(count):
        router = context.routers[number % len(context.routers)]
        body = b"sound %d" % number
        context.answers.append(send_once(context, router, "chat", body, f"sound-{number}"))


@then("all of these were served whole")
def all_served(context):
    assert context.mortals.ended() > 0
    for answer in context.answers:
        assert answer is not None and answer[0] == 200 and answer[3], answer


@given('a router that knows only "{name}", which holds what it gets, and one that knows the others')
def split_routers(context, name):
    entries = context.world.snapshot().backends
    context.held = context.world.backends[name]
    context.held.gate.clear()
    known = ({name: entries[name]}, {n: e for n, e in entries.items() if n != name})
    start_two_routers(context, known)


@when('a caller sends that request on "{name}" to the first router and does not wait')
def send_and_go_on(context, name):
    context.waiting = caller(context, context.routers[0])
    request = request_bytes(name, body=CRASHING_BODY, headers=STREAM_HEADERS, request_id="waits")
    context.waiting.send(request)
    context.world.wait_for(lambda: context.held.arrivals, "it has reached the engine")


@then("the one that waited gets {status:d}")
def waiting_got(context, status):
    assert context.waiting.read_answer()[0] == status


@then('"{name}" saw its connection end and did not run it')
def taken_back(context, name):
    arrival = context.held.arrivals[0]
    context.world.wait_for(lambda: arrival.was_closed, "the connection has ended")
    assert not arrival.crashed_backend


@when("a third router starts and hears the others")
def third_router(context):
    context.ended_before = context.mortals.ended()
    seed = context.routers[0].settings.fleet.address
    address = f"127.0.0.3:{seed.rpartition(':')[2]}"
    snapshot = context.world.snapshot()
    context.third = context.world.start_router(snapshot, (seed,), address)
    gossip = context.third._gossip
    context.world.wait_for(lambda: gossip.fleet_size() == 3, "the others are heard")
    context.world.wait_for(
        lambda: context.third._crashes.requests.size(), "it was told of the request"
    )


@when('a caller sends that request on "{name}" once, at the third router')
def send_at_third(context, name):
    context.answers = [send_once(context, context.third, name, CRASHING_BODY, "third")]


@then("no further backend has ended")
def none_ended(context):
    assert context.mortals.ended() == context.ended_before


@then("at most {most:d} more arrivals of it came 0.5 s or later after the third end")
def few_much_later(context, most):
    ends = [a.arrived_s for a in context.mortals.arrivals() if a.crashed_backend]
    # Copies that do not meet are withheld after two ends; then the bound counts from the second.
    counted_s = ends[:3][-1]
    later = [a for a in context.mortals.arrivals() if a.arrived_s > counted_s + 0.5]
    assert len(later) <= most, context.mortals.story()
