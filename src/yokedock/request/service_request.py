"""Serves a caller's call to a service without a model engine, with retries."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable

from yokedock.base.clock import wall_clock_ms
from yokedock.connection.peer_view import AgentPeerHandle
from yokedock.errors import (
    BadIdempotencyKey,
    NoBackend,
    NotReady,
    NotRun,
    OutcomeUnknown,
    PeerNeverReached,
    PeerUnreachable,
    Refused,
    RetryBudgetExhausted,
    StaleVersion,
    YokedockError,
)
from yokedock.messages import AnyMessage, ServiceAnswer, ServiceCall, Tombstone, TombstoneSet
from yokedock.request.admission import RetryBudget
from yokedock.request.context import RequestContext
from yokedock.request.idempotency import check_key_window
from yokedock.request.service_backend import key_record_limits
from yokedock.version.bundle import Bundle
from yokedock.version.bundle_store import BundleStore
from yokedock.version.homes import home_of, rendezvous_order

RETRY_S = 0.05
OUTCOME_CHECK_RESERVE_S = 1.0
"""Time reserved before the deadline to determine the outcome of a call that was sent."""
TOMBSTONE_TIMEOUT_S = 0.5


@dataclasses.dataclass(frozen=True)
class ServiceOrder:
    """A caller's call to a service."""

    service: str
    key: str
    body: bytes
    content_type: str


class ServiceRequests:
    """Serves calls to services without model engines, for a gateway."""

    def __init__(
        self,
        store: BundleStore,
        find_peer: Callable[[str], AgentPeerHandle | None],
        budget: RetryBudget,
    ) -> None:
        """``find_peer`` returns the agent of the replica with a given name."""
        self._store = store
        self._find_peer = find_peer
        self._budget = budget

    def serve(self, context: RequestContext, order: ServiceOrder) -> ServiceAnswer:
        """Return the service's response; raises a typed error with the outcome."""
        bundle = self._store.current()
        self._budget.add_request(bundle.limits.retry_share)
        if bundle.services[order.service].repeatable and not order.key:
            return self._serve_repeatable(context, order, bundle)
        if not order.key:
            message = f"calls of {order.service} may not be repeated; send an Idempotency-Key"
            raise BadIdempotencyKey(message)
        check_key_window(order.key, wall_clock_ms(), key_record_limits(bundle))
        return self._serve_once(context, order)

    def _serve_repeatable(
        self, context: RequestContext, order: ServiceOrder, bundle: Bundle
    ) -> ServiceAnswer:
        """Try the replicas in order of load; retry a lost call within the retry budget."""
        last: YokedockError = NoBackend("no replica is reachable; retry later", 1.0)
        for peer in self._replicas(context, order.service, bundle):
            attempt = context.new_attempt_id()
            try:
                return self._call(context, peer, order, attempt)
            except (Refused, NotRun, PeerNeverReached) as error:
                last = error
            except PeerUnreachable as error:
                if not self._budget.take():
                    raise RetryBudgetExhausted(f"{error.message}; retry later", 1.0) from None
                last = error
            finally:
                peer.drop(attempt)
        raise last

    def _replicas(
        self, context: RequestContext, service: str, bundle: Bundle
    ) -> list[AgentPeerHandle]:
        names = rendezvous_order(context.request_id, bundle.replicas_of(service))
        peers = [peer for name in names if (peer := self._find_peer(name)) is not None]
        ready = [p for p in peers if p.view.load and p.view.load.ready and not p.view.load.leaving]
        return sorted(ready, key=lambda p: p.view.load.slots_taken if p.view.load else 0)

    def _serve_once(self, context: RequestContext, order: ServiceOrder) -> ServiceAnswer:
        """Call only the key's home; if it does not reply, determine the outcome of the call."""
        may_have_been_sent = False
        while True:
            home = home_of(order.key, self._store.current().replicas_of(order.service))
            peer = self._find_peer(home) if home else None
            if peer is None:
                raise NotRun("the home of the key is not reachable; nothing was run, retry", 1.0)
            attempt = context.new_attempt_id()
            try:
                return self._call(context, peer, order, attempt)
            except PeerNeverReached as error:
                if not may_have_been_sent:
                    raise NotRun(f"{error.message}; nothing was run", 1.0) from None
                self._wait_before_retry(context, peer, order)
            except PeerUnreachable:
                may_have_been_sent = True
                self._wait_before_retry(context, peer, order)
            except Refused as error:
                if may_have_been_sent:
                    message = f"an earlier attempt may have run ({error.code}); check its result"
                    raise OutcomeUnknown(message, error.retry_after_s) from None
                raise
            finally:
                peer.drop(attempt)

    def _wait_before_retry(
        self, context: RequestContext, peer: AgentPeerHandle, order: ServiceOrder
    ) -> None:
        """Pause before a retry at the same home; near the deadline, raise the outcome instead.

        A retry with the same key is safe, since the home runs each key at most once.
        """
        context.check()
        if context.remaining_ms() / 1000 > OUTCOME_CHECK_RESERVE_S + RETRY_S:
            time.sleep(RETRY_S)
            return
        self._resolve_outcome(peer, order)

    def _resolve_outcome(self, peer: AgentPeerHandle, order: ServiceOrder) -> None:
        """Set a tombstone for the key at its home, and raise an error with the outcome."""
        unknown = "the call was sent and its home does not reply; check its result"
        try:
            reply = peer.call(Tombstone(order.service, order.key)).result(TOMBSTONE_TIMEOUT_S)
        except (YokedockError, TimeoutError):
            raise OutcomeUnknown(unknown) from None
        if isinstance(reply, TombstoneSet):
            raise NotRun("the call was cancelled before it ran; retry with a new key")
        raise OutcomeUnknown(unknown)

    def _call(
        self, context: RequestContext, peer: AgentPeerHandle, order: ServiceOrder, attempt: str
    ) -> ServiceAnswer:
        """Call one replica, retrying while its bundle version differs from the one in force."""
        for _ in range(20):
            message: AnyMessage = ServiceCall(
                attempt,
                self._store.stamp.version,
                order.service,
                order.key,
                order.body,
                order.content_type,
                context.remaining_ms(),
            )
            try:
                answer = context.wait(peer.call(message, attempt), context.remaining_ms() / 1000)
            except (StaleVersion, NotReady):
                context.check()
                time.sleep(RETRY_S)
                continue
            assert isinstance(answer, ServiceAnswer)
            return answer
        raise NotReady("the bundle is being updated; nothing was run, retry", 1.0)
