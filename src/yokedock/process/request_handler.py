"""Routes callers' requests and passes each to the component that serves its kind."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import Iterator

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.connection.caller_request import CallerRequest
from yokedock.connection.dialect import Dialect
from yokedock.connection.http_heads import RequestHead
from yokedock.connection.response_writer import ResponseWriter
from yokedock.errors import BadRequest, ClientClosedConnection, NotFound, NotReady, YokedockError
from yokedock.process.router_metrics import NO_ROUTE, RouterMetrics
from yokedock.process.state_follower import StateFollower
from yokedock.request.generation_call import GenerationCalls
from yokedock.request.quarantine import QuarantineGuard
from yokedock.request.request_digest import digest_text
from yokedock.request.request_outcome import ANSWERED, CALLER_GONE, CUT_OFF, ENDED, FAILED
from yokedock.request.routed_call import RoutedCall, time_limit_s
from yokedock.request.stop_admission import StopAdmission, StopState
from yokedock.request.unary_call import UnaryCalls
from yokedock.request.version_pinning import VersionPinning
from yokedock.router_errors import BackendResponseLost
from yokedock.version.route_table import Route, RouteTable, ServiceSpec

_log = logger("router")

SERVER_ERROR = 500

RETRY_AFTER_S = 0.5
STARTUP_WAIT_S = 0.2
"""How long a request waits for the routes to become known: most routers start faster."""
STARTUP_RETRY_AFTER_S = 1.0
IMMEDIATE_RETRY_AFTER_S = 0.05
"""Retry-after time for a request that another router can serve now."""


class RequestHandler:
    """Routes requests and passes each to the component that serves its kind."""

    def __init__(
        self,
        follower: StateFollower,
        dialect: Dialect,
        generations: GenerationCalls,
        unary: UnaryCalls,
        guard: QuarantineGuard,
        pinning: VersionPinning,
        metrics: RouterMetrics,
        stop: StopState,
        admission: StopAdmission,
    ) -> None:
        """Use the state and the components that the whole process shares."""
        self._follower = follower
        self._dialect = dialect
        self._generations = generations
        self._unary = unary
        self._guard = guard
        self._pinning = pinning
        self._metrics = metrics
        self._stop = stop
        self._admission = admission
        self._waiting: dict[RoutedCall, asyncio.Task[None]] = {}
        """The calls that were accepted and have not ended, with their handlers."""
        self._refused: set[RoutedCall] = set()
        """The calls whose handlers were cancelled because the router stops too soon for them."""
        self._random = new_random()
        self.active = 0
        """Number of requests being served."""

    async def answer(self, request: CallerRequest, answer: ResponseWriter) -> None:
        """Route one request and serve it until it has ended."""
        self.active += 1
        call: RoutedCall | None = None
        outcome = ANSWERED
        try:
            # On a busy router, callers may disconnect before their requests are read.
            answer.raise_if_disconnected()
            if self._stop.is_ending:
                raise self._shutdown_error(None)
            await self._follower.wait_known(STARTUP_WAIT_S)
            call = self._route(request, answer)
            self._admission.require_time(call)
            with self._registered(call):
                await self._pin_version(call)
                async with self._guard.served(call):
                    await self._serve(call)
        except asyncio.CancelledError:
            outcome = _outcome_of_cancellation(answer)
            if outcome != ENDED:
                raise
            if call is not None and call in self._refused and not call.may_have_run:
                raise self._admission.refusal(call) from None
            if not self._stop.is_ending:
                _log.error("request cancelled unexpectedly", **_identity(call))
                raise _unfinished_error(call) from None
            raise self._shutdown_error(call) from None
        except ClientClosedConnection:
            outcome = CALLER_GONE
            raise
        except YokedockError as error:
            outcome = error.code
            raise
        except Exception as error:
            outcome = FAILED
            _log.exception("request failed unexpectedly", **_identity(call))
            raise _unfinished_error(call) from error
        finally:
            self.active -= 1
            if call is not None:
                self._refused.discard(call)
                call.release_responses()
            end = functools.partial(self._log_end, request, answer, call, outcome)
            self._metrics.guard.run("request end", end)

    def time_limit_s(self, head: RequestHead) -> float | None:
        """Return how long a request may be served, in s from its first byte.

        Returns None if it can't be served; ``answer`` tells the caller why.
        """
        index, host = self._follower.index, head.get(b"host")
        route = None if index is None or host is None else index.find(host, head.path)
        if route is None:
            return None
        try:
            return time_limit_s(route, self._dialect.request_metadata(head))
        except BadRequest as error:
            _log.debug("no time limit", path=head.path, reason=error.message)
            return None

    def refuse_late_calls(self) -> None:
        """Refuse the calls that wait for a backend and can no longer be served in a shutdown."""
        for call, task in list(self._waiting.items()):
            is_sent = call.at_backends or call.may_have_run or call.answer.has_started
            if not is_sent and call not in self._refused and not self._admission.has_time(call):
                self._refused.add(call)
                task.cancel()

    @contextlib.contextmanager
    def _registered(self, call: RoutedCall) -> Iterator[None]:
        """Let ``refuse_late_calls`` know of a call while it is served."""
        task = asyncio.current_task()
        assert task is not None
        self._waiting[call] = task
        try:
            yield
        finally:
            del self._waiting[call]

    async def _serve(self, call: RoutedCall) -> None:
        if call.service.engine is not None and call.terms.generation is not None:
            await self._generations.serve(call)
        else:
            await self._unary.serve(call)

    def _route(self, request: CallerRequest, answer: ResponseWriter) -> RoutedCall:
        index = self._follower.index
        if index is None:
            raise NotReady("the routes are not known yet; retry later", STARTUP_RETRY_AFTER_S)
        host = request.head.get(b"host")
        if host is None:
            raise BadRequest("missing Host header; send one")
        route = index.find(host, request.head.path)
        if route is None:
            raise NotFound(f"no route for {host}{request.head.path}; check the configuration")
        terms = self._dialect.request_metadata(request.head)
        return RoutedCall(request, answer, terms, route, self._service(index.table, route))

    async def _pin_version(self, call: RoutedCall) -> None:
        """Have a resumed stream go on at the service and software version that began it."""
        service = await self._pinning.pin(call)
        index = self._follower.index
        if service is not None and index is not None:
            call.service = index.table.services.get(service) or ServiceSpec(service)

    def _service(self, table: RouteTable, route: Route) -> ServiceSpec:
        """Choose one of the route's services at random by weight."""
        targets = [target for target in route.targets if target.weight > 0]
        if not targets:
            raise NotReady(f"route {route.name} has no service; retry later", RETRY_AFTER_S)
        weights = [target.weight for target in targets]
        chosen = self._random.choices(targets, weights)[0].service
        return table.services.get(chosen) or ServiceSpec(chosen)

    def _shutdown_error(self, call: RoutedCall | None) -> YokedockError:
        if call is not None and call.may_have_run:
            return BackendResponseLost(
                "the router stopped before the answer arrived; check the request's outcome first"
            )
        return NotReady("the router is stopping; retry immediately", IMMEDIATE_RETRY_AFTER_S)

    def _log_end(
        self,
        request: CallerRequest,
        answer: ResponseWriter,
        call: RoutedCall | None,
        outcome: str,
    ) -> None:
        route = call.route.name if call else NO_ROUTE
        held_s = boot_time_s() - request.arrived_s
        self._metrics.count(route, outcome)
        self._metrics.record(route, "held", held_s)
        is_served = outcome == ANSWERED and (answer.status or SERVER_ERROR) < SERVER_ERROR
        is_late = call is not None and is_served and call.is_late()
        if call is not None and is_late:
            self._metrics.count_late(call.service.name, route, _zone(call))
        departure = {"departure": answer.departure} if outcome == CALLER_GONE else {}
        _log.info(
            "request",
            request=call.request_id if call else "",
            digest=digest_text(call.digest) if call else "",
            parts=list(call.shared_parts) if call else [],
            route=call.route.name if call else request.head.path,
            outcome=outcome,
            **departure,
            status=answer.status,
            runs=call.runs if call else 0,
            arrivals=call.arrivals if call else 0,
            held_ms=round(held_s * 1000),
            target_ms=round(call.route.target_s * 1000) if call else 0,
            gap_target_ms=round(call.route.gap_target_s * 1000) if call else 0,
            service=call.service.name if call else "",
            is_late=is_late,
            visits=msgspec.to_builtins(call.visits) if call else [],
        )


def _outcome_of_cancellation(answer: ResponseWriter) -> str:
    """Return who ended a request whose handler was cancelled."""
    if answer.departure is not None:
        return CALLER_GONE
    return CUT_OFF if answer.has_started else ENDED


def _unfinished_error(call: RoutedCall | None) -> YokedockError:
    """Return the error for a caller whose request met an unexpected error of this router."""
    if call is not None and call.may_have_run:
        return BackendResponseLost(
            "the router failed before the answer arrived; check the request's outcome first"
        )
    return NotReady("the router failed; the request was not run, retry it", RETRY_AFTER_S)


def _identity(call: RoutedCall | None) -> dict[str, str | bool]:
    """Return the fields of log lines about an unexpected error."""
    if call is None:
        return {}
    return {
        "request": call.request_id,
        "route": call.route.name,
        "may_have_run": call.may_have_run,
    }


def _zone(call: RoutedCall) -> str:
    """Return the zone of the last backend that was called, empty if there was none."""
    return call.visits[-1].zone if call.visits else ""
