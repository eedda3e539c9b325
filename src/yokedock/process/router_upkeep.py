"""The upkeep of a router: once a second every table drops what nobody needs any more.

What a router keeps may depend on what lives now, never on how long it has run. The sizes of all
tables stand on the metrics page.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import msgspec

from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.router_gossip import RouterGossip
from yokedock.process.leadership import Leadership
from yokedock.process.router_metrics import RouterMetrics
from yokedock.process.state_follower import StateFollower
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.cache_lookup import CacheLookup
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.poison_requests import PoisonRequests
from yokedock.request.retry_allowance import RetryAllowance

UPKEEP_S = 1.0


class KeptTables(msgspec.Struct, frozen=True):
    """The parts of a router that keep something by engine, router, service or route."""

    follower: StateFollower
    registry: BackendRegistry
    ledger: EngineLedger
    pool: BackendPool
    lookup: CacheLookup
    allowance: RetryAllowance
    poison: PoisonRequests
    gossip: RouterGossip
    leadership: Leadership
    metrics: RouterMetrics


class RouterUpkeep:
    """Tidies the tables of one router; ``run`` is its task."""

    def __init__(self, tables: KeptTables) -> None:
        """Look after ``tables``."""
        self._tables = tables
        self._metrics_version = 0

    async def run(self) -> None:
        """Tidy at intervals, for ever."""
        metrics = self._tables.metrics
        while True:
            await asyncio.sleep(UPKEEP_S)
            for tidy in self._chores():
                metrics.guard.run("upkeep", tidy)
            while metrics.fold_some():
                await asyncio.sleep(0)

    def sizes(self) -> dict[str, float]:
        """Return how much each table holds."""
        tables = self._tables
        sizes = {
            "backends": len(tables.registry.names()),
            "withdrawals": tables.registry.withdrawal_count(),
            "pace": tables.ledger.pace.size(),
            "promises": tables.ledger.size(),
            "resting_connections": tables.pool.size(),
            "cache_lists": tables.lookup.size(),
            "retry_times": tables.allowance.size(),
            "suspects": tables.poison.size(),
            "routers": tables.gossip.known(),
            "votes": tables.leadership.size(),
            "tasks": len(asyncio.all_tasks()),
            **tables.metrics.sizes(),
        }
        return {f"table_{name}": float(size) for name, size in sizes.items()}

    def _chores(self) -> tuple[Callable[[], None], ...]:
        tables = self._tables
        return (
            tables.pool.evict_expired,
            self._close_beyond_share,
            tables.registry.drop_expired_backends,
            self._drop_gone_engines,
            tables.ledger.drop_expired,
            tables.lookup.evict_expired,
            tables.allowance.drop_old,
            tables.poison.drop_old,
            tables.leadership.drop_old_votes,
            self._drop_gone_routes,
        )

    def _close_beyond_share(self) -> None:
        """Close what rests beyond this router's share: that shrinks as others join."""
        registry = self._tables.registry
        for backend in registry.lives():
            most = registry.connection_share(backend.entry.service)
            if not math.isinf(most):
                self._tables.pool.limit_idle(backend.entry.address, int(most) - backend.outstanding)

    def _drop_gone_engines(self) -> None:
        self._tables.ledger.pace.keep_only(self._tables.registry.names())

    def _drop_gone_routes(self) -> None:
        index = self._tables.follower.index
        if index is None or index.table.version == self._metrics_version:
            return
        self._metrics_version = index.table.version
        self._tables.metrics.keep_only({route.name for route in index.table.routes})
