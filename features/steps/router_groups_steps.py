import asyncio

from behave import given, then, when
from support.router_world import RouterWorld, free_address

from yokedock.base.clock import boot_time_s

SAMPLE_S = 0.01
MEETING_S = 1.0
"""Within it every router must know of the other group: three datagrams at the interval of 0.3 s."""
WATCH_S = 16.0
"""Longer than the time for a vote to change twice."""
HOSTS = [f"127.0.0.{number}" for number in range(71, 76)]


def start_group(context, hosts):
    seeds = (f"{hosts[0]}:{context.port}",)
    routers = [
        context.world.start_router(context.world.snapshot(), seeds, f"{host}:{context.port}")
        for host in hosts
    ]
    context.routers += routers
    context.world.wait_for(lambda: any(token(router) for router in routers), "a leader")
    return routers


def token(router):
    return router._gossip_handler.fencing_token()


async def record_terms(context):
    """Record who may give orders, with which token and when."""
    while True:
        for router in context.routers:
            held = token(router)
            if held is not None:
                holder = router.settings.fleet.address
                context.terms.append((boot_time_s(), holder, held))
        await asyncio.sleep(SAMPLE_S)


@given("a group of {first:d} routers and a later group of {later:d}, each with a leader")
def two_groups(context, first, later):
    context.world = RouterWorld()
    context.add_cleanup(context.world.close)
    context.port = free_address().rpartition(":")[2]
    context.routers, context.terms = [], []
    context.first = start_group(context, HOSTS[:first])
    context.later = start_group(context, HOSTS[first : first + later])


@when("one router of the {which} group gets a member of the other as a new seed")
def learn(context, which):
    groups = {"first": (context.first, context.later), "later": (context.later, context.first)}
    own, other = groups[which]
    host = other[-1].settings.fleet.address.rpartition(":")[0]

    async def replace_seeds():
        context.recording = asyncio.create_task(record_terms(context))
        await asyncio.sleep(10 * SAMPLE_S)
        own[-1]._gossip.replace_seeds((host,))

    context.world.run(replace_seeds())
    context.met_s = boot_time_s()


@then("all {count:d} routers hear each other")
def all_hear(context, count):
    def do_hear():
        return all(router._gossip.fleet_size() == count for router in context.routers)

    context.world.wait_for(do_hear, "all hear each other")
    assert boot_time_s() - context.met_s < MEETING_S, boot_time_s() - context.met_s


@then("from {span_s:g} s later on nobody may give orders within a lease of another leader")
def no_turns(context, span_s):
    context.world.run(asyncio.sleep(WATCH_S))
    lease_s = context.routers[0].settings.fleet.lease_s
    last = {}
    for at_s, holder, held in context.terms:
        last[holder] = at_s
        if at_s < context.met_s + span_s:
            continue
        for other, other_s in last.items():
            turn = f"{holder} (token {held}) {at_s - other_s:.3f} s after {other}"
            assert other == holder or at_s - other_s >= lease_s, turn


@then("one router leads, with a higher fencing token than any before")
def one_leads(context):
    recent = {(holder, held) for at_s, holder, held in context.terms if at_s > boot_time_s() - 1.0}
    assert len(recent) == 1, recent
    ((holder, held),) = recent
    earlier = {term[1:] for term in context.terms} - recent
    assert all(held > other for _, other in earlier), (holder, held, earlier)
