"""A single attempt of a call: sends it to a backend and reads the whole answer.

While time is left, a slow attempt is abandoned only after another backend has been reserved.
"""

from __future__ import annotations

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.dialect import BackendOrder
from yokedock.request.backend_exchange import BackendExchange, BackendExchanges
from yokedock.request.backend_life import Backend
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.retry_allowance import RequestRetries, RetryAllowance
from yokedock.request.routed_call import RoutedCall, WholeAnswer
from yokedock.router_errors import BackendSilent, BackendUnreachable, BackendUnwilling

_log = logger("call")

LEAST_USEFUL_S = 0.03
"""A second attempt with less time left cannot finish."""


class ChosenBackend(msgspec.Struct, frozen=True):
    """Where a call goes next."""

    backend: Backend
    has_permit: bool
    """A permit of a limited backend was taken for it."""


class CallAttempts(msgspec.Struct):
    """Backends tried by one call, and the backend reserved for its next attempt."""

    tried: set[str] = msgspec.field(default_factory=set)
    """Names of the backends."""
    reserved: ChosenBackend | None = None
    """It accepted a connection before the current attempt was given up."""

    def take_reserved(self) -> ChosenBackend | None:
        """Return the reserved backend, if any, and clear the reservation."""
        chosen, self.reserved = self.reserved, None
        return chosen


class AttemptRunner:
    """Sends single attempts of calls to backends and reads the answers."""

    def __init__(
        self, registry: BackendRegistry, exchanges: BackendExchanges, allowance: RetryAllowance
    ) -> None:
        """Share the process's backends, connections and retry budget."""
        self._registry = registry
        self._exchanges = exchanges
        self._allowance = allowance

    async def run(
        self,
        call: RoutedCall,
        chosen: ChosenBackend,
        attempts: CallAttempts,
        retries: RequestRetries,
    ) -> WholeAnswer:
        """Send the call to the chosen backend once and return the whole answer."""
        backend = chosen.backend
        async with self._exchanges.open(backend, call, chosen.has_permit) as exchange:
            if call.arrivals:
                retries.note_arrival()
            call.arrivals += 1
            order = BackendOrder(backend.entry.instance, call.backend_deadline_ms())
            with call.one_run():
                await exchange.send(order)
                answer = await self._read(exchange, call, attempts, retries)
        return answer

    async def _read(
        self,
        exchange: BackendExchange,
        call: RoutedCall,
        attempts: CallAttempts,
        retries: RequestRetries,
    ) -> WholeAnswer:
        """Read the answer; a backend that is silent for longer than patience allows is avoided.

        It is waited for on where nobody else can be asked.
        """
        backend = exchange.backend
        patience_s = self._patience_s(call, backend)
        exchange.suspect_after(self._registry.patience_s(backend))
        while True:
            try:
                return await exchange.read_whole(patience_s)
            except BackendSilent:
                if patience_s >= self._registry.patience_s(backend):
                    backend.health.note_silence(boot_time_s())
                if not exchange.is_open or call.left_s() <= 0:
                    raise
                reserved = attempts.reserved
                if reserved is not None and self._is_available(call, reserved.backend):
                    raise
                # The repeat is paid for before this one is given up: others may spend the budget.
                other = await self._find_reachable_backend(call, backend, attempts)
                attempts.reserved = None
                if other is not None and retries.may_go_on(call, LEAST_USEFUL_S):
                    attempts.reserved = ChosenBackend(other, other.limit.take(boot_time_s()))
                # What came while another was reached is read first.
                patience_s = call.left_s() if attempts.reserved is None else 0.0

    def _is_available(self, call: RoutedCall, backend: Backend) -> bool:
        """Return whether the call can still be sent to a reserved backend.

        It may have ended, become unwilling or run out of connections since it was reserved.
        """
        share = self._registry.connection_share(call.service.name)
        if backend.has_ended or backend.outstanding >= share:
            return False
        try:
            backend.require_willing(boot_time_s())
        except BackendUnwilling:
            return False
        return True

    async def _find_reachable_backend(
        self, call: RoutedCall, backend: Backend, attempts: CallAttempts
    ) -> Backend | None:
        """Return another backend that may take the call now and accepts a connection, if any.

        Work that goes on is given up only for somebody who is there: the list may still name a
        backend that has ended. The connection rests, and the repeat goes out on it.
        """
        refused = {backend.name}
        while self._may_ask_another(call, backend):
            service, untried = call.service.name, frozenset(refused | attempts.tried)
            other = self._registry.cheapest(service, untried)
            other = other or self._registry.cheapest(service, frozenset(refused))
            if other is None:
                return None
            refused.add(other.name)
            try:
                async with self._exchanges.open(other, call, has_permit=True):
                    if other.may_take(boot_time_s()):
                        return other
            except BackendUnreachable as error:
                _log.info("nobody to repeat at", request=call.request_id, reason=error.message)
        return None

    def _may_ask_another(self, call: RoutedCall, backend: Backend) -> bool:
        """Return whether another backend could take the call now: not where all others rest."""
        if not call.may_run_again() or not self._allowance.has_room(call.service.name):
            return False
        usable = self._registry.usable(call.service.name)
        return any(other is not backend for other in usable)

    def _patience_s(self, call: RoutedCall, backend: Backend) -> float:
        """Return how long to wait for an answer before another attempt, or until the deadline."""
        left_s = call.left_s()
        if self._may_ask_another(call, backend):
            return min(left_s, self._registry.patience_s(backend))
        return left_s
