"""One model request: attempts, one after the other, until one completes the answer."""

from __future__ import annotations

import time

from yokedock.base.clock import deadline_in, left_s
from yokedock.base.logs import logger
from yokedock.errors import (
    AnswerLost,
    AttemptLost,
    LeaseExpired,
    NoBackend,
    NoDecodeRoom,
    NoPrefillRoom,
    Outcome,
    PeerUnreachable,
    Refused,
    RetryBudgetSpent,
    YokedockError,
)
from yokedock.request.admission import RetryBudget
from yokedock.request.answer_stream import AnswerStream
from yokedock.request.attempt import Attempt, AttemptServices, ModelOrder, Placed
from yokedock.request.context import RequestContext
from yokedock.request.prefix import estimate_tokens
from yokedock.version.bundle import Bundle

_log = logger("request")

ROOM_PATIENCE_S = 5.0
"""How long a request whose work was lost waits for room before it is given up."""
ROOM_RETRY_MIN_S = 0.05
ROOM_RETRY_MAX_S = 0.25
_WAIT_FOR_ROOM = (NoDecodeRoom, NoPrefillRoom, NoBackend, LeaseExpired)
"""Refusals after which a request whose work was lost waits for room elsewhere."""


class DemandMeter:
    """Sums what requests asked for, as the signal for the role ladder."""

    def __init__(self) -> None:
        """Start with no demand."""
        self.prefill_s = 0.0
        self.decode_s = 0.0

    def add(self, prefill_s: float, decode_s: float) -> None:
        """Add one request's predicted prefill time and its share of decode time."""
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
        """Share ``services`` between all attempts."""
        self._services = services
        self._budget = budget
        self._demand = demand

    def serve(
        self, context: RequestContext, order: ModelOrder, stream: AnswerStream
    ) -> list[Placed]:
        """Produce the whole answer into ``stream``; raises a typed error if that cannot be done.

        Returns where the attempts were placed. An error says "not run" only if that is certain.
        """
        try:
            return self._serve(context, order, stream)
        except YokedockError as error:
            if error.outcome is Outcome.NOT_RUN and context.may_have_run:
                message = f"the answer was lost and could not be done again: {error.message}"
                raise AnswerLost(message, error.retry_after_s) from None
            raise

    def _serve(
        self, context: RequestContext, order: ModelOrder, stream: AnswerStream
    ) -> list[Placed]:
        """Make attempts until one completes the answer."""
        bundle = self._services.store.current()
        self._budget.request_arrived(bundle.limits.retry_share)
        self._note_demand(order, bundle)
        placed: list[Placed] = []
        room_until_s = 0.0
        while True:
            context.check()
            attempt = context.next_attempt()
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
                if not context.may_have_run or not isinstance(error, _WAIT_FOR_ROOM):
                    raise
                room_until_s = room_until_s or deadline_in(ROOM_PATIENCE_S * 1000)
                self._wait_for_room(context, order.model, error, room_until_s)

    def _check_retry(self, context: RequestContext, bundle: Bundle, error: YokedockError) -> None:
        """Raise unless another attempt is allowed."""
        context.check()
        if context.attempts >= bundle.limits.max_attempts or not self._budget.take():
            message = f"the request was lost {context.attempts} times ({error.message}); retry"
            raise RetryBudgetSpent(message, 1.0) from None

    def _wait_for_room(
        self, context: RequestContext, model: str, error: Refused, room_until_s: float
    ) -> None:
        """Wait a while for room elsewhere: a loss must not end a request that was begun at once.

        A request for which nothing was begun does not wait: it is refused with a time to come back.
        Disconnected agents of ``model`` are redialled early, since one may have restarted.
        """
        context.check()
        if left_s(room_until_s) <= 0:
            raise error
        for peer in self._services.peers_of_model(model):
            if not peer.view.is_connected:
                peer.redial_early()
        context.attempts -= 1
        time.sleep(min(max(error.retry_after_s or 0.0, ROOM_RETRY_MIN_S), ROOM_RETRY_MAX_S))

    def _note_demand(self, order: ModelOrder, bundle: Bundle) -> None:
        model = bundle.models[order.model]
        prefill_s = estimate_tokens(order.prompt) / model.prefill_tokens_per_s
        self._demand.add(prefill_s, order.max_tokens * model.step_ms / 1000)
