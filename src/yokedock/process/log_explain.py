"""Explains from routers' logs where requests lost their time or their answer.

Reads the structured lines of one or several routers and tells, for each window of time and each
route, how many requests were answered in time, late or not at all, and for what reason. Whatever
stands on a line before its JSON object (a collector's own columns) is passed over.
"""

from __future__ import annotations

import collections
import datetime
import enum
import statistics
from collections.abc import Iterable

import msgspec

from yokedock.process.tables import format_table

SERVER_ERROR = 500
MS_PER_SECOND = 1000
REFUSALS = frozenset({"no_decode_room", "no_backend", "not_ready"})
LOST = frozenset({"backend_answer_lost", "backend_broken", "backend_closed", "backend_silent"})
"""Codes of the router's errors, by what they mean for the caller."""


class Cause(enum.StrEnum):
    """Where a request lost its time or its answer."""

    ROOM = "waited for decode room"
    PREFILL = "queue and work of the prefill engine"
    FIRST_STEP = "slow first step"
    PAUSE = "pause in the stream"
    BROKEN = "engine broken"
    ENGINE_ERROR = "engine's own error"
    REFUSED = "refused"
    CALLER_GONE = "caller gone"
    ROUTER_GONE = "router gone"
    DEADLINE = "deadline"
    SLOW_BACKEND = "slow backend"
    OTHER = "other"


class RequestLine(msgspec.Struct):
    """The line at a request's end."""

    request: str
    route: str
    outcome: str
    status: int | None = None
    runs: int = 0
    held_ms: int = 0
    target_ms: int = 0
    gap_target_ms: int = 0


class StreamLine(msgspec.Struct):
    """The line at a stream's end; times count from the request's arrival."""

    request: str
    engines: list[str] = []
    placed_ms: int | None = None
    read_ms: int | None = None
    first_ms: int | None = None
    gap_ms: int = 0


class PlacedLine(msgspec.Struct):
    """The line at a stream's placement, which a router that dies leaves without an end."""

    request: str
    route: str
    engines: list[str] = []


class RoomLine(msgspec.Struct):
    """The line at the end of a wait for room."""

    request: str
    predicted_ms: int
    waited_ms: int


class LogLine(msgspec.Struct):
    """What every line has."""

    time: datetime.datetime
    channel: str
    event: str


class Explained(msgspec.Struct, frozen=True):
    """One request, explained. ``cause`` is None for what was answered in time."""

    arrived_s: float
    route: str
    is_served: bool
    cause: Cause | None


class LogBook:
    """What the logs say, by request."""

    def __init__(self) -> None:
        """Start with nothing read."""
        self.ends: dict[str, tuple[float, RequestLine]] = {}
        self.streams: dict[str, StreamLine] = {}
        self.placed: dict[str, tuple[float, PlacedLine]] = {}
        self.rooms: dict[str, RoomLine] = {}
        self.refused_rooms: dict[str, RoomLine] = {}
        self.skipped = 0
        """Lines that are no log lines of a router."""

    def read(self, lines: Iterable[str]) -> None:
        """Take in lines; what is none of a router's is counted and passed over."""
        for line in lines:
            start = line.find('{"time"')
            if start < 0:
                self.skipped += bool(line.strip())
                continue
            try:
                self._take(line[start:].encode())
            except msgspec.MsgspecError:
                self.skipped += 1

    def explained(self) -> list[Explained]:
        """Return all requests in the order of their arrival."""
        found = [self._explain(at_s, end) for at_s, end in self.ends.values()]
        for request, (at_s, placed) in self.placed.items():
            if request not in self.ends:
                found.append(Explained(at_s, placed.route, False, Cause.ROUTER_GONE))
        return sorted(found, key=lambda one: one.arrived_s)

    def _take(self, data: bytes) -> None:
        line = msgspec.json.decode(data, type=LogLine)
        at_s = line.time.timestamp()
        if line.event == "request":
            end = msgspec.json.decode(data, type=RequestLine)
            if end.request:
                self.ends[end.request] = (at_s - end.held_ms / MS_PER_SECOND, end)
        elif line.event == "stream":
            stream = msgspec.json.decode(data, type=StreamLine)
            self.streams[stream.request] = stream
        elif line.event == "placed":
            placed = msgspec.json.decode(data, type=PlacedLine)
            self.placed.setdefault(placed.request, (at_s, placed))
        elif line.event in ("room", "no room"):
            room = msgspec.json.decode(data, type=RoomLine)
            book = self.rooms if line.event == "room" else self.refused_rooms
            book[room.request] = room

    def _explain(self, arrived_s: float, end: RequestLine) -> Explained:
        stream = self.streams.get(end.request)
        is_served = end.outcome == "answered" and end.status is not None
        is_served = is_served and (end.status or 0) < SERVER_ERROR
        cause = _cause_late(end, stream) if is_served else _cause_unserved(end, stream)
        return Explained(arrived_s, end.route, is_served, cause)


def _cause_unserved(end: RequestLine, stream: StreamLine | None) -> Cause:
    if end.outcome == "caller gone":
        return Cause.CALLER_GONE
    if end.outcome == "ended":
        return Cause.ROUTER_GONE
    if end.outcome in REFUSALS:
        return Cause.REFUSED
    if end.outcome == "answered":
        return Cause.ENGINE_ERROR
    if end.outcome in LOST or (stream is not None and len(stream.engines) > 1):
        return Cause.BROKEN
    return Cause.DEADLINE if end.outcome == "deadline_exceeded" else Cause.OTHER


def _cause_late(end: RequestLine, stream: StreamLine | None) -> Cause | None:
    """Return what took most of the time of a late request, None if it was in time."""
    if stream is None or stream.first_ms is None:
        is_late = 0 < end.target_ms < end.held_ms
        if not is_late:
            return None
        return Cause.BROKEN if end.runs > 1 else Cause.SLOW_BACKEND
    if 0 < end.target_ms < stream.first_ms:
        return _slowest_part(stream)
    if 0 < end.gap_target_ms < stream.gap_ms:
        return Cause.BROKEN if len(stream.engines) > 1 else Cause.PAUSE
    return None


def _slowest_part(stream: StreamLine) -> Cause:
    if len(stream.engines) > 1:
        return Cause.BROKEN
    placed_ms = stream.placed_ms or 0
    read_ms = stream.read_ms if stream.read_ms is not None else placed_ms
    parts = {
        Cause.ROOM: placed_ms,
        Cause.PREFILL: read_ms - placed_ms,
        Cause.FIRST_STEP: (stream.first_ms or 0) - read_ms,
    }
    return max(parts, key=lambda cause: parts[cause])


def window_table(explained: list[Explained], window_s: float) -> str:
    """Return a table: window, route, asked, in time, late, unserved, and the causes."""
    if not explained:
        return "no request in these logs"
    first_s = explained[0].arrived_s
    groups: dict[tuple[int, str], list[Explained]] = collections.defaultdict(list)
    for one in explained:
        groups[int((one.arrived_s - first_s) // window_s), one.route].append(one)
    rows = []
    for (window, route), requests in sorted(groups.items()):
        causes = collections.Counter(one.cause.value for one in requests if one.cause)
        late = sum(one.is_served and one.cause is not None for one in requests)
        unserved = sum(not one.is_served for one in requests)
        rows.append(
            (
                f"{window * window_s:g}",
                route,
                len(requests),
                len(requests) - late - unserved,
                late,
                unserved,
                ", ".join(f"{cause} {count}" for cause, count in causes.most_common()),
            )
        )
    header = ("from s", "route", "asked", "in time", "late", "unserved", "causes")
    return format_table(header, rows)


def prediction_text(book: LogBook) -> str:
    """Return how well waits for room were predicted."""
    waits = [room for room in book.rooms.values() if room.predicted_ms > 0 and room.waited_ms > 0]
    lines = [f"waits for room that were served: {len(book.rooms)}"]
    if waits:
        ratios = sorted(room.waited_ms / room.predicted_ms for room in waits)
        lines.append(
            f"  predicted {statistics.median(r.predicted_ms for r in waits):.0f} ms, waited"
            f" {statistics.median(r.waited_ms for r in waits):.0f} ms (medians)"
        )
        tenth = len(ratios) // 10
        low, middle, high = ratios[tenth], statistics.median(ratios), ratios[-1 - tenth]
        lines.append(f"  waited / predicted: {low:.2f} {middle:.2f} {high:.2f} (10, 50, 90 in 100)")
    refused = [room for room in book.refused_rooms.values() if room.waited_ms < room.predicted_ms]
    ended = len(book.refused_rooms) - len(refused)
    lines.append(f"refused on a prediction: {len(refused)}; waited and never served: {ended}")
    return "\n".join(lines)
