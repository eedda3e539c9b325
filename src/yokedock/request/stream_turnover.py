"""How soon room comes free at engines that are full: from how long streams lasted lately."""

from __future__ import annotations

FIRST_STREAM_S = 3.0
"""How long a stream holds its room, before any was measured."""
WEIGHT = 0.1
SHORTEST_S = 0.3
"""What ended sooner was broken off or refused, and says nothing of the others."""


class StreamTurnover:
    """Mean time for which streams held their room."""

    def __init__(self) -> None:
        """Start with nothing measured."""
        self.mean_s = FIRST_STREAM_S
        """Seconds for which a stream holds its room."""

    def note(self, held_s: float) -> None:
        """Note that a stream held its room for so long."""
        if held_s >= SHORTEST_S:
            self.mean_s += WEIGHT * (held_s - self.mean_s)
