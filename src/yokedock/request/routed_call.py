"""One routed request: what is known of it from its arrival to its answer."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator

import msgspec

from yokedock.connection.answer_writer import AnswerWriter
from yokedock.connection.caller_request import CallerRequest
from yokedock.connection.dialect import CallTerms
from yokedock.connection.http_heads import AnswerHead
from yokedock.router_errors import BackendRefused
from yokedock.version.route_table import Route, ServiceSpec

MIN_DEADLINE_MS = 1


class RoutedCall(msgspec.Struct, eq=False):
    """A caller's request with its route. Times are monotonic seconds."""

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
    """Only connections on which something came later may carry it (monotonic s)."""

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

    def left_s(self) -> float:
        """Return the seconds until the deadline, at least 0."""
        return max(0.0, self.deadline_s - time.monotonic())

    def backend_deadline_ms(self) -> int | None:
        """Return the deadline that a backend is given: what the caller has left."""
        if self.terms.deadline_s is None:
            return max(MIN_DEADLINE_MS, int(self.left_s() * 1000))
        left_s = self.arrived_s + self.terms.deadline_s - time.monotonic()
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
