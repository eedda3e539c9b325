"""Runs the routers, backends and callers of a scenario in simulated time and network."""

import asyncio
import contextlib

from support.router_world import LIMIT_S, RouterWorld
from yokedock_emulator.simulation.simulation import simulation


class SimulatedRouterWorld(RouterWorld):
    """A ``RouterWorld`` whose time passes only while ``run`` executes a coroutine.

    The seed determines the network and the random numbers. Time that the process spends working
    or waiting for a processor is not part of simulated time.
    """

    def __init__(self, seed):
        self._simulation = contextlib.ExitStack()
        self.loop = self._simulation.enter_context(simulation(seed))
        self.backends = {}
        self.position = 1
        self.origin_store_port = 0
        self._started_routers = []

    def run(self, work):
        """Run ``work`` in the loop and return its result; the timeout is in simulated time."""
        return self.loop.run_until_complete(asyncio.wait_for(work, LIMIT_S))

    def close(self):
        """Cancel the routers, then all remaining tasks, and end the simulation."""
        for router in self._started_routers:
            router.life.cancel()
        self._simulation.close()
