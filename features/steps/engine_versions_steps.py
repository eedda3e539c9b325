import time

from behave import given, step, then, when
from router_steps import decode_engines, share_fault, world
from support.resuming_client import ResumingClient

from yokedock.process.router_settings import RetrySettings

AMPLE_RETRIES = RetrySettings(allowance=1000.0)
UNLISTED_S = 1.2
"""Longer than an engine that is no longer listed may serve as a last resort."""
MANY = 100


@given('version "{version}" runs on {role} engine "{name}"')
def versioned_engine(context, role, name, version):
    world(context).add_backend(name, "llm", role)
    context.world.backends[name].version = version


@given("a fleet of {count:d} routers")
def fleet(context, count):
    context.routers = []
    for _ in range(count):
        context.routers.append(start_member(context, len(context.routers), is_first_start=True))
    wait_until_all_hear(context)


def start_member(context, place, is_first_start):
    """Start the router of a place in the fleet; the first one is the seed of the others."""
    if not hasattr(context, "fleet_port"):
        router = context.world.start_router(context.world.snapshot(), retries=AMPLE_RETRIES)
        context.fleet_port = router.settings.fleet.address.rpartition(":")[2]
        return router
    hosts = [f"127.0.0.{number}:{context.fleet_port}" for number in range(1, 4)]
    return context.world.start_router(
        context.world.snapshot(),
        hosts,
        hosts[place],
        retries=AMPLE_RETRIES,
        is_first_start=is_first_start,
    )


def wait_until_all_hear(context):
    routers = context.routers
    is_ready = lambda: all(r.is_ready for r in routers)  # noqa: E731
    hear = lambda: all(r._gossip.fleet_size() == len(routers) for r in routers)  # noqa: E731
    context.world.wait_for(lambda: is_ready() and hear(), "all routers hear each other")


def replace(context, place):
    context.world.kill_router(context.routers[place])
    context.routers[place] = start_member(context, place, is_first_start=False)


@when('{count:d} clients stream on "{route}" and lose their connection after {last:d} events')
def stream_and_lose(context, count, route, last):
    set_decode_faults(context, f"wait after event {last}")
    client_type = getattr(context, "client_type", ResumingClient)
    context.clients = [client_type(context.world, n, route) for n in range(count)]
    for client in context.clients:
        client.begin(context.routers[0], last)
        assert client.has_each_event_once(last), client.events
    set_decode_faults(context, "")


@when('{count:d} clients stream on "{route}" and the engine of each breaks off within event {at:d}')
def stream_and_break(context, count, route, at):
    context.clients = [ResumingClient(context.world, n, route) for n in range(count)]
    for client in context.clients:
        share_fault(decode_engines(context), f"break within event {at}")
        client.begin(context.routers[0])


@when(
    '{count:d} clients stream on "{route}" and the engine of each breaks off for good'
    " within event {at:d}"
)
def stream_and_break_for_good(context, count, route, at):
    context.clients = [ResumingClient(context.world, n, route) for n in range(count)]
    for client in context.clients:
        for engine in decode_engines(context):
            engine.faults = [f"break within event {at}"]
            engine.crashes_after_break = True
        client.begin(context.routers[0])


@when(
    '{count:d} clients stream on "{route}" and the engine of each pauses for {pause_s:f} s'
    " after event {last:d}"
)
def stream_and_pause(context, count, route, pause_s, last):
    context.clients = [ResumingClient(context.world, n, route) for n in range(count)]
    for client in context.clients:
        share_fault(decode_engines(context), f"pause {pause_s:g} s after event {last}")
        client.begin(context.routers[0])


def set_decode_faults(context, fault):
    for engine in decode_engines(context):
        engine.faults = [fault] * MANY if fault else []


@step("all engines evict their prompts")
def evict(context):
    for backend in context.world.backends.values():
        backend.cache = {}


@step("nothing else happens")
def nothing(context):
    pass


@step("the router that served them is killed")
def kill_first(context):
    replace(context, 0)
    wait_until_all_hear(context)


@step("the other routers are killed and replaced twice")
def kill_others_twice(context):
    for _ in range(2):
        for place in (0, 1):
            replace(context, place)
        wait_until_all_hear(context)


@step("all routers are killed and replaced")
def kill_all(context):
    for router in context.routers:
        context.world.kill_router(router)
    for place in range(len(context.routers)):
        context.routers[place] = start_member(context, place, is_first_start=False)
    wait_until_all_hear(context)


def router_at(context, where):
    places = {"the same router": 0, "a new router": 0, "another router": 1}
    return context.routers[places.get(where, 2)]


@step("each client resumes its stream at {where}")
def resume(context, where):
    for client in context.clients:
        client.resume(router_at(context, where))


@step("each client resumes at another router without naming its first request")
def resume_unnamed(context):
    for client in context.clients:
        client.resume(context.routers[1], names_first=False)


@step("each client resumes at another router and loses its connection after {count:d} events")
def resume_and_lose(context, count):
    last = len(context.clients[0].events) + count
    set_decode_faults(context, f"wait after event {last}")
    for client in context.clients:
        client.resume(context.routers[1], last)
    set_decode_faults(context, "")


@step('the list says that all engines of "{version}" are gone, a while ago')
def version_gone(context, version):
    names = [b.name for b in context.world.backends.values() if b.version == version]
    leave(context, names)


@step('the list says that "{first}" and "{second}" are gone, a while ago')
def two_gone(context, first, second):
    leave(context, [first, second])


def leave(context, names):
    for router in context.routers:
        context.world.tell(router, gone=names)
    time.sleep(UNLISTED_S)


@then("no client holds events of two versions")
def not_mixed(context):
    mixed = [client.events for client in context.clients if len(client.versions()) > 1]
    assert not mixed, f"{len(mixed)} of {len(context.clients)}, {mixed[0]}"


@then("each client has {count:d} events, each once and in order")
def all_events(context, count):
    require_events(context.clients, count)


@then('each client of "{version}" has {count:d} events, each once and in order')
def all_events_of_version(context, version, count):
    require_events([c for c in context.clients if c.versions() == {version}], count)


def require_events(clients, count):
    short = [(c.status, c.events) for c in clients if not c.has_each_event_once(count)]
    assert clients and not short, f"{len(short)} of {len(clients)}, {short[0]}"


@then("each client has {count:d} events and no end")
def no_end(context, count):
    for client in context.clients:
        assert client.has_each_event_once(count) and not client.is_whole, client.events


@then("each client was refused with {status:d} within {limit_s:f} s")
def refused(context, status, limit_s):
    require_refused(context.clients, status, limit_s)


@then('each client of "{version}" was refused with {status:d} within {limit_s:f} s')
def refused_of_version(context, version, status, limit_s):
    require_refused([c for c in context.clients if c.versions() == {version}], status, limit_s)


def require_refused(clients, status, limit_s):
    wrong = [c for c in clients if c.status != status or c.took_s >= limit_s]
    assert clients and not wrong, [(c.status, round(c.took_s, 2)) for c in wrong]


@then("no engine was asked to run a resumed stream")
def none_resumed(context):
    runs = [a for b in decode_engines(context) for a in b.arrivals if a.header("Last-Event-Id")]
    assert not runs, runs
