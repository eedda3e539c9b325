import subprocess
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when
from support.crowd import BODY, BODY_IN_CHUNKS, READS_NOTHING, Crowd
from support.crowd_backend import CrowdBackend
from support.ordinary_caller import OK, connect, until_answered
from support.process_meter import MIB, ProcessMeter
from support.router_world import HOST, RouterWorld, free_address

from yokedock_emulator.process_group import program

SETTINGS = """
[process]
name = router-1
[callers]
listen = {listen}
ready_listen = {ready}
[fleet]
address = {fleet}
[state]
source = routes.ini
[machine]
memory_mb = {memory_mb}
max_descriptors = {descriptors}
"""
ROUTES = """
[table]
version = 1
[service busy]
[service calm]
[service llm]
memory_tokens = 100000000
slots = 1000
[backend busy-1]
service = busy
slots = 1000
address = {busy}
[backend calm-1]
service = calm
slots = 8
address = {calm}
{engines}
[route busy]
host = {host}
prefix = /busy/
kind = once
services = busy
timeout_s = 600
target_s = 300
[route calm]
host = {host}
prefix = /calm/
kind = repeatable
services = calm
timeout_s = 30
[route chat]
host = {host}
prefix = /chat/
kind = stream
services = llm
timeout_s = 600
target_s = 300
"""
ENGINE = """
[backend {name}]
service = llm
role = {role}
slots = 1000
address = {address}
"""
ROLES = {f"{role}-{number}": role for role in ("prefill", "decode") for number in range(4)}
"""Each engine accepts a limited number of connections."""
UNAVAILABLE = 503
STOP_LIMIT_S = 60.0
"""Much longer than a planned stop may take: when it ends isn't judged here."""
LARGEST_ANSWER_BYTES = 16_777_216
PART_BYTES = 65_536


def head(path, number, *lines):
    """Return the head of a request of a crowd."""
    lines = (f"POST {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: crowd-{number}", *lines)
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def body_head(path, number, length):
    return head(path, number, f"Content-Length: {length}")


@given("a router process that may use {memory_mb:d} MiB and {descriptors:d} descriptors")
def router_process(context, memory_mb, descriptors):
    context.world = RouterWorld()
    context.add_cleanup(context.world.close)
    context.backends = {
        name: CrowdBackend(name, role) for name, role in {"busy": "", "calm": "", **ROLES}.items()
    }
    for backend in context.backends.values():
        context.world.run(backend.start())
    addresses = {name: backend.address for name, backend in context.backends.items()}
    engines = "".join(ENGINE.format(name=n, role=ROLES[n], address=addresses[n]) for n in ROLES)
    folder = Path(tempfile.mkdtemp())
    (folder / "routes.ini").write_text(
        ROUTES.format(host=HOST, engines=engines, busy=addresses["busy"], calm=addresses["calm"])
    )
    context.listen, context.ready, context.fleet = (free_address() for _ in range(3))
    (folder / "router.ini").write_text(
        SETTINGS.format(
            listen=context.listen,
            ready=context.ready,
            fleet=context.fleet,
            memory_mb=memory_mb,
            descriptors=descriptors,
        )
    )
    command = [program("yokedock"), "router", "--settings", "router.ini"]
    with (folder / "log").open("wb") as log:
        context.process = subprocess.Popen(command, cwd=folder, stdout=log, stderr=log)
    context.add_cleanup(context.process.kill)
    context.max_bytes, context.max_descriptors = memory_mb * MIB, descriptors
    addresses = (context.listen, context.ready, context.fleet)
    ports = [int(address.rpartition(":")[2]) for address in addresses]
    ordinary_request(context.ready, "GET", "/", b"")
    context.meter = ProcessMeter(context.process.pid, ports)
    context.crowd = None


def crowds(context):
    """Return, by name, a function that lets the crowd come."""
    callers, ready, fleet = context.listen, context.ready, context.fleet

    def almost_whole(address, path="/busy/x"):
        def parts(number):
            return [body_head(path, number, len(BODY)), memoryview(BODY)[:-1]]

        return lambda: Crowd(address, 60, parts)

    def in_chunks():
        def parts(number):
            return [head("/busy/x", number, "Transfer-Encoding: chunked"), BODY_IN_CHUNKS]

        return Crowd(callers, 60, parts)

    def whole():
        hold(context, "busy")
        return Crowd(callers, 60, lambda n: [body_head("/busy/x", n, len(BODY)), BODY])

    def left_and_sent_again():
        def parts(number):
            return [body_head("/busy/x", number, len(BODY)), memoryview(BODY)[:-1]]

        return Crowd(callers, 60, parts, returns=5, leaves_when_sent=True)

    def behind_others():
        hold(context, "busy")

        def parts(number):
            following = body_head("/busy/x", f"{number}-behind", 260_000)
            return [body_head("/busy/x", number, 0), following, bytes(259_999)]

        return Crowd(callers, 300, parts)

    def heads():
        line = "X-Filler: " + "x" * 1000
        lines = head("/busy/x", 0, *([line] * 15))[:-2]
        return Crowd(callers, 2000, lambda n: [lines])

    def bring_nothing(address):
        return lambda: Crowd(address, 400, lambda n: [])

    def answers(count, size, bytes_per_s):
        def come():
            context.backends["busy"].answer_bytes = size
            return Crowd(callers, count, lambda n: [body_head("/busy/x", n, 0)], bytes_per_s)

        return come

    def streams():
        for name in ROLES:
            context.backends[name].events = 1000
        terms = ("X-Model: m", "X-Tokens: 50,100", "X-Prompt-Parts: ab:50", "Content-Length: 0")
        return Crowd(callers, 300, lambda n: [head("/chat/x", n, *terms)], READS_NOTHING)

    def requests_to_routers():
        asked = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
        asked *= 500_000 // len(asked)
        return Crowd(fleet, 300, lambda n: [asked], READS_NOTHING)

    return {
        "60 bodies of 4 MB, whole but for one byte": almost_whole(callers),
        "60 bodies of 4 MB in chunks, without their end": in_chunks,
        "60 whole bodies of 4 MB at a busy backend": whole,
        "60 bodies of 4 MB, left and sent again 5 times": left_and_sent_again,
        "300 requests at work, each with 260 KB of the next one": behind_others,
        "2000 heads of 15 KB without their end": heads,
        "400 connections that bring nothing": bring_nothing(callers),
        "40 answers of 12 MB that nobody reads": answers(40, 12_000_000, READS_NOTHING),
        "60 answers of 8 MB, read with 4 KB/s": answers(60, 8_000_000, 4096.0),
        "300 streams of 8 MB that nobody reads": streams,
        "60 bodies of 4 MB at the readiness address": almost_whole(ready, "/"),
        "60 bodies of 4 MB at the fleet address": almost_whole(fleet, "/metrics"),
        "300 times 500 KB of requests at the fleet address, nothing read": requests_to_routers,
        "400 connections that bring nothing to the readiness address": bring_nothing(ready),
        "400 connections that bring nothing to the fleet address": bring_nothing(fleet),
    }


@when("a crowd comes to it: {crowd}")
def crowd_comes(context, crowd):
    context.crowd = crowds(context)[crowd]()
    context.add_cleanup(context.crowd.close)
    context.crowd.settle()
    context.meter.wait_at_rest()


@then("the router has stayed within its memory and descriptors")
def within_limits(context):
    assert context.process.poll() is None, f"it has ended: {context.process.returncode}"
    context.meter.stop()
    context.meter.assert_within(context.max_bytes, context.max_descriptors)


@then("an ordinary request to it is answered")
def ordinary(context):
    ordinary_request(context.listen, "POST", "/calm/x", b"hello")


@then("a request of the largest size is answered")
def largest_request(context):
    ordinary_request(context.listen, "POST", "/calm/x", BODY)


@when("it is stopped by a signal")
def stop(context):
    context.process.terminate()
    context.process.wait(STOP_LIMIT_S)


@then("it has ended in order, within its memory and descriptors")
def ended_in_order(context):
    assert context.process.returncode == 0, context.process.returncode
    context.meter.stop()
    context.meter.assert_within(context.max_bytes, context.max_descriptors)


@then("its readiness and its metrics are told")
def told(context):
    ordinary_request(context.ready, "GET", "/", b"")
    ordinary_request(context.fleet, "GET", "/metrics", b"")


@then("no refused request of the crowd has arrived at a backend")
def refused_have_not_arrived(context):
    release(context, "busy")
    context.crowd.settle()
    refused = {f"crowd-{number}" for number in context.crowd.numbers_told(UNAVAILABLE)}
    arrived = set(context.backends["busy"].request_ids)
    assert not refused & arrived, sorted(refused & arrived)


@when("{count:d} bodies of 4 MB are sent to it one after another")
def bodies_in_turn(context, count):
    context.wholes = [send_largest_body(context) for _ in range(count)]


@when("{count:d} bodies of 4 MB are sent to it at once")
def bodies_at_once(context, count):
    with ThreadPoolExecutor(count) as workers:
        context.wholes += workers.map(lambda _: send_largest_body(context), range(count))


@when("an answer of 16 MB is read with 2 MB/s")
def largest_answer(context):
    context.backends["calm"].answer_bytes = LARGEST_ANSWER_BYTES
    connection = connect(context.listen)
    connection.request("POST", "/calm/x", b"", request_headers())
    response = connection.getresponse()
    size = 0
    while part := response.read(PART_BYTES):
        size += len(part)
        time.sleep(PART_BYTES / 2e6)
    context.wholes.append(response.status == OK and size == LARGEST_ANSWER_BYTES)
    connection.close()


@then("all of them were whole")
def all_whole(context):
    assert all(context.wholes), context.wholes


def send_largest_body(context):
    """Send a body of the largest size, once; return whether it was served whole."""
    connection = connect(context.listen)
    try:
        connection.request("POST", "/calm/x", BODY, request_headers())
        status = connection.getresponse().status
    finally:
        connection.close()
    return status == OK and context.backends["calm"].body_bytes[-1] == len(BODY)


def ordinary_request(address, method, path, body):
    until_answered(address, method, path, body, request_headers())


def request_headers():
    return {"Host": HOST, "X-Request-Id": f"ordinary-{time.monotonic_ns()}"}


def hold(context, name):
    context.world.loop.call_soon_threadsafe(context.backends[name].gate.clear)


def release(context, name):
    context.world.loop.call_soon_threadsafe(context.backends[name].gate.set)
