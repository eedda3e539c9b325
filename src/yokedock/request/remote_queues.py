"""Queue state of all other routers, as last reported, with incrementally maintained totals.

The totals are read on every attempt to place a waiter, while a datagram changes the state of one
router only. Incremental updates cost time proportional to the services named in a datagram,
independent of the number of routers.
"""

from __future__ import annotations

import itertools

import msgspec

from yokedock.connection.router_state import QueueShare
from yokedock.request.waiter import Turn

EMPTY_SHARE = QueueShare()


class ReportedQueue(msgspec.Struct, frozen=True):
    """One router's report on the queue of one service."""

    share: QueueShare
    turn: Turn | None
    """Turn of the next waiter there, None if the queue is empty."""


class RemoteServiceQueues:
    """The queues for one service, by router."""

    def __init__(self) -> None:
        """Start with no reports."""
        self.by_router: dict[str, ReportedQueue] = {}
        self.turns: dict[str, Turn] = {}
        self.awaited_versions: dict[str, tuple[int, ...]] = {}
        """By router, without those where none is awaited."""
        self.in_time = 0

    def put(self, router: str, report: ReportedQueue) -> None:
        """Store a router's report, replacing its previous one."""
        self.drop(router)
        self.by_router[router] = report
        self.in_time += report.share.in_time
        if report.turn is not None:
            self.turns[router] = report.turn
        if report.share.awaited_versions:
            self.awaited_versions[router] = report.share.awaited_versions

    def drop(self, router: str) -> None:
        """Remove a router's report."""
        before = self.by_router.pop(router, None)
        if before is not None:
            self.in_time -= before.share.in_time
            self.turns.pop(router, None)
            self.awaited_versions.pop(router, None)


class RemoteQueues:
    """The queues of all other routers, by service."""

    def __init__(self, own_address: str) -> None:
        """``own_address`` is used to break ties between turns."""
        self._own_address = own_address
        self._services: dict[str, RemoteServiceQueues] = {}
        self._services_by_router: dict[str, set[str]] = {}

    def heard(self, router: str, queues: dict[str, QueueShare], now_s: float) -> bool:
        """Store a router's report; return whether it emptied some service's remote on-time queue.

        Late waiters, which yield to all on-time ones, may then be placed.
        """
        before = self._services_by_router.get(router, set())
        has_emptied_on_time = False
        for service in before - queues.keys():
            has_emptied_on_time |= self._drop(router, service)
        for service, share in queues.items():
            known = self._services.setdefault(service, RemoteServiceQueues())
            had_in_time = known.in_time
            known.put(router, ReportedQueue(share, self._turn(router, share, now_s)))
            has_emptied_on_time |= had_in_time > 0 and not known.in_time
        if queues:
            self._services_by_router[router] = set(queues)
        else:
            self._services_by_router.pop(router, None)
        return has_emptied_on_time

    def forget(self, router: str) -> None:
        """Remove all reports of a router."""
        for service in self._services_by_router.pop(router, set()):
            self._drop(router, service)

    def share(self, service: str) -> QueueShare:
        """Return the totals over all other routers."""
        known = self._services.get(service)
        if known is None:
            return EMPTY_SHARE
        arrivals_per_s = sum(report.share.arrivals_per_s for report in known.by_router.values())
        awaited = itertools.chain.from_iterable(known.awaited_versions.values())
        return QueueShare(known.in_time, arrivals_per_s, awaited_versions=tuple(set(awaited)))

    def in_time(self, service: str) -> int:
        """Return how many waiters at other routers can still meet their target."""
        known = self._services.get(service)
        return known.in_time if known is not None else 0

    def turns(self, service: str) -> list[Turn]:
        """Return the next turn at each other router with a non-empty queue."""
        known = self._services.get(service)
        return list(known.turns.values()) if known is not None else []

    def size(self) -> int:
        """Return the number of stored reports."""
        return sum(len(known.by_router) for known in self._services.values())

    def _turn(self, router: str, share: QueueShare, now_s: float) -> Turn | None:
        if not share.next_in_ms:
            return None
        until_s = now_s + abs(share.next_in_ms) / 1000
        return Turn(share.next_in_ms < 0, until_s, wins_ties=router < self._own_address)

    def _drop(self, router: str, service: str) -> bool:
        known = self._services[service]
        had_in_time = known.in_time
        known.drop(router)
        if not known.by_router:
            del self._services[service]
        return had_in_time > 0 and not known.in_time
