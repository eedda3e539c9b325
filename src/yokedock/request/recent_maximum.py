"""The maximum of a value over a recent period, in constant memory."""

from __future__ import annotations

import msgspec


class RecentMaximum(msgspec.Struct):
    """The maximum over at least ``window_s`` and at most twice that time (boot time, s)."""

    window_s: float
    _current: float = 0.0
    _previous: float = 0.0
    _since_s: float = 0.0

    def note(self, value: float, now_s: float) -> None:
        """Add a value, which must not be negative."""
        self._advance(now_s)
        self._current = max(self._current, value)

    def value(self, now_s: float) -> float:
        """Return the maximum, 0 without recent values."""
        self._advance(now_s)
        return max(self._current, self._previous)

    def _advance(self, now_s: float) -> None:
        """Begin the next window if the current one is over."""
        elapsed_s = now_s - self._since_s
        if elapsed_s < self.window_s:
            return
        self._previous = self._current if elapsed_s < 2 * self.window_s else 0.0
        self._current = 0.0
        self._since_s = now_s - elapsed_s % self.window_s
