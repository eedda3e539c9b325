"""From a caller's connection to the part that serves: one request is routed and seen through."""

from __future__ import annotations

import asyncio
import functools

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.connection.caller_request import CallerRequest
from yokedock.connection.dialect import Dialect
from yokedock.connection.response_writer import ResponseWriter
from yokedock.errors import BadRequest, ClientClosedConnection, NotFound, NotReady, YokedockError
from yokedock.process.router_metrics import NO_ROUTE, RouterMetrics
from yokedock.process.state_follower import StateFollower
from yokedock.request.generation_call import GenerationCalls
from yokedock.request.quarantine import QuarantineGuard
from yokedock.request.request_digest import digest_text
from yokedock.request.request_outcome import ANSWERED
from yokedock.request.routed_call import RoutedCall
from yokedock.request.unary_call import UnaryCalls
from yokedock.router_errors import BackendResponseLost
from yokedock.version.route_table import Route, RouteTable, ServiceSpec

_log = logger("router")

SERVER_ERROR = 500

COME_BACK_S = 0.5
UNKNOWN_WAIT_S = 0.2
"""A request waits this long for routes that are not known yet: most starts need less."""
UNKNOWN_COME_BACK_S = 1.0
ELSEWHERE_S = 1.0
"""When to come back for a stream that a stopping router refused: others may be stopping too."""
AT_ONCE_S = 0.05
"""When to come back to another router."""
ESTIMATES_TRUSTED_S = 2.5
"""Streams that came so soon after a planned stop began may be cut at its end (the platform's figure
is 3 s from the client's sending)."""
STREAM_START_S = 0.5
TOKEN_S = 0.006
"""What a stream is reckoned to take to its start and for each token, when stopping."""


class StopState(msgspec.Struct):
    """How far a planned stop has come."""

    is_stopping: bool = False
    since_s: float = 0.0
    """When the stop began (boot time, s)."""
    is_ending: bool = False
    """Whoever still waits, or comes, gets a final answer now: nothing more is passed on."""
    last_answers_s: float = 0.0
    """When that will be (boot time, s)."""


class RequestIntake:
    """Routes requests and hands each to the part that serves its kind."""

    def __init__(
        self,
        follower: StateFollower,
        dialect: Dialect,
        generations: GenerationCalls,
        opaque: UnaryCalls,
        guard: QuarantineGuard,
        metrics: RouterMetrics,
        stop: StopState,
    ) -> None:
        """Share the process's state and parts."""
        self._follower = follower
        self._dialect = dialect
        self._generations = generations
        self._opaque = opaque
        self._guard = guard
        self._metrics = metrics
        self._stop = stop
        self._random = new_random()
        self.active = 0
        """Requests that are being served."""

    async def answer(self, request: CallerRequest, answer: ResponseWriter) -> None:
        """Route one request and see it through."""
        self.active += 1
        call: RoutedCall | None = None
        outcome = ANSWERED
        try:
            # A busy router reads requests of callers who have left meanwhile.
            answer.raise_if_disconnected()
            if self._stop.is_ending:
                raise self._ending_error(None)
            await self._follower.wait_known(UNKNOWN_WAIT_S)
            call = self._route(request, answer)
            self._refuse_late_work(call)
            async with self._guard.served(call):
                await self._serve(call)
        except asyncio.CancelledError:
            if not self._stop.is_ending or answer.has_started:
                outcome = "caller gone"
                raise
            outcome = "ended"
            raise self._ending_error(call) from None
        except ClientClosedConnection:
            outcome = "caller gone"
            raise
        except YokedockError as error:
            outcome = error.code
            raise
        finally:
            self.active -= 1
            end = functools.partial(self._log_end, request, answer, call, outcome)
            self._metrics.guard.run("request end", end)

    async def _serve(self, call: RoutedCall) -> None:
        if call.service.engine is not None and call.terms.generation is not None:
            await self._generations.serve(call)
        else:
            await self._opaque.serve(call)

    def _route(self, request: CallerRequest, answer: ResponseWriter) -> RoutedCall:
        index = self._follower.index
        if index is None:
            raise NotReady("no routes are known yet; retry later", UNKNOWN_COME_BACK_S)
        host = request.head.get(b"host")
        if host is None:
            raise BadRequest("no Host header; send one")
        route = index.find(host, request.head.path)
        if route is None:
            raise NotFound(f"no route for {host}{request.head.path}; look at the configuration")
        terms = self._dialect.request_metadata(request.head)
        return RoutedCall(request, answer, terms, route, self._service(index.table, route))

    def _refuse_late_work(self, call: RoutedCall) -> None:
        """Refuse a stream that would not end before this router must.

        Callers' estimates of a stream's length are often far off: later in the stop they are not
        trusted, since what is taken then may not be cut.
        """
        if not self._stop.is_stopping or call.terms.generation is None:
            return
        terms, now_s = call.terms.generation, boot_time_s()
        tokens = terms.max_output_tokens
        if now_s - self._stop.since_s < ESTIMATES_TRUSTED_S:
            tokens = terms.output_hint or tokens
        end_s = now_s + STREAM_START_S + tokens * TOKEN_S
        if end_s > self._stop.last_answers_s:
            raise NotReady("the router is stopping; retry elsewhere", ELSEWHERE_S)

    def _service(self, table: RouteTable, route: Route) -> ServiceSpec:
        """Choose one of the route's services by weight."""
        targets = [target for target in route.targets if target.weight > 0]
        if not targets:
            raise NotReady(f"route {route.name} has no service; retry later", COME_BACK_S)
        weights = [target.weight for target in targets]
        chosen = self._random.choices(targets, weights)[0].service
        return table.services.get(chosen) or ServiceSpec(chosen)

    def _ending_error(self, call: RoutedCall | None) -> YokedockError:
        if call is not None and call.may_have_run:
            return BackendResponseLost(
                "the router stopped before the answer came; look it up first"
            )
        return NotReady("the router is stopping; retry at once", AT_ONCE_S)

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
        _log.info(
            "request",
            request=call.request_id if call else "",
            digest=digest_text(call.digest) if call else "",
            route=call.route.name if call else request.head.path,
            outcome=outcome,
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


def _zone(call: RoutedCall) -> str:
    """Return the zone of the backend that was asked last, empty if none was."""
    return call.visits[-1].zone if call.visits else ""
