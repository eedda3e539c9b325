import asyncio
import re
import time

from behave import given, then, when
from support.rate_limited_relay import RateLimitedRelay
from support.router_world import HOST, RawCaller, free_address

from yokedock.platform.documents import (
    REPEATABLE_KIND,
    StoredConfiguration,
    StoredRoute,
    StoredServer,
    StoredService,
)
from yokedock.platform.store import PlatformStore
from yokedock_emulator.state_store import StateStore

LINK_BYTES_PER_S = 200_000
STORED_ROUTE_BYTES = 263
"""Bytes of one route of these scenarios in the store's answer, base64 included (measured)."""


def configuration(version, seconds=0.0):
    """Return a version that the narrow link carries in about so many seconds."""
    count = max(1, round(seconds * LINK_BYTES_PER_S / STORED_ROUTE_BYTES))
    routes = tuple(
        StoredRoute(
            f"route-{n:05d}", HOST, f"/route-{n:05d}/", REPEATABLE_KIND, 2000.0, service="plain"
        )
        for n in range(count)
    )
    return StoredConfiguration(version, routes, (StoredService("plain"),))


def in_loop(context, function, *arguments):
    context.world.loop.call_soon_threadsafe(function, *arguments)


@given("a metadata store that lists it")
def store(context):
    context.store = StateStore()
    context.world.run(context.store.start())
    for backend in context.world.backends.values():
        server = StoredServer(backend.service, backend.address, "", 1, "ready", "v1", 0.0, 1)
        in_loop(context, context.store.put_server, backend.name, server)
    in_loop(context, context.store.publish, configuration(1))


@given("a router that reads the store")
def reading_router(context):
    source = PlatformStore(context.store.address)
    context.router = context.world.start_router(None, source=source)
    context.world.wait_for(lambda: context.router.is_ready, "ready")


@given("a router that reads the store over a narrow link")
def narrow_router(context):
    context.router = start_narrow(context)


@given("a second router that reads the store over a narrow link")
def second_narrow_router(context):
    first = context.router.settings.fleet.address
    context.second = start_narrow(context, (first,), f"127.0.0.2:{first.rpartition(':')[2]}")


def start_narrow(context, seeds=(), address=""):
    context.link = RateLimitedRelay(context.store.address, LINK_BYTES_PER_S)
    context.world.run(context.link.start())
    source = PlatformStore(context.link.address)
    address = address or free_address()
    started_s = time.monotonic()
    router = context.world.start_router(None, seeds, address, source=source)
    context.world.wait_for(lambda: router.is_ready, "ready")
    context.ready_after_s = time.monotonic() - started_s
    return router


@given("the store holds version {version:d}, which the link carries in {seconds:g} s")
def holds(context, version, seconds):
    in_loop(context, context.store.publish, configuration(version, seconds))


@when("a router starts that reads the store over a narrow link")
def narrow_starts(context):
    context.router = start_narrow(context)


@when("a second router starts that reads the store over a narrow link")
def second_narrow_starts(context):
    second_narrow_router(context)


@then("it is ready within {limit_s:g} s")
def ready_within(context, limit_s):
    assert context.ready_after_s <= limit_s, context.ready_after_s


def ask_state(context, version):
    """Return status and body of a router's answer to another router."""
    request = f"GET /state?version={version} HTTP/1.1\r\nHost: router\r\n\r\n"
    caller = RawCaller(context.world, context.router.settings.fleet.address)
    caller.send(request.encode())
    status, _, body, _ = caller.read_answer()
    return status, body


@then("the router gives its state in less than {most:d} bytes to one that knows version {known:d}")
@then("in less than {most:d} bytes to one that knows version {known:d}")
def state_size(context, most, known):
    status, body = ask_state(context, known)
    assert status == 200 and len(body) < most, (status, len(body))


@then("one that asks for what is no version gets 400")
def bad_version(context):
    for version in ("newest", "%C2%B2", "9" * 5000, "-1"):
        assert ask_state(context, version)[0] == 400, version


@when("the store gets version {version:d}, which the link carries in {seconds:g} s")
def publish(context, version, seconds):
    context.seconds, context.published_s = seconds, time.monotonic()
    context.passed_before = context.link.relayed_bytes
    in_loop(context, context.store.publish, configuration(version, seconds))


@when("the store gets versions {first:d} to {last:d} of the same size, one every {gap:g} s")
def publish_many(context, first, last, gap):
    for version in range(first, last + 1):
        time.sleep(gap)
        publish(context, version, context.seconds)


@given("a second router that hears it and reads nothing")
def second_reads_nothing(context):
    first = context.router.settings.fleet.address
    address = f"127.0.0.2:{first.rpartition(':')[2]}"
    context.second = context.world.start_router(None, (first,), address)
    context.world.wait_for(lambda: context.second.is_ready, "ready")


@when("the store gets version {version:d}, which the second router may not take over")
def publish_unshared(context, version):
    context.taking = context.second._exchange.on_router_state
    context.second._exchange.on_router_state = lambda state: None
    in_loop(context, context.store.publish, configuration(version))


def wait_for_behind(context, count, limit_s):
    until_s = time.monotonic() + limit_s
    behind = None
    while behind != count and time.monotonic() < until_s:
        request = b"GET /metrics HTTP/1.1\r\nHost: router\r\n\r\n"
        caller = RawCaller(context.world, context.router.settings.fleet.address)
        caller.send(request)
        page = caller.read_answer()[2].decode()
        behind = int(float(re.search(r"^router_routers_behind (\S+)$", page, re.M)[1]))
    assert behind == count, behind


@then("the router's figures tell within {limit_s:g} s that {count:d} router is behind")
def some_behind(context, limit_s, count):
    wait_for_behind(context, count, limit_s)


@then("they tell that {count:d} routers are behind {limit_s:g} s after the second may take it over")
def none_behind(context, count, limit_s):
    context.second._exchange.on_router_state = context.taking
    wait_for_behind(context, count, limit_s)


def has_version_within(context, router, version, limit_s):
    remaining_s = context.published_s + limit_s - time.monotonic()

    async def poll():
        async with asyncio.timeout(remaining_s):
            while router.version < version:
                await asyncio.sleep(0.01)

    try:
        context.world.run(poll())
    except TimeoutError:
        message = f"version {router.version} after {limit_s} s, not {version}"
        raise AssertionError(message) from None


@then("the router has version {version:d} within {limit_s:g} s")
def first_has(context, version, limit_s):
    has_version_within(context, context.router, version, limit_s)


@then("the second router has version {version:d} within {limit_s:g} s")
def second_has(context, version, limit_s):
    has_version_within(context, context.second, version, limit_s)


@then("within {limit_s:g} s the link has carried less than half of that version")
def carried_little(context, limit_s):
    time.sleep(max(0.0, context.published_s + limit_s - time.monotonic()))
    carried = context.link.relayed_bytes - context.passed_before
    whole = context.seconds * LINK_BYTES_PER_S
    assert carried < whole / 2, f"{carried} bytes of {whole:.0f}"
