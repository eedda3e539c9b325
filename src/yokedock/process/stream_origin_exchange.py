"""Keeps the versions that began streams at several processes, so that they outlive a router.

Each record has ``REPLICAS`` besides the router that serves the stream. They are sent just before
the first event goes to the caller. Where origin stores run beside the engines, most replicas are
there, as all routers may be lost at once. The others are routers, chosen by rendezvous hashing
among the live ones. A router without a record asks all processes that may have it. When a router
starts, the others send it the records of which it is a replica.

Where nobody has a record, the only version that was listed while the stream may have begun is the
one that began it. A router can only say so of a list that has reached a position of the source from
after the question: otherwise engines may have joined of which it has not heard.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any
from urllib.parse import parse_qs, quote

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.decoding import DECODING_ERRORS
from yokedock.base.link_meter import LinkMeter, Traffic
from yokedock.base.logs import logger
from yokedock.base.ordered_set import OrderedSet
from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.router_gossip import OtherRouter, RouterGossip
from yokedock.connection.short_call import CallLimits, ShortCall, short_call
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import BackendEntry
from yokedock.errors import BadRequest
from yokedock.process.list_confirmation import ListConfirmation
from yokedock.process.origin_store_client import OriginStores
from yokedock.request.origin_store_placement import OriginStorePlacement
from yokedock.request.software_version import UNKNOWN_VERSION
from yokedock.request.stream_origins import (
    MS_PER_SECOND,
    OriginDirectory,
    OriginQuestion,
    StreamOrigin,
    StreamOrigins,
)
from yokedock.request.version_history import VersionHistory
from yokedock.router_errors import BackendResponseError, BackendUnreachable
from yokedock.version.homes import rendezvous_order

_log = logger("versions")

ORIGIN_PATH = "/stream-origin"
REPLICAS = 3
"""Processes that hold a record besides the router that serves the stream."""
MAX_ASKED = 6
"""Routers that are asked for a record: more than the replicas, as some may have joined since."""
MAX_PER_DATAGRAM = 40
"""Records in one datagram: 900 bytes, so that it fits into one packet."""
RECORDS_PER_STEP = 20
"""Records compared with a started router before other work gets its turn."""
ANSWER_LIMITS = CallLimits(connect_s=0.1, response_s=0.2)
STARTUP_S = 0.5
"""A router that started less than this ago may not have heard of the others yet."""
STARTUP_RETRY_S = 0.05
MAX_SEARCH_S = 0.4
"""Time after which a question is not asked again: the longest interval between gossip datagrams, in
which a live router is heard that has sent nothing in response to the start of this one."""
OK = 200
MAX_DIGITS = 20
"""Maximum length of a number of 64 bits."""


class OriginReport(msgspec.Struct, array_like=True, frozen=True):
    """What one router knows about a stream; None stands for unknown."""

    version: int | None = None
    """The recorded version."""
    sole_version: int | None = None
    """The only version of its service that was listed since the stream may have begun."""
    position: SourcePosition = SourcePosition()
    """The position of the source up to which ``sole_version`` holds."""
    has_several: bool = False
    """Whether several versions were listed since the stream may have begun."""


class StreamOriginExchange(OriginDirectory):
    """The records of this router, and access to those of the others."""

    def __init__(
        self,
        gossip: RouterGossip,
        port: int,
        history: VersionHistory,
        stores: OriginStores | None = None,
        link: LinkMeter | None = None,
        confirmation: ListConfirmation | None = None,
        position: Callable[[], SourcePosition] = SourcePosition,
    ) -> None:
        """All routers listen on ``port``; ``stores`` is None where no origin stores run.

        ``position`` returns the position of the list that ``history`` has observed. Without
        ``confirmation``, nothing is concluded from the list.
        """
        self._confirmation = confirmation
        self._position = position
        self._stores = stores
        self._gossip = gossip
        self._port = port
        self._history = history
        self._origins = StreamOrigins()
        self._pool = BackendPool(link, Traffic.ROUTERS)
        self._started_s = boot_time_s()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(tuple[StreamOrigin, ...])
        self._tasks: OrderedSet[asyncio.Task[None]] = OrderedSet()

    # --- Replication ---

    def record(self, stream: int, version: int, ttl_s: float) -> None:
        """Record the version that begins or continues a stream, here and at the replicas."""
        origin = StreamOrigin(stream, version, round(ttl_s * MS_PER_SECOND))
        self._origins.record(origin)
        in_stores = 0 if self._stores is None else self._stores.record(origin)
        for address in self._order(stream)[: REPLICAS - in_stores]:
            self._send(address, (origin,))

    def receive(self, data: bytes, address: str) -> None:
        """Store the records that another router has sent."""
        try:
            origins = self._decoder.decode(data)
        except DECODING_ERRORS as error:
            _log.warning("stream origins not understood", address=address, reason=str(error))
            return
        for origin in origins:
            self._origins.record(origin)

    def replicate_to(self, other: OtherRouter) -> None:
        """Send a router that has started the records of which it is a replica."""
        origins = self._origins.unexpired()
        if origins:
            self._start(self._replicate(other.address, origins))

    def use_backends(self, entries: Iterable[BackendEntry]) -> None:
        """Keep records at the origin stores that the current list of backends implies."""
        if self._stores is None:
            return
        previous = self._stores.placement
        self._stores.placement = OriginStorePlacement(entries)
        if self._stores.placement.changed_versions(previous):
            self._start(self._stores.move_records(previous, self._origins.unexpired()))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run ``work`` as a task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replicate(self, address: str, origins: list[StreamOrigin]) -> None:
        """Send the records in portions, so that other work gets its turn."""
        for first in range(0, len(origins), RECORDS_PER_STEP):
            portion = origins[first : first + RECORDS_PER_STEP]
            wanted = [o for o in portion if address in self._order(o.stream, address)[:REPLICAS]]
            self._send(address, wanted)
            await asyncio.sleep(0)

    def _send(self, address: str, origins: Iterable[StreamOrigin]) -> None:
        records = tuple(origins)
        for first in range(0, len(records), MAX_PER_DATAGRAM):
            data = self._encoder.encode(records[first : first + MAX_PER_DATAGRAM])
            self._gossip.send_stream_origins(address, data)

    def _order(self, stream: int, *started: str) -> list[str]:
        """Return the live routers in the order in which they are replicas of a stream."""
        addresses = {other.address for other in self._gossip.alive()} | set(started)
        return rendezvous_order(str(stream), addresses)

    # --- Lookup ---

    async def find(self, question: OriginQuestion) -> int | None:
        """Return the version that began a stream, None if no reachable process knows it.

        Returns ``UNKNOWN_VERSION`` if what is known contradicts itself.
        """
        asked_s = boot_time_s()
        source = "record"
        while (version := _recorded([self._report(question)])) is None:
            has_heard_all = self._gossip.has_heard_all()
            reports, stored = await asyncio.gather(
                self._ask_others(question), self._ask_stores(question)
            )
            version = _recorded([*reports, *stored])
            if version is not None:
                break
            is_complete = has_heard_all and len(reports) == self._gossip.fleet_size() - 1
            if is_complete or not self._may_learn_more(asked_s):
                source = "list"
                version = await self._from_list(question, asked_s, reports)
                break
            await asyncio.sleep(STARTUP_RETRY_S)
        _log.info(
            "stream origin sought",
            stream=question.stream,
            version=version,
            source=source,
            position=self._position().revision,
            took_ms=round((boot_time_s() - asked_s) * MS_PER_SECOND),
        )
        return version

    async def _from_list(
        self, question: OriginQuestion, asked_s: float, reports: list[OriginReport]
    ) -> int | None:
        """Return the version that follows from a current list, None if none does.

        Returns ``UNKNOWN_VERSION`` if several were listed: what engines have cached tells nothing
        then, as the prompt may have been processed at each of them. The stores are asked again if
        the list has changed: it shows where they are.
        """
        if question.service is None or self._confirmation is None:
            return None
        before = self._position()
        position = await self._confirmation.reached_since(asked_s)
        if position is None:
            return None
        if self._position() > before:
            version = _recorded(await self._ask_stores(question))
            if version is not None:
                return version
        known = [self._report(question), *reports]
        if any(report.has_several for report in known):
            return UNKNOWN_VERSION
        sole = {
            report.sole_version
            for report in known
            if report.sole_version is not None and report.position >= position
        }
        if len(sole) != 1:
            return None
        return sole.pop() if self._history.listed(question.service) <= sole else None

    async def is_list_current_since(self, asked_s: float) -> bool:
        """Return whether the list of backends is known to be of a time after ``asked_s``."""
        if self._confirmation is None:
            return False
        return await self._confirmation.reached_since(asked_s) is not None

    def _may_learn_more(self, asked_s: float) -> bool:
        """Return whether this router may soon hear of others, and there is time to ask again."""
        next_s = boot_time_s() + STARTUP_RETRY_S
        return next_s < min(self._started_s + STARTUP_S, asked_s + MAX_SEARCH_S)

    def _report(self, question: OriginQuestion) -> OriginReport:
        """Return what this router knows."""
        recorded = None if question.stream is None else self._origins.version_of(question.stream)
        if question.service is None:
            return OriginReport(recorded, None, self._position())
        asked = question.service, question.max_age_s
        sole = self._history.sole_version(*asked)
        several = self._history.has_listed_several(*asked)
        return OriginReport(recorded, sole, self._position(), several)

    async def _ask_others(self, question: OriginQuestion) -> list[OriginReport]:
        """Return the reports of the routers that may know a stream."""
        addresses = self._order(question.stream or 0)[:MAX_ASKED]
        reports = await asyncio.gather(*(self._ask(address, question) for address in addresses))
        return [report for report in reports if report is not None]

    async def _ask_stores(self, question: OriginQuestion) -> list[OriginReport]:
        """Return a report for each version that an origin store has recorded."""
        if self._stores is None or question.stream is None:
            return []
        return [OriginReport(version) for version in await self._stores.find(question.stream)]

    async def _ask(self, address: str, question: OriginQuestion) -> OriginReport | None:
        """Return the report of one router, None if it gives none."""
        max_age_ms = round(question.max_age_s * MS_PER_SECOND)
        target = f"{ORIGIN_PATH}?age_ms={max_age_ms}"
        if question.stream is not None:
            target += f"&stream={question.stream}"
        if question.service is not None:
            target += f"&service={quote(question.service, safe='')}"
        peer = f"{address}:{self._port}"
        try:
            call = ShortCall(b"GET", target.encode())
            answer = await short_call(self._pool, peer, call, ANSWER_LIMITS)
            if answer.status != OK:
                raise BackendResponseError(f"{peer} responded with status {answer.status}")
            return msgspec.msgpack.decode(answer.body, type=OriginReport)
        except (BackendUnreachable, BackendResponseError, *DECODING_ERRORS) as error:
            _log.info("no stream origin from router", router=address, reason=str(error))
            return None

    def answer(self, query: str) -> bytes:
        """Return the report for another router's question; raises ``BadRequest``."""
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        age_ms, stream = fields.get("age_ms", ""), fields.get("stream", "0")
        if not _is_number(age_ms) or not _is_number(stream):
            raise BadRequest("age_ms and stream must be non-negative integers of 64 bits")
        number = int(stream) if "stream" in fields else None
        question = OriginQuestion(number, fields.get("service"), int(age_ms) / MS_PER_SECOND)
        return self._encoder.encode(self._report(question))

    # --- Maintenance ---

    def drop_expired(self) -> None:
        """Remove what has expired."""
        self._origins.drop_expired()
        self._history.drop_expired()
        self._pool.evict_expired()

    def size(self) -> int:
        """Return the number of records."""
        return self._origins.size()


def _recorded(reports: list[OriginReport]) -> int | None:
    """Return the recorded version, None without a record, ``UNKNOWN_VERSION`` if they differ."""
    recorded = {report.version for report in reports if report.version is not None}
    if not recorded:
        return None
    return recorded.pop() if len(recorded) == 1 else UNKNOWN_VERSION


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
