import time

from behave import given, step, then, when
from router_narrow_steps import configuration, in_loop, store
from support.router_world import RawCaller, request_bytes

from yokedock.platform.documents import DRAINING, StoredServer

ROUTE = "route-00000"
PAUSE_S = 0.02


@given("a metadata store that lists them")
def listing_store(context):
    store(context)


@given("the store holds versions {first:d} to {last:d}")
def holds_versions(context, first, last):
    for version in range(first, last + 1):
        in_loop(context, context.store.publish, configuration(version))


@given("the store tells its era")
def tells_era(context):
    context.store.tells_era = True


@given("the store does not tell its era")
def tells_no_era(context):
    context.store.tells_era = False


def write_entry(context, name, state):
    backend = context.world.backends[name]
    server = StoredServer(backend.service, backend.address, "", 1, state, "v1", 0.0, 1)
    context.store.put_server(name, server)


@given('backend "{name}" is listed last')
def listed_last(context, name):
    in_loop(context, context.store.remove_server, name)
    in_loop(context, write_entry, context, name, "ready")


@given('backend "{name}" is listed last and "{other}" has gone')
def listed_last_alone(context, name, other):
    listed_last(context, name)
    in_loop(context, context.store.remove_server, other)


@step('backend "{name}" says in the list that it leaves')
def says_leaving(context, name):
    in_loop(context, write_entry, context, name, DRAINING)


@given('backend "{name}" goes from the list')
def goes(context, name):
    in_loop(context, context.store.remove_server, name)


@given("the router knows that it did")
def is_known(context):
    def is_told():
        return len(context.router._registry.entries()) == len(context.world.backends) - 1

    context.world.wait_for(is_told, "a leaving")


@when('backend "{name}" is listed again')
def listed_again(context, name):
    in_loop(context, write_entry, context, name, "ready")


def restore(context, away_s, lost, meanwhile=lambda: None):
    def end():
        context.store.restore_copy(lost)
        meanwhile()
        context.store.come_back()

    in_loop(context, context.store.go_away)
    time.sleep(away_s)
    in_loop(context, end)
    context.returned_s = time.monotonic()


@when("the store is away for {away_s:g} s and comes back from a copy {lost:d} revisions older")
@when("the store is away for {away_s:g} s and comes back from a copy {lost:d} revision older")
def restored(context, away_s, lost):
    restore(context, away_s, lost)


@when(
    "the store is away for {away_s:g} s and comes back from a copy {lost:d} revisions older, "
    'and "{name}" goes again'
)
def restored_without(context, away_s, lost, name):
    restore(context, away_s, lost, lambda: context.store.remove_server(name))


@when(
    "the store is away for {away_s:g} s, comes back from a copy {lost:d} revisions older, "
    'and meanwhile "{name}" leaves and versions {first:d} to {last:d} are written'
)
def restored_and_written(context, away_s, lost, name, first, last):
    def meanwhile():
        write_entry(context, name, DRAINING)
        for version in range(first, last + 1):
            context.store.publish(configuration(version))

    restore(context, away_s, lost, meanwhile)


def call(context, router):
    """Send one call; return its status."""
    caller = RawCaller(context.world, router.settings.callers.listen)
    caller.send(request_bytes(ROUTE, body=b"abc"))
    status = caller.read_answer()[0]
    in_loop(context, caller.close)
    return status


def reached(context, router, later_s, count):
    """Return the names of the backends that calls reach."""
    time.sleep(later_s)
    before = {name: len(b.arrivals) for name, b in context.world.backends.items()}
    for _ in range(count):
        assert call(context, router) == 200
    after = context.world.backends.items()
    return {name for name, backend in after if len(backend.arrivals) > before[name]}


@then('{later_s:g} s later {count:d} calls reach backend "{name}" alone')
def reach_one(context, later_s, count, name):
    assert reached(context, context.router, later_s, count) == {name}


@then('{later_s:g} s later {count:d} calls to the second router reach backend "{name}" alone')
def second_reaches_one(context, later_s, count, name):
    assert reached(context, context.second, later_s, count) == {name}


@then('{later_s:g} s later the router may send calls to "{name}" and "{other}"')
def may_send_to_both(context, later_s, name, other):
    time.sleep(later_s)
    usable = {backend.entry.instance for backend in context.router._registry.usable("plain")}
    assert usable == {name, other}, usable


@then("calls for {span_s:g} s are all answered")
def all_answered(context, span_s):
    until_s = time.monotonic() + span_s
    while time.monotonic() < until_s:
        status = call(context, context.router)
        assert status == 200, status
        time.sleep(PAUSE_S)


@then("the store is called at most {most:d} times in {span_s:g} s")
def few_calls(context, most, span_s):
    before = context.store.calls
    time.sleep(span_s)
    called = context.store.calls - before
    assert 0 < called <= most, called


@then("{later_s:g} s later the router still has version {version:d}")
def still_has(context, later_s, version):
    time.sleep(later_s)
    assert context.router.version == version
