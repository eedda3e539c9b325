import time

from behave import given, step, then, when
from router_steps import STREAM_HEADERS, caller, decode_engines, event_ids
from support.router_world import request_bytes
from support.unreading_backend import UnreadingBackend

ROUNDS = 5
MOST_LAST_ROUNDS = 10
"""Quick rounds until each backend was used a moment ago: what may not be repeated takes no
connection that has rested for 0.8 s, and would meet none that is silent."""
EVENT_GAP_S = 0.05
LONG_PIECES = 60


def backends_of(context, role):
    return [b for b in context.world.backends.values() if not role or b.role == role]


def send_all(context, requests, backends, wanted):
    """Send requests while every backend holds its answer, then let all be answered."""
    for backend in context.world.backends.values():
        context.world.loop.call_soon_threadsafe(backend.gate.clear)
    callers = []
    for data in requests:
        callers.append(caller(context))
        callers[-1].send(data)
    enough = lambda: sum(len(b.arrivals) for b in backends) >= wanted  # noqa: E731
    context.world.wait_for(enough, "the requests are at the backends")
    for backend in context.world.backends.values():
        context.world.loop.call_soon_threadsafe(backend.gate.set)
    assert {one.read_answer()[0] for one in callers} == {200}


@given('clients have used {count:d} connections to each backend with calls on "{name}"')
def used_by_calls(context, count, name):
    backends = backends_of(context, "")
    total = count * len(backends)
    requests = [request_bytes(name, body=b"abc", request_id=f"w-{n}") for n in range(total)]
    send_all(context, requests, backends, total)
    check_used(backends, count)


@given('clients have used {count:d} connections to each {role} engine with streams on "{name}"')
def used_by_streams(context, count, role, name):
    backends = backends_of(context, role)
    total = count * len(backends)
    for number in range(ROUNDS):
        send_streams(context, warming_streams(name, number, total), EVENT_GAP_S)
    for number in range(ROUNDS, ROUNDS + MOST_LAST_ROUNDS):
        before = {backend.name: len(backend.arrivals) for backend in backends}
        send_streams(context, warming_streams(name, number, total), 0.0)
        if all(len(backend.arrivals) > before[backend.name] for backend in backends):
            break
    check_used(backends, count)


def warming_streams(name, number, total):
    """Return the streams of one round, each with a prompt of its own."""
    return [
        request_bytes(name, headers=prompt_headers(f"{number}-{n}"), request_id=f"w-{number}-{n}")
        for n in range(total)
    ]


def prompt_headers(part):
    """Return the headers of a stream with a prompt of its own, which no engine keeps."""
    return [("X-Model", "m"), ("X-Tokens", "50,60"), ("X-Prompt-Parts", f"{part}:50")]


def send_streams(context, requests, event_interval_s):
    for backend in context.world.backends.values():
        backend.event_interval_s = event_interval_s
    callers = [caller(context) for _ in requests]
    for one, data in zip(callers, requests, strict=True):
        one.send(data)
    assert {one.read_answer()[0] for one in callers} == {200}
    for backend in context.world.backends.values():
        backend.event_interval_s = 0.0


def check_used(backends, count):
    for backend in backends:
        assert len(backend.open_connections()) >= min(count, 2), (backend.name, backend.connections)
        backend.arrivals.clear()


@given("the open connections to every {role} have gone silent")
def gone_silent(context, role):
    kind = "" if role == "backend" else role.split()[0]
    for backend in backends_of(context, kind):
        context.world.loop.call_soon_threadsafe(backend.stop_responding)


@given('backend "{name}" accepts connections and reads nothing')
def reads_nothing(context, name):
    unreading = UnreadingBackend()
    context.add_cleanup(unreading.close)
    context.world.backends[name].address = unreading.address


def timed(context, data, router=None):
    context.caller = caller(context, router)
    sent_s = time.monotonic()
    context.caller.send(data)
    context.answer = context.caller.read_answer()
    context.took_s = time.monotonic() - sent_s


@when('a client sends POST on "{name}" and its time is taken')
def send_timed(context, name):
    timed(context, request_bytes(name, body=b"abc", request_id="t-1"))


@when('a client sends POST on "{name}" with {size:d} bytes and its time is taken')
def send_long_timed(context, name, size):
    timed(context, request_bytes(name, body=b"x" * size, request_id="t-1"))


@when('a client sends POST on "{name}" and waits for {wait_s:g} s')
def send_and_wait(context, name, wait_s):
    context.waiting = caller(context)
    context.waiting.send(request_bytes(name, body=b"abc", request_id="t-1"))
    time.sleep(wait_s)


@when('a client streams on "{name}" and its time is taken')
def stream_timed(context, name):
    timed(context, request_bytes(name, headers=STREAM_HEADERS, request_id="t-2"))


@when('a client with {limit_s:g} s streams on "{name}" and its time is taken')
def stream_with_limit(context, limit_s, name):
    headers = [*STREAM_HEADERS, ("X-Deadline-Ms", str(round(limit_s * 1000)))]
    timed(context, request_bytes(name, headers=headers, request_id="t-1"))


@when('a client streams on "{name}" and all connections fall silent after event {last:d}')
def stream_falls_silent(context, name, last):
    engines = decode_engines(context)

    def fall_silent(number):
        if number == last:
            for engine in engines:
                engine.stop_responding()
                engine.on_event = lambda number: None

    for engine in engines:
        engine.on_event = fall_silent
    timed(context, request_bytes(name, headers=STREAM_HEADERS, request_id="t-1"))


@when('one of 4 long streams on "{name}" falls silent after event {last:d}')
def one_falls_silent(context, name, last):
    engines = decode_engines(context)
    for engine in engines:
        engine.event_interval_s, engine.pieces = EVENT_GAP_S, LONG_PIECES
    shared = [f"fall silent after event {last}"]
    context.callers = [caller(context) for _ in range(4)]
    for number, one in enumerate(context.callers):
        one.send(request_bytes(name, headers=STREAM_HEADERS, request_id=f"t-{number}"))
        if number == 2:
            enough = lambda: sum(len(e.runs()) for e in engines) >= 3  # noqa: E731
            context.world.wait_for(enough, "three streams are at the engines")
            for engine in engines:
                engine.faults = shared


@then("it goes on at another engine")
def goes_on(context):
    engines = decode_engines(context)
    resumed = lambda: any(a.header("Last-Event-Id") for e in engines for a in e.runs())  # noqa: E731
    context.world.wait_for(resumed, "the stream goes on")


@then("every decode engine is still offered new streams")
def all_offered(context):
    usable = {backend.name for backend in context.router._registry.usable("llm", "decode")}
    assert usable == {engine.name for engine in decode_engines(context)}, usable
    for one in context.callers:
        status, _, body, is_whole = one.read_answer()
        assert status == 200 and is_whole, (status, body)
        assert event_ids(body) == list(range(1, LONG_PIECES + 1)), body


@then("the answer came within {most_s:g} s")
def came_within(context, most_s):
    print(f"the answer took {context.took_s:.3f} s")
    assert context.took_s <= most_s, context.took_s


@step("{count:d} request was left unanswered")
@step("{count:d} requests were left unanswered")
def left_unanswered(context, count):
    found = {b.name: len(b.unanswered()) for b in context.world.backends.values()}
    assert sum(found.values()) == count, (found, what_came(context), what_decided(context.router))


def what_came(context):
    """Return what each backend got, and how many connections were opened to it and are open."""
    return {
        b.name: (
            [(a.method, a.header("X-Stage"), a.was_unanswered) for a in b.arrivals],
            b.connections,
            len(b.open_connections()),
        )
        for b in context.world.backends.values()
    }


def what_decided(router):
    """Return what the router's choice went by, for a failure's message."""
    registry, pace = router._registry, router._ledger.pace
    engines = registry.usable("llm")
    rates = {e.name: (e.entry.role, round(pace.prefill_rate(e.name))) for e in engines}
    failures = {e.name: round(e.health.failure_rate(time.monotonic()), 2) for e in engines}
    resting = {address: len(kept) for address, kept in router._pool._idle.items()}
    return rates, failures, sorted(registry._all_changing), resting


@then("no request ran twice")
def none_twice(context):
    runs = [a.header("X-Request-Id") for b in context.world.backends.values() for a in b.runs()]
    assert len(runs) == len(set(runs)), runs


@then('backend "{name}" accepted {count:d} connections')
def accepted(context, name, count):
    assert context.world.backends[name].connections == count
