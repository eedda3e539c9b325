import time

import msgspec
from behave import given, step, when
from engine_versions_steps import set_decode_faults
from router_steps import decode_engines
from support.resuming_client import ResumingClient
from support.router_cuts import cut_from_routers, cut_from_source
from support.router_world import table

from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import StateChanges, StateSnapshot
from yokedock.request.stream_origins import StreamOrigins
from yokedock.router_errors import HistoryUnavailable

CLIENTS = 10
EARLIER_TRIES = 100
LISTED_TOKENS = 120
"""Enough for a part of a prompt to be listed by the cache of an engine."""


class LongPromptClient(ResumingClient):
    """A caller whose prompt the caches of engines list."""

    prompt_tokens = LISTED_TOKENS


@step("the last router is cut off from its source and the other routers at once")
def cut_off(context):
    cut_from_source(context.world, context.routers[-1])
    cut_from_routers(context.world, context.routers[-1])


@step("the last router is cut off from its source and the other routers {length_s:f} s earlier")
def cut_off_before(context, length_s):
    cut_off(context)
    time.sleep(length_s)


@given("the last router is cut off from the other routers")
def cut_off_from_routers(context):
    cut_from_routers(context.world, context.routers[-1])


@given("the engines stated no version before")
def unstated(context):
    entries = [
        msgspec.structs.replace(entry, version="")
        for entry in context.world.snapshot().backends.values()
    ]
    for router in context.routers:
        context.world.tell(router, entries)


@given('all clients have streamed on "{route}" before')
def streamed_before(context, route):
    context.client_type = LongPromptClient
    for number in range(CLIENTS):
        LongPromptClient(context.world, number, route, EARLIER_TRIES).begin(context.routers[0])


@given(
    'version "{version}" joins on engines "{prefill}", "{first}" and "{second}" at {where} routers,'
    " and v1 {stays}"
)
def joins(context, version, prefill, first, second, where, stays):
    world = context.world
    old = [backend for backend in world.backends.values() if backend.version != version]
    for name, role in ((prefill, "prefill"), (first, "decode"), (second, "decode")):
        world.add_backend(name, "llm", role)
        world.backends[name].version = version
    gone = [backend.name for backend in old] if stays == "leaves" else []
    told = context.routers if where == "all" else context.routers[:-1]
    joined = [world.entry(name) for name in (prefill, first, second)]
    context.missed = (joined, gone)
    for router in told:
        world.tell(router, joined, gone)


@given("the last router reads these changes {delay_s:f} s after it is first asked for its position")
def reads_late(context, delay_s):
    world, source = context.world, context.routers[-1].source
    joined, gone = context.missed
    world.position += 1
    position = SourcePosition(0, world.position)
    changes = StateChanges(position, None, tuple(joined), tuple(gone))
    asked = source.current_position

    async def current_position():
        world.loop.call_later(delay_s, source.tell, changes)
        source.current_position = asked
        return position

    source.current_position = current_position


@when('the last router reads the whole list after "{first}", "{second}" and "{third}" are gone')
def reads_whole(context, first, second, third):
    world, router = context.world, context.routers[-1]
    entries = {
        name: world.entry(name) for name in world.backends if name not in (first, second, third)
    }
    world.position += 1
    position = SourcePosition(0, world.position)
    router.source.snapshot = StateSnapshot(position, table(1), entries)
    router.source.position = position
    world.loop.call_soon_threadsafe(
        router.source._changes.put_nowait, HistoryUnavailable("the history was dropped")
    )
    world.wait_for(lambda: router.position == position, "the whole list is read")


@given("no router reaches its source")
def no_source(context):
    for router in context.routers:
        cut_from_source(context.world, router)


@step("all records of streams are lost")
def records_lost(context):
    for router in context.routers:
        router._origins._origins = StreamOrigins()


@when("each client resumes at the last router without naming its first request")
def resume_unnamed(context):
    set_decode_faults(context, "")
    assert decode_engines(context)
    for client in context.clients:
        client.resume(context.routers[-1], names_first=False)
