"""Requests that arrive while a stopping router stands still. The clients use plain sockets, since
the router, its backends and all other callers share the event loop that is blocked."""

import http.client
import socket
import threading
import time

from behave import given, then, when
from support.router_world import request_bytes

from yokedock.process.graceful_stop import CONNECTION_DRAIN_S

ANSWER_LIMIT_S = 5.0
LEAD_S = 0.2
"""The event loop is blocked so long before the router closes idle connections."""
END_POLL_S = 0.005
"""Interval at which the end of a stop is looked for, far below the time that it takes."""


def connect(context):
    host, _, port = context.router.settings.callers.listen.rpartition(":")
    return socket.create_connection((host, int(port)), ANSWER_LIMIT_S)


def read_status(client):
    """Read one whole response, so that none of it is taken for the next; return its status."""
    response = http.client.HTTPResponse(client)
    response.begin()
    response.read()
    return response.status


def send(client, request_id):
    client.sendall(request_bytes("repeat", body=b"abc", request_id=request_id))


@given("{count:d} clients with connections that they keep")
def clients_with_connections(context, count):
    context.clients = [connect(context) for _ in range(count)]
    for number, client in enumerate(context.clients):
        send(client, f"first-{number}")
        assert read_status(client) == 200


@when("the router is told to stop and stands still for {span_s:g} s as it closes idle connections")
def stop_and_stand_still(context, span_s):
    stands_still = threading.Event()

    def stand_still():
        stands_still.set()
        time.sleep(span_s)

    def stop():
        # Both timers belong to the loop, so that the stall begins first however late they run.
        context.world.loop.call_later(CONNECTION_DRAIN_S - LEAD_S, stand_still)
        context.router.stop_event.set()

    context.world.loop.call_soon_threadsafe(stop)
    assert stands_still.wait(CONNECTION_DRAIN_S + ANSWER_LIMIT_S), "the stall did not begin"


@when("the router is told to stop and stands still for {span_s:g} s as it ends")
def stop_and_stand_still_at_end(context, span_s):
    stands_still = threading.Event()
    context.router._gossip.send_final_state = lambda: close_like_exit(context.router)

    def stand_still_once_ending():
        if not context.router._stop.is_ending:
            context.world.loop.call_later(END_POLL_S, stand_still_once_ending)
            return
        stands_still.set()
        time.sleep(span_s)

    context.world.loop.call_soon_threadsafe(stand_still_once_ending)
    context.world.loop.call_soon_threadsafe(context.router.stop_event.set)
    assert stands_still.wait(CONNECTION_DRAIN_S + ANSWER_LIMIT_S), "the stall did not begin"


def close_like_exit(router):
    """Close all connections of callers, and those accepted later, as the exit of a process does."""
    for connection in list(router._connections):
        connection.abort()
    router._link_admission.accept = lambda: False


@when("{count:d} clients with new connections send a request meanwhile")
def new_connections_send_meanwhile(context, count):
    context.clients = []
    send_meanwhile(context, count)


@when("each of these clients, and {count:d} with new connections, send a request meanwhile")
def send_meanwhile(context, count):
    context.clients += [connect(context) for _ in range(count)]
    for number, client in enumerate(context.clients):
        send(client, f"late-{number}")


@then("each of these requests is answered {status:d}")
def all_answered(context, status):
    statuses = [read_status(client) for client in context.clients]
    assert set(statuses) == {status}, statuses
