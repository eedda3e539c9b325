import asyncio
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

import msgspec
from behave import given, step, then, when
from router_steps import world
from support.router_world import free_address

from yokedock.base.sockets import new_datagram_socket
from yokedock.connection.state_source import BackendEntry
from yokedock.process.origin_store import OriginStore
from yokedock.process.origin_store_client import OriginStoreClient, OriginStores
from yokedock.process.origin_store_messages import OriginFinding, OriginLookup, OriginRecord
from yokedock.request.origin_store_placement import OriginStorePlacement
from yokedock.request.software_version import stream_number, version_number
from yokedock.request.stream_origins import StreamOrigin
from yokedock_emulator.process_group import program

ANSWER_LIMIT_S = 5.0
MACHINES = 12


@given("an origin store beside the engines")
def beside(context):
    address = free_address()
    world(context).origin_store_port = int(address.rpartition(":")[2])
    context.store = OriginStore()
    context.world.run(context.store.start(address))
    context.add_cleanup(context.world.run, close(context.store))


async def close(store):
    store.close()
    await asyncio.sleep(0)


@step("the origin store is lost")
def lost(context):
    context.world.run(close(context.store))


@given("an origin store process")
def store_process(context):
    settings = Path(tempfile.mkdtemp()) / "origin-store.ini"
    host, _, port = free_address().rpartition(":")
    context.store_address = (host, int(port))
    settings.write_text(f"[store]\nlisten = {host}:{port}\n")
    command = [program("yokedock"), "origin-store", "--settings", str(settings)]
    context.process = subprocess.Popen(command, stdout=subprocess.PIPE)
    context.add_cleanup(context.process.kill)
    assert b"started" in context.process.stdout.readline()
    context.socket = socket.socket(type=socket.SOCK_DGRAM)
    context.socket.settimeout(ANSWER_LIMIT_S)
    context.add_cleanup(context.socket.close)


def send(context, data):
    context.socket.sendto(data, context.store_address)


@when("a router records version {version:d} of stream {stream:d} there")
def record(context, version, stream):
    origin = StreamOrigin(stream, version, 60_000)
    send(context, msgspec.msgpack.encode(OriginRecord(origin)))


@when("it gets data that it does not understand, and SIGHUP")
def odd(context):
    send(context, b"\xc1odd")
    context.process.send_signal(signal.SIGHUP)


def reported(context, stream):
    send(context, msgspec.msgpack.encode(OriginLookup(3, stream)))
    finding = msgspec.msgpack.decode(context.socket.recv(100), type=OriginFinding)
    assert finding.lookup == 3, finding
    return finding.version


@then("it reports version {version:d} of stream {stream:d}")
def reports(context, version, stream):
    assert reported(context, stream) == version


@then("it reports no version of stream {stream:d}")
def reports_none(context, stream):
    assert reported(context, stream) is None


@then("it ends with 0 at SIGTERM")
def ends(context):
    context.process.send_signal(signal.SIGTERM)
    assert context.process.wait(ANSWER_LIMIT_S) == 0


def entry(number, version, is_leaving=False):
    name, address = f"e{number}", f"10.0.0.{number}:8000"
    return BackendEntry(name, "llm", address, role="decode", version=version, is_leaving=is_leaving)


def placement(entries):
    return OriginStorePlacement(entries)


@then("for {count:d} streams the record is found while one of its two stores is listed")
def found(context, count):
    before = placement([entry(n, "v1") for n in range(MACHINES)])
    for number in range(count):
        stream = stream_number(f"r-{number}")
        stores = before.for_record(stream, version_number("llm", "v1"))
        assert len(stores) == 2, stores
        for left in stores:
            gone = set(stores) - {left}
            old = [entry(n, "v1") for n in range(MACHINES) if f"10.0.0.{n}" not in gone]
            new = [entry(n, "v2") for n in range(MACHINES, 2 * MACHINES)]
            assert left in placement(old + new).for_lookup(stream)


@then(
    "for {count:d} streams the record is found after its version has grown"
    " from {few:d} engines to {many:d}"
)
def found_grown(context, count, few, many):
    before = placement([entry(n, "v1") for n in range(few)])
    after = placement([entry(n, "v1") for n in range(many)])
    for number in range(count):
        stream = stream_number(f"r-{number}")
        stores = before.for_record(stream, version_number("llm", "v1"))
        assert set(stores) & after.for_lookup(stream), stores


@then("no store of it is at a leaving engine while others of the version stay")
def staying(context):
    half = [entry(n, "v1", is_leaving=n % 2 == 0) for n in range(MACHINES)]
    leaving = {f"10.0.0.{n}" for n in range(0, MACHINES, 2)}
    stores = placement(half).for_record(1, version_number("llm", "v1"))
    assert stores and not leaving & set(stores), stores


@then(
    "for {count:d} streams the record is found"
    " while all but {few:d} of {many:d} engines are leaving"
)
def found_leaving(context, count, few, many):
    listed = placement([entry(n, "v1", is_leaving=n >= few) for n in range(many)])
    for number in range(count):
        stream = stream_number(f"r-{number}")
        assert set(listed.for_record(stream, version_number("llm", "v1"))) <= listed.for_lookup(
            stream
        )


@given(
    "{count:d} origin stores, {knowing:d} of which know version {version:d} of stream {stream:d}"
)
def many_stores(context, count, knowing, version, stream):
    context.port = int(free_address().rpartition(":")[2])
    context.hosts = [f"127.0.0.{n}" for n in range(2, count + 2)]
    for number, host in enumerate(context.hosts):
        store = OriginStore()
        context.world.run(store.start(f"{host}:{context.port}"))
        context.add_cleanup(context.world.run, close(store))
        if number >= count - knowing:
            data = msgspec.msgpack.encode(OriginRecord(StreamOrigin(stream, version, 60_000)))
            store.datagram_received(data, ("127.0.0.1", 1))


@when(
    "a router whose other work takes {ms:d} ms a turn"
    " looks stream {stream:d} up {count:d} times at once"
)
def busy_lookups(context, ms, stream, count):
    context.found = asyncio.run(busy_router(context, ms / 1000, stream, count))


async def busy_router(context, turn_s, stream, count):
    client = OriginStoreClient("127.0.0.1", context.port)
    await client.start()
    other_work = asyncio.create_task(work_in_turns(turn_s))
    try:
        return await asyncio.gather(*(client.find(stream, context.hosts) for _ in range(count)))
    finally:
        other_work.cancel()
        client.close()


async def work_in_turns(turn_s):
    while True:
        time.sleep(turn_s)
        await asyncio.sleep(0)


@then("each lookup found version {version:d}")
def each_found(context, version):
    assert all(found == {version} for found in context.found), context.found


@given("an origin store that does not respond")
def silent_store(context):
    context.silent = new_datagram_socket(free_address())
    context.add_cleanup(context.silent.close)


@when("a router looks a stream up and gets a response from {sender} with {number}")
def foreign_response(context, sender, number):
    is_own = number == "its own number"
    context.found = [asyncio.run(lookup_with_response(context, sender == "the store", is_own))]


async def lookup_with_response(context, is_from_store, is_own):
    host, port = context.silent.getsockname()
    client = OriginStoreClient(host, port)
    await client.start()
    lookup = asyncio.create_task(client.find(5, [host]))
    data, router = await asyncio.get_running_loop().sock_recvfrom(context.silent, 100)
    asked = msgspec.msgpack.decode(data, type=OriginLookup)
    response = OriginFinding(asked.lookup if is_own else 0, 7)
    with new_datagram_socket("127.0.0.2:0") as other:
        sender = context.silent if is_from_store else other
        sender.sendto(msgspec.msgpack.encode(response), router)
    try:
        return await lookup
    finally:
        client.close()


@then("the lookup found no version")
def found_none(context):
    assert context.found == [set()], context.found


class RecordingClient:
    """Keeps, by host, the streams whose records were sent there."""

    def __init__(self):
        self.streams = {}

    def record(self, origin, hosts):
        for host in hosts:
            self.streams.setdefault(host, set()).add(origin.stream)


@then(
    "for {count:d} streams the record follows its version from {few:d} engines to {many:d}"
    " and on to {last:d} others"
)
def follows(context, count, few, many, last):
    version = version_number("llm", "v1")
    origins = [StreamOrigin(stream_number(f"r-{n}"), version, 60_000) for n in range(count)]
    stores = OriginStores(RecordingClient())
    for numbers in (range(few), range(many), range(many - last, many)):
        previous, stores.placement = stores.placement, placement([entry(n, "v1") for n in numbers])
        asyncio.run(stores.move_records(previous, origins))
    kept = stores.client.streams
    for origin in origins:
        asked = stores.placement.for_lookup(origin.stream)
        assert any(origin.stream in kept.get(host, ()) for host in asked), origin
