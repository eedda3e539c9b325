"""The router: accepts callers' requests, routes them and returns one final response to each."""

from __future__ import annotations

import asyncio
import itertools
import math
import socket
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from yokedock.base.early_sockets import BACKLOG
from yokedock.base.link_meter import LinkMeter, Traffic
from yokedock.base.logs import logger
from yokedock.base.ordered_set import OrderedSet
from yokedock.base.resource_budget import MIB, ConnectionGroup
from yokedock.base.sockets import reset_on_close, set_backlog
from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.caller_connection import BUFFER_LIMIT_BYTES, CallerConnection
from yokedock.connection.caller_request import CallerRequest
from yokedock.connection.dialect import Dialect
from yokedock.connection.gated_listener import GatedListener
from yokedock.connection.http_heads import complete_response
from yokedock.connection.response_writer import ResponseWriter
from yokedock.connection.router_gossip import RouterGossip
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import StateSource
from yokedock.errors import (
    NotFound,
    NotReady,
)
from yokedock.process.gossip_handler import GossipComponents, GossipHandler
from yokedock.process.graceful_stop import GracefulStop
from yokedock.process.leader_term import LeaderTerm
from yokedock.process.leadership import Leadership
from yokedock.process.list_confirmation import ListConfirmation
from yokedock.process.origin_store_client import OriginStoreClient, OriginStores
from yokedock.process.readiness import Readiness
from yokedock.process.request_handler import RequestHandler
from yokedock.process.role_balancer import RoleBalancer
from yokedock.process.router_maintenance import MaintainedTables, RouterMaintenance
from yokedock.process.router_metrics import RouterMetrics
from yokedock.process.router_settings import RouterSettings
from yokedock.process.state_exchange import STATE_PATH, StateExchange
from yokedock.process.state_follower import StateFollower
from yokedock.process.stream_origin_exchange import ORIGIN_PATH, StreamOriginExchange
from yokedock.process.suspension_monitor import SuspensionMonitor
from yokedock.process.watcher_selection import WatcherSelection
from yokedock.request.backend_exchange import BackendExchanges
from yokedock.request.backend_gossip import BackendGossip
from yokedock.request.backend_incarnation import Backend
from yokedock.request.backend_limits import BackendLimits
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.cache_lookup import CacheLookup
from yokedock.request.connection_shares import ConnectionShares
from yokedock.request.crash_records import CrashRecords
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.generation_call import GenerationCalls
from yokedock.request.link_admission import LinkAdmission
from yokedock.request.poison_parts import PoisonParts
from yokedock.request.poison_requests import PoisonRequests
from yokedock.request.quarantine import QuarantineGuard
from yokedock.request.queued_placement import QueuedPlacement
from yokedock.request.remote_queues import RemoteQueues
from yokedock.request.retry_allowance import RetryAllowance, RetryBounds
from yokedock.request.stop_admission import StopAdmission, StopState
from yokedock.request.unary_call import UnaryCalls
from yokedock.request.version_history import VersionHistory
from yokedock.request.version_pinning import VersionPinning
from yokedock.version.route_table import CallerLimits, RouteTable

_log = logger("router")

Accept = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

OWN_BYTES = 40 * MIB
"""Memory of a router that serves nobody."""
CALLERS_SHARE = 0.6
ROUTERS_SHARE = 0.1
READINESS_SHARE = 0.05
"""Shares of the file descriptors that accepted connections may use; backends get the rest."""
INTERNAL_LIMITS = CallerLimits(body_bytes=16_384)
"""Limits at the addresses that are not for callers."""
ACCEPTED_AT_ONCE = 16
"""Connections that are accepted before any of them may be refused."""
METRICS_PATH = "/metrics"
LOST_CALLERS_INTERVAL_S = 1.0
TASK_RESTART_DELAY_S = 0.5
"""Delay before a background task that failed is restarted, so that a persistent error does not
cause a busy loop."""


class Router:
    """Creates and connects the components of one router; ``run`` serves until it is stopped."""

    def __init__(
        self,
        settings: RouterSettings,
        source: StateSource,
        dialect: Dialect,
        sockets: dict[str, socket.socket] | None = None,
    ) -> None:
        """Create the components without binding any address.

        ``sockets`` are already listening, by address.
        """
        self._sockets = dict(sockets or {})
        self.settings = settings
        mechanisms = settings.mechanisms
        machine = settings.machine
        self._budget = machine.budget(OWN_BYTES)
        self._caller_group = self._budget.group(CALLERS_SHARE * machine.descriptors)
        self._router_group = self._budget.group(ROUTERS_SHARE * machine.descriptors)
        self._readiness_group = self._budget.group(READINESS_SHARE * machine.descriptors)
        link = self._link = LinkMeter(settings.machine.link_mbps)
        source.use_link(link)
        self._link_admission = LinkAdmission(link)
        self._ledger = EngineLedger(mechanisms=mechanisms)
        own_address, _, port = settings.fleet.address.rpartition(":")
        limits = BackendLimits(own_address, lambda: self._gossip.fleet_size())
        self._registry = BackendRegistry(settings.process.zone, limits=limits)
        gossip_handler = self._gossip_handler = GossipHandler()
        self._gossip = RouterGossip(
            own_address,
            int(port),
            _seed_hosts(settings),
            gossip_handler.own_state,
            gossip_handler.apply_state,
            gossip_handler.drop_state_of,
            link,
        )
        watcher_selection = WatcherSelection(own_address, gossip_handler.source_contacts)
        self._follower = StateFollower(source, self._registry, watcher_selection)
        self._exchange = StateExchange(self._follower, int(port), self._gossip.alive, link)
        bounds = RetryBounds(
            settings.retries.ratio, settings.retries.window_s, settings.retries.allowance
        )
        # Includes silent routers: they may still be retrying, and their retries count for a window.
        fleet_size = self._gossip.known if mechanisms.retry_shares else lambda: 1
        allowance = RetryAllowance(bounds, fleet_size, settings.fleet.is_first_start)
        self._allowance = allowance
        self._pool = BackendPool(link)
        self._crashes = CrashRecords(
            PoisonRequests(mechanisms.quarantine), PoisonParts(mechanisms.quarantine)
        )
        self._shares = ConnectionShares(self._gossip.known)
        self._registry.connection_share = self._connection_share
        exchanges = BackendExchanges(self._pool, dialect, self._crashes, self._shares, self._budget)
        self._remote_queues = RemoteQueues(own_address)
        placement = QueuedPlacement(
            self._registry,
            self._ledger,
            self._remote_queues.share,
            mechanisms,
            self._remote_queues.turns,
        )
        self._placement = placement
        lookup = CacheLookup(self._registry, self._pool, dialect)
        self._version_history = VersionHistory()
        store_port = settings.fleet.origin_store_port
        self._origin_stores = (
            OriginStores(OriginStoreClient(own_address, store_port, link)) if store_port else None
        )
        self._follower.on_gap = self._version_history.interrupt
        self._origins = StreamOriginExchange(
            self._gossip,
            int(port),
            self._version_history,
            self._origin_stores,
            link,
            ListConfirmation(source, lambda: self._follower.position),
            lambda: self._follower.position,
        )
        self._pinning = VersionPinning(self._registry, self._origins, lookup)
        self._metrics = RouterMetrics()
        self._stop = StopState()
        self._readiness = Readiness(
            self._follower, self._stop, self._link_admission, self._gossip.alive
        )
        self._request_handler = RequestHandler(
            self._follower,
            dialect,
            GenerationCalls(
                placement,
                self._ledger,
                exchanges,
                allowance,
                lookup,
                self._pinning,
                mechanisms,
            ),
            UnaryCalls(self._registry, exchanges, allowance, self._pinning),
            QuarantineGuard(self._crashes),
            self._pinning,
            self._metrics,
            self._stop,
            StopAdmission(self._stop, self._registry, self._ledger.pace),
        )
        self._connections: OrderedSet[CallerConnection] = OrderedSet()
        self._caller_listener = GatedListener(
            lambda: self._listen(settings.callers.listen, self._accept_caller),
            self._link_admission.may_resume,
        )
        self.is_listening = False
        self._tasks: OrderedSet[asyncio.Task[None]] = OrderedSet()
        self._leadership = Leadership(
            own_address, settings.fleet.lease_s, settings.fleet.is_first_start
        )
        self._roles = RoleBalancer(
            settings.process.name,
            self._registry,
            self._ledger,
            self._pool,
            dialect,
            gossip_handler.fencing_token,
        )
        self._dialect = dialect
        self._maintenance = RouterMaintenance(
            MaintainedTables(
                self._follower,
                self._registry,
                self._ledger,
                self._pool,
                lookup,
                allowance,
                self._crashes,
                self._gossip,
                self._leadership,
                self._metrics,
                self._origins,
                self._version_history,
                link,
            )
        )
        gossip_handler.attach(
            GossipComponents(
                settings.process.name,
                self._gossip,
                self._follower,
                self._exchange,
                self._leadership,
                LeaderTerm(settings.fleet.lease_s),
                self._roles,
                self._registry,
                BackendGossip(self._registry),
                self._ledger,
                placement,
                self._remote_queues,
                self._crashes,
                self._stop,
                self._readiness,
            )
        )
        self._suspension_monitor = SuspensionMonitor(self._pool)
        self._connect_change_callbacks()

    def _connect_change_callbacks(self) -> None:
        """Have the components report their changes to the other routers and to each other."""
        self._follower.on_news = self._gossip.change
        self._ledger.on_change = self._gossip.change
        self._crashes.requests.on_crash_detected = self._gossip.change
        self._crashes.parts.on_report_due = self._gossip.change
        self._crashes.parts.on_objection_due = self._gossip.change_known_to_many
        self._registry.limits.on_change = self._gossip.change
        self._gossip.newcomer_report = self._crashes.report_for_new_router
        self._gossip.on_started = self._origins.replicate_to
        self._gossip.on_stream_origins = self._origins.receive
        self._registry.on_change = self._on_backends_changed
        self._registry.on_restart = self._on_backend_restart

    # --- Lifecycle ---

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then shut down gracefully."""
        await self._gossip.start()
        if self._origin_stores is not None:
            await self._origin_stores.client.start()
        callers = self.settings.callers
        await self._caller_listener.start()
        servers = [
            await self._listen(callers.ready_listen, self._accept_ready),
            await self._listen(self.settings.fleet.address, self._accept_router),
        ]
        self.is_listening = True
        self._start_supervised("listener", self._caller_listener.run)
        self._start_supervised("follower", self._follower.run)
        self._start_supervised("gossip", self._gossip.run)
        if self.settings.mechanisms.role_changes:
            self._start_supervised("roles", lambda: self._roles.run(self._table))
        self._start_supervised("upkeep", self._maintenance.run)
        self._start_supervised("lost callers", self._abort_lost_callers)
        self._start_supervised("wake", self._suspension_monitor.run)
        machine = self.settings.machine
        _log.info(
            "started",
            name=self.settings.process.name,
            listen=callers.listen,
            memory_mb=machine.memory_mb,
            descriptors=machine.descriptors,
        )
        await stop.wait()
        await self._shut_down()
        self._caller_listener.close()
        for server in servers:
            server.close()
        self._exchange.stop()
        if self._origin_stores is not None:
            self._origin_stores.client.close()
        for task in self._tasks:
            task.cancel()
        _log.info("stopped", name=self.settings.process.name)

    def apply_settings(self, settings: RouterSettings) -> None:
        """Use the reloaded options of ``settings``, which equal the current ones otherwise."""
        self.settings = settings
        self._gossip.replace_seeds(_seed_hosts(settings))

    @property
    def position(self) -> SourcePosition:
        """Return the position of the source that the known state corresponds to."""
        return self._follower.position

    @property
    def version(self) -> int:
        """Return the version of the current route table, 0 if none is known."""
        return self._follower.version

    @property
    def is_ready(self) -> bool:
        """Return whether this router accepts new connections."""
        return self._readiness.is_ready

    async def _shut_down(self) -> None:
        """Let other routers lead, and complete the requests in flight."""
        graceful_stop = GracefulStop(self._stop, self._request_handler, self._connections)
        graceful_stop.begin(self.settings.stop.grace_s)
        self._leadership.resign()
        self._gossip.change()
        await graceful_stop.run()
        self._gossip.send_final_state()

    def _start_supervised(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Start a background task that is restarted after an unexpected error."""

        async def run() -> None:
            while True:
                try:
                    await work()
                except Exception:
                    _log.exception("background task failed; restarting it", task=name)
                await asyncio.sleep(TASK_RESTART_DELAY_S)

        self._start(run())

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("background task ended with an error", error=repr(task.exception()))

    # --- Listening ---

    async def _listen(self, address: str, accept: Accept) -> asyncio.Server:
        early = self._sockets.pop(address, None)
        if early is not None:
            server = await asyncio.start_server(
                accept, sock=early, backlog=ACCEPTED_AT_ONCE, limit=BUFFER_LIMIT_BYTES
            )
        else:
            host, _, port = address.rpartition(":")
            server = await asyncio.start_server(
                accept,
                host,
                int(port),
                backlog=ACCEPTED_AT_ONCE,
                reuse_address=True,
                limit=BUFFER_LIMIT_BYTES,
            )
        for listening in server.sockets:
            set_backlog(listening, BACKLOG)
        return server

    async def _accept_caller(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        admission = self._link_admission
        is_accepted = admission.accept()
        if not admission.has_room():
            admission.refuse()
            self._caller_listener.pause()
        if not is_accepted:
            _reset(writer)
            return
        handler = self._request_handler
        requests = itertools.count()

        async def answer(request: CallerRequest, response: ResponseWriter) -> None:
            if next(requests) > 0:
                admission.take()
            await handler.answer(request, response)

        connection = CallerConnection(
            reader, writer, answer, self._limits, handler.time_limit_s, self._link
        )
        connection.should_close = admission.is_exceeded
        connection.is_closing = self._stop.is_stopping
        self._connections.add(connection)
        try:
            await _serve(connection, self._caller_group)
        finally:
            self._connections.discard(connection)

    async def _abort_lost_callers(self) -> None:
        while True:
            await asyncio.sleep(LOST_CALLERS_INTERVAL_S)
            for connection in list(self._connections):
                connection.abort_if_lost()

    async def _accept_ready(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = CallerConnection(reader, writer, self._answer_ready, lambda: INTERNAL_LIMITS)
        await _serve(connection, self._readiness_group)

    async def _accept_router(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = CallerConnection(
            reader,
            writer,
            self._answer_router,
            lambda: INTERNAL_LIMITS,
            link=self._link,
            traffic=Traffic.ROUTERS,
        )
        await _serve(connection, self._router_group)

    def _table(self) -> RouteTable | None:
        index = self._follower.index
        return index.table if index is not None else None

    def _connection_share(self, service: str) -> float:
        """Return how many connections this router may open to a backend of ``service``."""
        table = self._table()
        spec = table.services.get(service) if table is not None else None
        return math.inf if spec is None else self._shares.most(spec)

    def _limits(self) -> CallerLimits:
        table = self._table()
        return table.limits if table is not None else CallerLimits()

    async def _answer_ready(self, request: CallerRequest, answer: ResponseWriter) -> None:
        status = 200 if self.is_ready else NotReady.http_status
        await answer.whole(*complete_response(status, b""))

    async def _answer_router(self, request: CallerRequest, answer: ResponseWriter) -> None:
        """Serve this router's state to another router, or its metrics to an operator."""
        if request.head.path == STATE_PATH:
            body = self._exchange.answer(request.head.query)
        elif request.head.path == ORIGIN_PATH:
            body = self._origins.answer(request.head.query)
        elif request.head.path == METRICS_PATH:
            body = await self._metrics.text(self._gauges())
        else:
            message = f"unknown path {request.head.path}; use {STATE_PATH} or {METRICS_PATH}"
            raise NotFound(message)
        await answer.whole(*complete_response(200, body))

    def _gauges(self) -> dict[str, float]:
        """Return the current values of all gauges."""
        return {
            "active": self._request_handler.active,
            "connections": len(self._connections),
            "connections_unread": self._link_admission.unread,
            "listener_pauses": self._caller_listener.pauses,
            **self._budget.levels(),
            **self._link.levels(),
            "waiting_in_time": self._placement.waiting_in_time(),
            "routers_known": self._gossip.known(),
            "routers_heard": self._gossip.fleet_size(),
            "routers_behind": self._exchange.behind_count(),
            "table_version": self._follower.version,
            "state_era": self._follower.position.era,
            "state_position": self._follower.position.revision,
            "state_reads_not_taken": self._follower.reads_ignored,
            "state_undecoded": self._follower.undecoded,
            "state_silent_s": self._follower.silent_s(),
            "state_age_s": self._follower.age_s(),
            "connections_opened": self._pool.opened,
            "words_not_understood": self._dialect.invalid_values,
            "state_parts_failed": self._gossip_handler.failed_parts,
            **self._allowance.levels(),
            **self._ledger.levels(),
            **self._crashes.levels(),
            **self._registry.levels(),
            **self._pinning.levels(),
            **self._suspension_monitor.levels(),
            **self._maintenance.sizes(),
        }

    # --- Backends ---

    def _on_backends_changed(self) -> None:
        self._version_history.begin(self.settings.fleet.is_first_start)
        entries = self._registry.entries().values()
        self._version_history.update(entries)
        self._origins.use_backends(entries)
        self._ledger.on_capacity_freed()

    def _on_backend_restart(self, backend: Backend) -> None:
        """Close the idle connections to a backend that has restarted.

        All other state is kept by incarnation.
        """
        self._pool.forget(backend.entry.address)


async def _serve(connection: CallerConnection, group: ConnectionGroup) -> None:
    """Serve a connection until it is closed; reset it if there is no room for it."""
    holding = group.open(connection.evict)
    if holding is None:
        connection.abort_unread()
        return
    connection.holding = holding
    try:
        await connection.serve()
        await connection.wait_sent()
    finally:
        holding.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, so that its peer knows that nothing was read."""
    reset_on_close(writer.get_extra_info("socket"))
    writer.transport.abort()


def _seed_hosts(settings: RouterSettings) -> tuple[str, ...]:
    return tuple(seed.rpartition(":")[0] for seed in settings.fleet.seeds)
