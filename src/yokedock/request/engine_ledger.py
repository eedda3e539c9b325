"""Who has promised what of each model engine's memory and reading time, over all routers.

Each router keeps its own streams here and hears the sums of the others; together they are what an
engine will be asked for, known sooner than the engine's own reports.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from yokedock.connection.router_state import EngineShare
from yokedock.request.engine_pace import EnginePace
from yokedock.request.mechanisms import ALL_ON, Mechanisms
from yokedock.request.stream_turnover import StreamTurnover

GROWTH_SHARE = 0.75
"""Share of the output still expected that is counted: not all streams are longest at once."""
LONGER_THAN_EXPECTED = 0.35
"""A stream beyond its expected length is expected to go on for this share of what it has made."""
REMOTE_LIFETIME_S = 2.0
"""What a router that fell silent had promised is dropped after this time."""


class StreamDemand(msgspec.Struct):
    """Memory that one stream takes and will take, in tokens."""

    engine: str
    prompt_tokens: int
    expected_output: float
    most_output: int
    made: int = 0

    def memory_tokens(self) -> int:
        """Return the memory to set aside for the stream."""
        to_come = self.expected_output - self.made
        if to_come <= 0:
            to_come = min(self.most_output - self.made, LONGER_THAN_EXPECTED * self.made)
        return round(self.prompt_tokens + self.made + GROWTH_SHARE * max(0.0, to_come))


class PrefillDemand(msgspec.Struct):
    """One prompt that is being read."""

    engine: str
    tokens: int
    ahead_tokens: int
    started_s: float


class EngineLedger:
    """Promises of this router and, as heard last, of the others."""

    def __init__(
        self, clock: Callable[[], float] = time.monotonic, mechanisms: Mechanisms = ALL_ON
    ) -> None:
        """Start with nothing promised."""
        self._clock = clock
        self._counts_others = mechanisms.promises_of_others
        self._demands: dict[int, StreamDemand] = {}
        self._prefills: dict[int, PrefillDemand] = {}
        self._remote: dict[str, tuple[float, dict[str, EngineShare]]] = {}
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
        self._opened_s[key] = self._clock()
        self.on_change()
        return key

    def close_stream(self, key: int) -> None:
        """Take the promise back."""
        if self._demands.pop(key, None) is not None:
            self.turnover.note(self._clock() - self._opened_s.pop(key))
        self.on_change()
        self.on_room()

    def open_prefill(self, engine: str, tokens: int) -> int:
        """Note that a prompt is being read; return the key to close it with."""
        key = self._new_key()
        ahead = self.prefill_backlog(engine)
        self._prefills[key] = PrefillDemand(engine, tokens, ahead, self._clock())
        self.on_change()
        return key

    def close_prefill(self, key: int, is_done: bool) -> None:
        """Note that the prompt is read, or was given up; learn the pace from what was read."""
        demand = self._prefills.pop(key, None)
        if demand is None:
            return
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
        """Return how many promises are kept, those of other routers by engine."""
        own = len(self._demands) + len(self._prefills) + len(self._opened_s)
        return own + sum(len(shares) for _, shares in self._remote.values())

    # --- What others promised ---

    def heard(self, router: str, shares: dict[str, EngineShare]) -> None:
        """Take over what another router has at each engine."""
        self._remote[router] = (self._clock(), shares)
        for engine, share in shares.items():
            self.pace.heard(engine, share.pause_ms, share.read_tokens_per_ms)
        self.on_room()

    def forget(self, router: str) -> None:
        """Drop what a router that left had promised."""
        if self._remote.pop(router, None) is not None:
            self.on_room()

    # --- Sums ---

    def memory_tokens(self, engine: str) -> int:
        """Return the memory promised at ``engine`` by all routers."""
        own = sum(d.memory_tokens() for d in self._demands.values() if d.engine == engine)
        return own + sum(share.memory_tokens for share in self._remote_shares(engine))

    def streams(self, engine: str) -> int:
        """Return the streams at ``engine``."""
        own = sum(1 for demand in self._demands.values() if demand.engine == engine)
        return own + sum(share.streams for share in self._remote_shares(engine))

    def prefill_backlog(self, engine: str) -> int:
        """Return the prompt tokens that ``engine`` has yet to read."""
        own = sum(p.tokens for p in self._prefills.values() if p.engine == engine)
        return own + sum(share.prefill_tokens for share in self._remote_shares(engine))

    def backlog_s(self, engine: str) -> float:
        """Return how long ``engine`` needs to read what waits there, in seconds."""
        return self.prefill_backlog(engine) / self.pace.read_rate(engine)

    def _remote_shares(self, engine: str) -> list[EngineShare]:
        if not self._counts_others:
            return []
        oldest_s = self._clock() - REMOTE_LIFETIME_S
        return [
            shares[engine]
            for heard_s, shares in self._remote.values()
            if heard_s >= oldest_s and engine in shares
        ]

    def _new_key(self) -> int:
        self._next_key += 1
        return self._next_key
