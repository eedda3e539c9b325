"""Replaces the time, network and random numbers of the system by simulated ones."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import random
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar

from yokedock.base.clock import use_clock
from yokedock.base.randomness import use_seed
from yokedock.base.sockets import use_socket_factory
from yokedock_emulator.simulation.event_loop import SimulatedClock, SimulatedLoop
from yokedock_emulator.simulation.network import LinkQuality, SimulatedNetwork

CANCELLATION_S = 1.0
"""Simulated time that the remaining tasks have to handle their cancellation."""
Result = TypeVar("Result")


@contextlib.contextmanager
def simulation(seed: str, quality: LinkQuality | None = None) -> Iterator[SimulatedLoop]:
    """Provide a loop; its time, network and random numbers apply to the whole process.

    Only one simulation may run at a time, and other threads must not use clocks, sockets or
    generators meanwhile.
    """
    loop = SimulatedLoop()
    loop.set_exception_handler(_print_unhandled)
    loop.network = SimulatedNetwork(loop, random.Random(f"network-{seed}"), quality)
    previous_clock = use_clock(SimulatedClock(loop))
    use_socket_factory(loop.network.new_socket)
    use_seed(f"components-{seed}")
    # Garbage collection would close connections at unpredictable times.
    gc.disable()
    try:
        yield loop
        loop.run_until_complete(_cancel_all(loop))
    finally:
        gc.enable()
        loop.close()
        use_seed(None)
        use_socket_factory(None)
        use_clock(previous_clock)


def run_simulated(coroutine: Coroutine[Any, Any, Result], seed: str = "1") -> Result:
    """Run a coroutine in simulated time, as ``asyncio.run`` does in real time."""
    with simulation(seed) as loop:
        return loop.run_until_complete(coroutine)


async def _cancel_all(loop: SimulatedLoop) -> None:
    """Cancel the remaining tasks, so that none is pending when the loop is closed."""
    own = asyncio.current_task()
    for task in asyncio.all_tasks(loop):
        if task is not own:
            task.cancel()
    await asyncio.sleep(CANCELLATION_S)


def _print_unhandled(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Print unhandled errors, except the cancellation of tasks of ended processes."""
    error = context.get("exception")
    if not isinstance(error, asyncio.CancelledError):
        print(f"unhandled: {context.get('message')}: {error!r}")
