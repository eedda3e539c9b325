"""Decides how long the rest of a response body is worth waiting for.

The caller gains nothing from a part of a body, only from the complete one. A body is therefore
abandoned not only when no data arrives: also at the last moment at which another backend can still
answer in time, unless the body will be complete by then.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

MAX_ATTEMPT_SHARE = 0.5
"""Largest share of the remaining time that is kept for an attempt at another backend."""


class BodyLimits(msgspec.Struct, frozen=True):
    """Limits for one response body; durations in seconds."""

    stall_s: float
    """Maximum time without data."""
    deadline_s: float
    """Time until the deadline, at which the wait ends in any case."""
    attempt_s: float = 0.0
    """Time that an attempt at another backend takes."""
    max_s: float | None = None
    """Maximum time of the body where its own end is of little use, None for the deadline."""
    may_abandon: Callable[[], bool] = lambda: True
    """Returns whether another attempt is possible; before the deadline nothing else ends a body."""


class BodyProgress:
    """Progress of one body. Times are those of the event loop."""

    def __init__(self, limits: BodyLimits, content_length: int | None, now_s: float) -> None:
        """Start with an empty body; ``content_length`` is None if its length is not known."""
        self._limits = limits
        self._content_length = content_length
        self._began_s = self._last_s = now_s
        self._received_bytes = 0
        self._is_paused = False
        self.deadline_s = now_s + limits.deadline_s
        kept_s = min(limits.attempt_s, MAX_ATTEMPT_SHARE * limits.deadline_s)
        self._leave_s = self.deadline_s - kept_s
        if limits.max_s is not None:
            self._leave_s = min(self._leave_s, now_s + limits.max_s)

    def record(self, size: int, now_s: float) -> None:
        """Record that ``size`` bytes have arrived."""
        self._received_bytes += size
        self._last_s = now_s

    def pause(self) -> None:
        """Note that this process reads no further for a while: silence is not the backend's."""
        self._is_paused = True

    def resume(self, now_s: float) -> None:
        """Note that the body is being read again."""
        self._is_paused = False
        self._last_s = now_s

    def due_s(self) -> float:
        """Return from when on ``may_expire`` is to be asked."""
        if self._is_paused:
            return self._leave_s
        return min(self._last_s + self._limits.stall_s, self._leave_s)

    def may_expire(self, now_s: float) -> bool:
        """Return whether to abandon the body now."""
        if now_s >= self.deadline_s:
            return True
        is_stalled = not self._is_paused and now_s >= self._last_s + self._limits.stall_s
        if not is_stalled and (now_s < self._leave_s or self._ends_in_time(now_s)):
            return False
        return self._limits.may_abandon()

    def _ends_in_time(self, now_s: float) -> bool:
        """Return whether a body of known length will be complete before the deadline."""
        if self._content_length is None or not self._received_bytes:
            return False
        left_bytes = self._content_length - self._received_bytes
        left_s = left_bytes * (now_s - self._began_s) / self._received_bytes
        return now_s + left_s < self.deadline_s
