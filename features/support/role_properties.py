"""Properties of role changes: how many at once, and how soon. Without sockets.

Guards against a fleet of several hundred engines that starts with a third of them in the prefill
role where a fifth is needed, with traffic a few seconds later; and against a lost prefill engine
that is replaced late because the leader changed meanwhile.
"""

import asyncio

from support.stream_properties import TRAITS
from yokedock.base.clock import boot_time_s
from yokedock.connection.state_source import BackendEntry
from yokedock.process.role_balancer import (
    MAX_ORDERS,
    PREFILL_REPLACEMENT_DELAY_S,
    SETTLED_S,
    RoleBalancer,
)
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.role_plan import target_prefill_engines
from yokedock.version.route_table import RouteTable, ServiceSpec
from yokedock_emulator.simulation.simulation import run_simulated


class RecordingBalancer(RoleBalancer):
    """Records its orders instead of sending them."""

    def __init__(self, engines, reading):
        roles = ["prefill"] * reading + ["decode"] * (engines - reading)
        self.registry = BackendRegistry("zone")
        entries = [
            BackendEntry(f"e{number}", "llm", "127.0.0.1:1", role=role)
            for number, role in enumerate(roles)
        ]
        self.registry.update(entries, ())
        self.ledger = EngineLedger()
        self.fencing_token = 7
        super().__init__("own", self.registry, self.ledger, None, self, lambda: self.fencing_token)
        self.ordered = []
        self.ordered_s = []

    def role_order(self, order):
        """Stand in for the dialect: return the order without encoding it."""
        return order

    async def _send(self, backend, order):
        self.ordered.append((order.instance, order.role))
        self.ordered_s.append(boot_time_s())
        return 202


async def order_counts_by_round(balancer, rounds):
    """Return the total number of orders after each round."""
    spec = ServiceSpec("llm", engine=TRAITS)
    await balancer._balance(spec)
    await asyncio.sleep(SETTLED_S + 0.05)
    counts = []
    for _ in range(rounds):
        await balancer._balance(spec)
        counts.append(len(balancer.ordered))
    return counts


def a_large_fleet_gets_its_roles_without_delay():
    """Without traffic, 300 engines get their 45 orders in three rounds, and no more follow."""
    balancer = RecordingBalancer(300, 105)
    counts = asyncio.run(order_counts_by_round(balancer, 5))
    needed = 105 - target_prefill_engines(300)
    assert counts[2] == counts[4] == needed == len(set(balancer.ordered)), counts
    assert {role for _, role in balancer.ordered} == {"decode"}


def few_engines_change_roles_during_generation():
    """During generation, one of 60 engines or six of 300 change their role at a time."""
    for engines, most in ((60, 1), (300, 6)):
        balancer = RecordingBalancer(engines, engines // 2)
        balancer.ledger.open_stream(StreamDemand(f"e{engines - 1}", 10, 0, 0))
        counts = asyncio.run(order_counts_by_round(balancer, 4))
        assert counts[-1] == most <= MAX_ORDERS, counts


FOLLOWING_S = PREFILL_REPLACEMENT_DELAY_S + 1.0
"""For so long the router follows another leader."""
NEW_LEADER_S = 1.5
"""A new leader acts within this time on what it has seen for long enough."""


async def _replacement_s(reports):
    """Return when a router, leading from ``FOLLOWING_S`` on, replaces the only prefill engine.

    ``reports`` is called with the registry a second before it leads.
    """
    balancer = RecordingBalancer(4, 0)
    balancer.fencing_token = None
    table = RouteTable(1, (), {"llm": ServiceSpec("llm", engine=TRAITS)})
    since_s = boot_time_s()
    running = asyncio.create_task(balancer.run(lambda: table))
    await asyncio.sleep(FOLLOWING_S - 1.0)
    reports(balancer.registry)
    await asyncio.sleep(1.0)
    balancer.fencing_token = 7
    while not balancer.ordered:
        await asyncio.sleep(0.01)
    running.cancel()
    return balancer.ordered_s[0] - since_s


def a_new_leader_replaces_what_has_been_missing():
    """Guards against a new leader that counts anew how long the prefill engine has been missing."""
    at_s = run_simulated(_replacement_s(lambda registry: None), "new leader")
    assert at_s <= FOLLOWING_S + NEW_LEADER_S, at_s


def a_new_leader_waits_for_the_order_of_the_last_one():
    """Guards against a second replacement beside one that the last leader has just ordered."""

    def report(registry):
        registry.set_changing("other", ("e3",))

    at_s = run_simulated(_replacement_s(report), "order in progress")
    assert at_s >= FOLLOWING_S - 1.0 + PREFILL_REPLACEMENT_DELAY_S, at_s


ROLE_PROPERTIES = {
    "a new leader replaces what has been missing": a_new_leader_replaces_what_has_been_missing,
    "a new leader waits for the order of the last": (
        a_new_leader_waits_for_the_order_of_the_last_one
    ),
    "roles of a large fleet are set at once": a_large_fleet_gets_its_roles_without_delay,
    "few engines change while answers are made": few_engines_change_roles_during_generation,
}
