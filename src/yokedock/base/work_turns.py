"""Lets other tasks run during long work on data that has already arrived.

Reading from a stream suspends the task only if no data is buffered. A task that handles many small
pieces of buffered data would hold up all other tasks, and no time-out would expire meanwhile.

Between two turns of all other tasks there is about one turn of long work, of whichever task: the
more tasks pause, the longer each of them does.
"""

from __future__ import annotations

import asyncio

from yokedock.base.clock import processor_time_s

STEPS_PER_TURN = 256
STEPS_BETWEEN_CHECKS = 8
"""Steps of some 10 to 40 microseconds each, after which the duration of the turn is looked at."""
TURN_S = 0.001
"""Processor time of one turn."""
MAX_PAUSE_S = 0.2

_pausing = 0
"""Number of tasks of this process that are pausing."""


class WorkTurns:
    """Counts steps of work, and suspends the task when its turn is over.

    The work of others is part of a turn unless ``begin`` is called when the task resumes.
    """

    def __init__(self) -> None:
        """Begin a turn."""
        self.begin()

    def begin(self) -> None:
        """Begin a turn, after other tasks have had theirs."""
        self._steps = 0
        self._since_s = processor_time_s()

    async def step(self) -> bool:
        """Count one step; if the turn is over, other tasks run first.

        Return whether a turn has ended.
        """
        self._steps += 1
        if self._steps % STEPS_BETWEEN_CHECKS:
            return False
        took_s = processor_time_s() - self._since_s
        is_over = took_s >= TURN_S or self._steps >= STEPS_PER_TURN
        if is_over:
            await self._pause(took_s)
        return is_over

    async def _pause(self, took_s: float) -> None:
        global _pausing
        _pausing += 1
        try:
            await asyncio.sleep(min(MAX_PAUSE_S, (_pausing - 1) * took_s))
        finally:
            _pausing -= 1
            self.begin()
