import re

from behave import given, step, then, when
from support.router_world import HOST, RawCaller, RouterWorld, request_bytes, table
from support.simulated_world import SimulatedRouterWorld

from yokedock.request.mechanisms import Mechanisms

STREAM_HEADERS = [("X-Model", "m"), ("X-Tokens", "50,60"), ("X-Prompt-Parts", "ab:50")]


@given('time and network are simulated with the seed "{seed}"')
def simulated_world(context, seed):
    context.world = SimulatedRouterWorld(seed)
    context.add_cleanup(context.world.close)


def world(context):
    if not hasattr(context, "world"):
        context.world = RouterWorld()
        context.add_cleanup(context.world.close)
    return context.world


def caller(context, router=None):
    address = (router or context.router).settings.callers.listen
    return RawCaller(world(context), address)


def decode_engines(context):
    return [b for b in context.world.backends.values() if b.role == "decode"]


@given('a plain backend "{name}"')
def plain_backend(context, name):
    world(context).add_backend(name, "plain")


@given('a {role} engine "{name}"')
def engine(context, role, name):
    world(context).add_backend(name, "llm", role)


@given("a router that knows them")
def knowing_router(context):
    context.router = world(context).start_router(context.world.snapshot())
    context.world.wait_for(lambda: context.router.is_ready, "ready")


@given("a router whose source is silent")
def silent_router(context):
    context.router = world(context).start_router(None)


@given("a second router whose source is silent")
def second_router(context):
    first = context.router.settings.fleet.address
    port = first.rpartition(":")[2]
    address = f"127.0.0.2:{port}"
    context.second = world(context).start_router(None, (first,), address)


# --- Faults ---


@given('every backend\'s next fault is "{fault}"')
def next_fault(context, fault):
    for backend in context.world.backends.values():
        backend.faults = [fault]


@given('every backend\'s next {count:d} faults are "{fault}"')
def next_faults(context, count, fault):
    for backend in context.world.backends.values():
        backend.faults = [fault] * count


@given('every backend\'s next fault is "{fault}" at one backend')
def fault_at_one(context, fault):
    share_fault(context.world.backends.values(), fault)


@given('every decode engine\'s next fault is "{fault}" at the first that runs')
def fault_at_first(context, fault):
    share_fault(decode_engines(context), fault)


@given('every decode engine\'s next {count:d} faults are "{fault}" at the first that runs')
def faults_at_first(context, count, fault):
    engines = decode_engines(context)
    for engine in engines:
        engine.faults = OnlyFirst(engine, engines, [fault] * count)


class OnlyFirst:
    """Faults of one engine that are dropped when another engine takes a request first."""

    def __init__(self, engine, engines, faults):
        self._engine, self._engines, self._faults = engine, engines, faults

    def __bool__(self):
        return bool(self._faults)

    def pop(self, index):
        for other in self._engines:
            if other is not self._engine:
                other.faults = []
        return self._faults.pop(index)


def share_fault(backends, fault):
    """Give all the same list, so that whoever comes first takes the only fault."""
    share_faults(backends, fault)


def share_faults(backends, *faults):
    """Give all the same list, so that the first request takes the first fault, and so on."""
    shared = list(faults)
    for backend in backends:
        backend.faults = shared


@given("the decode engines refuse everything")
def refuse_all(context):
    for backend in decode_engines(context):
        backend.faults = ["refuse"] * 50


@given('backend "{name}" has died')
def died(context, name):
    context.world.run(context.world.backends[name].stop())


@given('backend "{name}" was replaced at its address by "{newcomer}", unknown to the list')
def replaced(context, name, newcomer):
    context.newcomer = context.world.backends[name]
    context.newcomer.name = newcomer


@then("the newcomer was asked once")
def asked_once(context):
    assert len(context.newcomer.arrivals) == 1, context.newcomer.arrivals


@then("every answer is {status:d}")
def every_status(context, status):
    assert [answer[0] for answer in context.answers] == [status] * len(context.answers)


@given("the backends hold their answers")
def hold(context):
    for backend in context.world.backends.values():
        context.world.loop.call_soon_threadsafe(backend.gate.clear)


@given("the backends hold their answers midway")
def hold_midway(context):
    for backend in context.world.backends.values():
        backend.holds_midway = True
    hold(context)


@when("the backends let go")
def let_go(context):
    for backend in context.world.backends.values():
        context.world.loop.call_soon_threadsafe(backend.gate.set)


# --- Callers ---


@when('a client sends POST on "{name}" with body "{body}"')
def send(context, name, body):
    context.caller = caller(context)
    context.caller.send(request_bytes(name, body=body.encode()))
    context.answer = context.caller.read_answer()


@when('a client sends POST on "{name}" with header "{header}" and body "{body}"')
def send_with_header(context, name, header, body):
    key, _, value = header.partition(": ")
    context.caller = caller(context)
    context.caller.send(request_bytes(name, body=body.encode(), headers=[(key, value)]))
    context.answer = context.caller.read_answer()


@when('a client sends "{body}" on "{name}" in chunks')
def send_chunks(context, body, name):
    head = request_bytes(name, method="PUT", path="x", headers=[("Transfer-Encoding", "chunked")])
    context.caller = caller(context)
    chunks = b"".join(b"%x\r\n%s\r\n" % (1, bytes([byte])) for byte in body.encode())
    context.caller.send(head.replace(b"PUT", b"POST") + chunks + b"0\r\n\r\n")
    context.answer = context.caller.read_answer()


@when('a client sends POST on "{name}" {count:d} times on one connection')
def send_many(context, name, count):
    context.caller = caller(context)
    context.answers = []
    for number in range(count):
        context.caller.send(request_bytes(name, body=b"abc", request_id=f"r-{number}"))
        context.answers.append(context.caller.read_answer())


@when('a client sends POST on "{name}" and leaves once a backend has it')
def send_and_leave(context, name):
    context.caller = caller(context)
    context.caller.send(request_bytes(name, body=b"abc"))
    arrived(context)
    context.caller.leave()


def arrived(context):
    backends = context.world.backends.values()
    context.world.wait_for(lambda: any(b.arrivals for b in backends), "an arrival")


@when('a client sends POST on "{name}" and the router is told to stop')
def send_and_stop(context, name):
    context.caller = caller(context)
    context.caller.send(request_bytes(name, body=b"abc"))
    arrived(context)
    context.world.loop.call_soon_threadsafe(context.router.stop_event.set)
    context.world.wait_for(lambda: not context.router.is_ready, "stopping")


@when('a client sends POST on "{name}" and the router with {grace:g} s of grace is told to stop')
def send_and_stop_soon(context, name, grace):
    router_with_grace(context, grace)
    send_and_stop(context, name)
    context.answer = context.caller.read_answer()


def router_with_grace(context, grace):
    context.router = context.world.start_router(context.world.snapshot(), grace_s=grace)
    context.world.wait_for(lambda: context.router.is_ready, "ready")


@when("a client sends a head of {size:d} bytes")
def send_big_head(context, size):
    context.caller = caller(context)
    context.caller.send(request_bytes("repeat", headers=[("X-Big", "x" * size)]))
    context.answer = context.caller.read_answer()


@when('a client sends two requests at once on "{name}" with ids "{first}" and "{second}"')
def send_two(context, name, first, second):
    context.caller = caller(context)
    requests = [request_bytes(name, body=b"abc", request_id=i) for i in (first, second)]
    context.caller.send(b"".join(requests))
    context.answers = [context.caller.read_answer() for _ in requests]


@when('a client sends POST on "{name}" to the second router once it is ready')
def send_to_second(context, name):
    context.world.wait_for(lambda: context.second.is_ready, "the second router is ready")
    context.caller = caller(context, context.second)
    context.caller.send(request_bytes(name, body=b"abc"))
    context.answer = context.caller.read_answer()


@when('a client streams on "{name}"')
def stream(context, name):
    context.caller = caller(context)
    context.caller.send(request_bytes(name, headers=STREAM_HEADERS))
    context.answer = context.caller.read_answer()


@given("a second router with all mechanisms that knows them")
def router_with_all(context):
    snapshot = context.world.snapshot()
    context.second = context.world.start_router(snapshot, mechanisms=Mechanisms())
    context.world.wait_for(lambda: context.second.is_ready, "ready")


@when('a client streams on "{name}" through the second router')
def stream_through_second(context, name):
    context.caller = caller(context, context.second)
    context.caller.send(request_bytes(name, headers=STREAM_HEADERS))
    context.answer = context.caller.read_answer()


@then('engine "{name}" was asked for nothing')
def asked_for_nothing(context, name):
    assert not context.world.backends[name].arrivals


@when('a client streams on "{name}" a while later')
def stream_later(context, name):
    registry = context.router._registry
    gone = lambda: not registry.usable("llm", "prefill")  # noqa: E731
    context.world.wait_for(gone, "the engine is no last resort any more")
    stream(context, name)


@when('a client streams on "{name}" and leaves after {count:d} events')
def stream_and_leave(context, name, count):
    context.caller = caller(context)
    context.caller.send(request_bytes(name, headers=STREAM_HEADERS))
    context.caller.read_until(f"piece {count}".encode())
    context.caller.leave()


@when('the router with {grace:g} s of grace is told to stop and a client streams on "{name}"')
def stop_and_stream(context, grace, name):
    router_with_grace(context, grace)
    context.caller = caller(context)
    context.world.loop.call_soon_threadsafe(context.router.stop_event.set)
    context.world.wait_for(lambda: not context.router.is_ready, "stopping")
    context.caller.send(request_bytes(name, headers=[*STREAM_HEADERS, ("X-Output-Hint", "900")]))
    context.answer = context.caller.read_answer()


@when('{late_s:g} s into a stop a client streams on "{name}" with a short estimate')
def stop_and_stream_late(context, late_s, name):
    context.caller = caller(context)
    context.world.loop.call_soon_threadsafe(context.router.stop_event.set)
    context.world.wait_for(lambda: not context.router.is_ready, "stopping")
    context.router._stop.since_s -= late_s
    headers = [("X-Model", "m"), ("X-Tokens", "50,5000"), ("X-Output-Hint", "1")]
    context.caller.send(request_bytes(name, headers=headers))
    context.answer = context.caller.read_answer()


# --- The list ---


@step('the list says that "{name}" is leaving')
def leaving(context, name):
    context.world.tell(context.router, changed=[context.world.entry(name, is_leaving=True)])


@step('the list says that "{name}" is gone')
def gone(context, name):
    context.world.tell(context.router, gone=[name])


@step('the list says that "{name}" is back')
def back(context, name):
    context.world.tell(context.router, changed=[context.world.entry(name)])


@when("the first router's source tells of version {version:d}")
def tell_version(context, version):
    context.world.tell(context.router, new_table=table(version))


@when("the first router's source fails in a way that nobody expected")
def source_fails(context):
    context.world.loop.call_soon_threadsafe(context.router.source.fail)


@given("the router's counting of outcomes fails")
def counting_fails(context):
    def fail(route, outcome):
        raise RuntimeError("a defect in metrics")

    context.router._metrics.count = fail


@then("the router has counted {count:d} failures of telemetry")
def counted_failures(context, count):
    failures = context.router._metrics.guard.failures
    context.world.wait_for(lambda: failures["request end"] == count, f"{failures}")


@given("counting the reservations of others fails at the second router")
def counting_reservations_fails(context):
    def fail(router, shares, told_s=None):
        raise RuntimeError("a defect in the ledger")

    context.second._ledger.heard = fail
    # Until a state has failed, the second router may be catching up after its start.
    counted = lambda: context.second._gossip_handler.failed_parts  # noqa: E731
    context.world.wait_for(counted, "a state of which one part fails")


@then("the second router has counted parts that failed")
def counted_failed_parts(context):
    assert context.second._gossip_handler.failed_parts > 0


@then("the {which} router has version {version:d}")
def has_version(context, which, version):
    router = context.router if which == "first" else context.second
    context.world.wait_for(lambda: router.version == version, f"version {version}")


# --- What callers got ---


@then("the client gets {status:d}")
def got_status(context, status):
    assert context.answer[0] == status, context.answer


@then("the client gets {status:d} with the body of a backend")
def got_answer(context, status):
    if not hasattr(context, "answer"):
        context.answer = context.caller.read_answer()
    check_answer(context, context.answer, status, context.world.backends)


@then('the client gets {status:d} with the body "{body}"')
def got_body(context, status, body):
    assert context.answer[0] == status and context.answer[2] == body.encode(), context.answer


@then("every answer is {status:d} with the body of a backend")
def every_answer(context, status):
    for answer in context.answers:
        check_answer(context, answer, status, context.world.backends)


@then('every answer is {status:d} with the body of "{name}"')
def every_answer_of(context, status, name):
    for answer in context.answers:
        check_answer(context, answer, status, [name])


def check_answer(context, answer, status, names):
    got, _, body, is_whole = answer
    assert got == status, answer
    assert is_whole and body in [b"answer of " + name.encode() for name in names], answer


@then('the answer has the header "{name}" "{value}"')
def has_header(context, name, value):
    assert context.answer[1].get(name) == value, context.answer


@then("the answer has a fractional Retry-After")
def has_retry_after(context):
    value = context.answer[1].get("retry-after", "")
    assert re.fullmatch(r"\d+\.\d+", value) and float(value) > 0, context.answer


@then("these bytes get these answers and reach no backend")
def bytes_answers(context):
    for row in context.table:
        sender = caller(context)
        sender.send(row["bytes"].replace("\\r\\n", "\r\n").encode())
        status = sender.read_answer()[0]
        assert status == int(row["status"]), (row["bytes"], status)
    assert not any(b.arrivals for b in context.world.backends.values())


@then("both are answered in order, each by a run of its own")
def both(context):
    assert [answer[0] for answer in context.answers] == [200, 200], context.answers
    ids = [a.header("X-Request-Id") for b in context.world.backends.values() for a in b.arrivals]
    assert sorted(ids) == ["r-1", "r-2"], ids


@then("the client gets {count:d} events, each once and in order, and a whole end")
def whole_stream(context, count):
    status, _, body, is_whole = context.answer
    assert status == 200 and is_whole, context.answer
    assert event_ids(body) == list(range(1, count + 1)), body


@then("the client gets {count:d} events and no end")
def cut_stream(context, count):
    status, _, body, is_whole = context.answer
    assert status == 200 and not is_whole, context.answer
    assert event_ids(body) == list(range(1, count + 1)), body


def event_ids(body):
    return [int(found) for found in re.findall(rb"^id: (\d+)$", body, re.MULTILINE)]


# --- What backends saw ---


@then('a backend got {method} "{target}" with header "{name}" "{value}" and body "{body}"')
def backend_got_header(context, method, target, name, value, body):
    arrival = backend_got(context, method, target, body)
    assert arrival.header(name) == value, arrival


@then('a backend got {method} "{target}" with body "{body}"')
def backend_got(context, method, target, body):
    arrivals = [a for b in context.world.backends.values() for a in b.arrivals]
    assert [(a.method, a.target, a.body) for a in arrivals] == [(method, target, body.encode())]
    return arrivals[0]


@then("the backends ran {count:d} requests")
@then("the backends ran {count:d} request")
def ran(context, count):
    arrivals = [a for b in context.world.backends.values() for a in b.arrivals]
    assert len(arrivals) == count, arrivals


@then("the decode engines ran {count:d} requests")
@then("the decode engines ran {count:d} request")
def decode_ran(context, count):
    arrivals = [a for b in decode_engines(context) for a in b.runs()]
    assert len(arrivals) == count, arrivals


@then("that backend sees its connection closed")
@then("the decode engine that ran it sees its connection closed")
def sees_close(context):
    def closed():
        return any(a.was_closed for b in context.world.backends.values() for a in b.runs())

    context.world.wait_for(closed, "the backend's connection is closed")


@then('engine "{name}" read the prompt once')
def read_once(context, name):
    read = [a for a in context.world.backends[name].arrivals if a.header("X-Stage") == "prefill"]
    assert len(read) == 1, read


@then('one decode engine ran it with the memory kept at "{name}"')
def ran_with_memory(context, name):
    sources = [a.header("X-Kv-Source") for b in decode_engines(context) for a in b.runs()]
    address = context.world.backends[name].address
    assert len(sources) == 1 and sources[0].startswith(f"{address}/h"), sources


@then("the second run went on behind event {last:d}")
def resumed_behind(context, last):
    runs = [a for b in decode_engines(context) for a in b.runs()]
    assert [a.header("Last-Event-Id") for a in runs if a.header("Last-Event-Id")] == [str(last)]


@then('engine "{name}" was told to release what it kept')
def released(context, name):
    backend = context.world.backends[name]

    def told():
        return any(a.method == "DELETE" and a.target == "/prefills/h1" for a in backend.arrivals)

    context.world.wait_for(told, "a release")


@then("the router is no longer ready")
def not_ready(context):
    sender = RawCaller(context.world, context.router.settings.callers.ready_listen)
    sender.send(f"GET /ready HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
    assert sender.read_answer()[0] == 503


@then("the router ends")
def router_ends(context):
    context.world.wait_for(context.router.life.done, "the router ends")


@then("each decode engine ran it once")
def ran_once_each(context):
    runs = {b.name: len(b.runs()) for b in decode_engines(context)}
    assert set(runs.values()) == {1}, runs


@then("the silent backend is avoided")
def silent_avoided(context):
    usable = {backend.name for backend in context.router._registry.usable("plain")}
    asked = {b.name for b in context.world.backends.values() if b.arrivals}
    assert len(asked) == 2 and len(usable) == 1, (usable, asked)


@then("the answer tells to come back after {least:g} to {most:g} s")
def come_back_after(context, least, most):
    told_s = float(context.answer[1]["retry-after"])
    assert least <= told_s <= most, told_s


@given("the router is in the last moment of a planned stop")
def last_moment(context):
    context.router._stop.is_stopping = context.router._stop.is_ending = True


@then("no backend was asked")
def no_backend_asked(context):
    assert not any(backend.arrivals for backend in context.world.backends.values())
