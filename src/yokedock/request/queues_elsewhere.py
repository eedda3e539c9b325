"""What waits for room at all other routers, as they told last: sums that are kept by difference.

Every look for room asks for them, every datagram changes one router's row: keeping sums costs as
much as the services that one datagram names, whatever the number of routers.
"""

from __future__ import annotations

import msgspec

from yokedock.connection.router_state import QueueShare
from yokedock.request.waiter import Turn

NOTHING = QueueShare()


class ToldQueue(msgspec.Struct, frozen=True):
    """What one router told of one service's queue."""

    share: QueueShare
    turn: Turn | None
    """Of whoever is next there, None if none waits."""


class ServiceQueues:
    """What waits for the engines of one service, by router."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self.by_router: dict[str, ToldQueue] = {}
        self.turns: dict[str, Turn] = {}
        self.in_time = 0

    def put(self, router: str, told: ToldQueue) -> None:
        """Take over what a router tells."""
        self.drop(router)
        self.by_router[router] = told
        self.in_time += told.share.in_time
        if told.turn is not None:
            self.turns[router] = told.turn

    def drop(self, router: str) -> None:
        """Forget what a router told."""
        before = self.by_router.pop(router, None)
        if before is not None:
            self.in_time -= before.share.in_time
            self.turns.pop(router, None)


class QueuesElsewhere:
    """The queues of all other routers by service."""

    def __init__(self, own_address: str) -> None:
        """``own_address`` decides ties between turns."""
        self._own_address = own_address
        self._services: dict[str, ServiceQueues] = {}
        self._services_of: dict[str, set[str]] = {}

    def heard(self, router: str, queues: dict[str, QueueShare], now_s: float) -> bool:
        """Take over what a router tells; return whether somewhere nobody in time is left there.

        Then the late, who go behind all that are in time, may look for room.
        """
        before = self._services_of.get(router, set())
        has_emptied = False
        for service in before - queues.keys():
            has_emptied |= self._drop(router, service)
        for service, share in queues.items():
            known = self._services.setdefault(service, ServiceQueues())
            had_in_time = known.in_time
            known.put(router, ToldQueue(share, self._turn(router, share, now_s)))
            has_emptied |= had_in_time > 0 and not known.in_time
        if queues:
            self._services_of[router] = set(queues)
        else:
            self._services_of.pop(router, None)
        return has_emptied

    def forget(self, router: str) -> None:
        """Drop what a router told."""
        for service in self._services_of.pop(router, set()):
            self._drop(router, service)

    def share(self, service: str) -> QueueShare:
        """Return the sums over all other routers."""
        known = self._services.get(service)
        if known is None:
            return NOTHING
        arrivals_per_s = sum(told.share.arrivals_per_s for told in known.by_router.values())
        return QueueShare(known.in_time, arrivals_per_s)

    def in_time(self, service: str) -> int:
        """Return how many wait elsewhere that can still meet their target."""
        known = self._services.get(service)
        return known.in_time if known is not None else 0

    def turns(self, service: str) -> list[Turn]:
        """Return whose turn is next at each other router where something waits."""
        known = self._services.get(service)
        return list(known.turns.values()) if known is not None else []

    def size(self) -> int:
        """Return how many rows are kept."""
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
