"""Cancels attempts at the engine, retrying until the engine confirms."""

from __future__ import annotations

import threading
from collections.abc import Callable

from yokedock.base.logs import logger
from yokedock.connection.engine_client import EngineDialect
from yokedock.errors import YokedockError

_log = logger("releaser")
RETRY_S = 0.2


class AttemptCanceller(threading.Thread):
    """Thread that retries each cancellation until the engine confirms it."""

    def __init__(self, engine: EngineDialect, confirmed: Callable[[str], None]) -> None:
        """``confirmed`` is called with each attempt whose cancellation the engine confirmed."""
        super().__init__(name="releaser", daemon=True)
        self._engine = engine
        self._on_confirmed = confirmed
        self._changed = threading.Condition()
        self._attempts: dict[str, None] = {}
        self._is_stopping = False

    def submit(self, attempt: str) -> None:
        """Cancel an attempt in the background."""
        with self._changed:
            self._attempts[attempt] = None
            self._changed.notify()

    def waiting(self) -> int:
        """Return the number of unconfirmed cancellations."""
        return len(self._attempts)

    def stop(self) -> None:
        """End the thread; pending cancellations are dropped."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify()

    def run(self) -> None:
        """Cancel submitted attempts; pause at most ``RETRY_S`` after a failure."""
        while True:
            with self._changed:
                while not self._attempts and not self._is_stopping:
                    self._changed.wait()
                if self._is_stopping:
                    return
                attempts = list(self._attempts)
            if not all([self._cancel(attempt) for attempt in attempts]):
                with self._changed:
                    self._changed.wait(RETRY_S)

    def _cancel(self, attempt: str) -> bool:
        try:
            self._engine.cancel(attempt)
        except YokedockError as error:
            _log.warning("cancel not confirmed", attempt=attempt, error=error.code)
            return False
        with self._changed:
            self._attempts.pop(attempt, None)
        self._on_confirmed(attempt)
        return True
