"""Notices that the process was paused (stopped, or starved of processor time) and woke up late."""

from __future__ import annotations

import threading
from collections.abc import Callable

from yokedock.base.clock import boot_time_s

TICK_S = 0.1


class PauseDetector:
    """Compares the clock with the last tick of a thread of its own.

    ``check`` is cheap: whoever is about to act on what the process believes calls it first.
    """

    def __init__(self, limit_s: float, on_pause: Callable[[float], None]) -> None:
        """Call ``on_pause`` with the seconds lost, once for each pause over ``limit_s``."""
        self._limit_s = limit_s
        self._on_pause = on_pause
        self._lock = threading.Lock()
        self._last_tick_s = boot_time_s()
        self._stopping = threading.Event()

    def start(self) -> None:
        """Begin to tick."""
        threading.Thread(target=self._run, name="pause detector", daemon=True).start()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()

    def check(self) -> None:
        """Handle a pause, if there was one, before returning."""
        if boot_time_s() - self._last_tick_s > self._limit_s:
            self._tick()

    def _tick(self) -> None:
        with self._lock:
            now = boot_time_s()
            lost_s, self._last_tick_s = now - self._last_tick_s, now
            if lost_s > self._limit_s:
                self._on_pause(lost_s)

    def _run(self) -> None:
        while not self._stopping.wait(TICK_S):
            self._tick()
