"""Time: one clock for ages and deadlines, which also counts while the machine is suspended.

The monotonic clock stands still in a suspension: by it a lease, a belief or a caller's deadline
would be as fresh on waking as before. No other module reads a clock for these.
"""

from __future__ import annotations

import asyncio
import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Systems other than Linux have no clock of this name; their monotonic one stands in."""


def boot_time_s() -> float:
    """Return the seconds since some moment: it never goes back, and counts a suspension."""
    return time.clock_gettime(_CLOCK)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop whose timers count a suspension too.

    Its waits in the kernel do not: a timer that came due meanwhile is noticed at the first round
    after waking, which the shortest timer of the loop brings about.
    """
    loop = asyncio.new_event_loop()
    loop.time = boot_time_s  # type: ignore[method-assign]
    return loop


class SuspensionMeter:
    """Tells how long the machine was suspended: the clock that counts it runs ahead by that."""

    def __init__(self) -> None:
        """Begin now."""
        self._ahead_s = boot_time_s() - time.monotonic()

    def slept_s(self) -> float:
        """Return the seconds of suspension since the last call, less than a millisecond if none."""
        ahead_s = boot_time_s() - time.monotonic()
        slept_s = ahead_s - self._ahead_s
        self._ahead_s = ahead_s
        return slept_s


def deadline_in(duration_ms: float) -> float:
    """Return the time of this clock, in seconds, at which ``duration_ms`` from now are over."""
    return boot_time_s() + duration_ms / 1000


def left_s(deadline_s: float) -> float:
    """Return the seconds until a deadline of this clock, 0 when it has passed."""
    return max(0.0, deadline_s - boot_time_s())


def left_ms(deadline_s: float) -> int:
    """Return the whole milliseconds until a deadline of this clock, 0 when it has passed."""
    return int(left_s(deadline_s) * 1000)


def wall_clock_ms() -> int:
    """Return the wall-clock time in milliseconds since 1970."""
    return time.time_ns() // 1_000_000
