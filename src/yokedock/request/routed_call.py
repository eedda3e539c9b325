"""State of one routed request, from its arrival to its response."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.resource_budget import Holding
from yokedock.connection.caller_request import CallerRequest
from yokedock.connection.dialect import RequestMetadata
from yokedock.connection.http_heads import ResponseHead
from yokedock.connection.response_writer import ResponseWriter
from yokedock.errors import YokedockError
from yokedock.request.request_digest import part_key, request_digest
from yokedock.request.request_outcome import BackendVisit
from yokedock.request.response_buffers import ResponseBuffer
from yokedock.router_errors import BackendRefused
from yokedock.version.route_table import Route, ServiceSpec

MIN_DEADLINE_MS = 1
MS_PER_SECOND = 1000
CUT_SHORT = "cut_short"
"""Outcome of an exchange that the router ended: the caller disconnected or time ran out."""
NOT_SENT = "not_sent"
"""Outcome of an exchange that only opened a connection, without sending a request."""
MAX_SHARED_PARTS = 32
"""Parts of one prompt that are considered; callers may name any number."""
MAX_LOGGED_VISITS = 16
"""Exchanges logged for one request. ``max_attempts`` and its prefills seldom need more."""


class RoutedCall(msgspec.Struct, eq=False):
    """A caller's request with its route and its progress. Times are seconds of boot time."""

    request: CallerRequest
    answer: ResponseWriter
    terms: RequestMetadata
    route: Route
    service: ServiceSpec
    version: int | None = None
    """Number of the software version at which its stream has to go on, None for any."""
    is_unstated: bool = False
    """Whether its stream began where no backend of its service stated a version."""
    runs: int = 0
    """Attempts that may have run, each sent to one backend."""
    arrivals: int = 0
    """Requests sent to backends, including rejected ones."""
    may_have_run: bool = False
    at_backends: int = 0
    """Exchanges with backends that have begun and not ended, including prefills."""
    min_last_receive_s: float = 0.0
    """Idle connections are reused only if they received data after this (boot time, s)."""
    visits: list[BackendVisit] = []
    kept_responses: list[ResponseBuffer] = []
    first_event_s: float | None = None
    """When the first event of a stream was sent to the caller (boot time, s)."""
    max_event_gap_s: float = 0.0
    cached_digest: int | None = None
    """Cached value of ``digest``."""
    cached_part_keys: tuple[int, ...] | None = None
    """Cached value of ``part_keys``."""

    @property
    def holding(self) -> Holding:
        """Return what is held for the caller's connection."""
        return self.answer.holding

    def keep_response(self, buffer: ResponseBuffer) -> None:
        """Hold the memory of a complete response until the request has ended."""
        buffer.complete()
        self.kept_responses.append(buffer)

    def release_responses(self) -> None:
        """Release the memory of all responses: the request has ended."""
        for buffer in self.kept_responses:
            buffer.release()

    @property
    def digest(self) -> int:
        """Return a digest that is the same for all attempts of this request."""
        if self.cached_digest is None:
            self.cached_digest = request_digest(self.request)
        return self.cached_digest

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the ids of the prompt parts that other requests may have too.

        The last part belongs to the request itself or to its session.
        """
        generation = self.terms.generation
        if generation is None:
            return ()
        return tuple(part.part_id for part in generation.parts[:-1][:MAX_SHARED_PARTS])

    @property
    def part_keys(self) -> tuple[int, ...]:
        """Return the short numbers of ``shared_parts``, in the same order."""
        if self.cached_part_keys is None:
            self.cached_part_keys = tuple(part_key(part) for part in self.shared_parts)
        return self.cached_part_keys

    @property
    def request_id(self) -> str:
        """Return the request id given by the caller."""
        return self.terms.request_id

    @property
    def arrived_s(self) -> float:
        """Return the arrival time."""
        return self.request.arrived_s

    @property
    def limit_s(self) -> float:
        """Return the time limit, in s from the arrival."""
        return time_limit_s(self.route, self.terms)

    @property
    def deadline_s(self) -> float:
        """Return when the request times out."""
        return self.arrived_s + self.limit_s

    @property
    def target_s(self) -> float:
        """Return the target time for a complete response, or for the first event of a stream."""
        return self.arrived_s + self.route.target_s

    def tokens_per_event(self) -> int:
        """Return the number of tokens in one event of a stream, at least 1."""
        engine = self.service.engine
        return max(1, engine.tokens_per_event) if engine is not None else 1

    def ms_since_arrival(self) -> int:
        """Return the time since the arrival, in milliseconds."""
        return round((boot_time_s() - self.arrived_s) * MS_PER_SECOND)

    @contextlib.contextmanager
    def visit(self, backend: str, zone: str, role: str) -> Iterator[BackendVisit]:
        """Record an exchange with a backend for the log, with its duration and outcome."""
        visit = BackendVisit(backend, zone, role, self.ms_since_arrival())
        if len(self.visits) < MAX_LOGGED_VISITS:
            self.visits.append(visit)
        try:
            yield visit
        except YokedockError as error:
            visit.outcome = error.code
            raise
        except BaseException:
            visit.outcome = CUT_SHORT
            raise
        finally:
            visit.held_ms = self.ms_since_arrival() - visit.from_ms

    def is_late(self) -> bool:
        """Return whether a response that completes now misses the route's latency targets."""
        answered_s = self.first_event_s or boot_time_s()
        is_late = answered_s > self.target_s and self.route.target_s > 0
        gap_target_s = self.route.gap_target_s
        return is_late or 0 < gap_target_s < self.max_event_gap_s

    def remaining_s(self) -> float:
        """Return the seconds until the deadline, at least 0."""
        return max(0.0, self.deadline_s - boot_time_s())

    def backend_deadline_ms(self) -> int | None:
        """Return the time left for a backend, at least ``MIN_DEADLINE_MS``.

        It is counted to the caller's deadline if one was given, else to the route's time-out.
        """
        if self.terms.deadline_s is None:
            return max(MIN_DEADLINE_MS, int(self.remaining_s() * 1000))
        remaining_s = self.arrived_s + self.terms.deadline_s - boot_time_s()
        return max(MIN_DEADLINE_MS, int(remaining_s * 1000))

    @contextlib.contextmanager
    def track_run(self) -> Iterator[None]:
        """Count an attempt as possibly run, unless the backend reports that it did not run it."""
        may_have_run_before = self.may_have_run
        self.may_have_run = True
        self.runs += 1
        try:
            yield
        except BackendRefused:
            self.may_have_run = may_have_run_before
            self.runs -= 1
            raise

    def may_run_again(self) -> bool:
        """Return whether the route allows another attempt that may run."""
        if self.runs >= self.route.max_attempts:
            return False
        return self.route.may_repeat or not self.may_have_run


class BufferedResponse(msgspec.Struct, frozen=True):
    """A complete, buffered response."""

    head: ResponseHead
    body: bytes | bytearray


def time_limit_s(route: Route, terms: RequestMetadata) -> float:
    """Return how long a request may be served: the caller's deadline or the route's time-out."""
    if terms.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, terms.deadline_s)
