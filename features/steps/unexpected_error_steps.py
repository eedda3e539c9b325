"""Errors that nobody expects in a router's own handling of a request."""

import asyncio
import errno
import socket
import time
from unittest import mock

from behave import given, then, when
from support.router_world import RawCaller, request_bytes

from yokedock.connection import backend_connection
from yokedock.connection.caller_connection import CallerConnection
from yokedock.process import request_handler
from yokedock.process.request_handler import RequestHandler
from yokedock.request.backend_exchange import BackendExchange
from yokedock.request.generation_dispatch import GenerationDispatcher

STREAM_HEADERS = [("X-Model", "m"), ("X-Tokens", "50,60"), ("X-Prompt-Parts", "ab:50")]
ANSWER_LIMIT_S = 10.0
EVENT_BYTES = 20_000
LONG_EVENTS = 600
"""Their 12 MB exceed what the kernel buffers for a connection."""
READ_BYTES = 4096
RECEIVE_BUFFER_BYTES = 4096
SLOW_READER_PAUSE_S = 0.2
"""Longer than the interval at which a stop polls."""
ERRORS = {
    "TimeoutError": TimeoutError,
    "ConnectionResetError": ConnectionResetError,
    "OSError": OSError,
    "ValueError": ValueError,
    "CancelledError": asyncio.CancelledError,
}


def patch(context, target, name, replacement):
    """Replace an attribute until the end of the scenario."""
    patcher = mock.patch.object(target, name, replacement)
    patcher.start()
    context.add_cleanup(patcher.stop)


@given("the router has no descriptor left for another connection")
def no_descriptor(context):
    def fail(kind):
        raise OSError(errno.EMFILE, "Too many open files")

    patch(context, backend_connection, "new_socket", fail)


@given("each attempt raises {name} once the backend has the request")
def attempts_fail(context, name):
    async def fail(exchange, *arguments):
        while not context.world.backends["a"].arrivals:
            await asyncio.sleep(0.005)
        raise ERRORS[name]()

    patch(context, BackendExchange, "read_whole", fail)


@given("each prefill raises {name} before it is sent")
def prefills_fail(context, name):
    async def fail(dispatcher, *arguments):
        raise ERRORS[name]()

    patch(context, GenerationDispatcher, "prefill", fail)
    patch(context, GenerationDispatcher, "prefill_and_decode", fail)


@given("the decode engines make an event each {interval_s:g} s")
def make_events(context, interval_s):
    context.world.backends["d"].event_interval_s = interval_s


def send_and_read(context, data):
    caller = RawCaller(context.world, context.router.settings.callers.listen)
    caller.send(data.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1))
    context.received = caller.read_to_eof()


@when('a client sends POST on "{name}" and reads to the end of the connection')
def send(context, name):
    send_and_read(context, request_bytes(name, body=b"abc"))


@when('a client streams on "{name}" and reads to the end of the connection')
def stream(context, name):
    send_and_read(context, request_bytes(name, headers=STREAM_HEADERS))


@when('a stop ends a request on "{name}" before its handler has begun')
def stop_before_begin(context, name):
    watch = CallerConnection._watch_disconnect

    # Called after the handler's task was created and before that task runs.
    def end_and_watch(connection, task):
        context.router._stop.is_stopping = context.router._stop.is_ending = True
        connection.cancel_handler()
        return watch(connection, task)

    patch(context, CallerConnection, "_watch_disconnect", end_and_watch)
    send_and_read(context, request_bytes(name, body=b"abc"))


def status_of(context):
    head = context.received.split(b"\r\n", 1)[0]
    assert head.startswith(b"HTTP/1.1 "), f"no answer: {context.received!r}"
    return int(head[9:12])


@then("it got {status:d} with a Retry-After, and no backend was asked")
def refused(context, status):
    assert status_of(context) == status, context.received
    assert b"\r\nretry-after: " in context.received.lower(), context.received
    assert not any(backend.arrivals for backend in context.world.backends.values())


@then("it got {status:d} and a backend was asked")
def failed(context, status):
    assert status_of(context) == status, context.received
    assert context.world.backends["a"].arrivals


@when('a client streams on "{name}" and {who} ends it in the middle')
def end_in_the_middle(context, name, who):
    context.outcomes = []
    log_end = RequestHandler._log_end

    def record(handler, request, answer, call, outcome):
        context.outcomes.append(outcome)
        log_end(handler, request, answer, call, outcome)

    patch(context, RequestHandler, "_log_end", record)
    caller = RawCaller(context.world, context.router.settings.callers.listen)
    caller.send(request_bytes(name, headers=STREAM_HEADERS))
    caller.read_until(b"id: 1\n")
    if who == "the caller":
        caller.leave()
    else:
        context.world.loop.call_soon_threadsafe(end_connections, context.router)


def end_connections(router):
    """End all connections like the end of a stop."""
    router._stop.is_stopping = router._stop.is_ending = True
    for connection in list(router._connections):
        connection.cancel_handler()


@when('a client streams on "{name}" and, in the middle, {act}')
def leave_in_the_middle(context, name, act):
    context.lines = []
    info = request_handler._log.info
    patch(
        context,
        request_handler._log,
        "info",
        lambda event, **fields: (context.lines.append(fields), info(event, **fields)),
    )
    caller = RawCaller(context.world, context.router.settings.callers.listen)
    caller.send(request_bytes(name, headers=STREAM_HEADERS))
    caller.read_until(b"id: 1\n")
    context.world.loop.call_soon_threadsafe(ACTS[act], caller, context.router)


def close_connections(caller, router):
    """Close all connections of callers with what is left to send, not by ``abort``."""
    for connection in list(router._connections):
        connection._writer.close()


ACTS = {
    "closes its connection": lambda caller, router: caller.close(),
    "closes only its sending side": lambda caller, router: caller.half_close(),
    "resets its connection": lambda caller, router: caller.reset(),
    "its router closes": close_connections,
}


@then('the request\'s line in the log has the departure "{departure}"')
def logged_departure(context, departure):
    context.world.wait_for(lambda: context.lines, "the line of the request")
    assert context.lines[0].get("departure") == departure, context.lines


@given("the decode engines make long answers")
def make_long_answers(context):
    context.world.backends["d"].padding = "x" * EVENT_BYTES
    context.world.backends["d"].pieces = LONG_EVENTS


@when('a client streams on "{name}" and reads only until its request has ended')
def read_until_ended(context, name):
    host, _, port = context.router.settings.callers.listen.rpartition(":")
    context.client = socket.socket()
    context.add_cleanup(context.client.close)
    context.client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    context.client.settimeout(ANSWER_LIMIT_S)
    context.client.connect((host, int(port)))
    context.client.sendall(request_bytes(name, headers=STREAM_HEADERS))
    context.received = context.client.recv(READ_BYTES)
    while context.router._request_handler.active:
        context.received += context.client.recv(READ_BYTES)


@when("the router is told to stop")
def stop(context):
    context.world.loop.call_soon_threadsafe(context.router.stop_event.set)
    context.world.wait_for(lambda: context.router._stop.is_ending, "the end of the stop")


@then("the client reads the whole answer once the stop has ended")
def reads_whole(context):
    time.sleep(SLOW_READER_PAUSE_S)
    while part := context.client.recv(READ_BYTES):
        context.received += part
    assert context.received.endswith(b"\r\n0\r\n\r\n"), "the answer was cut off"
    assert context.received.count(b"\ndata: ") == LONG_EVENTS


@then('the request\'s line in the log has the outcome "{outcome}"')
def logged_outcome(context, outcome):
    context.world.wait_for(lambda: context.outcomes, "the line of the request")
    assert context.outcomes == [outcome], context.outcomes
