"""A request that ends every backend which begins to run it, and comes again at any router.

Seen: one request was sent to backends again and again and ended sixteen of them in ten seconds. How
it came about: its caller sent it again, with a new id, to whichever router; each took it for a new
request and moved it on as often as its route allows. What caused it: nothing was kept of a request
beyond one attempt, and nothing about it was told to the other routers. What proved it: the ends
that the stand-ins counted.
"""

import time

from behave import given, then, when
from router_steps import STREAM_HEADERS, caller, world
from support.mortal_backends import MARK, MortalBackends
from support.router_world import request_bytes

PAUSE_S = 0.15
"""Between two sends: backends that ended are back after 0.1 s."""


@given('decode engines "d", "e", "f" and "g"')
def four_decode_engines(context):
    for name in "defg":
        world(context).add_backend(name, "llm", "decode")


@given("two routers that hear each other")
def two_routers(context):
    first = world(context).start_router(context.world.snapshot())
    seed = first.settings.fleet.address
    address = f"127.0.0.2:{seed.rpartition(':')[2]}"
    second = context.world.start_router(context.world.snapshot(), (seed,), address)
    context.routers = [first, second]
    for router in context.routers:
        context.world.wait_for(lambda r=router: r.is_ready, "ready")
        context.world.wait_for(lambda r=router: r._gossip.fleet_size() == 2, "both are heard")


@given("backends end when they run a certain request, and come back as new ones")
def mortal_backends(context):
    context.mortals = MortalBackends(context.world, context.routers)


@when('a caller sends that request on "{name}" {count:d} times, at the routers in turn')
def send_in_turn(context, name, count):
    context.answers = []
    for number in range(count):
        router = context.routers[number % len(context.routers)]
        context.answers.append(send_once(context, router, name, MARK, f"c-{number}"))
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
    assert 0 < ended <= most, f"{ended} backends ended"


@then("at most {most:d} more arrivals of it came after the third end")
def few_more(context, most):
    ends = [a.arrived_s for a in context.mortals.arrivals() if a.ended_backend]
    if len(ends) < 3:
        return
    later = [a for a in context.mortals.arrivals() if a.arrived_s > ends[2]]
    assert len(later) <= most, f"{len(later)} arrivals came after the third end"


@then("its last answer is {status:d} with a time to come back")
def last_answer(context, status):
    answer = context.answers[-1]
    assert answer is not None and answer[0] == status, answer
    assert float(answer[1]["retry-after"]) > 0, answer
