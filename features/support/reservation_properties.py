"""Properties of retries at a reserved backend in place of waiting for a slow one."""

import asyncio
import contextlib

from yokedock.base.clock import boot_time_s
from yokedock.connection.dialect import RequestMetadata, ResponseMetadata
from yokedock.connection.http_heads import RequestHead, ResponseHead
from yokedock.connection.state_source import BackendEntry
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.reserved_connection import ReservedConnection
from yokedock.request.retry_allowance import RetryAllowance, RetryBounds
from yokedock.request.routed_call import BufferedResponse, RoutedCall
from yokedock.request.unary_call import UnaryCalls
from yokedock.request.version_pinning import VersionPinning
from yokedock.router_errors import BackendUnreachable, BackendUnresponsive
from yokedock.version.route_table import Route, RouteKind, ServiceSpec, WeightedTarget
from yokedock_emulator.simulation.simulation import run_simulated

SERVICE = "plain"
TIME_LEFT_S = 9.0
REST_REFUSAL = ResponseMetadata("other", is_not_run=True, is_signed=False, rest_s=60.0)


class RequestStub:
    """The fields of a caller's request that a call reads."""

    def __init__(self):
        self.arrived_s = boot_time_s()
        self.head = RequestHead((), b"POST", b"/x")
        self.body = b""


class ExchangeStub:
    """An exchange without a connection. A slow backend responds after half of the call's time."""

    is_open = True

    def __init__(self, backend, work_s, exchanges):
        self.backend = backend
        self._responds_s = boot_time_s() + work_s
        self._exchanges = exchanges

    def start_silence_timer(self, max_silence_s):
        """Do nothing: there is no connection that could be silent."""

    async def send(self, order):
        """Record that the call was sent to the backend."""
        self._exchanges.asked.append(self.backend.name)

    async def read_whole(self, patience_s, limits):
        """Return the response; raises ``BackendUnresponsive`` if the timeout is too short.

        A timeout of zero marks the read that follows a reservation. ``limits`` hold only
        once a body has begun; a slow backend sends nothing.
        """
        if patience_s == 0.0:
            self._exchanges.after_reservation()
        left_s = max(0.0, self._responds_s - boot_time_s())
        await asyncio.sleep(min(patience_s, left_s))
        if patience_s < left_s:
            raise BackendUnresponsive(f"{self.backend.name} did not respond in time")
        return BufferedResponse(ResponseHead((), 200, b"OK"), self.backend.name.encode())


class ExchangesStub:
    """Opens exchanges; the first backend that is used is slow."""

    def __init__(self, after_reservation, work_s):
        self.after_reservation = after_reservation
        self._work_s = work_s
        self.asked = []
        self._slow = None

    @contextlib.asynccontextmanager
    async def open(self, backend, call, has_permit=False, reserved=None):
        """Open an exchange; raises if the backend does not accept requests or has ended."""
        self._slow = self._slow or backend
        require_accepting(backend)
        if reserved is not None:
            reserved.take()
        yield ExchangeStub(backend, self._work_s if backend is self._slow else 0.0, self)

    async def reserve(self, backend, call):
        """Reserve a connection; raises if the backend does not accept requests or has ended."""
        require_accepting(backend)
        return ReservedConnection(ConnectionStub(), backend, lambda connection: None)


class ConnectionStub:
    """A connection that is open until its backend has ended."""

    is_reusable = True
    opened_ms = 0

    def abort_after_reading(self):
        """Close the connection."""
        self.is_reusable = False


def require_accepting(backend):
    """Raise if a backend does not accept requests or has ended."""
    backend.require_accepting(boot_time_s())
    if backend.has_ended:
        raise BackendUnreachable(f"{backend.name} has ended")


async def backends_asked(change, budget_after_s=0.0, work_s=TIME_LEFT_S / 2):
    """Return the backends that a call is sent to if ``change`` is applied to the reserved one.

    The retry budget has room after ``budget_after_s``; the slow backend works for ``work_s``.
    """
    registry = BackendRegistry("")
    entries = [BackendEntry(name, SERVICE, "127.0.0.1:1", born_ms=1) for name in ("slow", "other")]
    registry.update(entries, ())
    other = registry.get("other@1")
    other.health.record_answer(boot_time_s(), 0.1, is_failure=True)
    allowance = RetryAllowance(RetryBounds(0.2, 10.0, 50.0), lambda: 1, is_first_start=True)
    if budget_after_s:
        from_s = boot_time_s() + budget_after_s
        allowance.has_room = lambda service, arrivals=1: boot_time_s() >= from_s
    exchanges = ExchangesStub(lambda: change(registry, other, allowance), work_s)
    calls = UnaryCalls(registry, exchanges, allowance, VersionPinning(registry, None, None))
    targets = (WeightedTarget(SERVICE),)
    kind = RouteKind.REPEATABLE
    route = Route("r", "h", "/", kind, TIME_LEFT_S, 1.0, targets, max_attempts=3)
    terms = RequestMetadata("call-1", TIME_LEFT_S)
    call = RoutedCall(RequestStub(), None, terms, route, ServiceSpec(SERVICE))
    with allowance.request(SERVICE, call.request_id) as retries:
        answer = await calls._serve(call, retries)
    assert answer.body.decode() == exchanges.asked[-1]
    return exchanges.asked


def no_change(registry, other, allowance):
    """Leave the reserved backend available."""


def asks_for_rest(registry, other, allowance):
    """Let the reserved backend refuse another request and ask for a pause."""
    other.apply_notices(REST_REFUSAL, boot_time_s())


def restarts_and_asks_for_rest(registry, other, allowance):
    """Replace the reserved backend by a restarted instance that asks for a pause."""
    registry.update([BackendEntry("other", SERVICE, "127.0.0.1:1", born_ms=2)], ())
    registry.get("other@2").apply_notices(REST_REFUSAL, boot_time_s())


def runs_out_of_connections(registry, other, allowance):
    """Let another request use the only connection to the reserved backend."""
    registry.connection_share = lambda service: 1
    other.outstanding += 1


def a_slow_backend_is_kept_if_the_reserved_one_is_unavailable():
    """Guards against a 502 response while a backend is still processing the call.

    The slow request is abandoned for the reserved backend, which has become unavailable meanwhile.
    """
    assert run_simulated(backends_asked(no_change)) == ["slow@1", "other@1"]
    for change in (asks_for_rest, restarts_and_asks_for_rest, runs_out_of_connections):
        asked = run_simulated(backends_asked(change))
        assert asked == ["slow@1"], (change.__name__, asked)


def retry_budget_shrinks(registry, other, allowance):
    """Exhaust the retry budget, as when requests have left its window."""
    allowance.has_room = lambda service, arrivals=1: False


def a_reserved_retry_is_sent_after_the_budget_shrinks():
    """Guards against a 502 response although the budget for the reserved retry is set aside."""
    assert run_simulated(backends_asked(retry_budget_shrinks)) == ["slow@1", "other@1"]


def a_retry_is_made_once_the_budget_has_room():
    """Guards against a call held until its deadline because the budget was spent for a moment."""
    asked = run_simulated(backends_asked(no_change, budget_after_s=2.0, work_s=2 * TIME_LEFT_S))
    assert asked == ["slow@1", "other@1"], asked


RESERVATION_PROPERTIES = {
    "a retry is made once the budget has room": a_retry_is_made_once_the_budget_has_room,
    "a reserved repeat is made though the budget has shrunk": (
        a_reserved_retry_is_sent_after_the_budget_shrinks
    ),
    "a slow backend is kept if the reserved one became unavailable": (
        a_slow_backend_is_kept_if_the_reserved_one_is_unavailable
    ),
}
