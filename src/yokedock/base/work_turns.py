"""Lets other tasks run during long work on data that has already arrived.

Reading from a stream suspends the task only if no data is buffered. A task that handles many small
pieces of buffered data would hold up all other tasks, and no time-out would expire meanwhile.
"""

from __future__ import annotations

import asyncio

STEPS_PER_TURN = 256
"""Steps of some 10 to 40 microseconds each, so that a turn takes about 10 ms at most."""


class WorkTurns:
    """Counts steps of work, and suspends the task after every ``STEPS_PER_TURN`` of them."""

    def __init__(self) -> None:
        """Start to count."""
        self._steps = 0

    async def step(self) -> None:
        """Count one step; if the turn is over, other tasks run first."""
        self._steps += 1
        if self._steps >= STEPS_PER_TURN:
            self._steps = 0
            await asyncio.sleep(0)
