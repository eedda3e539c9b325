"""Properties of the number of concurrent role changes, without sockets.

Guards against a fleet of several hundred engines that starts with a third of them in the prefill
role where a fifth is needed, with traffic a few seconds later.
"""

import asyncio

from support.stream_properties import TRAITS
from yokedock.connection.state_source import BackendEntry
from yokedock.process.role_balancer import MAX_ORDERS, SETTLED_S, RoleBalancer
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.role_plan import target_prefill_engines
from yokedock.version.route_table import ServiceSpec


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
        super().__init__("own", self.registry, self.ledger, None, self, lambda: 7)
        self.ordered = []

    def role_order(self, order):
        """Stand in for the dialect: return the order without encoding it."""
        return order

    async def _send(self, backend, order):
        self.ordered.append((order.instance, order.role))
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


ROLE_PROPERTIES = {
    "roles of a large fleet are set at once": a_large_fleet_gets_its_roles_without_delay,
    "few engines change while answers are made": few_engines_change_roles_during_generation,
}
