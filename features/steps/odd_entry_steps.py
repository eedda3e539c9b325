import json

from behave import then, when
from router_steps import caller
from support.odd_entry_properties import stored
from support.router_world import request_bytes

from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import BackendEntry
from yokedock.platform.store import items_to_changes


@when("the store of the first router tells of an entry whose {field} is {value}")
def tell_odd(context, field, value):
    world = context.world
    number = json.loads(value)
    address = world.backends["a"].address
    fields = {"service": "plain", "stage": "", "zone": "", "address": address}
    if field == "revision":
        item = stored("odd", fields, number)
    elif field == "name":
        item = stored(number, fields)
    else:
        item = stored("odd", fields | {field: number})
    changes = items_to_changes((item,), SourcePosition(revision=world.position + 1))
    world.tell(context.router, changes.changed, changes.gone)


@when("the second router's peer tells of an entry whose address is {address}, in {way}")
def peer_tells_odd(context, address, way):
    """Have the first router pass on an entry as if a source had not checked it."""
    world = context.world
    world.wait_for(lambda: context.second.is_ready, "ready")
    odd = BackendEntry("odd", "plain", address, slots=128)
    if way == "a datagram":
        context.router._exchange.answer = lambda query: b""
        world.tell(context.router, (odd,))
    else:
        context.router._follower._recent_news.unexpired = lambda: ()
        world.tell(context.router, (odd,))
    world.wait_for(lambda: context.second.position == context.router.position, "told")


@then("{count:d} calls at the second router get 200")
def calls_at_second_succeed(context, count):
    statuses = statuses_of_calls(context, context.second, count)
    assert statuses == [200] * count, statuses


@then("{count:d} calls at each router get 200")
def calls_succeed(context, count):
    for router in (context.router, context.second):
        statuses = statuses_of_calls(context, router, count)
        assert statuses == [200] * count, statuses


def statuses_of_calls(context, router, count):
    """Return the statuses of calls made one after another."""
    statuses = []
    client = caller(context, router)
    for _ in range(count):
        client.send(request_bytes("once", body=b"abc"))
        statuses.append(client.read_answer()[0])
    client.leave()
    return statuses
