"""Detects that the process was paused (stopped, or starved of CPU time)."""

from __future__ import annotations

import threading
from collections.abc import Callable

from yokedock.base.clock import boot_time_s

TICK_S = 0.1


class PauseDetector:
    """Compares the clock with the last tick of a background thread.

    ``check`` is cheap and is called before any action that relies on possibly outdated state.
    """

    def __init__(self, limit_s: float, on_pause: Callable[[float], None]) -> None:
        """Call ``on_pause`` with the duration, s, once per pause longer than ``limit_s``."""
        self._limit_s = limit_s
        self._on_pause = on_pause
        self._lock = threading.Lock()
        self._last_tick_s = boot_time_s()
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the background thread."""
        threading.Thread(target=self._run, name="pause detector", daemon=True).start()

    def stop(self) -> None:
        """Stop the background thread."""
        self._stopping.set()

    def check(self) -> None:
        """Call ``on_pause`` before returning if the process was paused since the last tick."""
        if boot_time_s() - self._last_tick_s > self._limit_s:
            self._tick()

    def _tick(self) -> None:
        with self._lock:
            now = boot_time_s()
            paused_s, self._last_tick_s = now - self._last_tick_s, now
            if paused_s > self._limit_s:
                self._on_pause(paused_s)

    def _run(self) -> None:
        while not self._stopping.wait(TICK_S):
            self._tick()
