"""When the queue of waiting generations is looked at again: soon, at a time, and now and then."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from yokedock.base.clock import boot_time_s

COALESCE_DELAY_S = 0.003
"""News of room that come within this time are looked at together."""
RECHECK_INTERVAL_S = 0.1
"""Waiting generations look for room at least this often: promises of a silent router lapse."""


class DispatchTimers:
    """Timers of the looks for room. Each kind is due once at a time, however often it is asked for.

    ``look`` looks for room for all that wait; ``is_waiting`` tells whether anybody does.
    """

    def __init__(self, look: Callable[[], None], is_waiting: Callable[[], bool]) -> None:
        """Start with nothing due."""
        self._look = look
        self._is_waiting = is_waiting
        self._is_soon_due = False
        self._is_recheck_due = False
        self._due_s = math.inf

    def soon(self) -> None:
        """Look soon, with what else is heard in this moment."""
        if not self._is_soon_due and self._is_waiting():
            self._is_soon_due = True
            asyncio.get_running_loop().call_later(COALESCE_DELAY_S, self._on_soon)

    def start_rechecks(self) -> None:
        """Look at intervals, for as long as anybody waits."""
        if not self._is_recheck_due:
            self._is_recheck_due = True
            asyncio.get_running_loop().call_later(RECHECK_INTERVAL_S, self._on_recheck)

    def after(self, wait_s: float) -> None:
        """Look after ``wait_s``, unless such a look is due sooner."""
        due_s = boot_time_s() + wait_s
        if due_s < self._due_s:
            self._due_s = due_s
            asyncio.get_running_loop().call_later(wait_s, self._on_due)

    def _on_soon(self) -> None:
        self._is_soon_due = False
        self._look()

    def _on_recheck(self) -> None:
        self._is_recheck_due = False
        self._look()
        if self._is_waiting():
            self.start_rechecks()

    def _on_due(self) -> None:
        self._due_s = math.inf
        self._look()
