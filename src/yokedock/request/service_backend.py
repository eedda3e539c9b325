"""Backend of an agent beside a service without a model engine.

Calls that may not be repeated are run at most once, by their idempotency keys.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Protocol

from yokedock.base.clock import deadline_in, remaining_s, wall_clock_ms
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
from yokedock.request.idempotency import IdempotencyStore, KeyRecord, KeyState, RecordLimits
from yokedock.version.bundle import Bundle, Service

ROLE_SERVICE = "service"


class ServiceBusy(Refused):
    """The replica has reached its limit of calls in flight."""

    code = "service_busy"


class HomeCheck(Protocol):
    """Decides whether this replica may run a key for the first time."""

    def confirm(self, service: str, key: str, bundle: Bundle) -> None:
        """Raise a typed error if another replica is or may be the key's home."""


class ServiceBackend(Backend):
    """Runs the calls for one replica of a service."""

    def __init__(
        self,
        name: str,
        client: ServiceClient,
        record: IdempotencyStore,
        bundle: Callable[[], Bundle],
        home_check: HomeCheck,
    ) -> None:
        """``name`` is the replica's name in the bundle, ``record`` its store of keys."""
        self._name = name
        self._client = client
        self._record = record
        self._bundle = bundle
        self._home_check = home_check
        self._lock = threading.Lock()
        self._running: set[str] = set()
        self._is_leaving = False

    def is_quick(self, order: AnyMessage) -> bool:
        """Return whether the order is served from the key store, without the service."""
        return isinstance(order, Tombstone)

    def run(self, order: AnyMessage, guard: OrderGuard, send: SendFrame) -> AnyMessage:
        """Execute one order and return its reply."""
        match order:
            case ServiceCall():
                return self._call(order, guard)
            case Tombstone():
                return self._tombstone(order)
        raise BadRequest("this agent runs a service without a model engine; send it service calls")

    def release(self, attempt: str) -> None:
        """Do nothing, since a call that was sent to the service cannot be cancelled."""

    def holds(self, attempt: str) -> bool:
        """Return whether the call is running."""
        return attempt in self._running

    def load(self) -> LoadReport:
        """Return the current load: calls in flight, and their limit as slots."""
        service = self._service()
        slots = service.max_in_flight if service else 0
        return LoadReport(
            ROLE_SERVICE, service is not None, self._is_leaving, slots, len(self._running), 0, 0.0
        )

    def _service(self) -> Service | None:
        """Return the bundle's entry of this replica's service; None before the first bundle."""
        try:
            bundle = self._bundle()
        except NotReady:
            return None
        replica = bundle.replicas.get(self._name)
        return bundle.services.get(replica.service) if replica else None

    def in_flight(self) -> int:
        """Return the number of running calls."""
        return len(self._running)

    def set_leaving(self, leaving: bool) -> None:
        """Reject new calls while ``leaving``."""
        self._is_leaving = leaving

    def record_size(self) -> int:
        """Return the number of stored idempotency keys."""
        return self._record.size()

    def _call(self, order: ServiceCall, guard: OrderGuard) -> ServiceAnswer:
        bundle = self._bundle()
        service = bundle.services.get(order.service)
        if service is None or bundle.replicas[self._name].service != order.service:
            raise NotFound(f"{self._name} does not run {order.service}; check the bundle")
        deadline_s = deadline_in(order.deadline_ms)
        if order.key:
            return self._call_once(order, guard, bundle, deadline_s)
        if not service.repeatable:
            raise BadRequest("the call may not be repeated; send an Idempotency-Key")
        self._enter(order.attempt, service.max_in_flight)
        try:
            guard.check(order.attempt)
            return self._send(order, deadline_s)
        finally:
            self._leave(order.attempt)

    def _call_once(
        self, order: ServiceCall, guard: OrderGuard, bundle: Bundle, deadline_s: float
    ) -> ServiceAnswer:
        """Run the call if its key is new; else wait for the earlier run and return its response."""
        record, is_mine = self._record.begin(order.key, wall_clock_ms(), key_record_limits(bundle))
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
            self._record_failure(order.key, record, error)
            raise
        record.state = KeyState.ANSWERED
        record.finished.set_result(answer)
        return answer

    def _record_failure(self, key: str, record: KeyRecord, error: YokedockError) -> None:
        """Keep an unknown outcome in the store.

        After any other error the call certainly did not run, so its key is deleted and a
        retry may run.
        """
        if isinstance(error, OutcomeUnknown):
            record.state = KeyState.UNKNOWN
        else:
            self._record.forget(key)
        record.finished.set_exception(error)

    def _replay(self, record: KeyRecord, deadline_s: float) -> ServiceAnswer:
        try:
            answer = record.finished.result(timeout=remaining_s(deadline_s))
        except TimeoutError:
            message = "the call is still running; retry with the same key"
            raise OutcomeUnknown(message, 1.0) from None
        return ServiceAnswer(answer.status, answer.content_type, answer.body, replayed=True)

    def _send(self, order: ServiceCall, deadline_s: float) -> ServiceAnswer:
        if remaining_s(deadline_s) <= 0:
            raise NotRun("the deadline passed before the call was sent to the service; retry")
        try:
            return self._client.call(
                order.service, order.body, order.content_type, order.key, remaining_s(deadline_s)
            )
        except EngineUnavailable as error:
            raise NotRun(f"{error.message}; nothing was run, retry later", 1.0) from None
        except EngineLost as error:
            if order.key:
                message = f"{error.message}; check the result before a retry"
                raise OutcomeUnknown(message) from None
            raise DeadlineExceeded(f"{error.message}; retry the call") from None

    def _tombstone(self, order: Tombstone) -> AnyMessage:
        known = self._record.set_tombstone(
            order.key, wall_clock_ms(), key_record_limits(self._bundle())
        )
        if known is None:
            return TombstoneSet()
        if known.state is KeyState.ANSWERED:
            answer = known.finished.result()
            return ServiceAnswer(answer.status, answer.content_type, answer.body, replayed=True)
        raise OutcomeUnknown("the call was sent and its outcome is unknown; check its result")

    def _enter(self, attempt: str, most: int) -> None:
        with self._lock:
            if self._is_leaving:
                raise NoBackend(f"{self._name} is draining; nothing was run, retry later", 1.0)
            if len(self._running) >= most:
                raise ServiceBusy(f"{self._name} is busy; nothing was run, retry later", 0.2)
            self._running.add(attempt)

    def _leave(self, attempt: str) -> None:
        with self._lock:
            self._running.discard(attempt)


def key_record_limits(bundle: Bundle) -> RecordLimits:
    """Return the limits of the key store, as the bundle sets them."""
    limits = bundle.limits
    return RecordLimits(limits.key_window_s * 1000, int(limits.clock_skew_s * 1000))
