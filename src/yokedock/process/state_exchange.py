"""Routers take over newer state from each other: packed, and only what the asker does not know.

The state's source sends every version whole. Another router sends a table in a twentieth of that,
from whoever has a wider link or a source that answers: a narrow link carries it in a tenth of a
second instead of two.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.http_get import DOCUMENT_TRANSFER_LIMITS
from yokedock.connection.router_gossip import OtherRouter
from yokedock.connection.router_state import RouterState
from yokedock.connection.short_call import CallLimits, ShortCall, TransferLimits, short_call
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import BackendEntry, StateSnapshot
from yokedock.errors import BadRequest
from yokedock.process.state_follower import GATHER_S, StateFollower
from yokedock.router_errors import BackendResponseError, BackendUnreachable
from yokedock.version.route_table import RouteTable

_log = logger("exchange")

STATE_PATH = "/state"
VERSION_FIELD = "version"
CONNECT_TIMEOUT_S = 0.5
HEAD_TIMEOUT_S = 1.0
"""One round trip between zones is 3 ms; a busy weak core answers within some hundred ms."""
FIRST_LIMIT_S = 2.0
"""Time that the first router asked has for its whole answer. Each further one has twice that of the
one before: a router that hardly flows is left soon, and an own link that hardly flows gets an
answer in the end."""
SHORTEST_WAIT_S = GATHER_S
LONGEST_WAIT_S = GATHER_S + 0.1
"""A router that is behind waits so long for its own source, which tells all routers within the time
in which they gather changes. The spread keeps a fleet from asking at the same moment."""
RETRY_S = 0.1
"""Pause before another router is asked."""
OK = 200
MAX_DIGITS = 18
"""Versions are below 2**63."""
MOST_TABLE_BYTES = 16_777_216
"""Bound of an unpacked table, many times the largest that is known."""
FASTEST = 1
"""Level of zlib: the event loop stands still meanwhile, and the others save hardly a byte."""


class PackedState(msgspec.Struct, array_like=True):
    """What a router answers another one that asks for its state."""

    position: int
    backends: dict[str, BackendEntry]
    packed_table: bytes = b""
    """The route table in MessagePack, packed by zlib; empty if the asker knows it."""
    era: int = 0
    """Of the source, at ``position``; 0 from a router that sends no era."""


class StateMark(msgspec.Struct, frozen=True):
    """How far a state goes."""

    version: int
    position: SourcePosition

    def is_reached_by(self, other: StateMark) -> bool:
        """Return whether ``other`` goes at least as far."""
        return other.version >= self.version and other.position >= self.position


class StateExchange:
    """Gives other routers this one's state and fetches theirs when they are ahead."""

    def __init__(
        self, follower: StateFollower, port: int, alive: Callable[[], list[OtherRouter]]
    ) -> None:
        """``alive`` returns the routers heard a moment ago; all listen on ``port``."""
        self._follower = follower
        self._port = port
        self._alive = alive
        self._pool = BackendPool()
        self._random = new_random()
        self._packed = (0, b"")
        """The newest version that was asked for, and its packed table."""
        self._task: asyncio.Task[None] | None = None

    # --- Giving ---

    def answer(self, query: str) -> bytes:
        """Return the state for a router that asked with ``query``; raises ``BadRequest``."""
        asked = parse_qs(query).get(VERSION_FIELD, ["0"])[0]
        if not asked.isdecimal() or len(asked) > MAX_DIGITS:
            raise BadRequest(f"{VERSION_FIELD} is no version; send a whole number")
        known = self._follower.snapshot()
        packed = b""
        if known.table is not None and known.table.version > int(asked):
            packed = self._pack(known.table)
        position = known.position
        state = PackedState(position.revision, known.backends, packed, position.era)
        return msgspec.msgpack.encode(state)

    def _pack(self, table: RouteTable) -> bytes:
        if self._packed[0] != table.version:
            self._packed = table.version, zlib.compress(msgspec.msgpack.encode(table), FASTEST)
        return self._packed[1]

    def behind(self) -> int:
        """Return how many routers heard a moment ago serve by an older version than this one."""
        states = [other.state for other in self._alive() if other.state is not None]
        return sum(state.table_version < self._follower.version for state in states)

    # --- Fetching ---

    def heard(self, state: RouterState) -> None:
        """Catch up with the routers that are ahead if this one is, unless that is under way."""
        if self._task is None and not _mark_of(state).is_reached_by(self._mark()):
            self._task = asyncio.create_task(self._catch_up())
            self._task.add_done_callback(self._done)

    def stop(self) -> None:
        """Fetch no more."""
        if self._task is not None:
            self._task.cancel()

    def _done(self, task: asyncio.Task[None]) -> None:
        self._task = None
        if not task.cancelled() and task.exception() is not None:
            _log.error("task ended", error=repr(task.exception()))

    def _mark(self) -> StateMark:
        return StateMark(self._follower.version, self._follower.position)

    def _ahead_of(self, mark: StateMark) -> list[OtherRouter]:
        """Return the routers that know something that a state up to ``mark`` lacks."""
        return [
            other
            for other in self._alive()
            if other.state is not None and not _mark_of(other.state).is_reached_by(mark)
        ]

    async def _catch_up(self) -> None:
        """Fetch from routers that are ahead of what is known now, until it is reached."""
        seen = self._mark()
        if self._follower.is_known:
            await asyncio.sleep(self._random.uniform(SHORTEST_WAIT_S, LONGEST_WAIT_S))
        asked: set[str] = set()
        limit_s = FIRST_LIMIT_S
        while seen == self._mark() and (ahead := self._ahead_of(seen)):
            fresh = [other for other in ahead if other.address not in asked]
            chosen = self._random.choice(fresh or ahead)
            asked.add(chosen.address)
            await self._fetch_from(chosen.address, limit_s)
            limit_s = min(2 * limit_s, DOCUMENT_TRANSFER_LIMITS.max_duration_s)
            # Also after an answer: it may hold less than the other router's datagrams told.
            await asyncio.sleep(RETRY_S)

    async def _fetch_from(self, address: str, limit_s: float) -> None:
        """Take over the state of another router, if it can be had within ``limit_s``."""
        target = f"{STATE_PATH}?{VERSION_FIELD}={self._follower.version}"
        peer = f"{address}:{self._port}"
        limits = CallLimits(
            CONNECT_TIMEOUT_S,
            HEAD_TIMEOUT_S,
            max_idle_s=0.0,
            progress=TransferLimits(DOCUMENT_TRANSFER_LIMITS.stall_s, limit_s),
        )
        try:
            answer = await short_call(self._pool, peer, ShortCall(b"GET", target.encode()), limits)
            if answer.status != OK:
                raise BackendResponseError(f"{peer} answered {answer.status}")
            snapshot = unpack(answer.body)
        except (
            BackendUnreachable,
            BackendResponseError,
            msgspec.MsgspecError,
            zlib.error,
        ) as error:
            _log.info("state not taken over", router=address, reason=str(error))
            return
        finally:
            self._pool.forget(peer)
        self._follower.adopt(snapshot)
        _log.info(
            "state taken over",
            router=address,
            era=snapshot.position.era,
            position=snapshot.position.revision,
            version=self._follower.version,
            bytes=len(answer.body),
        )


def _mark_of(state: RouterState) -> StateMark:
    return StateMark(state.table_version, state.source_position())


def unpack(body: bytes) -> StateSnapshot:
    """Return the state that another router gave; raises ``MsgspecError`` or ``zlib.error``."""
    packed = msgspec.msgpack.decode(body, type=PackedState)
    table = None
    if packed.packed_table:
        unpacker = zlib.decompressobj()
        encoded = unpacker.decompress(packed.packed_table, MOST_TABLE_BYTES)
        if unpacker.unconsumed_tail:
            raise zlib.error(f"the table has over {MOST_TABLE_BYTES} bytes unpacked")
        table = msgspec.msgpack.decode(encoded, type=RouteTable)
    return StateSnapshot(SourcePosition(packed.era, packed.position), table, packed.backends)
