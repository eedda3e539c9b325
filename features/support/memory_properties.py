"""Properties of the budget for what clients make a process hold, over patterns of load."""

import contextlib
import itertools
import random
import socket

from yokedock.base.resource_budget import (
    MAX_HOLD_S,
    MIB,
    SMALL_BYTES,
    STALLED_S,
    ResourceBudget,
    Stage,
)
from yokedock.connection.http_server import HttpRouter, HttpServer

BODY_BYTES = 4 * MIB
PART_BYTES = 65_536
LIMIT_BYTES = 42 * MIB


class _Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


class _Client:
    """One connection whose request arrives in parts."""

    def __init__(self, group):
        self.is_evicted = False
        self.holding = group.open(self._evict)

    def _evict(self):
        self.is_evicted = True

    def receives(self, size):
        """Let its request grow to ``size`` bytes; return whether there was room."""
        self.holding.enter(Stage.RECEIVING)
        self.holding.record_progress(size - self.holding.request_bytes)
        return self.holding.try_hold_request(size)


def _budget():
    clock = _Clock()
    return ResourceBudget(LIMIT_BYTES, clock), clock


# Guards against slow clients that are closed although nobody needs what they hold.
def a_slow_client_alone_is_waited_for():
    """Without need, a client is not closed however long its request takes."""
    budget, clock = _budget()
    group = budget.group()
    slow = _Client(group)
    assert slow.receives(BODY_BYTES)
    clock.now_s += 10 * MAX_HOLD_S
    others = [_Client(group) for _ in range(3)]
    assert all(other.receives(BODY_BYTES) for other in others)
    assert not slow.is_evicted and budget.evictions == 0


# Guards against clients that stop short of the end and keep all others out.
def stalled_clients_give_way():
    """Those that move nothing are closed for a new one, not those that move."""
    budget, clock = _budget()
    group = budget.group()
    stalled = [_Client(group) for _ in range(3)]
    moving = [_Client(group) for _ in range(2)]
    for client in (*stalled, *moving):
        assert client.receives(BODY_BYTES - PART_BYTES)
    clock.now_s += STALLED_S
    for client in moving:
        assert client.receives(BODY_BYTES)
    assert _Client(group).receives(2 * BODY_BYTES)
    assert any(client.is_evicted for client in stalled)
    assert not any(client.is_evicted for client in moving)


# Guards against large requests that all give way to each other, so that none arrives whole.
def the_first_large_requests_arrive_whole():
    """Of many that grow at once, as many as fit arrive; those that began first."""
    budget, clock = _budget()
    group = budget.group()
    clients = []
    for _ in range(60):
        clock.now_s += 0.001
        clients.append(_Client(group))
        clients[-1].receives(1)
    refused = set()
    for size in range(PART_BYTES, BODY_BYTES + 1, PART_BYTES):
        for number, client in enumerate(clients):
            if number not in refused and not client.is_evicted and not client.receives(size):
                refused.add(number)
                client.holding.close()
            assert budget.total_bytes <= LIMIT_BYTES
    whole = [n for n, client in enumerate(clients) if client.holding.request_bytes == BODY_BYTES]
    assert whole == list(range(int(budget.request_limit_bytes // BODY_BYTES))), whole


# Guards against idle connections that keep all others out.
def an_idle_connection_gives_way_to_a_new_one():
    """At the limit, the one that was idle for longest is closed; none that is served."""
    budget, clock = _budget()
    group = budget.group(20)
    served = [_Client(group) for _ in range(5)]
    for client in served:
        client.holding.enter(Stage.SERVED)
    idle = []
    for _ in range(100):
        clock.now_s += 0.1
        idle.append(_Client(group))
        assert idle[-1].holding is not None
        for client in idle:
            if client.is_evicted:
                client.holding.close()
        assert len(group.open_holdings) <= 20
    assert not any(client.is_evicted for client in served)
    assert [client.is_evicted for client in idle] == [True] * 85 + [False] * 15


# Guards against small requests that find no room because large ones hold it all.
def small_requests_find_room_beside_large_ones():
    """While large requests hold all that they may, small ones are still taken."""
    budget, _ = _budget()
    group = budget.group()
    large = itertools.takewhile(lambda c: c.receives(BODY_BYTES), iter(lambda: _Client(group), 0))
    assert sum(1 for _ in large) >= 2
    assert all(_Client(group).receives(SMALL_BYTES // 4) for _ in range(50))


def the_sums_are_those_of_the_connections():
    """Whatever comes and goes, the totals are the sums, and requests stay within the limit."""
    for seed in range(20):
        chance = random.Random(seed)
        budget, clock = _budget()
        group = budget.group(50)
        clients = []
        for _ in range(1500):
            clock.now_s += chance.random() / 10
            _one_step(chance, group, clients)
            held = [each.size for each in group.open_holdings]
            assert budget.total_bytes == sum(held) <= LIMIT_BYTES
            assert budget.request_bytes == sum(h.request_bytes for h in group.open_holdings)


# Guards against refused connections that leave something behind for good.
def a_refused_connection_leaves_nothing():
    """Connections that find no room are reset, and the budget is as before."""
    budget, _ = _budget()
    server = HttpServer(HttpRouter(), "127.0.0.1:0", 1, group=budget.group(0))
    server.start()
    host, _, port = server.address.rpartition(":")
    for _ in range(20):
        # The reset may come while the connection is still being established.
        with (
            contextlib.suppress(ConnectionResetError),
            socket.create_connection((host, int(port)), 5.0) as connection,
        ):
            assert connection.recv(1) == b""
    server.close()
    assert len(budget._groups) == 1, len(budget._groups)
    assert budget.total_bytes == 0 and budget.refusals == 20


def _one_step(chance, group, clients):
    """Let a client come, grow, be served or leave."""
    what = chance.choice(("come", "grow", "grow", "grow", "serve", "leave"))
    if what == "come" or not clients:
        client = _Client(group)
        if client.holding is not None:
            clients.append(client)
        return
    client = chance.choice(clients)
    if what == "grow" and client.holding.stage is not Stage.SERVED:
        client.receives(client.holding.request_bytes + chance.randrange(BODY_BYTES // 4))
    elif what == "serve":
        client.holding.enter(Stage.SERVED)
    elif what == "leave" or client.is_evicted:
        clients.remove(client)
        client.holding.close()


MEMORY_PROPERTIES = {
    "a slow client alone is waited for": a_slow_client_alone_is_waited_for,
    "stalled clients give way": stalled_clients_give_way,
    "the first large requests arrive whole": the_first_large_requests_arrive_whole,
    "an idle connection gives way to a new one": an_idle_connection_gives_way_to_a_new_one,
    "small requests find room beside large ones": small_requests_find_room_beside_large_ones,
    "a refused connection leaves nothing": a_refused_connection_leaves_nothing,
    "the sums of what is held are right": the_sums_are_those_of_the_connections,
}
