"""One call to a plain service, straight down."""

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
    RetryBudgetSpent,
    StaleVersion,
    YokedockError,
)
from yokedock.messages import AnyMessage, ServiceAnswer, ServiceCall, Tombstone, TombstoneSet
from yokedock.request.admission import RetryBudget
from yokedock.request.context import RequestContext
from yokedock.request.idempotency import check_key_window
from yokedock.request.service_backend import limits_of
from yokedock.version.bundle import Bundle
from yokedock.version.bundle_store import BundleStore
from yokedock.version.homes import home_of, rendezvous_order

RETRY_S = 0.05
ASK_AGAIN_S = 1.0
"""Time kept, of a deadline, to find out what became of a call that was handed over."""
TOMBSTONE_TIMEOUT_S = 0.5


@dataclasses.dataclass(frozen=True)
class ServiceOrder:
    """What the caller wants run."""

    service: str
    key: str
    body: bytes
    content_type: str


class ServiceRequests:
    """Serves calls to plain services for a gateway."""

    def __init__(
        self,
        store: BundleStore,
        find_peer: Callable[[str], AgentPeerHandle | None],
        budget: RetryBudget,
    ) -> None:
        """``find_peer`` returns the agent of a replica by name."""
        self._store = store
        self._find_peer = find_peer
        self._budget = budget

    def serve(self, context: RequestContext, order: ServiceOrder) -> ServiceAnswer:
        """Return the service's answer; raises a typed error with the outcome."""
        bundle = self._store.current()
        self._budget.request_arrived(bundle.limits.retry_share)
        if bundle.services[order.service].repeatable and not order.key:
            return self._serve_repeatable(context, order, bundle)
        if not order.key:
            message = f"calls of {order.service} may not be repeated; send an Idempotency-Key"
            raise BadIdempotencyKey(message)
        check_key_window(order.key, wall_clock_ms(), limits_of(bundle))
        return self._serve_once(context, order)

    def _serve_repeatable(
        self, context: RequestContext, order: ServiceOrder, bundle: Bundle
    ) -> ServiceAnswer:
        """Try the replicas, the least loaded first; repeat a lost call within the budget."""
        last: YokedockError = NoBackend("no replica is reachable; retry later", 1.0)
        for peer in self._replicas(context, order.service, bundle):
            attempt = context.next_attempt()
            try:
                return self._call(context, peer, order, attempt)
            except (Refused, NotRun, PeerNeverReached) as error:
                last = error
            except PeerUnreachable as error:
                if not self._budget.take():
                    raise RetryBudgetSpent(f"{error.message}; retry later", 1.0) from None
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
        """Call the key's home, and no other; find out what became of it when it does not answer."""
        handed_over = False
        while True:
            home = home_of(order.key, self._store.current().replicas_of(order.service))
            peer = self._find_peer(home) if home else None
            if peer is None:
                raise NotRun("the key's home is not reachable; nothing was run, retry", 1.0)
            attempt = context.next_attempt()
            try:
                return self._call(context, peer, order, attempt)
            except PeerNeverReached as error:
                if not handed_over:
                    raise NotRun(f"{error.message}; nothing was run", 1.0) from None
                self._pause_or_give_up(context, peer, order)
            except PeerUnreachable:
                handed_over = True
                self._pause_or_give_up(context, peer, order)
            except Refused as error:
                if handed_over:
                    message = f"an earlier order may have run ({error.code}); look up its result"
                    raise OutcomeUnknown(message, error.retry_after_s) from None
                raise
            finally:
                peer.drop(attempt)

    def _pause_or_give_up(
        self, context: RequestContext, peer: AgentPeerHandle, order: ServiceOrder
    ) -> None:
        """Wait a moment before asking the same home again; raises when time is nearly over.

        Asking again with the same key is safe: the home runs a key at most once.
        """
        context.check()
        if context.left_ms() / 1000 > ASK_AGAIN_S + RETRY_S:
            time.sleep(RETRY_S)
            return
        self._settle(peer, order)

    def _settle(self, peer: AgentPeerHandle, order: ServiceOrder) -> None:
        """Forbid the call at its home if that can still be confirmed; raises in every case."""
        unknown = "the call was handed over and its home does not answer; look up its result"
        try:
            reply = peer.call(Tombstone(order.service, order.key)).result(TOMBSTONE_TIMEOUT_S)
        except (YokedockError, TimeoutError):
            raise OutcomeUnknown(unknown) from None
        if isinstance(reply, TombstoneSet):
            raise NotRun("the call was taken back before it ran; send it with a fresh key")
        raise OutcomeUnknown(unknown)

    def _call(
        self, context: RequestContext, peer: AgentPeerHandle, order: ServiceOrder, attempt: str
    ) -> ServiceAnswer:
        """Call one replica under the version in force."""
        for _ in range(20):
            message: AnyMessage = ServiceCall(
                attempt,
                self._store.stamp.version,
                order.service,
                order.key,
                order.body,
                order.content_type,
                context.left_ms(),
            )
            try:
                answer = context.wait(peer.call(message, attempt), context.left_ms() / 1000)
            except (StaleVersion, NotReady):
                context.check()
                time.sleep(RETRY_S)
                continue
            assert isinstance(answer, ServiceAnswer)
            return answer
        raise NotReady("the bundle in force is being exchanged; nothing was run, retry", 1.0)
