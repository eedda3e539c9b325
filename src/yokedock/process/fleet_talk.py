"""What one router tells the others of itself, and what it takes in from them.

Each part of a router keeps its own beliefs; this module only carries them between the parts and the
datagrams, and keeps the highest fencing token that was heard.
"""

from __future__ import annotations

import msgspec

from yokedock.base.clock import wall_clock_ms
from yokedock.base.logs import logger
from yokedock.connection.router_gossip import OtherRouter, RouterGossip
from yokedock.connection.router_state import RouterState
from yokedock.process.leadership import Leadership, Vote
from yokedock.process.request_intake import StopState
from yokedock.process.role_balancer import RoleBalancer
from yokedock.process.state_exchange import StateExchange
from yokedock.process.state_follower import StateFollower
from yokedock.process.watch_duty import SourceContact
from yokedock.request.backend_gossip import BackendGossip
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.poison_requests import PoisonRequests
from yokedock.request.queued_placement import QueuedPlacement
from yokedock.request.remote_queues import RemoteQueues

_log = logger("router")


class TalkingParts(msgspec.Struct, frozen=True):
    """The parts of a router that others hear of, or that hear of others."""

    name: str
    gossip: RouterGossip
    follower: StateFollower
    exchange: StateExchange
    leadership: Leadership
    roles: RoleBalancer
    registry: BackendRegistry
    backends: BackendGossip
    ledger: EngineLedger
    placement: QueuedPlacement
    remote_queues: RemoteQueues
    poison: PoisonRequests
    stop: StopState


class FleetTalk:
    """Speaks for one router; its methods are called by the gossip once ``join`` was."""

    def __init__(self) -> None:
        """Start before the parts are there: some of them need this object."""
        self._parts: TalkingParts
        self._incarnation_ms = wall_clock_ms()
        self._highest_token = 0
        self._own_token: int | None = None

    def join(self, parts: TalkingParts) -> None:
        """Speak for these parts from now on."""
        self._parts = parts

    def state(self, sequence: int, heard: tuple[str, ...]) -> RouterState:
        """Return what is told now; ``heard`` are addresses of other routers to name."""
        parts = self._parts
        return RouterState(
            parts.name,
            self._incarnation_ms,
            sequence,
            parts.follower.version,
            parts.follower.position.revision,
            parts.stop.is_stopping,
            parts.placement.waiting_in_time(),
            parts.ledger.shares(),
            "" if parts.stop.is_stopping else parts.leadership.vote(),
            self._highest_token,
            parts.roles.changing(),
            heard,
            parts.placement.queues(),
            parts.follower.source_age_ms(),
            parts.follower.news(),
            parts.backends.broken(),
            parts.poison.told(),
            parts.backends.recently_leaving(),
            parts.backends.limits(),
            era=parts.follower.position.era,
        )

    def source_contacts(self) -> list[SourceContact]:
        """Return what the routers heard a moment ago told of their contact with the source."""
        parts = self._parts
        return [
            SourceContact(
                other.address, other.state.source_age_ms, other.heard_s, other.state.is_leaving
            )
            for other in parts.gossip.alive()
            if other.state is not None
        ]

    def heard(self, other: OtherRouter) -> None:
        """Take in what another router told; all of it is as old as ``other.heard_s`` says."""
        parts = self._parts
        assert other.state is not None
        state = other.state
        parts.ledger.heard(other.address, state.shares, other.heard_s)
        if parts.remote_queues.heard(other.address, state.queues, other.heard_s):
            parts.ledger.on_capacity_freed()
        self._highest_token = max(self._highest_token, state.token)
        parts.leadership.heard(Vote(other.address, state.leader, other.heard_s, state.is_leaving))
        parts.registry.set_changing(other.address, state.changing)
        parts.backends.apply_remote_broken(state.broken, other.heard_s)
        parts.poison.heard(state.suspects, other.heard_s)
        parts.backends.apply_remote_leaving(state.leaving, other.heard_s)
        parts.backends.apply_remote_limits(other.address, state.limits, other.heard_s)
        parts.follower.take_news(state.news)
        parts.exchange.heard(state)

    def leading_token(self) -> int | None:
        """Return this router's fencing token while it leads; a new one each time it begins to."""
        parts = self._parts
        if parts.stop.is_stopping or not parts.leadership.leads(parts.gossip.known()):
            self._own_token = None
            return None
        if self._own_token is None:
            self._own_token = max(self._highest_token + 1, wall_clock_ms())
            self._highest_token = self._own_token
            _log.info("leads", token=self._own_token, known=parts.gossip.known())
        return self._own_token

    def silent(self, other: OtherRouter) -> None:
        """Drop what a router told that is no longer heard."""
        parts = self._parts
        parts.registry.set_changing(other.address, ())
        parts.backends.drop_waiting_of(other.address)
        parts.remote_queues.forget(other.address)
        parts.ledger.forget(other.address)
