"""Keeps metrics and logs from harming the work that they describe."""

from __future__ import annotations

import collections
from collections.abc import Callable

from yokedock.base.logs import logger

_log = logger("telemetry")


class TelemetryGuard:
    """Runs pieces of telemetry; a failure is counted, and logged the first time for each kind."""

    def __init__(self) -> None:
        """Start with no failure."""
        self.failures: collections.Counter[str] = collections.Counter()
        """Failures by the kind of work."""

    def run(self, kind: str, work: Callable[[], None]) -> None:
        """Run ``work``; whatever it raises ends here."""
        try:
            work()
        except Exception as error:
            self.failures[kind] += 1
            if self.failures[kind] == 1:
                _log.error("telemetry failed", kind=kind, error=repr(error))
