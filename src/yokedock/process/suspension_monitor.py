"""Detects that the machine was suspended, and then closes idle connections.

Ages, leases and deadlines include the suspension, because the clock does. Connections need to be
closed: the peer or a device on the path may have dropped them, and this machine could not receive
any notification.
"""

from __future__ import annotations

import asyncio

from yokedock.base.clock import SuspensionMeter
from yokedock.base.logs import logger
from yokedock.connection.backend_pool import BackendPool

_log = logger("wake")

CHECK_S = 0.1
"""Interval between checks. It also bounds the delay of timers that expired during a suspension."""
MIN_SUSPENSION_S = 0.05
"""Shorter differences are not suspensions, because two clocks cannot be read simultaneously."""


class SuspensionMonitor:
    """Detects suspensions by comparing clocks; ``run`` is its task."""

    def __init__(self, pool: BackendPool) -> None:
        """Close the idle connections of ``pool`` after a suspension."""
        self._pool = pool
        self._meter = SuspensionMeter()
        self._suspensions = 0
        self._suspended_s = 0.0

    async def run(self) -> None:
        """Check periodically, until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_S)

    def check(self) -> None:
        """Handle a suspension since the last check, if any."""
        suspended_for_s = self._meter.suspended_for_s()
        if suspended_for_s < MIN_SUSPENSION_S:
            return
        self._suspensions += 1
        self._suspended_s += suspended_for_s
        dropped = self._pool.size()
        self._pool.forget_all()
        _log.warning("machine slept", slept_ms=round(suspended_for_s * 1000), connections=dropped)

    def levels(self) -> dict[str, float]:
        """Return the number and the total duration of suspensions since the start."""
        return {"suspensions": self._suspensions, "suspended_s": self._suspended_s}
