"""Exchanges state between routers, compressed and without a table that the receiver already has.

The state source sends every version in full. Another router, which may have a faster link or a
source that responds, sends a table in a twentieth of that size: a slow link transfers it in 0.1 s
instead of 2 s.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from yokedock.base.link_meter import LinkMeter, Traffic
from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.entry_validation import valid_entries
from yokedock.connection.http_get import DOCUMENT_TRANSFER_LIMITS
from yokedock.connection.router_gossip import OtherRouter
from yokedock.connection.router_state import RouterState
from yokedock.connection.short_call import CallLimits, ShortCall, TransferLimits, short_call
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import BackendEntry, StateSnapshot
from yokedock.errors import BadRequest
from yokedock.process.state_follower import CHANGE_BATCHING_S, StateFollower
from yokedock.router_errors import BackendResponseError, BackendUnreachable
from yokedock.version.route_table import RouteTable
from yokedock.version.table_validation import table_problem

_log = logger("exchange")

STATE_PATH = "/state"
VERSION_PARAMETER = "version"
CONNECT_TIMEOUT_S = 0.5
HEAD_TIMEOUT_S = 1.0
"""The round trip between zones takes 3 ms; a slow, busy core responds within a few hundred ms."""
FIRST_FETCH_LIMIT_S = 2.0
"""Time limit for the complete response of the first router that is asked. The limit doubles with
each further one: a router with a slow link is abandoned soon, while a router whose own link is slow
gets a response eventually."""
MIN_SOURCE_WAIT_S = CHANGE_BATCHING_S
MAX_SOURCE_WAIT_S = CHANGE_BATCHING_S + 0.1
"""How long a router that is behind waits for its own source before it asks another router: the
source reaches all routers within the interval in which they batch changes. The random spread keeps
the routers of a fleet from asking simultaneously."""
RETRY_S = 0.1
"""Delay before another router is asked."""
OK = 200
MAX_DIGITS = 18
"""Maximum length of a version number: versions are below 2**63."""
MAX_TABLE_BYTES = 16_777_216
"""Maximum size of a decompressed table, many times that of the largest known one."""
COMPRESSION_LEVEL = 1
"""Fastest level of zlib: compression blocks the event loop, and higher levels save little."""


class PackedState(msgspec.Struct, array_like=True):
    """A router's response to another one that requests its state."""

    position: int
    backends: dict[str, BackendEntry]
    packed_table: bytes = b""
    """The route table in MessagePack, compressed by zlib; empty if the requester has it."""
    era: int = 0
    """Era of the source at ``position``; 0 from a router that does not send eras."""


class StateMark(msgspec.Struct, frozen=True):
    """Table version and source position that a state has reached."""

    version: int
    position: SourcePosition

    def is_reached_by(self, other: StateMark) -> bool:
        """Return whether ``other`` is at least as new in both."""
        return other.version >= self.version and other.position >= self.position


class StateExchange:
    """Serves this router's state to other routers, and fetches theirs if it is newer."""

    def __init__(
        self,
        follower: StateFollower,
        port: int,
        alive: Callable[[], list[OtherRouter]],
        link: LinkMeter | None = None,
    ) -> None:
        """``alive`` returns the live routers, which all listen on ``port``."""
        self._follower = follower
        self._port = port
        self._alive = alive
        self._pool = BackendPool(link, Traffic.ROUTERS)
        self._random = new_random()
        self._packed = (0, b"")
        """Version and compressed table of the last response that contained a table."""
        self._task: asyncio.Task[None] | None = None

    # --- Serving ---

    def answer(self, query: str) -> bytes:
        """Return the state for a router's request with ``query``; raises ``BadRequest``."""
        asked = parse_qs(query).get(VERSION_PARAMETER, ["0"])[0]
        if not asked.isdecimal() or len(asked) > MAX_DIGITS:
            raise BadRequest(
                f"{VERSION_PARAMETER} is not a valid version; send a non-negative integer"
            )
        known = self._follower.snapshot()
        packed = b""
        if known.table is not None and known.table.version > int(asked):
            packed = self._pack(known.table)
        position = known.position
        state = PackedState(position.revision, known.backends, packed, position.era)
        return msgspec.msgpack.encode(state)

    def _pack(self, table: RouteTable) -> bytes:
        if self._packed[0] != table.version:
            self._packed = (
                table.version,
                zlib.compress(msgspec.msgpack.encode(table), COMPRESSION_LEVEL),
            )
        return self._packed[1]

    def behind_count(self) -> int:
        """Return how many live routers use an older version of the table than this one."""
        states = [other.state for other in self._alive() if other.state is not None]
        return sum(state.table_version < self._follower.version for state in states)

    # --- Fetching ---

    def on_router_state(self, state: RouterState) -> None:
        """Start to catch up if another router's ``state`` is newer, unless already in progress."""
        if self._task is None and not _mark_of(state).is_reached_by(self._mark()):
            self._task = asyncio.create_task(self._catch_up())
            self._task.add_done_callback(self._on_task_done)

    def stop(self) -> None:
        """Stop fetching."""
        if self._task is not None:
            self._task.cancel()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._task = None
        if not task.cancelled() and task.exception() is not None:
            _log.error("state exchange ended with an error", error=repr(task.exception()))

    def _mark(self) -> StateMark:
        return StateMark(self._follower.version, self._follower.position)

    def _routers_ahead_of(self, mark: StateMark) -> list[OtherRouter]:
        """Return the live routers whose state is newer than ``mark``."""
        return [
            other
            for other in self._alive()
            if other.state is not None and not _mark_of(other.state).is_reached_by(mark)
        ]

    async def _catch_up(self) -> None:
        """Fetch from routers that are ahead until this router's state advances."""
        seen = self._mark()
        if self._follower.is_known:
            await asyncio.sleep(self._random.uniform(MIN_SOURCE_WAIT_S, MAX_SOURCE_WAIT_S))
        asked: set[str] = set()
        limit_s = FIRST_FETCH_LIMIT_S
        while seen == self._mark() and (ahead := self._routers_ahead_of(seen)):
            fresh = [other for other in ahead if other.address not in asked]
            chosen = self._random.choice(fresh or ahead)
            asked.add(chosen.address)
            await self._fetch_from(chosen.address, limit_s)
            limit_s = min(2 * limit_s, DOCUMENT_TRANSFER_LIMITS.max_duration_s)
            # Also after a response, which may be older than the state announced by datagram.
            await asyncio.sleep(RETRY_S)

    async def _fetch_from(self, address: str, limit_s: float) -> None:
        """Adopt the state of another router if it can be fetched within ``limit_s``."""
        target = f"{STATE_PATH}?{VERSION_PARAMETER}={self._follower.version}"
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
                raise BackendResponseError(f"{peer} responded with status {answer.status}")
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
    """Decode the state sent by a router, without invalid entries.

    Raises ``MsgspecError`` or ``zlib.error``.
    """
    try:
        return _unpack(body)
    except RecursionError:
        raise msgspec.DecodeError("the state is nested too deeply") from None


def _unpack(body: bytes) -> StateSnapshot:
    packed = msgspec.msgpack.decode(body, type=PackedState)
    table = None
    if packed.packed_table:
        decompressor = zlib.decompressobj()
        encoded = decompressor.decompress(packed.packed_table, MAX_TABLE_BYTES)
        if decompressor.unconsumed_tail:
            raise zlib.error(f"the decompressed table exceeds {MAX_TABLE_BYTES} bytes")
        table = msgspec.msgpack.decode(encoded, type=RouteTable)
        problem = table_problem(table)
        if problem is not None:
            raise msgspec.ValidationError(problem)
    backends = {entry.instance: entry for entry in valid_entries(packed.backends.values())}
    return StateSnapshot(SourcePosition(packed.era, packed.position), table, backends)
