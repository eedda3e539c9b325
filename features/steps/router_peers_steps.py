import itertools
import time

import msgspec
from behave import given, then, when
from router_narrow_steps import configuration, in_loop
from support.router_world import table
from support.slow_peer import EmptyPeer, SlowPeer, peer_state

from yokedock.connection.state_source import StateSnapshot

sequences = itertools.count(1)
HEARD_TIMES = 300
"""Datagrams of one measurement; each takes some 20 to 100 microseconds."""


def second_address(context, host):
    port = context.router.settings.fleet.address.rpartition(":")[2]
    return f"{host}:{port}"


@given("a second router that knows version {version:d}")
def second_knows(context, version):
    entries = {name: context.world.entry(name) for name in context.world.backends}
    snapshot = StateSnapshot(context.router.position, table(version), entries)
    context.world.position = context.router.position.revision
    seeds = (context.router.settings.fleet.address,)
    address = second_address(context, "127.0.0.2")
    context.second = context.world.start_router(snapshot, seeds, address)
    context.world.wait_for(lambda: context.router._gossip.alive(), "heard")


@when(
    "the store gets version {older:d} and at once version {newer:d}, "
    "which the link carries in {seconds:g} s"
)
def publish_two(context, older, newer, seconds):
    def publish():
        context.store.publish(configuration(older))
        context.store.publish(configuration(newer, seconds))

    context.published_s = time.monotonic()
    in_loop(context, publish)


@when("{pause_s:g} s later the second router learns of version {version:d}")
def second_learns(context, pause_s, version):
    time.sleep(pause_s)
    context.world.tell(context.second, new_table=table(version))


@given("the second router hears a third that is ahead and whose answer hardly flows")
def slow_third(context):
    peer = SlowPeer(second_address(context, "127.0.0.3"), context.second.settings.fleet.address)
    context.world.run(peer.start())
    context.world.wait_for(lambda: peer.asked, "the third router is asked")
    context.published_s = time.monotonic()


def cost_of_hearing(router, count):
    """Return the seconds of processor time for one datagram, with so many routers heard."""
    began_s = 0.0
    for n in range(count + HEARD_TIMES):
        if n == count:
            began_s = time.thread_time()
        data = msgspec.msgpack.encode(peer_state(0, 0, next(sequences)))
        router._gossip.datagram_received(data, (f"10.9.{n % count // 250}.{n % count % 250}", 1))
    return (time.thread_time() - began_s) / HEARD_TIMES


@then("hearing one of {many:d} costs it less than {times:d} times what one of {few:d} costs")
def cost_ratio(context, many, times, few):
    async def measure(count):
        return cost_of_hearing(context.router, count)

    small = min(context.world.run(measure(few)) for _ in range(3))
    large = min(context.world.run(measure(many)) for _ in range(3))
    assert large < times * small, f"{large * 1e6:.0f} of {small * 1e6:.0f} microseconds"


@given("the router hears a second that is ahead by its word and has nothing to give")
def empty_second(context):
    address = second_address(context, "127.0.0.3")
    context.peer = EmptyPeer(address, context.router.settings.fleet.address)
    context.world.run(context.peer.start())
    context.world.wait_for(lambda: context.peer.asked, "the second router is asked")


@then("the router asks it at most {most:d} times in {span_s:g} s")
def asks_at_most(context, most, span_s):
    before = context.peer.asked
    time.sleep(span_s)
    asked = context.peer.asked - before
    assert 0 < asked <= most, asked
