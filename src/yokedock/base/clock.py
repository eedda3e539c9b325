"""The clock for ages and deadlines, which also advances while the machine is suspended.

The monotonic clock stops during a suspension: measured by it, a lease, cached state or a caller's
deadline would be as fresh after resuming as before. No other module reads a clock for these.

``use_clock`` replaces the clock of the whole process, for simulations.
"""

from __future__ import annotations

import abc
import asyncio
import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Systems without ``CLOCK_BOOTTIME``, which is specific to Linux, use their monotonic clock."""


class Clock(abc.ABC):
    """Source of all times that a process reads."""

    @abc.abstractmethod
    def boot_time_s(self) -> float:
        """Return the seconds since an arbitrary start, including suspensions; never decreases."""

    @abc.abstractmethod
    def monotonic_time_s(self) -> float:
        """Return the seconds since an arbitrary start, excluding suspensions; never decreases."""

    @abc.abstractmethod
    def wall_clock_ms(self) -> int:
        """Return the wall-clock time in milliseconds since 1970; it may jump."""

    def processor_time_s(self) -> float:
        """Return the processor time of this thread in seconds, always 0 where none passes."""
        return 0.0


class SystemClock(Clock):
    """Reads the clocks of the operating system."""

    def boot_time_s(self) -> float:
        """Return the seconds since the machine started."""
        return time.clock_gettime(_CLOCK)

    def monotonic_time_s(self) -> float:
        """Return the time of the monotonic clock in seconds."""
        return time.monotonic()

    def wall_clock_ms(self) -> int:
        """Return the wall-clock time in milliseconds since 1970."""
        return time.time_ns() // 1_000_000

    def processor_time_s(self) -> float:
        """Return the processor time of this thread in seconds."""
        return time.thread_time()


_clock: Clock = SystemClock()


def use_clock(clock: Clock) -> Clock:
    """Replace the clock of this process and return the previous one."""
    global _clock
    previous, _clock = _clock, clock
    return previous


def boot_time_s() -> float:
    """Return the seconds since an arbitrary moment, including suspensions; never decreases."""
    return _clock.boot_time_s()


def processor_time_s() -> float:
    """Return the processor time of this thread in seconds; a wait for a processor has no part."""
    return _clock.processor_time_s()


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop whose timers include the time of a suspension.

    Its waits in the kernel do not: a timer that expired during a suspension runs in the first
    iteration of the loop after resuming, which the shortest timer of the loop triggers.
    """
    loop = asyncio.new_event_loop()
    loop.time = boot_time_s  # type: ignore[method-assign]
    return loop


class SuspensionMeter:
    """Measures suspensions of the machine, by which boot time runs ahead of monotonic time."""

    def __init__(self) -> None:
        """Start measuring now."""
        self._boot_lead_s = _clock.boot_time_s() - _clock.monotonic_time_s()

    def suspended_for_s(self) -> float:
        """Return the seconds of suspension since the last call, under a millisecond if none."""
        ahead_s = _clock.boot_time_s() - _clock.monotonic_time_s()
        suspended_for_s = ahead_s - self._boot_lead_s
        self._boot_lead_s = ahead_s
        return suspended_for_s


def deadline_in(duration_ms: float) -> float:
    """Return the boot time in seconds at ``duration_ms`` from now."""
    return boot_time_s() + duration_ms / 1000


def remaining_s(deadline_s: float) -> float:
    """Return the seconds until a deadline in boot time, 0 if it has passed."""
    return max(0.0, deadline_s - boot_time_s())


def remaining_ms(deadline_s: float) -> int:
    """Return the whole milliseconds until a deadline in boot time, 0 if it has passed."""
    return int(remaining_s(deadline_s) * 1000)


def wall_clock_ms() -> int:
    """Return the wall-clock time in milliseconds since 1970."""
    return _clock.wall_clock_ms()
