"""Reservations of engine memory and pending prefill work, across all routers.

Each router records its own streams here and receives the totals of the others. Together they give
the load an engine is about to have, earlier than the engine's own reports.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.connection.router_state import EngineShare
from yokedock.request.engine_performance import EnginePerformance
from yokedock.request.mechanisms import ALL_ON, Mechanisms
from yokedock.request.remote_reservations import EngineTotals, RemoteReservations
from yokedock.request.stream_duration import StreamDuration

EXPECTED_GROWTH_SHARE = 0.75
"""Share of the expected remaining output that is reserved: streams do not all peak at the same
time."""
OVERRUN_SHARE = 0.35
"""A stream past its expected length is assumed to generate this share of its output so far in
addition."""

MIN_MEASURED_PREFILL_TOKENS = 256
"""Minimum size of a prefill from which an engine's rate is learned. The duration of a shorter one
consists mostly of transit and scheduling, and a prefill of no tokens has no rate."""


class StreamDemand(msgspec.Struct):
    """Current and expected memory use of one stream, in tokens."""

    engine: str
    prompt_tokens: int
    expected_output: float
    max_output: int
    made: int = 0

    def memory_tokens(self) -> int:
        """Return the memory to reserve for the stream."""
        remaining_output = self.expected_output - self.made
        if remaining_output <= 0:
            remaining_output = min(self.max_output - self.made, OVERRUN_SHARE * self.made)
        return round(
            self.prompt_tokens + self.made + EXPECTED_GROWTH_SHARE * max(0.0, remaining_output)
        )


class PrefillDemand(msgspec.Struct):
    """A prefill in progress."""

    engine: str
    tokens: int
    ahead_tokens: int
    started_s: float


Demand = TypeVar("Demand", StreamDemand, PrefillDemand)


class EngineLedger:
    """The reservations of this router and, as last reported, of the others."""

    def __init__(
        self, clock: Callable[[], float] = boot_time_s, mechanisms: Mechanisms = ALL_ON
    ) -> None:
        """Start with no reservations."""
        self._clock = clock
        self._counts_remote = mechanisms.promises_of_others
        self._demands: dict[int, StreamDemand] = {}
        self._prefills: dict[int, PrefillDemand] = {}
        self._demands_at: dict[str, dict[int, StreamDemand]] = {}
        self._prefills_at: dict[str, dict[int, PrefillDemand]] = {}
        """The same demands by engine, since most queries are for a single engine."""
        self._remote = RemoteReservations(clock)
        self.pace = EnginePerformance(clock, mechanisms.pace)
        self.turnover = StreamDuration()
        self._opened_s: dict[int, float] = {}
        self._next_key = 0
        self.on_change: Callable[[], None] = lambda: None
        """Called when this router's reservations change."""
        self.on_capacity_freed: Callable[[], None] = lambda: None
        """Called when capacity may have become free, through this router or another."""

    # --- This router's reservations ---

    def open_stream(self, demand: StreamDemand) -> int:
        """Reserve memory for a stream; return the key with which to close it."""
        key = self._new_key()
        self._demands[key] = demand
        self._demands_at.setdefault(demand.engine, {})[key] = demand
        self._opened_s[key] = self._clock()
        self.on_change()
        return key

    def close_stream(self, key: int) -> None:
        """Release a stream's reservation."""
        demand = self._demands.pop(key, None)
        if demand is not None:
            _remove(self._demands_at, demand.engine, key)
            self.turnover.note(self._clock() - self._opened_s.pop(key))
        self.on_change()
        self.on_capacity_freed()

    def open_prefill(self, engine: str, tokens: int) -> int:
        """Record the start of a prefill; return the key with which to close it."""
        key = self._new_key()
        ahead = self.prefill_backlog(engine)
        demand = PrefillDemand(engine, tokens, ahead, self._clock())
        self._prefills[key] = demand
        self._prefills_at.setdefault(engine, {})[key] = demand
        self.on_change()
        return key

    def close_prefill(self, key: int, is_done: bool) -> None:
        """Record the end of a prefill; learn the engine's rate if it completed and was not tiny."""
        demand = self._prefills.pop(key, None)
        if demand is None:
            return
        _remove(self._prefills_at, demand.engine, key)
        tokens = demand.tokens + demand.ahead_tokens
        if is_done and tokens >= MIN_MEASURED_PREFILL_TOKENS:
            self.pace.note_prefill(demand.engine, tokens, self._clock() - demand.started_s)
        self.on_change()

    def shares(self) -> dict[str, EngineShare]:
        """Return this router's reservations per engine."""
        shares: dict[str, EngineShare] = {}
        for demand in self._demands.values():
            share = shares.setdefault(demand.engine, EngineShare())
            share.memory_tokens += demand.memory_tokens()
            share.streams += 1
        for prefill in self._prefills.values():
            shares.setdefault(prefill.engine, EngineShare()).prefill_tokens += prefill.tokens
        for engine, share in shares.items():
            share.pause_ms, share.read_tokens_per_ms = self.pace.recent(engine)
        return shares

    def size(self) -> int:
        """Return the number of stored reservations, of this router and others."""
        return self._own_size() + self._remote.size()

    def levels(self) -> dict[str, float]:
        """Return gauges for operators: own and remote rows, and the oldest report's age."""
        return {
            "promises_own": self._own_size(),
            "promises_heard": self._remote.size(),
            "promises_heard_age_s": self._remote.oldest_age_s(),
        }

    def _own_size(self) -> int:
        return len(self._demands) + len(self._prefills) + len(self._opened_s)

    # --- Reservations of other routers ---

    def heard(
        self, router: str, shares: dict[str, EngineShare], told_s: float | None = None
    ) -> None:
        """Store another router's reservations per engine, reported now or at ``told_s``."""
        has_freed_capacity = self._counts_remote and self._remote.heard(router, shares, told_s)
        for engine, share in shares.items():
            self.pace.heard(engine, share.pause_ms, share.read_tokens_per_ms, told_s)
        if has_freed_capacity:
            self.on_capacity_freed()

    def forget(self, router: str) -> None:
        """Remove the reservations of a router that left."""
        if self._remote.forget(router):
            self.on_capacity_freed()

    def drop_expired(self) -> None:
        """Remove expired reservations of silent routers, independently of any query."""
        if self._remote.drop_expired():
            self.on_capacity_freed()

    # --- Totals ---

    def load(self, engine: str) -> EngineTotals:
        """Return the total load reserved at ``engine``; callers must not modify it."""
        remote = self._remote.totals(engine)
        demands = self._demands_at.get(engine)
        prefills = self._prefills_at.get(engine)
        if demands is None and prefills is None:
            return remote
        return EngineTotals(
            remote.memory_tokens + sum(d.memory_tokens() for d in (demands or {}).values()),
            remote.streams + len(demands or ()),
            remote.prefill_tokens + sum(p.tokens for p in (prefills or {}).values()),
        )

    def memory_tokens(self, engine: str) -> int:
        """Return the memory reserved at ``engine`` by all routers."""
        return self.load(engine).memory_tokens

    def streams(self, engine: str) -> int:
        """Return the number of streams at ``engine``."""
        return self.load(engine).streams

    def prefill_backlog(self, engine: str) -> int:
        """Return the prompt tokens pending prefill at ``engine``."""
        return self.load(engine).prefill_tokens

    def backlog_s(self, engine: str) -> float:
        """Return the time ``engine`` needs to complete its prefill backlog, in seconds."""
        return self.prefill_backlog(engine) / self.pace.prefill_rate(engine)

    def _new_key(self) -> int:
        self._next_key += 1
        return self._next_key


def _remove(table: dict[str, dict[int, Demand]], engine: str, key: int) -> None:
    """Remove a demand, and the engine's row if it becomes empty."""
    row = table[engine]
    del row[key]
    if not row:
        del table[engine]
