"""Builds the state that a router gossips to the others, and applies the states received from them.

Each component of a router keeps its own data. This module only passes it between the components and
the datagrams.
"""

from __future__ import annotations

import msgspec

from yokedock.base.clock import wall_clock_ms
from yokedock.base.logs import logger
from yokedock.connection.entry_validation import without_invalid_entries
from yokedock.connection.router_gossip import OtherRouter, RouterGossip
from yokedock.connection.router_state import RouterState
from yokedock.process.leader_term import LeaderTerm
from yokedock.process.leadership import Leadership, Vote
from yokedock.process.readiness import Readiness
from yokedock.process.role_balancer import RoleBalancer
from yokedock.process.state_exchange import StateExchange
from yokedock.process.state_follower import StateFollower
from yokedock.process.watcher_selection import SourceContact
from yokedock.request.backend_gossip import BackendGossip
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.crash_records import CrashRecords
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.queued_placement import QueuedPlacement
from yokedock.request.remote_queues import RemoteQueues
from yokedock.request.stop_admission import StopState

_log = logger("router")


class GossipComponents(msgspec.Struct, frozen=True):
    """The components of a router whose state is sent to other routers, or that apply theirs."""

    name: str
    gossip: RouterGossip
    follower: StateFollower
    exchange: StateExchange
    leadership: Leadership
    term: LeaderTerm
    roles: RoleBalancer
    registry: BackendRegistry
    backends: BackendGossip
    ledger: EngineLedger
    placement: QueuedPlacement
    remote_queues: RemoteQueues
    crashes: CrashRecords
    stop: StopState
    readiness: Readiness


class GossipHandler:
    """Connects the gossip with the components of one router.

    The gossip calls its methods, which requires that ``attach`` was called before.
    """

    def __init__(self) -> None:
        """Create a handler without components, as some of them need it for their construction."""
        self._components: GossipComponents
        self._incarnation_ms = wall_clock_ms()
        self.failed_parts = 0
        """Parts of received states that were not applied because of an unexpected error."""

    def attach(self, components: GossipComponents) -> None:
        """Use these components from now on."""
        self._components = components

    def own_state(self, sequence: int, routers: tuple[str, ...]) -> RouterState:
        """Return the state to send; ``routers`` are the addresses of other routers to include."""
        components = self._components
        return RouterState(
            components.name,
            self._incarnation_ms,
            sequence,
            components.follower.version,
            components.follower.position.revision,
            components.stop.is_stopping,
            components.placement.waiting_in_time(),
            components.ledger.shares(),
            "" if components.stop.is_stopping else components.leadership.vote(),
            components.term.highest_token,
            components.roles.changing(),
            routers,
            components.placement.queues(),
            components.follower.source_age_ms(),
            components.follower.news(),
            components.backends.broken(),
            components.crashes.requests.told(),
            components.backends.recently_leaving(),
            components.backends.limits(),
            era=components.follower.position.era,
            suspect_parts=components.crashes.parts.recent_report(),
            sound_parts=components.crashes.parts.objections(),
            term=components.term.reported(self._leads()),
            is_overloaded=components.readiness.is_overloaded,
        )

    def source_contacts(self) -> list[SourceContact]:
        """Return what the live routers last reported about their contact with the state source."""
        components = self._components
        return [
            SourceContact(
                other.address, other.state.source_age_ms, other.heard_s, other.state.is_leaving
            )
            for other in components.gossip.alive()
            if other.state is not None
        ]

    def apply_state(self, other: OtherRouter) -> None:
        """Apply the state of another router, which dates from ``other.heard_s``.

        An error in one component is logged and counted, and the others still get their part.
        """
        assert other.state is not None
        state = other.state
        for apply_part in (
            self._apply_reservations,
            self._apply_queues,
            self._apply_leadership,
            self._apply_backends,
            self._apply_suspects,
            self._apply_limits,
            self._apply_source_progress,
        ):
            try:
                apply_part(other, state)
            except Exception:
                self.failed_parts += 1
                _log.exception("state not applied", router=other.address, part=apply_part.__name__)

    def _apply_reservations(self, other: OtherRouter, state: RouterState) -> None:
        self._components.ledger.heard(other.address, state.shares, other.heard_s)

    def _apply_queues(self, other: OtherRouter, state: RouterState) -> None:
        components = self._components
        if components.remote_queues.heard(other.address, state.queues, other.heard_s):
            components.ledger.on_capacity_freed()

    def _apply_leadership(self, other: OtherRouter, state: RouterState) -> None:
        self._components.term.hear(state.token, state.term)
        self._components.leadership.heard(
            Vote(other.address, state.leader, other.heard_s, state.is_leaving)
        )

    def _apply_backends(self, other: OtherRouter, state: RouterState) -> None:
        components = self._components
        components.registry.set_changing(other.address, state.changing)
        components.backends.apply_remote_broken(state.broken, other.heard_s)
        components.backends.apply_remote_leaving(state.leaving, other.heard_s)

    def _apply_suspects(self, other: OtherRouter, state: RouterState) -> None:
        crashes = self._components.crashes
        crashes.requests.heard(state.suspects, other.heard_s)
        crashes.parts.apply_report(state.suspect_parts, state.sound_parts, other.heard_s)

    def _apply_limits(self, other: OtherRouter, state: RouterState) -> None:
        self._components.backends.apply_remote_limits(other.address, state.limits, other.heard_s)

    def _apply_source_progress(self, other: OtherRouter, state: RouterState) -> None:
        news = tuple(without_invalid_entries(changes) for changes in state.news)
        self._components.follower.apply_news(news)
        self._components.exchange.on_router_state(state)

    def fencing_token(self) -> int | None:
        """Return this router's fencing token while it leads, else None.

        Each term of leadership has a new token.
        """
        return self._components.term.token(self._leads())

    def _leads(self) -> bool:
        components = self._components
        if components.stop.is_stopping:
            return False
        return components.leadership.leads(components.gossip.known())

    def drop_state_of(self, other: OtherRouter) -> None:
        """Drop the state of a router that has become silent."""
        components = self._components
        components.registry.set_changing(other.address, ())
        components.backends.drop_waiting_of(other.address)
        components.remote_queues.forget(other.address)
        components.ledger.forget(other.address)
