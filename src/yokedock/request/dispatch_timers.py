"""Timers that trigger dispatching of queued generations: soon, at a given time and periodically."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from yokedock.base.clock import boot_time_s

COALESCE_DELAY_S = 0.003
"""Notifications of free capacity within this time are handled in one dispatch."""
RECHECK_INTERVAL_S = 0.1
"""Maximum time between dispatches, since the reservations of a silent router expire unannounced."""


class DispatchTimers:
    """Timers for dispatches. A request is dropped if one of its kind is pending that is no later.

    ``look`` dispatches all queues; ``is_waiting`` returns whether any generation is queued.
    """

    def __init__(self, look: Callable[[], None], is_waiting: Callable[[], bool]) -> None:
        """Start with no pending timer."""
        self._look = look
        self._is_waiting = is_waiting
        self._is_soon_due = False
        self._is_recheck_due = False
        self._due_s = math.inf

    def dispatch_soon(self) -> None:
        """Dispatch after a short delay that collects further notifications."""
        if not self._is_soon_due and self._is_waiting():
            self._is_soon_due = True
            asyncio.get_running_loop().call_later(COALESCE_DELAY_S, self._on_soon)

    def start_rechecks(self) -> None:
        """Dispatch periodically while any generation is queued."""
        if not self._is_recheck_due:
            self._is_recheck_due = True
            asyncio.get_running_loop().call_later(RECHECK_INTERVAL_S, self._on_recheck)

    def after(self, wait_s: float) -> None:
        """Dispatch after ``wait_s``, unless an earlier dispatch of this kind is pending."""
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
