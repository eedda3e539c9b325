import json

from behave import then, when
from router_steps import caller
from support.odd_entry_properties import stored
from support.router_world import request_bytes

from yokedock.connection.source_position import SourcePosition
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


@then("{count:d} calls at each router get 200")
def calls_succeed(context, count):
    for router in (context.router, context.second):
        statuses = []
        client = caller(context, router)
        for _ in range(count):
            client.send(request_bytes("once", body=b"abc"))
            statuses.append(client.read_answer()[0])
        client.leave()
        assert statuses == [200] * count, statuses
