"""Readers of answers that are cut off after each of their bytes."""

import socket

from behave import given, then, when
from router_steps import STREAM_HEADERS
from support.cut_answer_properties import (
    cut_answers_taken,
    is_service_answer_taken,
    read_revision,
)
from support.router_world import LIMIT_S, request_bytes

from yokedock.errors import PlatformUnavailable


@when("the answer to the {name} is cut off after each of its bytes, in each framing")
def cut_client_answers(context, name):
    context.cut, context.taken = cut_answers_taken(name)


@then("no cut answer was taken for a whole one")
def none_taken(context):
    shown = "\n".join(context.taken[:20])
    assert not context.taken, f"{len(context.taken)} of {context.cut} taken:\n{shown}"


@given("streams of all engines end with their connections")
def unframed_streams(context):
    for backend in context.world.backends.values():
        backend.is_unframed = True


@then("the client gets {status:d}, and no part of a body")
def whole_or_error(context, status):
    answered, _, body, is_whole = context.caller.read_answer()
    assert (answered, is_whole) == (status, True), (answered, body)
    assert answered != 200 or body == b"answer of a", body


@when('a caller of HTTP/1.0 streams on "{route}"')
def stream_without_chunks(context, route):
    request = request_bytes(route, headers=STREAM_HEADERS).replace(b"HTTP/1.1", b"HTTP/1.0")
    host, _, port = context.router.settings.callers.listen.rpartition(":")
    context.received, context.end = b"", "closed"
    with socket.create_connection((host, int(port)), LIMIT_S) as connection:
        connection.sendall(request)
        try:
            while part := connection.recv(65_536):
                context.received += part
        except ConnectionResetError:
            context.end = "reset"


@then("it gets {count:d} events, and its connection is {end}")
def gets_events(context, count, end):
    assert context.received.count(b"\nid: ") == count, context.received
    assert context.end == end


@when('a service answers with the header line "{line}" and a part of its body')
def answer_with_line(context, line):
    context.is_taken = is_service_answer_taken(line.encode())


@then("the agent takes it for no answer")
def not_taken(context):
    assert not context.is_taken


@when('the configuration service answers with the revision "{revision}"')
def answer_with_revision(context, revision):
    try:
        context.error = read_revision(revision)
    except Exception as error:
        context.error = error


@then("it counts as unavailable")
def unavailable(context):
    assert isinstance(context.error, PlatformUnavailable), repr(context.error)
