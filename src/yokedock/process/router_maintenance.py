"""Periodic maintenance of a router: removes entries that are no longer needed from all tables.

The memory that a router uses may depend on the current backends, routers and routes, but never on
how long it has run. The sizes of all tables are exported as metrics.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import msgspec

from yokedock.base.link_meter import LinkMeter, Traffic
from yokedock.base.logs import logger
from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.router_gossip import RouterGossip
from yokedock.process.leadership import Leadership
from yokedock.process.router_metrics import RouterMetrics
from yokedock.process.state_follower import StateFollower
from yokedock.process.stream_origin_exchange import StreamOriginExchange
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.cache_lookup import CacheLookup
from yokedock.request.crash_records import CrashRecords
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.retry_allowance import RetryAllowance
from yokedock.request.version_history import VersionHistory

_log = logger("upkeep")

MAINTENANCE_INTERVAL_S = 1.0
MS_PER_SECOND = 1000


class MaintainedTables(msgspec.Struct, frozen=True):
    """The components of a router that have tables by engine, router, service or route."""

    follower: StateFollower
    registry: BackendRegistry
    ledger: EngineLedger
    pool: BackendPool
    lookup: CacheLookup
    allowance: RetryAllowance
    crashes: CrashRecords
    gossip: RouterGossip
    leadership: Leadership
    metrics: RouterMetrics
    origins: StreamOriginExchange
    version_history: VersionHistory
    link: LinkMeter


class RouterMaintenance:
    """Cleans up the tables of one router; ``run`` is its task."""

    def __init__(self, tables: MaintainedTables) -> None:
        """Maintain ``tables``."""
        self._tables = tables
        self._cleaned_table_version = 0
        self._sent_bytes: dict[Traffic, int] = {}
        self._received_bytes: dict[Traffic, int] = {}
        """Bytes that the link had carried at the last maintenance."""

    async def run(self) -> None:
        """Clean up periodically, until cancelled."""
        metrics = self._tables.metrics
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            for cleanup in self._cleanups():
                metrics.guard.run("upkeep", cleanup)
            while metrics.fold_some():
                await asyncio.sleep(0)

    def sizes(self) -> dict[str, float]:
        """Return the size of each table."""
        tables = self._tables
        sizes = {
            "backends": len(tables.registry.names()),
            "withdrawals": tables.registry.withdrawal_count(),
            "pace": tables.ledger.pace.size(),
            "promises": tables.ledger.size(),
            "resting_connections": tables.pool.size(),
            "cache_lists": tables.lookup.size(),
            "retry_times": tables.allowance.size(),
            "suspects": tables.crashes.requests.size(),
            "suspect_parts": tables.crashes.parts.size(),
            "sound_parts": tables.crashes.parts.sound_size(),
            "routers": tables.gossip.known(),
            "votes": tables.leadership.size(),
            "stream_origins": tables.origins.size(),
            "versions": tables.version_history.size(),
            "tasks": len(asyncio.all_tasks()),
            **tables.metrics.sizes(),
        }
        return {f"table_{name}": float(size) for name, size in sizes.items()}

    def _cleanups(self) -> tuple[Callable[[], None], ...]:
        tables = self._tables
        return (
            tables.pool.evict_expired,
            self._close_excess_connections,
            tables.registry.drop_expired_backends,
            self._drop_removed_engines,
            tables.ledger.drop_expired,
            tables.lookup.evict_expired,
            tables.allowance.drop_old,
            tables.crashes.requests.drop_old,
            tables.crashes.parts.drop_old,
            tables.leadership.drop_old_votes,
            tables.origins.drop_expired,
            self._log_busy_link,
            self._drop_removed_routes,
        )

    def _close_excess_connections(self) -> None:
        """Close idle connections beyond this router's share, which shrinks as others join."""
        registry = self._tables.registry
        for backend in registry.lives():
            most = registry.connection_share(backend.entry.service)
            if not math.isinf(most):
                self._tables.pool.limit_idle(backend.entry.address, int(most) - backend.outstanding)

    def _log_busy_link(self) -> None:
        """Log what the link carried since the last time, if data waits in front of it."""
        link = self._tables.link
        sent, received = dict(link.sent_bytes), dict(link.received_bytes)
        if link.is_busy():
            _log.info(
                "link busy",
                queued_ms=round(link.queued_s() * MS_PER_SECOND),
                used_share=round(link.used_share(), 2),
                shared_delay_ms=round(link.shared_delay.current_s() * MS_PER_SECOND),
                sent={k.value: n - self._sent_bytes.get(k, 0) for k, n in sent.items()},
                received={k.value: n - self._received_bytes.get(k, 0) for k, n in received.items()},
            )
        self._sent_bytes, self._received_bytes = sent, received

    def _drop_removed_engines(self) -> None:
        self._tables.ledger.pace.keep_only(self._tables.registry.names())

    def _drop_removed_routes(self) -> None:
        index = self._tables.follower.index
        if index is None or index.table.version == self._cleaned_table_version:
            return
        self._cleaned_table_version = index.table.version
        self._tables.metrics.keep_only({route.name for route in index.table.routes})
