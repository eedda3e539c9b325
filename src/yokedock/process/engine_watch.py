"""The agent's tasks that follow its engine: steps, leftovers, cache events."""

from __future__ import annotations

import threading

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.engine_client import EngineDialect
from yokedock.errors import YokedockError
from yokedock.request.engine_backend import EngineBackend

_log = logger("engine")

REDIAL_S = 0.1
LOST_AFTER_FAILURES = 2
RECONCILE_S = 0.5
CACHE_POLL_S = 0.5


class StepReader(threading.Thread):
    """Reads the engine's stream of decode steps, again and again."""

    def __init__(self, engine: EngineDialect, backend: EngineBackend) -> None:
        """Prepare the thread."""
        super().__init__(name="step reader", daemon=True)
        self._engine = engine
        self._backend = backend
        self._stopping = threading.Event()

    def stop(self) -> None:
        """End the thread after its present connection."""
        self._stopping.set()

    def run(self) -> None:
        """Read steps; after repeated failures tell the backend that the engine is lost."""
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
            self._stopping.wait(REDIAL_S)

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
    """Compares what the engine holds with what the agent knows, and cancels the rest.

    Runs before the agent takes its first order, and then goes on: an order of a predecessor may
    reach an engine that checks no fencing token long after the predecessor's end. Something must
    be unknown twice in a row, since an answer may cross an order that is on its way.
    """

    def __init__(self, engine: EngineDialect, backend: EngineBackend) -> None:
        """Prepare the thread."""
        super().__init__(name="reconciler", daemon=True)
        self._engine = engine
        self._backend = backend
        self._suspects: set[str] = set()
        self._cache_position = 0
        self._stopping = threading.Event()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()

    def run(self) -> None:
        """Sweep first, then reconcile for as long as the agent runs."""
        while not self._stopping.is_set() and not self._sweep():
            self._stopping.wait(REDIAL_S)
        while not self._stopping.wait(RECONCILE_S):
            try:
                self._reconcile()
                self._read_cache_events()
            except YokedockError as error:
                _log.debug("engine not reconciled", error=error.code)

    def _sweep(self) -> bool:
        """Cancel everything the engine holds and learn its role; return whether that is done."""
        try:
            for item in self._engine.held().items:
                _log.info("cancelling a leftover", attempt=item.request, kind=item.kind)
                self._engine.cancel(item.request)
            self._backend.role = self._engine.load().role
        except YokedockError as error:
            _log.debug("engine not swept", error=error.code)
            return False
        self._backend.is_ready = True
        return True

    def _reconcile(self) -> None:
        held = {item.request for item in self._engine.held().items}
        unknown = self._backend.unknown_attempts(held)
        for request in unknown & self._suspects:
            _log.warning("cancelling what nobody ordered", attempt=request)
            self._backend.cancel_unknown(request)
        self._suspects = unknown

    def _read_cache_events(self) -> None:
        events = self._engine.cache_events(self._cache_position)
        if not events.complete or events.next < self._cache_position:
            self._backend.prefix_cache_index.forget_all()
        self._cache_position = events.next
        self._backend.prefix_cache_index.learn(events.cached)
        self._backend.prefix_cache_index.forget(events.evicted)
