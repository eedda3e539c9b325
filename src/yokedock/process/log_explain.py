"""Explains from routers' logs why requests were late or not answered.

Reads the structured log lines of one or more routers and reports, per time window and route, how
many requests were answered in time, late or not at all, and why. Any text before the JSON object on
a line, such as a log collector's own columns, is ignored.
"""

from __future__ import annotations

import collections
import datetime
import enum
import statistics
from collections.abc import Iterable

import msgspec

from yokedock.base.decoding import DECODING_ERRORS
from yokedock.process.tables import format_table
from yokedock.request.request_outcome import ANSWERED, CALLER_GONE, CUT_OFF, ENDED, FAILED

SERVER_ERROR = 500
MS_PER_SECOND = 1000
REFUSAL_CODES = frozenset({"no_decode_room", "no_backend", "not_ready"})
"""Error codes of requests that the router refused."""
LOST_ANSWER_CODES = frozenset(
    {"backend_answer_lost", "backend_broken", "backend_closed", "backend_silent"}
)
"""Error codes of requests whose backend failed before the answer was complete."""


class Cause(enum.StrEnum):
    """Why a request was late or not answered."""

    DECODE_CAPACITY = "waited for decode room"
    PREFILL = "queue and work of the prefill engine"
    FIRST_STEP = "slow first step"
    PAUSE = "pause in the stream"
    BROKEN = "engine broken"
    ENGINE_ERROR = "engine's own error"
    REFUSED = "refused"
    CALLER_GONE = "caller gone"
    ROUTER_GONE = "router gone"
    ROUTER_ERROR = "error of the router"
    DEADLINE = "deadline"
    SLOW_BACKEND = "slow backend"
    OTHER = "other"


class RequestLine(msgspec.Struct):
    """The log line at the end of a request."""

    request: str
    route: str
    outcome: str
    status: int | None = None
    runs: int = 0
    held_ms: int = 0
    target_ms: int = 0
    gap_target_ms: int = 0


class StreamLine(msgspec.Struct):
    """The log line at the end of a stream; times are relative to the request's arrival."""

    request: str
    engines: list[str] = []
    placed_ms: int | None = None
    read_ms: int | None = None
    first_ms: int | None = None
    gap_ms: int = 0


class PlacedLine(msgspec.Struct):
    """The log line at the placement of a stream.

    It is not followed by a line at the end of the request if the router ended in between.
    """

    request: str
    route: str
    engines: list[str] = []


class CapacityWaitLine(msgspec.Struct):
    """The log line at the end of a wait for decode capacity."""

    request: str
    predicted_ms: int
    waited_ms: int


class LogLine(msgspec.Struct):
    """The fields that every log line has."""

    time: datetime.datetime
    channel: str
    event: str


class ExplainedRequest(msgspec.Struct, frozen=True):
    """One request and its diagnosis. ``cause`` is None if it was answered in time."""

    arrived_s: float
    route: str
    is_served: bool
    cause: Cause | None


class RequestLogs:
    """The log lines read so far, by request."""

    def __init__(self) -> None:
        """Start empty."""
        self.finished: dict[str, tuple[float, RequestLine]] = {}
        self.streams: dict[str, StreamLine] = {}
        self.placements: dict[str, tuple[float, PlacedLine]] = {}
        self.capacity_waits: dict[str, CapacityWaitLine] = {}
        self.refused_waits: dict[str, CapacityWaitLine] = {}
        self.skipped = 0
        """Number of lines that are not log lines of a router."""

    def read(self, lines: Iterable[str]) -> None:
        """Read lines; those that are not log lines of a router are counted and skipped."""
        for line in lines:
            start = line.find('{"time"')
            if start < 0:
                self.skipped += bool(line.strip())
                continue
            try:
                self._parse_line(line[start:].encode())
            except DECODING_ERRORS:
                self.skipped += 1

    def explained(self) -> list[ExplainedRequest]:
        """Return all requests in order of arrival."""
        found = [self._explain(at_s, end) for at_s, end in self.finished.values()]
        for request, (at_s, placed) in self.placements.items():
            if request not in self.finished:
                found.append(ExplainedRequest(at_s, placed.route, False, Cause.ROUTER_GONE))
        return sorted(found, key=lambda entry: entry.arrived_s)

    def _parse_line(self, data: bytes) -> None:
        line = msgspec.json.decode(data, type=LogLine)
        at_s = line.time.timestamp()
        if line.event == "request":
            end = msgspec.json.decode(data, type=RequestLine)
            if end.request:
                self.finished[end.request] = (at_s - end.held_ms / MS_PER_SECOND, end)
        elif line.event == "stream":
            stream = msgspec.json.decode(data, type=StreamLine)
            self.streams[stream.request] = stream
        elif line.event == "placed":
            placed = msgspec.json.decode(data, type=PlacedLine)
            self.placements.setdefault(placed.request, (at_s, placed))
        elif line.event in ("room", "no room"):
            wait = msgspec.json.decode(data, type=CapacityWaitLine)
            waits = self.capacity_waits if line.event == "room" else self.refused_waits
            waits[wait.request] = wait

    def _explain(self, arrived_s: float, end: RequestLine) -> ExplainedRequest:
        stream = self.streams.get(end.request)
        is_served = end.outcome == ANSWERED and end.status is not None
        is_served = is_served and (end.status or 0) < SERVER_ERROR
        cause = _cause_late(end, stream) if is_served else _cause_unserved(end, stream)
        return ExplainedRequest(arrived_s, end.route, is_served, cause)


def _cause_unserved(end: RequestLine, stream: StreamLine | None) -> Cause:
    if end.outcome == CALLER_GONE:
        return Cause.CALLER_GONE
    if end.outcome in (ENDED, CUT_OFF):
        return Cause.ROUTER_GONE
    if end.outcome == FAILED:
        return Cause.ROUTER_ERROR
    if end.outcome in REFUSAL_CODES:
        return Cause.REFUSED
    if end.outcome == ANSWERED:
        return Cause.ENGINE_ERROR
    if end.outcome in LOST_ANSWER_CODES or (stream is not None and len(stream.engines) > 1):
        return Cause.BROKEN
    return Cause.DEADLINE if end.outcome == "deadline_exceeded" else Cause.OTHER


def _cause_late(end: RequestLine, stream: StreamLine | None) -> Cause | None:
    """Return what took most of the time of a late request, None if it was on time."""
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
        Cause.DECODE_CAPACITY: placed_ms,
        Cause.PREFILL: read_ms - placed_ms,
        Cause.FIRST_STEP: (stream.first_ms or 0) - read_ms,
    }
    return max(parts, key=lambda cause: parts[cause])


def window_table(explained: list[ExplainedRequest], window_s: float) -> str:
    """Return a table of the requests and causes per time window and route."""
    if not explained:
        return "no requests in these logs"
    first_s = explained[0].arrived_s
    groups: dict[tuple[int, str], list[ExplainedRequest]] = collections.defaultdict(list)
    for request in explained:
        groups[int((request.arrived_s - first_s) // window_s), request.route].append(request)
    rows = []
    for (window, route), requests in sorted(groups.items()):
        causes = collections.Counter(r.cause.value for r in requests if r.cause)
        late = sum(r.is_served and r.cause is not None for r in requests)
        unserved = sum(not r.is_served for r in requests)
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


def prediction_text(logs: RequestLogs) -> str:
    """Return how accurately waits for decode capacity were predicted."""
    waits = [
        wait
        for wait in logs.capacity_waits.values()
        if wait.predicted_ms > 0 and wait.waited_ms > 0
    ]
    lines = [f"waits for decode capacity that were served: {len(logs.capacity_waits)}"]
    if waits:
        ratios = sorted(wait.waited_ms / wait.predicted_ms for wait in waits)
        lines.append(
            f"  predicted {statistics.median(w.predicted_ms for w in waits):.0f} ms, waited"
            f" {statistics.median(w.waited_ms for w in waits):.0f} ms (medians)"
        )
        tenth = len(ratios) // 10
        low, middle, high = ratios[tenth], statistics.median(ratios), ratios[-1 - tenth]
        lines.append(
            f"  waited / predicted: {low:.2f} {middle:.2f} {high:.2f} (percentiles 10, 50, 90)"
        )
    refused = [w for w in logs.refused_waits.values() if w.waited_ms < w.predicted_ms]
    ended = len(logs.refused_waits) - len(refused)
    lines.append(f"refused on a prediction: {len(refused)}; waited and never served: {ended}")
    return "\n".join(lines)
