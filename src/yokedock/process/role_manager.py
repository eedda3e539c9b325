"""Sets the role of an engine: fixed by the bundle, or chosen from demand for flexible engines.

There is no elected leader. Each flexible engine compares the same demand signal with its own
threshold, which follows from its rank among the flexible engines of its model. Since ranks differ,
engines change their role one at a time. A dwell time and hysteresis prevent oscillation on a noisy
signal.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.engine_client import EngineDialect
from yokedock.connection.peer_types import DemandSignal
from yokedock.errors import YokedockError
from yokedock.request.engine_backend import EngineBackend
from yokedock.version.bundle import ROLE_DECODE, ROLE_FLEXIBLE, Bundle
from yokedock.version.role_ladder import EnginePlan, LadderPosition, desired_role, ladder_position

_log = logger("role")

CHECK_S = 0.25
SMOOTHING_FACTOR = 0.1
"""Weight of a new demand signal in the exponential moving average."""


class RoleManager(threading.Thread):
    """Thread of an agent that keeps its engine in the desired role."""

    def __init__(
        self,
        name: str,
        engine: EngineDialect,
        backend: EngineBackend,
        demand: Callable[[], DemandSignal],
        announce: Callable[[], None],
    ) -> None:
        """Create the thread without starting it.

        ``demand`` returns the sum of all gateways' signals; ``announce`` reports a change to them.
        """
        super().__init__(name="role manager", daemon=True)
        self._name = name
        self._engine = engine
        self._backend = backend
        self._demand = demand
        self._announce = announce
        self._stopping = threading.Event()
        self._plan: EnginePlan | None = None
        self._position: LadderPosition | None = None
        self._mean_prefill_share: float | None = None
        self._role_changed_s = boot_time_s()
        """A new agent keeps its engine's role for a dwell time, as its demand signal is new."""

    def set_bundle(self, bundle: Bundle) -> None:
        """Apply the bundle's settings of this engine."""
        engine = bundle.engines[self._name]
        self._plan = EnginePlan(engine.role, bundle.limits.role_dwell_s)
        self._position = ladder_position(self._name, bundle)

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping.set()

    def run(self) -> None:
        """Periodically compare the desired role with the current one and change it if needed."""
        while not self._stopping.wait(CHECK_S):
            wanted = self._choose_role()
            if self._backend.is_ready and wanted and wanted != self._backend.role:
                self._change(wanted)

    def _choose_role(self) -> str:
        """Return the desired role of the engine; empty before the first bundle."""
        plan, position = self._plan, self._position
        if plan is None or position is None:
            return ""
        if plan.role != ROLE_FLEXIBLE:
            return plan.role
        present = self._backend.role
        signal = self._demand()
        total = signal.prefill + signal.decode
        if total > 0:
            share = signal.prefill / total
            mean = share if self._mean_prefill_share is None else self._mean_prefill_share
            self._mean_prefill_share = mean + (share - mean) * SMOOTHING_FACTOR
        if self._mean_prefill_share is None or boot_time_s() - self._role_changed_s < plan.dwell_s:
            return present or ROLE_DECODE
        return desired_role(position, self._mean_prefill_share, present)

    def _change(self, role: str) -> None:
        """Stop accepting work, drain the engine, change its role, then accept work again."""
        self._backend.is_ready = False
        self._announce()
        try:
            while self._backend.in_flight() and not self._stopping.wait(CHECK_S / 5):
                pass
            self._engine.change_role(role)
            _log.info("role changed", engine=self._name, old=self._backend.role, new=role)
            self._backend.role = role
            self._role_changed_s = boot_time_s()
        except YokedockError as error:
            _log.warning("role change failed", engine=self._name, role=role, error=error.message)
        finally:
            self._backend.is_ready = True
            self._announce()
