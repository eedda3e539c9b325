"""Threads of an agent that read its engine's decode steps and reconcile its state."""

from __future__ import annotations

import threading

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.engine_client import EngineDialect
from yokedock.errors import YokedockError
from yokedock.request.engine_backend import EngineBackend

_log = logger("engine")

RECONNECT_DELAY_S = 0.1
LOST_AFTER_FAILURES = 2
RECONCILE_INTERVAL_S = 0.5
CACHE_POLL_INTERVAL_S = 0.5


class StepReader(threading.Thread):
    """Reads the engine's stream of decode steps and reconnects when it ends."""

    def __init__(self, engine: EngineDialect, backend: EngineBackend) -> None:
        """Create the thread without starting it."""
        super().__init__(name="step reader", daemon=True)
        self._engine = engine
        self._backend = backend
        self._stopping = threading.Event()

    def stop(self) -> None:
        """Stop the thread after its current connection ends or delivers its next step."""
        self._stopping.set()

    def run(self) -> None:
        """Read steps; after repeated failures notify the backend that the engine is lost."""
        failures = 0
        while not self._stopping.is_set():
            try:
                self._read()
            except YokedockError as error:
                failures += 1
                if failures == LOST_AFTER_FAILURES:
                    _log.warning("engine lost", error=error.message)
                    self._backend.engine_lost()
            if self._backend.is_engine_up:
                failures = min(failures, 1)
            self._stopping.wait(RECONNECT_DELAY_S)

    def _read(self) -> None:
        last_s = 0.0
        for number, step in enumerate(self._engine.steps()):
            if number == 0:
                self._backend.engine_found()
            now = boot_time_s()
            if step.tokens:
                if last_s:
                    self._backend.slots.add_step_time(min(now - last_s, 1.0))
                last_s = now
                self._backend.on_step(step)
            else:
                last_s = 0.0
            if self._stopping.is_set():
                return


class Reconciler(threading.Thread):
    """Cancels requests at the engine that the agent does not know.

    It runs before the agent accepts its first command and then periodically: a command of a
    predecessor may reach an engine that checks no fencing token long after the predecessor ended.
    A request is cancelled only if it is unknown in two consecutive checks, since the engine's list
    of requests and a command in transit may cross.
    """

    def __init__(self, engine: EngineDialect, backend: EngineBackend) -> None:
        """Create the thread without starting it."""
        super().__init__(name="reconciler", daemon=True)
        self._engine = engine
        self._backend = backend
        self._unknown_before: set[str] = set()
        self._cache_position = 0
        self._stopping = threading.Event()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping.set()

    def run(self) -> None:
        """Cancel all leftover requests, then reconcile periodically until stopped."""
        while not self._stopping.is_set() and not self._cancel_leftovers():
            self._stopping.wait(RECONNECT_DELAY_S)
        while not self._stopping.wait(RECONCILE_INTERVAL_S):
            try:
                self._reconcile()
                self._read_cache_events()
            except YokedockError as error:
                _log.debug("engine reconciliation failed", error=error.code)

    def _cancel_leftovers(self) -> bool:
        """Cancel all requests at the engine and read its role; return whether both succeeded."""
        try:
            for item in self._engine.held().items:
                _log.info("cancelling leftover request", attempt=item.request, kind=item.kind)
                self._engine.cancel(item.request)
            self._backend.role = self._engine.load().role
        except YokedockError as error:
            _log.debug("initial engine cleanup failed", error=error.code)
            return False
        self._backend.is_ready = True
        return True

    def _reconcile(self) -> None:
        held = {item.request for item in self._engine.held().items}
        unknown = self._backend.unknown_attempts(held)
        for request in unknown & self._unknown_before:
            _log.warning("cancelling what nobody ordered", attempt=request)
            self._backend.cancel_unknown(request)
        self._unknown_before = unknown

    def _read_cache_events(self) -> None:
        events = self._engine.cache_events(self._cache_position)
        if not events.complete or events.next < self._cache_position:
            self._backend.prefix_cache_index.forget_all()
        self._cache_position = events.next
        self._backend.prefix_cache_index.learn(events.cached)
        self._backend.prefix_cache_index.forget(events.evicted)
