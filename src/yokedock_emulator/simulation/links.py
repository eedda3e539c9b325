"""Links of limited rate between simulated machines and the network."""

from __future__ import annotations

import math

PACKET_BYTES = 66
"""Headers of one packet."""


class SimulatedLink:
    """The link of one machine: what it sends and what is sent to it wait in one queue."""

    def __init__(self, bytes_per_s: float = math.inf) -> None:
        """Carry ``bytes_per_s``, both directions together."""
        self._bytes_per_s = bytes_per_s
        self._used_until_s = 0.0

    def carried_s(self, now_s: float, size: int) -> float:
        """Return when the last of ``size`` bytes that reach the link now has passed it."""
        duration_s = (size + PACKET_BYTES) / self._bytes_per_s
        self._used_until_s = max(self._used_until_s, now_s) + duration_s
        return self._used_until_s
