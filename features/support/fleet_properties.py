"""Properties of several routers in one process that place generations on the same engines."""

import asyncio

from support.stream_properties import TRAITS, generation, registry
from yokedock.base.clock import boot_time_s
from yokedock.connection.router_state import QueueShare
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.engine_placement import Progress
from yokedock.request.mechanisms import Mechanisms
from yokedock.request.queued_placement import QueuedPlacement
from yokedock.request.waiter import Turn
from yokedock_emulator.simulation.simulation import run_simulated

MIN_SEND_INTERVAL_S = 0.01
DATAGRAM_DELAY_S = 0.004
"""Minimum interval between a router's datagrams, and the delivery time of a datagram."""


class Router:
    """The ledger and queue of one router, which receives the others' state with a delay."""

    def __init__(self, name):
        self.name = name
        self.others = []
        self.heard = {}
        self.ledger = EngineLedger()
        self.placement = QueuedPlacement(
            registry("d"),
            self.ledger,
            self._elsewhere,
            Mechanisms(refuse_hopeless=False),
            self._reported_turns,
        )
        self.ledger.on_change = self._change
        self._is_speaking = False
        self._spoke_s = 0.0

    def _elsewhere(self, service):
        shares = [queues[service] for _, queues in self.heard.values() if service in queues]
        return QueueShare(sum(s.in_time for s in shares), sum(s.arrivals_per_s for s in shares))

    def _reported_turns(self, service):
        return [
            Turn(share.next_in_ms < 0, at_s + abs(share.next_in_ms) / 1000, name < self.name)
            for name, (at_s, queues) in self.heard.items()
            if (share := queues.get(service)) and share.next_in_ms
        ]

    def _change(self):
        if not self._is_speaking:
            self._is_speaking = True
            gap_s = max(0.0, self._spoke_s + MIN_SEND_INTERVAL_S - boot_time_s())
            asyncio.get_running_loop().call_later(gap_s, self._speak)

    def _speak(self):
        self._is_speaking = False
        self._spoke_s = boot_time_s()
        told = (self.name, self.ledger.shares(), self.placement.queues())
        for other in self.others:
            asyncio.get_running_loop().call_later(DATAGRAM_DELAY_S, other.hear, *told)

    def hear(self, name, shares, queues):
        """Apply the state received from another router."""
        self.heard[name] = (boot_time_s(), queues)
        self.ledger.heard(name, shares)


def fleet(size):
    """Return routers that send their state to each other."""
    routers = [Router(f"r{number}") for number in range(size)]
    for router in routers:
        router.others = [other for other in routers if other is not router]
    return routers


def freed_capacity_is_reserved_once():
    """Ten routers wait for one stream's capacity: six rounds allow at most 12 placements.

    Guards against several routers placing requests on the same freed capacity.
    """

    async def play():
        routers = fleet(10)
        whole = StreamDemand("d", TRAITS.memory_tokens, 0, 0)
        taken = routers[0].ledger.open_stream(whole)
        await asyncio.sleep(0.05)
        now_s = boot_time_s()
        waiting = [
            asyncio.create_task(r.placement.place(generation(now_s + n / 100, 700), Progress()))
            for n, r in enumerate(routers)
        ]
        await asyncio.sleep(0.1)
        promised = []
        for _ in range(6):
            routers[0].ledger.close_stream(taken)
            done, _ = await asyncio.wait(waiting, timeout=1.0, return_when="FIRST_COMPLETED")
            assert done, "no router used the free capacity"
            await asyncio.sleep(0.06)
            placed = [index for index, task in enumerate(waiting) if task.done()]
            promised.append(len(placed))
            taken = routers[0].ledger.open_stream(whole)
            for index in placed:
                router = routers[index]
                router.ledger.close_stream(waiting[index].result().reservation)
                again = router.placement.place(generation(boot_time_s(), 700), Progress())
                waiting[index] = asyncio.create_task(again)
            await asyncio.sleep(0.06)
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        assert sum(promised) <= 12, promised

    run_simulated(play())


FLEET_PROPERTIES = {
    "room that comes free is promised once": freed_capacity_is_reserved_once,
}
