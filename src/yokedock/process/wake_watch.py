"""Notices that the machine was suspended, and drops what cannot have outlasted it.

Ages, leases and deadlines count the suspension by themselves, since the clock does. Connections do
not: a peer, or something on the way, may have given them up without a word that could be received.
"""

from __future__ import annotations

import asyncio

from yokedock.base.clock import SuspensionMeter
from yokedock.base.logs import logger
from yokedock.connection.backend_pool import BackendPool

_log = logger("wake")

CHECK_S = 0.1
"""It also bounds how late timers are noticed that came due in a suspension."""
LEAST_SLEEP_S = 0.05
"""Less is no suspension: two readings of two clocks are never at one moment."""


class WakeWatch:
    """Looks at the clocks of one process; ``run`` is its task."""

    def __init__(self, pool: BackendPool) -> None:
        """Drop resting connections of ``pool`` on waking."""
        self._pool = pool
        self._meter = SuspensionMeter()
        self._wakes = 0
        self._slept_s = 0.0

    async def run(self) -> None:
        """Look at intervals, for ever."""
        while True:
            self.look()
            await asyncio.sleep(CHECK_S)

    def look(self) -> None:
        """Note a suspension since the last look."""
        suspended_for_s = self._meter.suspended_for_s()
        if suspended_for_s < LEAST_SLEEP_S:
            return
        self._wakes += 1
        self._slept_s += suspended_for_s
        dropped = self._pool.size()
        self._pool.forget_all()
        _log.warning("machine slept", slept_ms=round(suspended_for_s * 1000), connections=dropped)

    def levels(self) -> dict[str, float]:
        """Return what operators see: suspensions since the start, and their seconds."""
        return {"suspensions": self._wakes, "suspended_s": self._slept_s}
