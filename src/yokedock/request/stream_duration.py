"""Mean duration of recent streams, used to predict when full engines will have free capacity."""

from __future__ import annotations

INITIAL_STREAM_DURATION_S = 3.0
"""Initial estimate of a stream's duration, used until one has been measured."""
WEIGHT = 0.1
"""Smoothing factor of the moving average."""
MIN_DURATION_S = 0.3
"""Shorter streams were aborted or refused and are not representative of the others."""


class StreamDuration:
    """Moving average of the time for which streams hold their capacity."""

    def __init__(self) -> None:
        """Initialize without measurements."""
        self.mean_s = INITIAL_STREAM_DURATION_S
        """Mean time for which a stream holds its capacity."""

    def note(self, held_s: float) -> None:
        """Record that a stream held its capacity for ``held_s``."""
        if held_s >= MIN_DURATION_S:
            self.mean_s += WEIGHT * (held_s - self.mean_s)
