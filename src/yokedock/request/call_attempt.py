"""A single attempt of a call: sends it to a backend and reads the complete response.

Before the deadline, a slow attempt is abandoned only after another backend has been reserved.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.dialect import ForwardingOrder
from yokedock.errors import YokedockError
from yokedock.request.backend_exchange import BackendExchange, BackendExchanges
from yokedock.request.backend_incarnation import Backend
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.body_progress import BodyLimits
from yokedock.request.reserved_connection import ReservedConnection
from yokedock.request.retry_allowance import RequestRetries, RetryAllowance
from yokedock.request.routed_call import BufferedResponse, RoutedCall
from yokedock.router_errors import BackendNotAccepting, BackendUnreachable, BackendUnresponsive

_log = logger("call")

MIN_ATTEMPT_TIME_S = 0.03
"""A retry is not started with less time left than this, since it could not finish."""


class ChosenBackend(msgspec.Struct, frozen=True):
    """The backend for the next attempt of a call."""

    backend: Backend
    has_permit: bool
    """Whether a rate-limit permit of the backend has been taken for the attempt."""
    reserved: ReservedConnection | None = None
    """Connection kept for the attempt, if there is one."""

    def release(self) -> None:
        """Give the reserved connection back unless it is in use."""
        if self.reserved is not None:
            self.reserved.release()


class CallAttempts(msgspec.Struct):
    """Backends tried by one call, and the backend reserved for its next attempt."""

    tried: set[str] = msgspec.field(default_factory=set)
    """Names of the backends tried so far."""
    reserved: ChosenBackend | None = None
    """Backend that accepted a connection before the current attempt was abandoned."""

    def take_reserved(self) -> ChosenBackend | None:
        """Return the reserved backend, if any, and clear the reservation."""
        chosen, self.reserved = self.reserved, None
        return chosen

    def release_reserved(self) -> None:
        """Give the reserved connection back if no attempt has taken it."""
        chosen = self.take_reserved()
        if chosen is not None:
            chosen.release()


class ReservationSearch:
    """Looks for a backend for the next attempt while the current response is still being read."""

    def __init__(self, reserve: Callable[[], Awaitable[None]]) -> None:
        """``reserve`` looks once and stores what it finds."""
        self._reserve = reserve
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Look once, unless a search is in progress."""
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def cancel(self) -> None:
        """End a search in progress."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        try:
            await self._reserve()
        except YokedockError as error:
            _log.info("found no retry backend", reason=error.message)
        except Exception:
            _log.exception("search for a retry backend failed")


class AttemptRunner:
    """Sends single attempts of calls to backends and reads the responses."""

    def __init__(
        self, registry: BackendRegistry, exchanges: BackendExchanges, allowance: RetryAllowance
    ) -> None:
        """Use the backends, connections and retry budget that the whole process shares."""
        self._registry = registry
        self._exchanges = exchanges
        self._allowance = allowance

    async def run(
        self,
        call: RoutedCall,
        chosen: ChosenBackend,
        attempts: CallAttempts,
        retries: RequestRetries,
    ) -> BufferedResponse:
        """Send the call to the chosen backend once and return the complete response."""
        try:
            return await self._run(call, chosen, attempts, retries)
        finally:
            chosen.release()

    async def _run(
        self,
        call: RoutedCall,
        chosen: ChosenBackend,
        attempts: CallAttempts,
        retries: RequestRetries,
    ) -> BufferedResponse:
        backend = chosen.backend
        async with self._exchanges.open(
            backend, call, chosen.has_permit, chosen.reserved
        ) as exchange:
            if call.arrivals:
                retries.record_arrival()
            call.arrivals += 1
            order = ForwardingOrder(backend.entry.instance, call.backend_deadline_ms())
            with call.track_run():
                await exchange.send(order)
                answer = await self._read(exchange, call, attempts, retries)
        return answer

    async def _read(
        self,
        exchange: BackendExchange,
        call: RoutedCall,
        attempts: CallAttempts,
        retries: RequestRetries,
    ) -> BufferedResponse:
        """Read the response, and abandon the attempt on a time-out if a retry has been reserved.

        If no other backend is available, waits for this one and looks again. A backend that
        stays silent for the registry's ``patience_s`` is avoided by later calls.
        """
        backend = exchange.backend
        exchange.start_silence_timer(self._registry.patience_s(backend))
        search = ReservationSearch(lambda: self._reserve(call, backend, attempts, retries))

        def may_abandon() -> bool:
            if self._has_available_reservation(call, attempts):
                return True
            search.start()
            return False

        try:
            return await self._read_until_abandoned(exchange, call, attempts, retries, may_abandon)
        finally:
            search.cancel()

    async def _read_until_abandoned(
        self,
        exchange: BackendExchange,
        call: RoutedCall,
        attempts: CallAttempts,
        retries: RequestRetries,
        may_abandon: Callable[[], bool],
    ) -> BufferedResponse:
        """Read the response; ``may_abandon`` is asked at each time-out of a body that has begun."""
        backend = exchange.backend
        patience_s = self._idle_timeout_s(call, backend)
        while True:
            try:
                limits = BodyLimits(
                    stall_s=self._idle_timeout_s(call, backend),
                    deadline_s=call.remaining_s(),
                    attempt_s=self._registry.patience_s(backend),
                    may_abandon=may_abandon,
                )
                return await exchange.read_whole(patience_s, limits)
            except BackendUnresponsive:
                if patience_s >= self._registry.patience_s(backend):
                    backend.health.record_silence(boot_time_s())
                if not exchange.is_open or call.remaining_s() <= 0:
                    raise
                if self._has_available_reservation(call, attempts):
                    raise
                await self._reserve(call, backend, attempts, retries)
                # Read what arrived while the other backend was being connected to.
                is_reserved = attempts.reserved is not None
                patience_s = 0.0 if is_reserved else self._idle_timeout_s(call, backend)

    async def _reserve(
        self, call: RoutedCall, backend: Backend, attempts: CallAttempts, retries: RequestRetries
    ) -> None:
        """Reserve a backend other than ``backend`` for a retry, if one can be reached now.

        The retry is charged at once: other requests may use up the budget meanwhile.
        """
        attempts.release_reserved()
        connection = await self._reserve_connection(call, backend, attempts)
        if connection is None:
            return
        if not retries.reserve_retry(call, MIN_ATTEMPT_TIME_S):
            connection.release()
            return
        other = connection.backend
        attempts.reserved = ChosenBackend(other, other.limit.take(boot_time_s()), connection)

    def _has_available_reservation(self, call: RoutedCall, attempts: CallAttempts) -> bool:
        """Return whether a backend is reserved for the next attempt and can still take it."""
        reserved = attempts.reserved
        return reserved is not None and self._is_available(call, reserved)

    def _is_available(self, call: RoutedCall, chosen: ChosenBackend) -> bool:
        """Return whether the call can still be sent to a reserved backend.

        Since the reservation, the backend may have ended, started to pause or drain, closed the
        connection, or the share of connections to it, which counts this one, may have shrunk.
        """
        backend, reserved = chosen.backend, chosen.reserved
        if backend.has_ended or reserved is None or not reserved.is_usable:
            return False
        if backend.outstanding > self._registry.connection_share(call.service.name):
            return False
        try:
            backend.require_accepting(boot_time_s())
        except BackendNotAccepting:
            return False
        return True

    async def _reserve_connection(
        self, call: RoutedCall, backend: Backend, attempts: CallAttempts
    ) -> ReservedConnection | None:
        """Return a connection to another backend that may take the call now, if there is one.

        The backend list may still name a backend that has ended, so a running attempt is abandoned
        only after a connection to another one was opened.
        """
        refused = {backend.name}
        while self._can_retry_elsewhere(call, backend):
            service, untried = call.service.name, frozenset(refused | attempts.tried)
            other = self._registry.cheapest(service, untried, call.version)
            other = other or self._registry.cheapest(service, frozenset(refused), call.version)
            if other is None:
                return None
            refused.add(other.name)
            try:
                reserved = await self._exchanges.reserve(other, call)
            except BackendUnreachable as error:
                _log.info(
                    "retry backend unreachable", request=call.request_id, reason=error.message
                )
                continue
            if other.may_take(boot_time_s()):
                return reserved
            reserved.release()
        return None

    def _can_retry_elsewhere(self, call: RoutedCall, backend: Backend) -> bool:
        """Return whether a retry is allowed now and another backend is usable, so not paused."""
        if not call.may_run_again() or not self._allowance.has_room(call.service.name):
            return False
        usable = self._registry.usable(call.service.name, version=call.version)
        return any(other is not backend for other in usable)

    def _idle_timeout_s(self, call: RoutedCall, backend: Backend) -> float:
        """Return the silence after which to look for another backend.

        It is the time left if the call may not be sent to another one. Whether that is possible now
        is of no importance: the budget may have room again later, and another backend be back.
        """
        remaining_s = call.remaining_s()
        if not call.may_run_again():
            return remaining_s
        return min(remaining_s, self._registry.patience_s(backend))
