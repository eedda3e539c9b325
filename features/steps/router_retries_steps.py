"""Many requests that break at the same moment; the stand-ins' ledgers judge the repeats.

Seen: more repeats in a window than the budget allows. How it came about: each request looked at
the budget when it broke and was charged when it reached its next engine, so that all requests of
one dark engine passed on the same room. What proved it: the arrivals that the stand-ins counted.
"""

import collections

from behave import given, then, when
from router_steps import STREAM_HEADERS, caller, decode_engines, share_faults, world
from support.router_world import request_bytes

from yokedock.process.router_settings import RetrySettings


@given("a router that knows them and may repeat {count:d} times in a window")
def router_with_budget(context, count):
    retries = RetrySettings(ratio=0.0, allowance=count)
    context.router = world(context).start_router(context.world.snapshot(), retries=retries)
    context.world.wait_for(lambda: context.router.is_ready, "ready")


@given("a router that knows them, started anew, and may repeat {count:d} times in a window")
def router_started_anew(context, count):
    retries = RetrySettings(ratio=0.0, allowance=count)
    snapshot = world(context).snapshot()
    context.router = context.world.start_router(snapshot, retries=retries, is_first_start=False)
    context.world.wait_for(lambda: context.router.is_ready, "ready")


@given("a second router that is heard and then ends")
def second_router_ends(context):
    first = context.router.settings.fleet.address
    address = f"127.0.0.2:{first.rpartition(':')[2]}"
    second = context.world.start_router(context.world.snapshot(), (first,), address)
    gossip = context.router._gossip
    context.world.wait_for(lambda: gossip.fleet_size() == 2, "the second is heard")
    context.world.loop.call_soon_threadsafe(second.stop_event.set)
    context.world.wait_for(lambda: gossip.fleet_size() == 1, "the second is silent")


@given("the prefill engines refuse everything")
def prefills_refuse(context):
    for backend in context.world.backends.values():
        if backend.role == "prefill":
            backend.faults = ["refuse"] * 50


@given('the next faults of the decode engines are "{first}", then "{second}"')
def faults_in_turn(context, first, second):
    share_faults(decode_engines(context), first, second)


@when("all engines have dropped their prompts")
def prompts_dropped(context):
    for backend in context.world.backends.values():
        context.world.loop.call_soon_threadsafe(backend.cache.clear)


@when('{count:d} clients stream on "{name}" and engine "{engine}" holds them after event {last:d}')
def hold_streams(context, count, name, engine, last):
    context.world.backends[engine].faults = [f"wait after event {last}"] * count
    context.callers = [caller(context) for _ in range(count)]
    for number, sender in enumerate(context.callers):
        sender.send(request_bytes(name, headers=STREAM_HEADERS, request_id=f"r-{number}"))
        sender.read_until(b"id: %d\n" % last)


@when('a decode engine "{fresh}" is listed and "{broken}" breaks them all at one moment')
def break_streams(context, fresh, broken):
    context.world.add_backend(fresh, "llm", "decode")
    context.world.tell(context.router, changed=[context.world.entry(fresh)])
    context.world.run(context.world.backends[broken].stop())


@then("all clients have an end")
def all_end(context):
    for sender in context.callers:
        sender.read_to_end_of_response()


@then(
    "the engines got at least {least:d} and at most {most:d} arrivals"
    " beyond the first of each request"
)
def extra_arrivals(context, least, most):
    extras = sum(extras_by_request(context).values())
    assert least <= extras <= most, extras_by_request(context)


@then("the engines got at most {most:d} arrivals beyond the first of the request")
def arrivals_of_one(context, most):
    arrivals = [a for backend in context.world.backends.values() for a in backend.arrivals]
    asked = [a for a in arrivals if a.method != "DELETE"]
    refused = [a for a in asked if a.header("X-Stage") == "prefill"]
    assert refused and len(asked) - 1 <= most, asked


@then("the router tells that it made repeats and that it denied some")
def tells_repeats(context):
    levels = context.router._allowance.levels()
    assert levels["retries_made"] > 0 and levels["retries_denied"] > 0, levels


def extras_by_request(context):
    """Return the arrivals beyond the first run, and the first prefill, by request."""
    counts = collections.Counter()
    for backend in context.world.backends.values():
        for arrival in backend.arrivals:
            if arrival.method != "DELETE":
                counts[arrival.header("X-Request-Id"), arrival.header("X-Stage")] += 1
    extras = collections.Counter()
    for (request_id, _), count in counts.items():
        extras[request_id] += count - 1
    return extras
