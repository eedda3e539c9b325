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


@given("the store reports its era")
def reports_era(context):
    context.store.reports_era = True


@given("the store does not report its era")
def reports_no_era(context):
    context.store.reports_era = False


def write_entry(context, name, state):
    backend = context.world.backends[name]
    server = StoredServer(backend.service, backend.address, "", 1, state, "v1", 0.0, 1)
    context.store.put_server(name, server)


@given('backend "{name}" is written last')
def written_last(context, name):
    in_loop(context, context.store.remove_server, name)
    in_loop(context, write_entry, context, name, "ready")


@given('backend "{name}" is written last and "{other}" is removed')
def written_last_alone(context, name, other):
    written_last(context, name)
    in_loop(context, context.store.remove_server, other)


@step('backend "{name}" is listed as leaving')
def listed_as_leaving(context, name):
    in_loop(context, write_entry, context, name, DRAINING)


@given('backend "{name}" is removed from the list')
def removed(context, name):
    in_loop(context, context.store.remove_server, name)


@given("the router has applied that change")
def applied(context):
    context.world.wait_for(lambda: usable(context) == {"b"}, "the change applied")


def usable(context):
    """Return the names of the backends that the router may send calls to."""
    return {backend.entry.instance for backend in context.router._registry.usable("plain")}


@when('backend "{name}" is written again')
def written_again(context, name):
    in_loop(context, write_entry, context, name, "ready")


def restore(context, down_s, lost, before_answering=lambda: None):
    def restore_and_answer():
        context.store.restore_backup(lost)
        before_answering()
        context.store.go_online()

    in_loop(context, context.store.go_offline)
    time.sleep(down_s)
    in_loop(context, restore_and_answer)
    context.returned_s = time.monotonic()


@when("the store is down for {down_s:g} s and is restored from a backup {lost:d} revisions older")
@when("the store is down for {down_s:g} s and is restored from a backup {lost:d} revision older")
def restored(context, down_s, lost):
    restore(context, down_s, lost)


@when(
    "the store is down for {down_s:g} s and is restored from a backup {lost:d} revisions older, "
    'and "{name}" is removed again'
)
def restored_without(context, down_s, lost, name):
    restore(context, down_s, lost, lambda: context.store.remove_server(name))


@when(
    "the store is down for {down_s:g} s, is restored from a backup {lost:d} revisions older, "
    'and before it answers "{name}" leaves and versions {first:d} to {last:d} are written'
)
def restored_and_written(context, down_s, lost, name, first, last):
    def write_changes():
        write_entry(context, name, DRAINING)
        for version in range(first, last + 1):
            context.store.publish(configuration(version))

    restore(context, down_s, lost, write_changes)


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


@then('{later_s:g} s later {count:d} calls reach only backend "{name}"')
def reach_one(context, later_s, count, name):
    assert reached(context, context.router, later_s, count) == {name}


@then('{later_s:g} s later {count:d} calls to the second router reach only backend "{name}"')
def second_reaches_one(context, later_s, count, name):
    assert reached(context, context.second, later_s, count) == {name}


@then('{later_s:g} s later the router may send calls to "{name}" and "{other}"')
def may_send_to_both(context, later_s, name, other):
    time.sleep(later_s)
    assert usable(context) == {name, other}, usable(context)


@then("all calls during {span_s:g} s are answered")
def all_answered(context, span_s):
    until_s = time.monotonic() + span_s
    while time.monotonic() < until_s:
        status = call(context, context.router)
        assert status == 200, status
        time.sleep(PAUSE_S)


@then("the store receives at most {most:d} requests in {span_s:g} s")
def few_requests(context, most, span_s):
    before = context.store.calls
    time.sleep(span_s)
    received = context.store.calls - before
    assert 0 < received <= most, received


@then("{later_s:g} s later the router still has version {version:d}")
def still_has(context, later_s, version):
    time.sleep(later_s)
    assert context.router.version == version
