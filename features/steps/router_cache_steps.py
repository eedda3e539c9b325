from behave import given, then, when
from router_steps import STREAM_HEADERS, caller, decode_engines, event_ids
from support.router_world import request_bytes


@given('engine "{name}" keeps {tokens:d} tokens of part "{part}"')
def keeps(context, name, tokens, part):
    context.world.backends[name].cache = {part: tokens}


@given('engine "{name}" does not tell what it keeps')
def tells_nothing(context, name):
    context.world.backends[name].cache = None


@given("the engine that breaks accepts nothing more")
def accepts_nothing(context):
    for backend in decode_engines(context):
        backend.crashes_after_break = True


@given("the engine that breaks forgets what it kept")
def forgets(context):
    for backend in decode_engines(context):
        backend.clears_cache_after_break = True


@when('a client goes on with a stream on "{name}" behind event {last:d}')
def go_on(context, name, last):
    context.caller = caller(context)
    headers = [*STREAM_HEADERS, ("Last-Event-Id", str(last))]
    context.caller.send(request_bytes(name, headers=headers))
    context.answer = context.caller.read_answer()


@then("the client gets events {first:d} to {last:d}, each once and in order, and a whole end")
def rest_of_stream(context, first, last):
    status, _, body, is_whole = context.answer
    assert status == 200 and is_whole, context.answer
    assert event_ids(body) == list(range(first, last + 1)), body


@then('engine "{name}" ran it alone and no other engine was asked to')
def ran_alone(context, name):
    arrivals = {b.name: b.arrivals for b in context.world.backends.values() if b.arrivals}
    assert list(arrivals) == [name] and len(arrivals[name]) == 1, arrivals
    run = arrivals[name][0]
    assert run.header("X-Kv-Source") is None and run.header("X-Copy-From") is None, run


@then('one decode engine ran it with the prompt copied from "{name}"')
def ran_with_copy(context, name):
    runs = [a for b in decode_engines(context) for a in b.arrivals]
    address = context.world.backends[name].address
    assert [a.header("X-Copy-From") for a in runs] == [address], runs
    assert not context.world.backends[name].arrivals


@then('the second run fetched the prompt from "{name}"')
def fetched(context, name):
    runs = [a for b in decode_engines(context) for a in b.runs() if a.header("Last-Event-Id")]
    address = context.world.backends[name].address
    assert [a.header("X-Copy-From") for a in runs] == [address], runs


@then('engine "{name}" read no prompt')
def read_none(context, name):
    read = [a for a in context.world.backends[name].arrivals if a.header("X-Stage") == "prefill"]
    assert not read, read
