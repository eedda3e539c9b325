"""Backends that name in their answers how many requests a second they take."""

import time

from behave import given, then, when
from router_steps import world
from support.steady_load import SteadyLoad, call_builder, stream_builder

WINDOW_S = 4.0
SLACK_SHARE = 1.5
SLACK = 5
TOLD_S = 0.5
"""The users' bound: in any window one and a half times what the limit allows and five more, from
half a second after routers were told."""


@given("{count:d} routers that hear each other")
def several_routers(context, count):
    first = world(context).start_router(context.world.snapshot())
    seed = first.settings.fleet.address
    port = seed.rpartition(":")[2]
    context.routers = [first]
    for number in range(2, count + 1):
        address = f"127.0.0.{number}:{port}"
        router = context.world.start_router(context.world.snapshot(), (seed,), address)
        context.routers.append(router)
    for router in context.routers:
        context.world.wait_for(lambda r=router: r.is_ready, "ready")
        context.world.wait_for(lambda r=router: r._gossip.fleet_size() == count, "all are heard")


@given('backend "{name}" takes {count:d} connections and resets any more')
def takes_connections(context, name, count):
    context.world.backends[name].max_connections = count


@when("a router joins them")
def router_joins(context):
    seed = context.routers[0].settings.fleet.address
    size = len(context.routers) + 1
    address = f"127.0.0.{size}:{seed.rpartition(':')[2]}"
    context.routers.append(context.world.start_router(context.world.snapshot(), (seed,), address))
    for router in context.routers:
        context.world.wait_for(lambda r=router: r._gossip.fleet_size() == size, "all are heard")


@when('{count:d} clients of the newest router send POST on "{route}" for {span_s:g} s')
def send_to_newest(context, count, route, span_s):
    context.load = SteadyLoad(context.world, context.routers[-1:], count, call_builder(route))
    context.load.run(span_s)


@then('"{name}" reset no connection')
def no_reset(context, name):
    resets = context.world.backends[name].resets
    assert not resets, f"{resets} connections were reset"


@given('backend "{name}" names a limit of {limit} requests a second')
def names_limit(context, name, limit):
    context.limit_per_s = float(limit)
    context.world.backends[name].limit = limit


@when('backend "{name}" names no limit any more')
def names_no_limit(context, name):
    context.world.backends[name].limit = None


@given('backend "{name}" fails every request')
def fails_all(context, name):
    context.world.backends[name].faults = ["error"] * 10_000


@when('{count:d} clients of each router send POST on "{route}" for {span_s:g} s')
def send_steadily(context, count, route, span_s):
    run_load(context, count, call_builder(route), span_s)


@when(
    '{later_s:g} s later {count:d} clients of each router send POST on "{route}" for {span_s:g} s'
)
def send_steadily_later(context, later_s, count, route, span_s):
    time.sleep(later_s)
    run_load(context, count, call_builder(route), span_s)


@when('{count:d} clients of each router stream on "{route}" for {span_s:g} s')
def stream_steadily(context, count, route, span_s):
    run_load(context, count, stream_builder(route), span_s)


def run_load(context, count, make_request, span_s):
    routers = getattr(context, "routers", None) or [context.router]
    context.load = SteadyLoad(context.world, routers, count, make_request)
    context.span_s = span_s
    context.load.run(span_s)
    assert len(context.load.served) > 5, "hardly anything was sent"


@then("all of them are served")
@then("all of these are served")
def all_served(context):
    others = [one for one in context.load.served if one.status != 200]
    assert not others, f"{len(others)} of {len(context.load.served)}: {others[:3]}"


@then('"{name}" was never given more than its limit allows')
def within_limit(context, name):
    times = [a.arrived_s for a in context.world.backends[name].arrivals]
    times = [at_s for at_s in times if at_s > times[0] + TOLD_S]
    allowed = SLACK_SHARE * WINDOW_S * context.limit_per_s + SLACK
    most = max((count_from(times, at_s) for at_s in times), default=0)
    assert most <= allowed, f"{most} in {WINDOW_S} s, {allowed} allowed"


def count_from(times, since_s):
    return sum(since_s <= at_s < since_s + WINDOW_S for at_s in times)


@then('"{name}" was given at least {share:g} of its limit')
def limit_used(context, name, share):
    times = [a.arrived_s for a in context.world.backends[name].arrivals]
    granted = context.limit_per_s * (context.span_s - TOLD_S)
    used = sum(at_s > times[0] + TOLD_S for at_s in times)
    assert used >= share * granted, f"{used} of {granted}"


@then("whoever was refused was told so within {limit_s:g} s, with a time to come back")
def refused_at_once(context, limit_s):
    refused = [one for one in context.load.served if one.status != 200]
    assert refused, "nobody was refused"
    for one in refused:
        idle_s = context.load.without_processor_s(one)
        is_soon = one.status == 503 and one.took_s - idle_s < limit_s
        assert is_soon, f"{one}; the process had no processor for {idle_s:.3f} s of that"
        assert float(one.headers["retry-after"]) > 0, one


@then("nothing that was refused reached a backend")
def refused_did_not_run(context):
    refused = {one.request_id for one in context.load.served if one.status != 200}
    backends = context.world.backends.values()
    reached = {a.header("X-Request-Id") for b in backends for a in b.arrivals}
    assert not refused & reached, refused & reached


@then('no prompt was read twice by "{name}"')
def read_once(context, name):
    arrivals = context.world.backends[name].arrivals
    read = [a.header("X-Request-Id") for a in arrivals if a.method != "DELETE"]
    assert len(read) == len(set(read)), f"{len(read) - len(set(read))} read again"
