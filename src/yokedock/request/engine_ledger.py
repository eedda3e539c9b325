"""Who has promised what of each model engine's memory and reading time, over all routers.

Each router keeps its own streams here and hears the sums of the others; together they are what an
engine will be asked for, known sooner than the engine's own reports.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.connection.router_state import EngineShare
from yokedock.request.engine_pace import EnginePace
from yokedock.request.mechanisms import ALL_ON, Mechanisms
from yokedock.request.remote_promises import EngineTotals, RemotePromises
from yokedock.request.stream_turnover import StreamTurnover

EXPECTED_GROWTH_SHARE = 0.75
"""Share of the output still expected that is counted: not all streams are longest at once."""
OVERRUN_SHARE = 0.35
"""A stream beyond its expected length is expected to go on for this share of what it has made."""


class StreamDemand(msgspec.Struct):
    """Memory that one stream takes and will take, in tokens."""

    engine: str
    prompt_tokens: int
    expected_output: float
    max_output: int
    made: int = 0

    def memory_tokens(self) -> int:
        """Return the memory to set aside for the stream."""
        remaining_output = self.expected_output - self.made
        if remaining_output <= 0:
            remaining_output = min(self.max_output - self.made, OVERRUN_SHARE * self.made)
        return round(
            self.prompt_tokens + self.made + EXPECTED_GROWTH_SHARE * max(0.0, remaining_output)
        )


class PrefillDemand(msgspec.Struct):
    """One prompt that is being read."""

    engine: str
    tokens: int
    ahead_tokens: int
    started_s: float


Demand = TypeVar("Demand", StreamDemand, PrefillDemand)


class EngineLedger:
    """Promises of this router and, as heard last, of the others."""

    def __init__(
        self, clock: Callable[[], float] = boot_time_s, mechanisms: Mechanisms = ALL_ON
    ) -> None:
        """Start with nothing promised."""
        self._clock = clock
        self._counts_remote = mechanisms.promises_of_others
        self._demands: dict[int, StreamDemand] = {}
        self._prefills: dict[int, PrefillDemand] = {}
        self._demands_at: dict[str, dict[int, StreamDemand]] = {}
        self._prefills_at: dict[str, dict[int, PrefillDemand]] = {}
        """The same by engine: what is asked most is what stands at one engine."""
        self._remote = RemotePromises(clock)
        self.pace = EnginePace(clock, mechanisms.pace)
        self.turnover = StreamTurnover()
        self._opened_s: dict[int, float] = {}
        self._next_key = 0
        self.on_change: Callable[[], None] = lambda: None
        """Called when this router's promises change."""
        self.on_room: Callable[[], None] = lambda: None
        """Called when room may have come free, here or elsewhere."""

    # --- This router's promises ---

    def open_stream(self, demand: StreamDemand) -> int:
        """Promise memory to a stream; return the key to close it with."""
        key = self._new_key()
        self._demands[key] = demand
        self._demands_at.setdefault(demand.engine, {})[key] = demand
        self._opened_s[key] = self._clock()
        self.on_change()
        return key

    def close_stream(self, key: int) -> None:
        """Take the promise back."""
        demand = self._demands.pop(key, None)
        if demand is not None:
            _remove(self._demands_at, demand.engine, key)
            self.turnover.note(self._clock() - self._opened_s.pop(key))
        self.on_change()
        self.on_room()

    def open_prefill(self, engine: str, tokens: int) -> int:
        """Note that a prompt is being read; return the key to close it with."""
        key = self._new_key()
        ahead = self.prefill_backlog(engine)
        demand = PrefillDemand(engine, tokens, ahead, self._clock())
        self._prefills[key] = demand
        self._prefills_at.setdefault(engine, {})[key] = demand
        self.on_change()
        return key

    def close_prefill(self, key: int, is_done: bool) -> None:
        """Note that the prompt is read, or was given up; learn the pace from what was read."""
        demand = self._prefills.pop(key, None)
        if demand is None:
            return
        _remove(self._prefills_at, demand.engine, key)
        if is_done:
            took_s = self._clock() - demand.started_s
            self.pace.note_read(demand.engine, demand.tokens + demand.ahead_tokens, took_s)
        self.on_change()

    def shares(self) -> dict[str, EngineShare]:
        """Return what this router has at each engine."""
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
        """Return how many rows of promises are kept, this router's own and those of others."""
        return self._own_size() + self._remote.size()

    def levels(self) -> dict[str, float]:
        """Return what operators see: rows of its own, rows of others and the age of the oldest."""
        return {
            "promises_own": self._own_size(),
            "promises_heard": self._remote.size(),
            "promises_heard_age_s": self._remote.oldest_age_s(),
        }

    def _own_size(self) -> int:
        return len(self._demands) + len(self._prefills) + len(self._opened_s)

    # --- What others promised ---

    def heard(
        self, router: str, shares: dict[str, EngineShare], told_s: float | None = None
    ) -> None:
        """Take over what another router has at each engine, told just now or at ``told_s``."""
        has_freed_capacity = self._counts_remote and self._remote.heard(router, shares, told_s)
        for engine, share in shares.items():
            self.pace.heard(engine, share.pause_ms, share.read_tokens_per_ms, told_s)
        if has_freed_capacity:
            self.on_room()

    def forget(self, router: str) -> None:
        """Drop what a router that left had promised."""
        if self._remote.forget(router):
            self.on_room()

    def drop_lapsed(self) -> None:
        """Drop what routers that fell silent had promised, whether or not anybody asks for it."""
        if self._remote.drop_lapsed():
            self.on_room()

    # --- Sums ---

    def load(self, engine: str) -> EngineTotals:
        """Return all that is promised at ``engine``; it is not to be changed."""
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
        """Return the memory promised at ``engine`` by all routers."""
        return self.load(engine).memory_tokens

    def streams(self, engine: str) -> int:
        """Return the streams at ``engine``."""
        return self.load(engine).streams

    def prefill_backlog(self, engine: str) -> int:
        """Return the prompt tokens that ``engine`` has yet to read."""
        return self.load(engine).prefill_tokens

    def backlog_s(self, engine: str) -> float:
        """Return how long ``engine`` needs to read what waits there, in seconds."""
        return self.prefill_backlog(engine) / self.pace.read_rate(engine)

    def _new_key(self) -> int:
        self._next_key += 1
        return self._next_key


def _remove(table: dict[str, dict[int, Demand]], engine: str, key: int) -> None:
    """Take one demand out, and the engine's row with its last one."""
    row = table[engine]
    del row[key]
    if not row:
        del table[engine]
