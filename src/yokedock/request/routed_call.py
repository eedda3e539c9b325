"""One routed request: what is known of it from its arrival to its answer."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.connection.answer_writer import AnswerWriter
from yokedock.connection.caller_request import CallerRequest
from yokedock.connection.dialect import CallTerms
from yokedock.connection.http_heads import AnswerHead
from yokedock.errors import YokedockError
from yokedock.request.request_digest import request_digest
from yokedock.request.request_outcome import BackendVisit
from yokedock.router_errors import BackendRefused
from yokedock.version.route_table import Route, ServiceSpec

MIN_DEADLINE_MS = 1
MS_A_SECOND = 1000
CUT_SHORT = "cut_short"
"""Outcome of a visit that was ended from this side: the caller left or the time was over."""
NOT_SENT = "not_sent"
"""Outcome of a visit that only made sure of a connection."""


MOST_VISITS = 16
"""Visits that are kept of one request; more than ``max_attempts`` and its prefills seldom are."""


class RoutedCall(msgspec.Struct, eq=False):
    """A caller's request with its route. Times are seconds of boot time."""

    request: CallerRequest
    answer: AnswerWriter
    terms: CallTerms
    route: Route
    service: ServiceSpec
    runs: int = 0
    """Attempts that may have run, each at a backend of its own."""
    arrivals: int = 0
    """Requests that reached a backend, refused ones included."""
    may_have_run: bool = False
    heard_after_s: float = 0.0
    """Only connections on which something came later may carry it (boot time, s)."""
    visits: list[BackendVisit] = []
    first_piece_s: float | None = None
    """When a stream's first event went to the caller (boot time, s)."""
    longest_pause_s: float = 0.0
    known_digest: int | None = None
    """What ``digest`` returned before."""

    @property
    def digest(self) -> int:
        """Return what is alike for all attempts of this request."""
        if self.known_digest is None:
            self.known_digest = request_digest(self.request)
        return self.known_digest

    @property
    def request_id(self) -> str:
        """Return the caller's id of this attempt."""
        return self.terms.request_id

    @property
    def arrived_s(self) -> float:
        """Return the arrival."""
        return self.request.arrived_s

    @property
    def limit_s(self) -> float:
        """Return how long the request may take: the caller's time or the route's time-out."""
        if self.terms.deadline_s is None:
            return self.route.timeout_s
        return min(self.route.timeout_s, self.terms.deadline_s)

    @property
    def deadline_s(self) -> float:
        """Return when the request's time is over."""
        return self.arrived_s + self.limit_s

    @property
    def target_s(self) -> float:
        """Return the time until which an answer, or a first event, is in time."""
        return self.arrived_s + self.route.target_s

    def since_arrival_ms(self) -> int:
        """Return the milliseconds since the arrival."""
        return round((boot_time_s() - self.arrived_s) * MS_A_SECOND)

    @contextlib.contextmanager
    def visit(self, backend: str, zone: str, role: str) -> Iterator[BackendVisit]:
        """Note an exchange with a backend while it lasts, and how it ended."""
        visit = BackendVisit(backend, zone, role, self.since_arrival_ms())
        if len(self.visits) < MOST_VISITS:
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
            visit.held_ms = self.since_arrival_ms() - visit.from_ms

    def is_late(self) -> bool:
        """Return whether an answer that is whole now missed the route's targets."""
        answered_s = self.first_piece_s or boot_time_s()
        is_late = answered_s > self.target_s and self.route.target_s > 0
        gap_target_s = self.route.gap_target_s
        return is_late or 0 < gap_target_s < self.longest_pause_s

    def left_s(self) -> float:
        """Return the seconds until the deadline, at least 0."""
        return max(0.0, self.deadline_s - boot_time_s())

    def backend_deadline_ms(self) -> int | None:
        """Return the deadline that a backend is given: what the caller has left."""
        if self.terms.deadline_s is None:
            return max(MIN_DEADLINE_MS, int(self.left_s() * 1000))
        left_s = self.arrived_s + self.terms.deadline_s - boot_time_s()
        return max(MIN_DEADLINE_MS, int(left_s * 1000))

    @contextlib.contextmanager
    def one_run(self) -> Iterator[None]:
        """Count an attempt that may run from now on, unless the backend states that it did not."""
        was_run_before = self.may_have_run
        self.may_have_run = True
        self.runs += 1
        try:
            yield
        except BackendRefused:
            self.may_have_run = was_run_before
            self.runs -= 1
            raise

    def may_run_again(self) -> bool:
        """Return whether one more attempt that may run is allowed."""
        if self.runs >= self.route.max_attempts:
            return False
        return self.route.may_repeat or not self.may_have_run


class WholeAnswer(msgspec.Struct, frozen=True):
    """An answer that was read whole."""

    head: AnswerHead
    body: bytes
