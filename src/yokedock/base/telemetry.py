"""Isolates request handling from failures in metrics and logging."""

from __future__ import annotations

import collections
from collections.abc import Callable

from yokedock.base.logs import logger

_log = logger("telemetry")


class TelemetryGuard:
    """Runs telemetry code; failures are counted, and the first of each kind is logged."""

    def __init__(self) -> None:
        """Create a guard without failures."""
        self.failures: collections.Counter[str] = collections.Counter()
        """Number of failures by kind of telemetry."""

    def run(self, kind: str, work: Callable[[], None]) -> None:
        """Run ``work`` and suppress its exceptions."""
        try:
            work()
        except Exception as error:
            self.failures[kind] += 1
            if self.failures[kind] == 1:
                _log.error("telemetry failed", kind=kind, error=repr(error))
