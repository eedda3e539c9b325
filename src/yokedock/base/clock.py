"""Time: monotonic deadlines, and noticing that the process was paused."""

from __future__ import annotations

import time


def deadline_in(duration_ms: float) -> float:
    """Return the monotonic time, in seconds, at which ``duration_ms`` from now are over."""
    return time.monotonic() + duration_ms / 1000


def left_s(deadline_s: float) -> float:
    """Return the seconds until a monotonic deadline, 0 when it has passed."""
    return max(0.0, deadline_s - time.monotonic())


def left_ms(deadline_s: float) -> int:
    """Return the whole milliseconds until a monotonic deadline, 0 when it has passed."""
    return int(left_s(deadline_s) * 1000)


def wall_clock_ms() -> int:
    """Return the wall-clock time in milliseconds since 1970."""
    return time.time_ns() // 1_000_000
