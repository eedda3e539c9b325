"""An agent's plain service, and the at-most-once record of the calls that may not be repeated."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Protocol

from yokedock.base.clock import deadline_in, left_s, wall_clock_ms
from yokedock.connection.service_client import ServiceClient
from yokedock.errors import (
    BadRequest,
    DeadlineExceeded,
    EngineLost,
    EngineUnavailable,
    NoBackend,
    NotFound,
    NotReady,
    NotRun,
    OutcomeUnknown,
    Refused,
    YokedockError,
)
from yokedock.messages import (
    AnyMessage,
    LoadReport,
    ServiceAnswer,
    ServiceCall,
    Tombstone,
    TombstoneSet,
)
from yokedock.request.backend import Backend, OrderGuard, SendFrame
from yokedock.request.idempotency import IdempotencyRecord, KeyRecord, KeyState, RecordLimits
from yokedock.version.bundle import Bundle, Service

ROLE_SERVICE = "service"


class ServiceBusy(Refused):
    """The replica has its maximum of calls in flight."""

    code = "service_busy"


class HomeCheck(Protocol):
    """Decides whether this replica may run a key for the first time."""

    def confirm(self, service: str, key: str, bundle: Bundle) -> None:
        """Return if it may; raise a typed error if another replica is or may be the key's home."""


class ServiceBackend(Backend):
    """Carries out the calls for one replica of a service."""

    def __init__(
        self,
        name: str,
        client: ServiceClient,
        record: IdempotencyRecord,
        bundle: Callable[[], Bundle],
        home_check: HomeCheck,
    ) -> None:
        """Prepare the replica called ``name``."""
        self._name = name
        self._client = client
        self._record = record
        self._bundle = bundle
        self._home_check = home_check
        self._lock = threading.Lock()
        self._running: set[str] = set()
        self._is_leaving = False

    def is_quick(self, order: AnyMessage) -> bool:
        """Return whether the order is answered from the record alone."""
        return isinstance(order, Tombstone)

    def run(self, order: AnyMessage, guard: OrderGuard, send: SendFrame) -> AnyMessage:
        """Carry out one order."""
        match order:
            case ServiceCall():
                return self._call(order, guard)
            case Tombstone():
                return self._tombstone(order)
        raise BadRequest("this agent stands beside a plain service; send it service calls")

    def release(self, attempt: str) -> None:
        """A call that was handed to the service goes on: a service cannot take one back."""

    def holds(self, attempt: str) -> bool:
        """Return whether the call is running."""
        return attempt in self._running

    def load(self) -> LoadReport:
        """Return the present load: calls in flight over the limit."""
        service = self._service()
        slots = service.max_in_flight if service else 0
        return LoadReport(
            ROLE_SERVICE, service is not None, self._is_leaving, slots, len(self._running), 0, 0.0
        )

    def _service(self) -> Service | None:
        """Return what the bundle says of this replica's service; None before the first bundle."""
        try:
            bundle = self._bundle()
        except NotReady:
            return None
        replica = bundle.replicas.get(self._name)
        return bundle.services.get(replica.service) if replica else None

    def in_flight(self) -> int:
        """Return how many calls run."""
        return len(self._running)

    def set_leaving(self, leaving: bool) -> None:
        """Take no new work while ``leaving``."""
        self._is_leaving = leaving

    def record_size(self) -> int:
        """Return the number of keys on record."""
        return self._record.size()

    def _call(self, order: ServiceCall, guard: OrderGuard) -> ServiceAnswer:
        bundle = self._bundle()
        service = bundle.services.get(order.service)
        if service is None or bundle.replicas[self._name].service != order.service:
            raise NotFound(f"{self._name} does not run {order.service}; look at the bundle")
        deadline_s = deadline_in(order.deadline_ms)
        if order.key:
            return self._call_once(order, guard, bundle, deadline_s)
        if not service.repeatable:
            raise BadRequest("the call may not be repeated; send it with an Idempotency-Key")
        self._enter(order.attempt, service.max_in_flight)
        try:
            guard.check(order.attempt)
            return self._send(order, deadline_s)
        finally:
            self._leave(order.attempt)

    def _call_once(
        self, order: ServiceCall, guard: OrderGuard, bundle: Bundle, deadline_s: float
    ) -> ServiceAnswer:
        """Run the key, or wait for the run that goes on, or repeat its answer."""
        record, is_mine = self._record.begin(order.key, wall_clock_ms(), limits_of(bundle))
        if not is_mine:
            return self._replay(record, deadline_s)
        try:
            self._enter(order.attempt, bundle.services[order.service].max_in_flight)
            try:
                self._home_check.confirm(order.service, order.key, bundle)
                guard.check(order.attempt)
                answer = self._send(order, deadline_s)
            finally:
                self._leave(order.attempt)
        except YokedockError as error:
            self._settle_failure(order.key, record, error)
            raise
        record.state = KeyState.ANSWERED
        record.finished.set_result(answer)
        return answer

    def _settle_failure(self, key: str, record: KeyRecord, error: YokedockError) -> None:
        """Forget a call that certainly did not run; keep any other as unknown for good."""
        if isinstance(error, OutcomeUnknown):
            record.state = KeyState.UNKNOWN
        else:
            self._record.forget(key)
        record.finished.set_exception(error)

    def _replay(self, record: KeyRecord, deadline_s: float) -> ServiceAnswer:
        try:
            answer = record.finished.result(timeout=left_s(deadline_s))
        except TimeoutError:
            message = "the call still runs; ask again with the same key"
            raise OutcomeUnknown(message, 1.0) from None
        return ServiceAnswer(answer.status, answer.content_type, answer.body, replayed=True)

    def _send(self, order: ServiceCall, deadline_s: float) -> ServiceAnswer:
        if left_s(deadline_s) <= 0:
            raise NotRun("the deadline passed before the call was handed over; send it again")
        try:
            return self._client.call(
                order.service, order.body, order.content_type, order.key, left_s(deadline_s)
            )
        except EngineUnavailable as error:
            raise NotRun(f"{error.message}; nothing was run, retry later", 1.0) from None
        except EngineLost as error:
            if order.key:
                message = f"{error.message}; look up the result before sending it again"
                raise OutcomeUnknown(message) from None
            raise DeadlineExceeded(f"{error.message}; send it again") from None

    def _tombstone(self, order: Tombstone) -> AnyMessage:
        known = self._record.set_tombstone(order.key, wall_clock_ms(), limits_of(self._bundle()))
        if known is None:
            return TombstoneSet()
        if known.state is KeyState.ANSWERED:
            answer = known.finished.result()
            return ServiceAnswer(answer.status, answer.content_type, answer.body, replayed=True)
        raise OutcomeUnknown("the call was handed over and its result is not known; look it up")

    def _enter(self, attempt: str, most: int) -> None:
        with self._lock:
            if self._is_leaving:
                raise NoBackend(f"{self._name} is leaving; nothing was run, retry later", 1.0)
            if len(self._running) >= most:
                raise ServiceBusy(f"{self._name} is busy; nothing was run, retry later", 0.2)
            self._running.add(attempt)

    def _leave(self, attempt: str) -> None:
        with self._lock:
            self._running.discard(attempt)


def limits_of(bundle: Bundle) -> RecordLimits:
    """Return the limits of the record of keys."""
    limits = bundle.limits
    return RecordLimits(limits.key_window_s * 1000, int(limits.clock_skew_s * 1000))
