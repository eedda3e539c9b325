import threading
import time

from behave import step, when
from engine_versions_steps import set_decode_faults
from stale_router_steps import joins
from support.resuming_client import ResumingClient


def named(context, version):
    """Return the names of the backends of a version."""
    return [b.name for b in context.world.backends.values() if b.version == version]


@step('version "{old}" is listed again and "{new}" is gone for {gone_s:f} s')
def roll_back(context, old, new, gone_s):
    world = context.world
    for router in context.routers:
        world.tell(router, [world.entry(name) for name in named(context, old)], named(context, new))
    time.sleep(gone_s)


@when(
    '{count:d} clients stream on "{route}" and their engines break off once "{version}" has joined'
    ' on "{prefill}", "{first}" and "{second}" and v1 {stays}'
)
def break_midway(context, count, route, version, prefill, first, second, stays):
    world = context.world
    old = list(world.backends.values())
    set_decode_faults(context, "wait after event 2")
    context.clients = [ResumingClient(world, number, route) for number in range(count)]
    callers = [
        threading.Thread(target=client.begin, args=(context.routers[0],))
        for client in context.clients
    ]
    for caller in callers:
        caller.start()
    world.wait_for(lambda: sum(b.events_written for b in old) >= 2 * count, "streams have begun")
    time.sleep(0.2)
    set_decode_faults(context, "")
    joins(context, version, prefill, first, second, "all", stays)
    for backend in old:
        world.loop.call_soon_threadsafe(backend.break_off)
    for caller in callers:
        caller.join()
