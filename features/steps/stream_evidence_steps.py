import base64
import json
import threading
import time

from behave import given, step, when
from engine_versions_steps import set_decode_faults
from stale_router_steps import joins
from support.entry_properties import VALID_ENTRY
from support.resuming_client import ResumingClient

from yokedock.connection.source_position import SourcePosition
from yokedock.platform.store import StoredItem, items_to_changes


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


@given('"{name}" leaves and is gone in one response of the source')
def leaves_at_once(context, name):
    tell_in_one_response(context, context.routers, name, "draining")


@when('the last router hears in one response that "{name}" has joined and is gone')
def joins_and_leaves(context, name):
    tell_in_one_response(context, context.routers[-1:], name, "ready")


def tell_in_one_response(context, routers, name, state):
    """Tell routers that a backend was in a state and is gone."""
    world, key = context.world, f"servers/{name}"
    backend = world.backends[name]
    stated = {"address": backend.address, "version": backend.version, "state": state}
    value = base64.b64encode(json.dumps({**VALID_ENTRY, **stated}).encode()).decode()
    world.position += 1
    items = (StoredItem(key, value, 2), StoredItem(key, revision=3, gone=True))
    changes = items_to_changes(items, SourcePosition(0, world.position))
    assert changes.gone == (name,) and not changes.undecoded
    for router in routers:
        world.loop.call_soon_threadsafe(router.source.tell, changes)
    for router in routers:
        reached = lambda r=router: r.position.revision >= world.position  # noqa: E731
        world.wait_for(reached, "changes applied")
