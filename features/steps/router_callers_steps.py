import asyncio
import contextlib
import socket
import struct
import time

from behave import given, step, then, when
from router_steps import STREAM_HEADERS, caller, world
from support.router_world import request_bytes
from support.stand_in_backend import LARGE_BODY_BYTES

from yokedock.base.clock import boot_time_s

LEFT_S = 0.5
"""After this time nothing may be at work any more for a caller who left."""
LATER_S = 0.3
"""For so long behind that nothing may arrive."""
BUSY_S = 0.8
LONG_STREAM_PIECES = 2000
LONG_PIECE_BYTES = 16_384
"""More than the kernel's buffers on both sides take."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def backends(context):
    return context.world.backends.values()


def asked(context):
    """Return what was asked of all backends, without releases, which free what was read."""
    return [a for b in backends(context) for a in b.arrivals if a.method != "DELETE"]


# --- Large answers ---


@when(
    '{count:d} clients with {left_s:g} s send POST on "{route}" at once, '
    'and "{name}" answers with 13 MB each'
)
def large_answers(context, count, left_s, route, name):
    context.world.backends[name].faults = ["large"] * count
    headers = [("X-Deadline-Ms", str(round(left_s * 1000)))]
    callers = [caller(context) for _ in range(count)]
    for number, each in enumerate(callers):
        each.send(request_bytes(route, headers=headers, request_id=f"large-{number}"))
    context.answers = [each.read_answer() for each in callers]


@then("each of them has a whole answer of 13 MB")
def has_large_answer(context):
    got = [(status, len(body)) for status, _, body, is_whole in context.answers if is_whole]
    assert got == [(200, LARGE_BODY_BYTES)] * len(context.answers), got


# --- Backends ---


@step('"{name}" holds its answers')
def holds(context, name):
    context.world.loop.call_soon_threadsafe(context.world.backends[name].gate.clear)


@step('"{name}" lets go')
def lets_go(context, name):
    context.world.loop.call_soon_threadsafe(context.world.backends[name].gate.set)


@step('"{name}" leaves bodies unread')
def leaves_bodies(context, name):
    context.world.loop.call_soon_threadsafe(context.world.backends[name].body_gate.clear)


@step('"{name}" reads bodies again')
def reads_bodies(context, name):
    context.world.loop.call_soon_threadsafe(context.world.backends[name].body_gate.set)


@step('"{name}" has read 1 head')
def has_read_head(context, name):
    backend = context.world.backends[name]
    context.world.wait_for(lambda: backend.headers_read == 1, "a head")


@step('"{name}" accepts no connections')
def accepts_none(context, name):
    context.world.run(context.world.backends[name].stop())


@step('"{name}" accepts connections again')
def accepts_again(context, name):
    context.world.run(context.world.backends[name].start())


@given('a decode engine "{name}" whose streams are long')
def engine_with_long_streams(context, name):
    world(context).add_backend(name, "llm", "decode")
    context.world.backends[name].pieces = LONG_STREAM_PIECES
    context.world.backends[name].padding = "x" * LONG_PIECE_BYTES


@step('"{name}" has got 1 request')
def has_got(context, name):
    backend = context.world.backends[name]
    context.world.wait_for(lambda: len(backend.arrivals) == 1, "a request")


# --- Callers ---


@when('a client sends POST on "{name}" without waiting')
def send_only(context, name):
    context.caller = caller(context)
    context.caller.send(request_bytes(name, body=b"abc"))


@when('a client sends POST on "{name}" of {size:d} bytes without waiting')
def send_long(context, name, size):
    context.caller = caller(context)
    context.caller.send(request_bytes(name, body=b"x" * size))


@when('a client sends the first half of a POST on "{name}"')
def send_half(context, name):
    data = request_bytes(name, body=b"x" * 200)
    context.caller = caller(context)
    context.caller.send(data[:-100])
    time.sleep(0.1)


@when('a client sends POST on "{name}" and behind it one of {size:d} bytes')
def send_two_of(context, name, size):
    context.caller = caller(context)
    context.caller.send(request_bytes(name, body=b"abc"))
    context.caller.send(request_bytes(name, body=b"x" * size, request_id="r-2"))
    time.sleep(0.1)


@when('a client asks for a stream on "{name}"')
def ask_stream(context, name):
    context.caller = caller(context)
    context.caller.send(request_bytes(name, headers=STREAM_HEADERS))


@when('{count:d} other clients ask for streams on "{name}"')
def others_ask_streams(context, count, name):
    context.others = [caller(context) for _ in range(count)]
    for number, other in enumerate(context.others):
        other.send(request_bytes(name, headers=STREAM_HEADERS, request_id=f"o-{number}"))
        other.read_until(b"piece 2")


@when('a client that reads nothing asks for a stream on "{name}"')
def ask_and_read_nothing(context, name):
    ask_stream(context, name)
    context.world.loop.call_soon_threadsafe(context.caller.stop_reading)


@when("the router can write no more to it")
def cannot_write(context):
    """Wait until nothing of the stream has moved for a while."""
    backend = context.world.backends["d"]
    context.world.wait_for(lambda: backend.events_written > 0, "the stream has begun")
    before = -1
    while before != backend.events_written:
        before = backend.events_written
        time.sleep(0.2)
    assert before < LONG_STREAM_PIECES, "the whole stream fits into the buffers"


@when("the client has {count:d} events")
def has_events(context, count):
    context.caller.read_until(f"piece {count}".encode())


@when("it waits for room")
def waits_for_room(context):
    queues = context.router._placement._queues
    context.world.wait_for(lambda: queues.get("llm"), "it waits for room")


@step("{pause_s:g} s pass")
def pass_time(context, pause_s):
    time.sleep(pause_s)


@step("the client closes")
def closes(context):
    context.world.loop.call_soon_threadsafe(context.caller.close)


@step("the client resets")
def resets(context):
    context.world.loop.call_soon_threadsafe(context.caller.reset)


@step("the client ends its sending")
def ends_sending(context):
    context.world.loop.call_soon_threadsafe(context.caller.half_close)


@step("the other clients close")
def others_close(context):
    for other in context.others:
        context.world.loop.call_soon_threadsafe(other.close)


# --- Requests that are not read before their caller leaves ---


@when('the router is busy while {count:d} clients send on "{name}" and each {leaves}')
def send_while_busy(context, count, name, leaves):
    headers = STREAM_HEADERS if name == "chat" else []
    context.late_sockets = []
    with busy(context):
        for number in range(count):
            sender = connect(context)
            sender.sendall(request_bytes(name, headers=headers, request_id=f"r-{number}"))
            leave(context, sender, leaves)


@when('{count:d} clients with answers ask again on "{name}" and close while the router is busy')
def ask_again_while_busy(context, count, name):
    senders = [connect(context) for _ in range(count)]
    for number, sender in enumerate(senders):
        sender.sendall(request_bytes(name, request_id=f"r-{number}"))
        answer = b""
        while not answer.endswith(b"answer of a"):
            answer += sender.recv(65_536)
    with busy(context):
        for number, sender in enumerate(senders):
            sender.sendall(request_bytes(name, request_id=f"again-{number}"))
            sender.close()
    time.sleep(LATER_S)


@when('a client on "{name}" leaves while the router is busy and its backend breaks off')
def leave_and_break(context, name):
    sender = connect(context)
    sender.sendall(request_bytes(name, body=b"abc"))
    context.world.wait_for(lambda: asked(context), "it is at work")
    asked_one = next(b for b in backends(context) if b.arrivals)
    # The break comes first: the router learns of both at once, and of the break before.
    with busy(context, asked_one.break_off):
        sender.close()
    time.sleep(LATER_S)


@given('{count:d} connections to the backends of "{name}" rest')
def rest(context, count, name):
    headers = STREAM_HEADERS if name == "chat" else []
    for backend in backends(context):
        context.world.loop.call_soon_threadsafe(backend.gate.clear)
    senders = [caller(context) for _ in range(count)]
    for number, sender in enumerate(senders):
        sender.send(request_bytes(name, headers=headers, request_id=f"first-{number}"))
    context.world.wait_for(lambda: len(asked(context)) == count, "all are at work")
    for backend in backends(context):
        context.world.loop.call_soon_threadsafe(backend.gate.set)
    for sender in senders:
        assert sender.read_answer()[0] == 200
    context.world.wait_for(lambda: context.router._pool.size() == count, "all rest")
    for backend in backends(context):
        backend.arrivals.clear()


@contextlib.contextmanager
def busy(context, do_first=lambda: None):
    """Keep the router's loop from running for a while; what happens meanwhile it sees at once."""

    def begin():
        do_first()
        context.world.loop.call_soon(time.sleep, BUSY_S)

    context.world.loop.call_soon_threadsafe(begin)
    time.sleep(0.05)
    began_s = time.monotonic()
    yield
    assert time.monotonic() - began_s < BUSY_S - 0.1, "the router was no longer busy"
    context.world.run(asyncio.sleep(0))


def connect(context):
    host, _, port = context.router.settings.callers.listen.rpartition(":")
    return socket.create_connection((host, int(port)))


def leave(context, sender, how):
    if how == "ends its sending":
        sender.shutdown(socket.SHUT_WR)
        context.late_sockets.append(sender)
        return
    if how == "resets":
        sender.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sender.close()


# --- What the ledgers say ---


@then("no backend was asked for it, at once or later")
def never_asked(context):
    time.sleep(LATER_S)
    assert not asked(context), f"{len(asked(context))} arrivals: {asked(context)[:3]}"


@then("half a second later nothing is at work for it and nothing more arrives")
def nothing_at_work(context):
    time.sleep(LEFT_S)
    arrivals = asked(context)
    assert arrivals, "nothing was asked at all"
    at_work = [a for a in arrivals if not a.was_closed and not a.has_ended]
    assert not at_work, at_work
    time.sleep(LATER_S)
    assert asked(context) == arrivals, asked(context)


# --- Slow bodies ---

BYTE_INTERVAL_S = 0.1
ENDLESS_BYTES = 4_000
ANSWER_LATE_S = 0.3
"""An answer must have come so long after the end of the wait."""


def send_slowly(context, left_s, route, size):
    """Send a body a byte at a time until the answer comes; measure the simulated time."""
    data = request_bytes(
        route, body=b"x" * size, headers=[("X-Deadline-Ms", str(round(left_s * 1000)))]
    )
    context.caller = caller(context)
    since_s = boot_time_s()
    context.caller.send(data[:-size])

    context.status = context.caller.send_slowly(data[-size:], BYTE_INTERVAL_S)[0]
    context.took_s = boot_time_s() - since_s


@when('a client with {left_s:g} s sends a byte of its body on "{route}" each 0.1 s')
def sends_without_end(context, left_s, route):
    send_slowly(context, left_s, route, ENDLESS_BYTES)


@when('a client with {left_s:g} s sends a body of {size:d} bytes on "{route}", a byte each 0.1 s')
def sends_slowly(context, left_s, size, route):
    send_slowly(context, left_s, route, size)


@then("it has the status {status:d} after {most_s:g} s, and no backend was asked for it")
def refused_in_time(context, status, most_s):
    assert context.status == status, (context.status, context.took_s)
    assert context.took_s <= most_s + ANSWER_LATE_S, context.took_s
    assert not asked(context), asked(context)


@then("it has the status {status:d}, and one backend has run it once")
def run_once(context, status):
    assert context.status == status, (context.status, context.took_s)
    assert len(asked(context)) == 1, asked(context)
