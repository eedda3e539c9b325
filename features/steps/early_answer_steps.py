from behave import given, then, when
from router_steps import STREAM_HEADERS
from support.cut_answer_properties import call_service, prefill
from support.early_answers import EarlyServer
from support.router_world import RawCaller, RouterWorld, request_bytes

from yokedock.connection.service_client import ServiceClient
from yokedock.errors import EngineLost, YokedockError

BODY = bytes(4_194_304)
PART = b"a part of the answer"
OWN = b"X-Request-Id: r-1\r\nX-Signature: s\r\n"
HEADS = {
    "without a length": b"HTTP/1.1 200 OK\r\n" + OWN + b"\r\n" + PART,
    "in chunks": b"HTTP/1.1 200 OK\r\n" + OWN + b"Transfer-Encoding: chunked\r\n\r\n14\r\n" + PART,
    "with a length": b"HTTP/1.1 200 OK\r\n" + OWN + b"Content-Length: 1000\r\n\r\n" + PART,
    "of HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + OWN + b"\r\n" + PART,
    "whole": b"HTTP/1.1 200 OK\r\n" + OWN + b"Content-Length: 20\r\n\r\n" + PART,
}
ERRORS = (502, 503, 504)
TIMEOUT_S = 5.0


def with_status(status):
    line = f"HTTP/1.1 {status} Status\r\n".encode()
    return line + OWN + b"Content-Length: 20\r\n\r\n" + PART


def start_router(context, **backends):
    context.world = RouterWorld()
    context.add_cleanup(context.world.close)
    for name, backend in backends.items():
        backend.name = name
        context.world.backends[name] = backend
    context.router = context.world.start_router(context.world.snapshot())


@given("a plain backend that answers an upload with 200, {framing}, and a part, then a {end}")
def early_backend(context, framing, end):
    start_router(context, a=EarlyServer(HEADS[framing], end, "plain"))


@given("a plain backend that answers an upload with 200, whole, before it reads it")
def early_whole(context):
    start_router(context, a=EarlyServer(HEADS["whole"], "read", "plain"))


@when('a client sends a body of 4 MB on "{route}" to its router')
def upload(context, route):
    context.answer = ask(context, request_bytes(route, body=BODY))


@then("the client gets no success")
def no_success(context):
    assert context.answer[0] in ERRORS, context.answer


@then("the client gets its whole answer")
def whole_answer(context):
    assert context.answer == (200, PART), context.answer


@given('backends of all kinds whose answers have the status "{status}"')
def wrong_backends(context, status):
    context.answers = []
    for role in ("", "prefill", "decode"):
        answer = with_status(status)
        if not role:
            start_router(context, a=EarlyServer(answer, service="plain"))
            context.answers += [ask(context, request_bytes(r)) for r in ("once", "repeat")]
            continue
        context.world.run(_add_engine(context, role, answer))


async def _add_engine(context, role, answer):
    context.engines = {**getattr(context, "engines", {}), role: answer}


@when("a client sends a request to each of them through a router")
def ask_all(context):
    sound_prefill = with_json(b'{"handle": "h1", "tokens": 5}')
    for role in ("prefill", "decode"):
        answers = {
            "prefill": sound_prefill,
            "decode": with_json(b"{}"),
            role: context.engines[role],
        }
        start_router(
            context,
            **{name: EarlyServer(answers[name], service="llm", role=name) for name in answers},
        )
        for route in ("talk", "chat"):
            request = request_bytes(route, headers=[*STREAM_HEADERS, ("X-Deadline-Ms", "1500")])
            context.answers.append(ask(context, request))


def with_json(body):
    return b"HTTP/1.1 200 OK\r\n" + OWN + b"Content-Length: %d\r\n\r\n" % len(body) + body


@then("each gets an error of the router")
def each_error(context):
    assert len(context.answers) == 6
    assert all(status in ERRORS for status, _ in context.answers), context.answers


def ask(context, request):
    """Return status and body of the answer to a request."""
    caller = RawCaller(context.world, context.router.settings.callers.listen)
    caller.send(request)
    status, _, body, _ = caller.read_answer()
    return status, body


@given("a service that answers an upload with 200, {framing}, and a part, then a {end}")
def early_service(context, framing, end):
    context.server = EarlyServer(HEADS[framing], end)
    context.add_cleanup(context.server.close)


@given('a service whose answers have the status "{status}"')
def wrong_service(context, status):
    context.server = EarlyServer(with_status(status))
    context.add_cleanup(context.server.close)


@when("an agent calls it with a body of 4 MB")
def agent_uploads(context):
    client = ServiceClient(f"http://{context.server.address}", TIMEOUT_S)
    context.results = [result_of(client.call, "s", BODY, "text/plain", "key", TIMEOUT_S)]


@when("an agent calls it, as a service and as an engine")
def agent_calls(context):
    address = context.server.address
    context.results = [result_of(call, address) for call in (call_service, prefill)]


def result_of(call, *arguments):
    try:
        return call(*arguments)
    except YokedockError as error:
        return error


@then("the agent has lost the answer")
@then("the agent has lost both answers")
def lost(context):
    assert all(isinstance(result, EngineLost) for result in context.results), context.results
