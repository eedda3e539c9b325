"""Which role an engine plays now: fixed by the bundle, or chosen on a ladder of thresholds.

Without an elected leader, every flexible engine compares the same demand signal with a threshold
of its own, given by its rank among the flexible engines of its model. Ranks differ, so engines
change one by one. A dwell time and a hysteresis keep a noisy signal from flapping them.
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
SMOOTHING = 0.1
"""Weight of a new demand signal in the running mean."""


class RoleManager(threading.Thread):
    """The agent's task that keeps its engine in the wanted role."""

    def __init__(
        self,
        name: str,
        engine: EngineDialect,
        backend: EngineBackend,
        demand: Callable[[], DemandSignal],
        announce: Callable[[], None],
    ) -> None:
        """Prepare the thread.

        ``demand`` returns the sum of all gateways' signals; ``announce`` tells them of a change.
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
        self._mean_share: float | None = None
        self._changed_s = boot_time_s()
        """A starting agent keeps the role it finds for a dwell time: its demand signal is young."""

    def set_bundle(self, bundle: Bundle) -> None:
        """Take over what the bundle says of this engine."""
        engine = bundle.engines[self._name]
        self._plan = EnginePlan(engine.role, bundle.limits.role_dwell_s)
        self._position = ladder_position(self._name, bundle)

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()

    def run(self) -> None:
        """Check the wanted role, again and again."""
        while not self._stopping.wait(CHECK_S):
            wanted = self._wanted()
            if self._backend.is_ready and wanted and wanted != self._backend.role:
                self._change(wanted)

    def _wanted(self) -> str:
        """Return the role the engine should have; empty before the first bundle."""
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
            mean = share if self._mean_share is None else self._mean_share
            self._mean_share = mean + (share - mean) * SMOOTHING
        if self._mean_share is None or boot_time_s() - self._changed_s < plan.dwell_s:
            return present or ROLE_DECODE
        return desired_role(position, self._mean_share, present)

    def _change(self, role: str) -> None:
        """Drain, order the change, announce: grants stop before and start after."""
        self._backend.is_ready = False
        self._announce()
        try:
            while self._backend.in_flight() and not self._stopping.wait(CHECK_S / 5):
                pass
            self._engine.change_role(role)
            _log.info("role changed", engine=self._name, old=self._backend.role, new=role)
            self._backend.role = role
            self._changed_s = boot_time_s()
        except YokedockError as error:
            _log.warning("role not changed", engine=self._name, role=role, error=error.message)
        finally:
            self._backend.is_ready = True
            self._announce()
