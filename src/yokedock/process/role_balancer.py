"""Balances the roles of each service's engines: the leading router orders the planned changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.dialect import Dialect, EncodedRequest, RoleOrder
from yokedock.connection.short_call import CallLimits, ShortCall
from yokedock.request.backend_call import call_backend
from yokedock.request.backend_incarnation import Backend
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.engine_placement import DECODE_ROLE, PREFILL_ROLE
from yokedock.request.role_plan import EngineRole, RoleChange, planned_role_changes
from yokedock.router_errors import BackendResponseError, BackendUnreachable
from yokedock.version.route_table import RouteTable, ServiceSpec

_log = logger("roles")

Roles = frozenset[tuple[str, str, bool]]
"""Engines of one service: name, role, and whether another router has ordered it to change."""

CHECK_S = 0.25
SETTLED_S = 1.0
"""How long the list of engines and roles must be unchanged, and how long this router must have led,
before roles are changed."""
PREFILL_REPLACEMENT_DELAY_S = 8.0
"""Delay before a lost prefill engine is replaced: most return sooner."""
CHANGE_MARGIN_S = 12.0
"""A role change counts as failed if it exceeds the engine's configured switch time by this much."""
ORDER_TIMEOUT_S = 1.0
MAX_CHANGING_SHARE = 0.02
"""Share of the engines that may change roles simultaneously while streams are being generated, at
least one: an engine is unavailable while it changes its role."""
MAX_ORDERS = 16
"""Maximum number of simultaneous orders. It is this high because the roles of a large fleet must be
set before its first traffic."""
FENCED_STATUS = 412
"""HTTP status of an order that was rejected because its fencing token is too old."""
FENCED_PAUSE_S = 10.0


class RoleBalancer:
    """Sends role orders to engines while this router leads."""

    def __init__(
        self,
        holder: str,
        registry: BackendRegistry,
        ledger: EngineLedger,
        pool: BackendPool,
        dialect: Dialect,
        token: Callable[[], int | None],
    ) -> None:
        """``token`` returns the fencing token while this router leads, else None."""
        self._holder = holder
        self._registry = registry
        self._ledger = ledger
        self._pool = pool
        self._dialect = dialect
        self._token = token
        self._changing: dict[str, tuple[str, float]] = {}
        self._settled_since: dict[str, tuple[Roles, float]] = {}
        self._paused_until_s = 0.0
        self._leads_since_s: float | None = None
        """When this router began to lead (boot time, s), None if it doesn't."""

    def changing(self) -> tuple[str, ...]:
        """Return the engines whose role changes, ordered by this router, are in progress."""
        now_s = boot_time_s()
        for name, (role, until_s) in list(self._changing.items()):
            backend = self._registry.get(name)
            if now_s > until_s or backend is None or backend.entry.role == role:
                del self._changing[name]
        names = tuple(self._changing)
        self._registry.set_changing("", names)
        return names

    async def run(self, table: Callable[[], RouteTable | None]) -> None:
        """Check the roles periodically, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            current = table()
            if current is None or boot_time_s() < self._paused_until_s:
                continue
            removed = self._settled_since.keys() - current.services.keys()
            for name in removed:
                del self._settled_since[name]
            for service in current.services.values():
                if service.engine is not None:
                    await self._balance(service)

    def _note_leadership(self) -> None:
        if self._token() is None:
            self._leads_since_s = None
        elif self._leads_since_s is None:
            self._leads_since_s = boot_time_s()

    async def _balance(self, service: ServiceSpec) -> None:
        """Send the orders for a service that are allowed now, if this router leads.

        A router that does not lead observes the roles too: as the next leader it need not wait for
        what has already lasted long enough.
        """
        engines = [b for b in self._registry.present(service.name) if b.entry.role]
        settled_s = self._settled_s(service.name, engines)
        self._note_leadership()
        if self._leads_since_s is None:
            return
        changing = self.changing()
        max_changes = self._max_orders(engines, sum(engine.name in changing for engine in engines))
        if max_changes <= 0:
            return
        if min(settled_s, boot_time_s() - self._leads_since_s) < SETTLED_S:
            return
        roles = [self._role(engine) for engine in engines]
        changes = planned_role_changes(roles, PREFILL_ROLE, DECODE_ROLE, max_changes)
        if not changes or changes[0].name in changing:
            return
        if changes[0].role == PREFILL_ROLE and settled_s < PREFILL_REPLACEMENT_DELAY_S:
            return
        assert service.engine is not None
        switch_s = service.engine.switch_s
        await asyncio.gather(*(self._order_change(change, switch_s) for change in changes))

    def _max_orders(self, engines: list[Backend], changing: int) -> int:
        """Return how many engines may be ordered to change now, besides those that are changing."""
        if self._is_idle(engines):
            return MAX_ORDERS
        return min(MAX_ORDERS, max(1, round(MAX_CHANGING_SHARE * len(engines))) - changing)

    def _is_idle(self, engines: list[Backend]) -> bool:
        """Return whether no engine has a stream."""
        return all(self._ledger.streams(engine.name) == 0 for engine in engines)

    def _role(self, engine: Backend) -> EngineRole:
        load = self._ledger.memory_tokens(engine.name) + self._ledger.prefill_backlog(engine.name)
        role = engine.entry.role
        if engine.name in self._changing:
            role = self._changing[engine.name][0]
        return EngineRole(engine.name, role, load, engine.version)

    def _settled_s(self, service: str, engines: list[Backend]) -> float:
        """Return for how long the engines and their roles have been unchanged, in seconds.

        A change that another router has ordered counts: it may have led until now.
        """
        now_s = boot_time_s()
        seen = frozenset(
            (engine.name, engine.entry.role, self._is_changed_by_another(engine.name))
            for engine in engines
        )
        before, since_s = self._settled_since.get(service, (frozenset(), now_s))
        if before != seen:
            self._settled_since[service] = (seen, now_s)
            return 0.0
        return now_s - since_s

    def _is_changed_by_another(self, name: str) -> bool:
        """Return whether another router reports that it has ordered a change of an engine."""
        return self._registry.is_changing(name) and name not in self._changing

    async def _order_change(self, change: RoleChange, switch_s: float) -> None:
        backend = self._registry.get(change.name)
        now_s = boot_time_s()
        if backend is not None and backend.may_take(now_s):
            backend.limit.take(now_s)
            await self._order(backend, change.role, switch_s)

    async def _order(self, backend: Backend, role: str, switch_s: float) -> None:
        token = self._token()
        if token is None:
            return
        order = self._dialect.role_order(
            RoleOrder(backend.entry.instance, role, self._holder, token)
        )
        until_s = boot_time_s() + switch_s + CHANGE_MARGIN_S
        self._changing[backend.name] = (role, until_s)
        _log.info("role ordered", engine=backend.name, role=role, token=token)
        status = await self._send(backend, order)
        _log.info("role order answered", engine=backend.name, role=role, status=status)
        if status not in (200, 202, None):
            del self._changing[backend.name]
        if status == FENCED_STATUS:
            self._paused_until_s = boot_time_s() + FENCED_PAUSE_S

    async def _send(self, backend: Backend, order: EncodedRequest) -> int | None:
        """Send an order once, on a new connection; return the status, None if it is unknown."""
        call = ShortCall(b"POST", order.target, tuple(order.headers), order.body)
        limits = CallLimits(ORDER_TIMEOUT_S, ORDER_TIMEOUT_S, max_idle_s=0.0)
        try:
            answer = await call_backend(self._pool, self._dialect, backend, call, limits)
        except (BackendUnreachable, BackendResponseError) as error:
            _log.info("role order without a response", engine=backend.name, reason=error.message)
            return None
        return answer.status
