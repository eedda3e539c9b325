"""Simulated soaks whose routers stand still for short spans that the judge does not know of.

A stall counts as time without a processor, which the judge excludes from bounds of time. Unlike a
freeze, it excuses no request that is cut.

Run as a program: ``python -m support.stalling_soak SEED SECONDS LENGTH_S PERIOD_S FIRST_S``. It
prints the broken rules, and ends with status 1 if there are any.
"""

import asyncio
import dataclasses
import signal
import sys
import tempfile
from pathlib import Path

from yokedock.base.clock import boot_time_s
from yokedock_emulator.router_soak.router_soak import RouterSoak
from yokedock_emulator.router_soak.soak_plan import ROUTERS
from yokedock_emulator.simulation.simulate import ensure_fixed_hash_seed
from yokedock_emulator.simulation.simulated_routers import SimulatedLauncher, SimulatedRouter
from yokedock_emulator.simulation.simulation import simulation


@dataclasses.dataclass(frozen=True)
class StallPlan:
    """Each router stands still for ``length_s`` in every ``period_s``, one after the other."""

    length_s: float
    period_s: float
    first_s: float


class StallableRouter(SimulatedRouter):
    """A simulated router that counts the time in which it stood still."""

    stalled_s = 0.0
    stalled_since_s = None

    def begin_stall(self):
        self.stalled_since_s = boot_time_s()
        self.send_signal(signal.SIGSTOP)

    def end_stall(self):
        self.stalled_s, self.stalled_since_s = self.processor_wait_s(), None
        self.send_signal(signal.SIGCONT)

    def processor_wait_s(self):
        if self.stalled_since_s is None:
            return self.stalled_s
        return self.stalled_s + boot_time_s() - self.stalled_since_s


class StallableLauncher(SimulatedLauncher):
    """Starts routers that can be stalled."""

    router_type = StallableRouter


class StallingSoak(RouterSoak):
    """A soak with stalls."""

    def __init__(self, seed, seconds, launcher, plan):
        super().__init__(seed, seconds, launcher)
        self._plan = plan

    async def _drive(self, fleet):
        stalls = [asyncio.create_task(self._stall(fleet, router)) for router in range(ROUTERS)]
        await super()._drive(fleet)
        for stall in stalls:
            stall.cancel()
        await asyncio.gather(*stalls, return_exceptions=True)

    async def _stall(self, fleet, router):
        plan = self._plan
        await asyncio.sleep(plan.first_s + router * plan.period_s / ROUTERS)
        while True:
            process = fleet._processes[router]
            process.begin_stall()
            try:
                await asyncio.sleep(plan.length_s)
            finally:
                process.end_stall()
            await asyncio.sleep(plan.period_s - plan.length_s)


def simulate_stalling_soak(seed, seconds, plan):
    """Return the broken rules of one soak with stalls."""
    with tempfile.TemporaryDirectory() as folder, simulation(str(seed)) as loop:
        launcher = StallableLauncher(loop, Path(folder))
        soak = StallingSoak(seed, seconds, launcher, plan)
        with launcher.logs.applicationbound():
            return loop.run_until_complete(soak.run()).violations


def main(seed, seconds, *plan):
    ensure_fixed_hash_seed()
    violations = simulate_stalling_soak(int(seed), float(seconds), StallPlan(*map(float, plan)))
    print("\n".join(violations))
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main(*sys.argv[1:])
