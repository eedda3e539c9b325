"""Serves a model request by successive attempts until one completes the response."""

from __future__ import annotations

import time

from yokedock.base.clock import deadline_in, remaining_s
from yokedock.base.logs import logger
from yokedock.errors import (
    AttemptLost,
    LeaseExpired,
    NoBackend,
    NoDecodeCapacity,
    NoPrefillCapacity,
    Outcome,
    PeerUnreachable,
    Refused,
    ResponseLost,
    RetryBudgetExhausted,
    YokedockError,
)
from yokedock.request.admission import RetryBudget
from yokedock.request.answer_stream import AnswerStream
from yokedock.request.attempt import Attempt, AttemptPlacement, AttemptServices, ModelOrder
from yokedock.request.context import RequestContext
from yokedock.request.prefix import estimate_tokens
from yokedock.version.bundle import Bundle

_log = logger("request")

CAPACITY_WAIT_S = 5.0
"""How long a request whose attempt was lost waits for capacity before it fails."""
LOST_RETRY_AFTER_S = 1.0
"""When the caller of a request may retry whose attempts were all lost."""
CAPACITY_RETRY_MIN_S = 0.05
CAPACITY_RETRY_MAX_S = 0.25
_CAPACITY_ERRORS = (NoDecodeCapacity, NoPrefillCapacity, NoBackend, LeaseExpired)
"""Rejections after which a request whose attempt was lost waits for capacity."""


class DemandMeter:
    """Sums the predicted load of requests, from which engine roles are assigned."""

    def __init__(self) -> None:
        """Start with no load."""
        self.prefill_s = 0.0
        self.decode_s = 0.0

    def add(self, prefill_s: float, decode_s: float) -> None:
        """Add one request's predicted prefill time and decode time, in seconds."""
        self.prefill_s += prefill_s
        self.decode_s += decode_s


class ModelRequests:
    """Serves model requests for a gateway."""

    def __init__(
        self,
        services: AttemptServices,
        budget: RetryBudget,
        demand: DemandMeter,
    ) -> None:
        """``services`` are shared by all attempts."""
        self._services = services
        self._budget = budget
        self._demand = demand

    def serve(
        self, context: RequestContext, order: ModelOrder, stream: AnswerStream
    ) -> list[AttemptPlacement]:
        """Produce the complete response into ``stream``; raises a typed error on failure.

        Returns the placements of all attempts. An error says "not run" only if that is certain.
        """
        try:
            return self._serve(context, order, stream)
        except YokedockError as error:
            if error.outcome is Outcome.NOT_RUN and context.may_have_run:
                message = (
                    f"the response was lost and the request could not be retried: {error.message}"
                )
                raise ResponseLost(message, error.retry_after_s) from None
            raise

    def _serve(
        self, context: RequestContext, order: ModelOrder, stream: AnswerStream
    ) -> list[AttemptPlacement]:
        """Start attempts until one completes the response."""
        bundle = self._services.store.current()
        self._budget.add_request(bundle.limits.retry_share)
        self._record_demand(order, bundle)
        placed: list[AttemptPlacement] = []
        capacity_deadline_s = 0.0
        while True:
            context.check()
            attempt = context.new_attempt_id()
            try:
                Attempt(self._services, context, order, stream, attempt, placed).run()
                return placed
            except (AttemptLost, PeerUnreachable) as error:
                _log.warning(
                    "attempt lost",
                    request=context.request_id,
                    attempt=attempt,
                    tokens=len(stream.tokens),
                    error=error.message,
                )
                self._check_retry(context, bundle, error)
            except Refused as error:
                if not context.may_have_run or not isinstance(error, _CAPACITY_ERRORS):
                    raise
                capacity_deadline_s = capacity_deadline_s or deadline_in(CAPACITY_WAIT_S * 1000)
                self._wait_for_capacity(context, order.model, error, capacity_deadline_s)

    def _check_retry(self, context: RequestContext, bundle: Bundle, error: YokedockError) -> None:
        """Raise unless another attempt is allowed."""
        context.check()
        if context.attempts >= bundle.limits.max_attempts or not self._budget.take():
            message = (
                f"{context.attempts} attempts of the request were lost ({error.message}); retry"
            )
            if not context.may_have_run:
                raise NoDecodeCapacity(message, LOST_RETRY_AFTER_S) from None
            raise RetryBudgetExhausted(message, LOST_RETRY_AFTER_S) from None

    def _wait_for_capacity(
        self, context: RequestContext, model: str, error: Refused, capacity_deadline_s: float
    ) -> None:
        """Pause for capacity elsewhere; raise ``error`` if ``capacity_deadline_s`` has passed.

        A request that has started should not fail at once because its attempt was lost. A request
        that has not started does not wait here: it is rejected with a retry-after time. Agents of
        ``model`` that are disconnected are reconnected early, since one may have restarted.
        """
        context.check()
        if remaining_s(capacity_deadline_s) <= 0:
            raise error
        for peer in self._services.peers_of_model(model):
            if not peer.view.is_connected:
                peer.redial_early()
        context.attempts -= 1
        time.sleep(min(max(error.retry_after_s or 0.0, CAPACITY_RETRY_MIN_S), CAPACITY_RETRY_MAX_S))

    def _record_demand(self, order: ModelOrder, bundle: Bundle) -> None:
        model = bundle.models[order.model]
        prefill_s = estimate_tokens(order.prompt) / model.prefill_tokens_per_s
        self._demand.add(prefill_s, order.max_tokens * model.step_ms / 1000)
