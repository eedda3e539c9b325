"""One budget for what a process holds for its clients: memory, and connections.

Each request and each answer has a limit of its own, but clients may send many at once, stop short
of the end, or not read what they asked for, and a process that exceeds its memory is ended with
all requests that it serves. All that is held for a connection is therefore counted in one place.

As long as there is room, nobody is held to anything. When there is none, connections that make no
progress are closed first, so that slow clients cannot keep all others out; only then are requests
refused. Progress is bytes over time: a byte a second is none.
"""

from __future__ import annotations

import enum
import math
import threading
from collections.abc import Callable, Iterator

from yokedock.base.clock import boot_time_s
from yokedock.base.ordered_set import OrderedSet

MIB = 1_048_576
CONNECTION_BYTES = 32_768
"""Memory of a connection itself, with its tasks and buffers."""
SMALL_BYTES = 65_536
"""A request or an answer of up to this size may use the reserve."""
LARGEST_RESPONSE_BYTES = 16_777_216
HELD_SHARE = 0.75
"""Share of the memory beyond the process's own that may be held; the rest is for copies."""
RESERVE_SHARE = 0.125
"""Share of the budget that large requests and answers leave to small ones."""
MIN_USABLE_SHARE = 0.125
"""Share of the memory that counts as usable even if the process itself leaves less."""
MIN_PROGRESS_BYTES = 32_768
STALLED_S = 3.0
"""A connection has stalled if it moves less than ``MIN_PROGRESS_BYTES`` in this time."""
MAX_HOLD_S = 60.0
"""How long a request may arrive, or an answer be read, before it gives way to others."""
SEARCH_INTERVAL_S = 0.1
"""Interval of searches for connections to close after one has found too few."""
UNREAD_SHARE = 1 / 256
MIN_UNREAD_BYTES = 131_072
MAX_UNREAD_BYTES = 2_097_152
"""Bounds of what the kernel keeps unread of each connection, as a share of the budget: more of it
lets a distant client send faster."""
CLOSING_SHARE = 0.125
"""Connections that are being closed, as a share of those that may be open."""


class Stage(enum.Enum):
    """What a connection is doing, and so whose progress is awaited."""

    IDLE = "idle"
    """No request has arrived."""
    RECEIVING = "receiving"
    """A request is arriving."""
    SERVED = "served"
    """A request is being served: nothing is expected of the client."""
    SENDING = "sending"
    """An answer waits for the client to read it."""


class Holding:
    """What is held for one connection. Sizes are bytes, times are seconds of boot time."""

    def __init__(self, group: ConnectionGroup, evict: Callable[[], None]) -> None:
        """Create an empty holding; ``ConnectionGroup.open`` counts it."""
        self.group = group
        self._budget = group.budget
        self._evict = evict
        self.stage = Stage.IDLE
        self.entered_s = self.progress_s = self._budget.now_s()
        self._moved_bytes = 0
        """Bytes moved since ``progress_s``."""
        self.request_bytes = 0
        self.response_bytes = 0
        self.has_unread_requests = False
        """Whether more requests than are read ahead wait behind the one that is answered."""
        self.is_evicted = False

    @property
    def size(self) -> int:
        """Return the bytes that are held, including the connection itself."""
        return CONNECTION_BYTES + self.request_bytes + self.response_bytes

    @property
    def unread_limit_bytes(self) -> int:
        """Return how much of what the client sends may wait in the kernel."""
        return self._budget.unread_limit_bytes

    def enter(self, stage: Stage) -> None:
        """Note what the connection does from now on."""
        if stage is not self.stage:
            self.stage = stage
            self.entered_s = self.progress_s = self._budget.now_s()
            self._moved_bytes = 0

    def record_progress(self, size: int) -> None:
        """Note that the client has sent, or has taken, ``size`` bytes more."""
        self._moved_bytes += size
        if self._moved_bytes >= MIN_PROGRESS_BYTES:
            self.progress_s = self._budget.now_s()
            self._moved_bytes = 0

    def has_request_room(self, size: int) -> bool:
        """Return whether ``size`` bytes of requests in all can be held now."""
        return self._budget.has_request_room(self, size)

    def has_spare_room(self, more: int) -> bool:
        """Return whether ``more`` bytes can be held without closing or refusing anything."""
        return self._budget.total_bytes + more <= self._budget.large_limit_bytes

    def try_hold_request(self, size: int) -> bool:
        """Hold ``size`` bytes of requests in all if there is room; return whether there is."""
        return self._budget.try_hold_request(self, size)

    def hold_request(self, size: int) -> None:
        """Hold ``size`` bytes of requests in all, whether there is room or not."""
        self._budget.set_sizes(self, size, self.response_bytes)

    def hold_response(self, size: int) -> None:
        """Hold ``size`` bytes of responses in all, whether there is room or not."""
        self._budget.set_sizes(self, self.request_bytes, size)

    def make_room(self) -> bool:
        """Have stalled connections closed, possibly this one, if more is held than is allowed.

        Return whether no more is held than that.
        """
        return self._budget.makes_room(self._budget.limit_bytes, None)

    def has_response_room(self) -> bool:
        """Return whether what is held of responses fits; a small one always does."""
        if self.response_bytes <= SMALL_BYTES:
            return True
        return self._budget.makes_room(self._budget.large_limit_bytes, self)

    def close(self) -> None:
        """Note that the connection is closed."""
        self._budget.remove(self)
        self._evict = _do_nothing

    def evict(self) -> None:
        """Have the connection closed; its memory no longer counts."""
        self._budget.evictions += 1
        self._budget.release(self)
        self._evict()

    def has_stalled(self, now_s: float) -> bool:
        """Return whether the client makes too little progress for others to wait for it."""
        if self.has_unread_requests:
            return True
        if self.stage in (Stage.IDLE, Stage.SERVED):
            return False
        return now_s - self.progress_s >= STALLED_S or now_s - self.entered_s >= MAX_HOLD_S


class ConnectionGroup:
    """The connections that were accepted at one address."""

    def __init__(self, budget: ResourceBudget, max_connections: float) -> None:
        """Accept at most ``max_connections`` at a time, and a few more that are being closed."""
        self.budget = budget
        self._max_connections = max_connections
        self._max_closing = max(1.0, CLOSING_SHARE * max_connections)
        self.open_holdings: OrderedSet[Holding] = OrderedSet()
        self.closing_holdings: OrderedSet[Holding] = OrderedSet()
        """Those that were evicted and are not closed yet."""

    def open(self, evict: Callable[[], None]) -> Holding | None:
        """Return the holding of a new connection, None if there is no room for it.

        Another connection at the address is closed if that makes room: the idle or stalled one
        whose client has been waited for longest. ``evict`` closes the new connection in the same
        case, in whichever thread uses the budget.
        """
        return self.budget.open(Holding(self, evict))

    def closed(self) -> Holding:
        """Return the holding of a connection that is not accepted."""
        holding = Holding(self, _do_nothing)
        holding.is_evicted = True
        return holding

    def is_full(self) -> bool:
        """Return whether no further connection may be open."""
        return len(self.open_holdings) >= self._max_connections

    def may_evict(self) -> bool:
        """Return whether few enough connections are being closed to close another one."""
        return len(self.closing_holdings) < self._max_closing


class ResourceBudget:
    """What a process may hold for its clients; may be used in any thread."""

    def __init__(self, limit_bytes: float, clock: Callable[[], float] = boot_time_s) -> None:
        """Allow ``limit_bytes`` in all."""
        self.limit_bytes = limit_bytes
        self.large_limit_bytes = (1.0 - RESERVE_SHARE) * limit_bytes
        """How much may be held in all before large requests and answers find no room."""
        self.request_limit_bytes = max(
            self.large_limit_bytes / 2, self.large_limit_bytes - LARGEST_RESPONSE_BYTES
        )
        """How much large requests may hold: the largest answer has room beside them."""
        self.unread_limit_bytes = round(
            min(MAX_UNREAD_BYTES, max(MIN_UNREAD_BYTES, UNREAD_SHARE * limit_bytes))
        )
        """How much of what one client sends may wait in the kernel."""
        self.total_bytes = 0
        self.request_bytes = 0
        self.reserved_bytes = 0
        """What one large answer may still need: it is left free by all others."""
        self.evictions = 0
        """Number of connections that were closed to make room."""
        self.refusals = 0
        """Number of connections and requests that found no room."""
        self.on_release: Callable[[], None] = lambda: None
        """Called when less is held than before."""
        self._groups: list[ConnectionGroup] = []
        self._clock = clock
        self._search_due_s = -math.inf
        self._lock = threading.RLock()

    @classmethod
    def of_process(cls, memory_bytes: float, own_bytes: float) -> ResourceBudget:
        """Return the budget of a process that may use ``memory_bytes``.

        Without any client it uses ``own_bytes`` of them.
        """
        usable = max(memory_bytes - own_bytes, MIN_USABLE_SHARE * memory_bytes)
        return cls(HELD_SHARE * usable)

    def group(self, max_connections: float = math.inf) -> ConnectionGroup:
        """Return a new group of connections."""
        group = ConnectionGroup(self, max_connections)
        self._groups.append(group)
        return group

    def now_s(self) -> float:
        """Return the time of the clock in use."""
        return self._clock()

    def levels(self) -> dict[str, float]:
        """Return the current values of the metrics."""
        return {
            "held_bytes": self.total_bytes,
            "held_bytes_limit": self.limit_bytes,
            "held_evictions": self.evictions,
            "held_refusals": self.refusals,
        }

    def open(self, holding: Holding) -> Holding | None:
        """Count a new connection; see ``ConnectionGroup.open``."""
        with self._lock:
            group = holding.group
            most_bytes = self.limit_bytes - holding.size
            if group.is_full() or not self.makes_room(most_bytes, holding):
                self._evict_waiting(group)
            if group.is_full() or self.total_bytes > most_bytes:
                self.refusals += 1
                return None
            group.open_holdings.add(holding)
            self.total_bytes += holding.size
            return holding

    def has_request_room(self, holding: Holding, size: int) -> bool:
        """Return whether ``holding`` may hold ``size`` bytes of requests in all."""
        with self._lock:
            more = size - holding.request_bytes
            if holding.is_evicted or more <= 0 or self._makes_request_room(holding, size):
                return True
            self.refusals += 1
            return False

    def try_hold_request(self, holding: Holding, size: int) -> bool:
        """Set the request bytes of ``holding`` if there is room; return whether there is."""
        with self._lock:
            has_room = self.has_request_room(holding, size)
            if has_room:
                self.set_sizes(holding, size, holding.response_bytes)
            return has_room

    def set_sizes(self, holding: Holding, request_bytes: int, response_bytes: int) -> None:
        """Set both sizes of ``holding``, unless it was evicted."""
        with self._lock:
            if holding.is_evicted:
                return
            before = holding.size
            self.request_bytes += request_bytes - holding.request_bytes
            holding.request_bytes = request_bytes
            holding.response_bytes = response_bytes
            self.total_bytes += holding.size - before
            if holding.size < before:
                self.on_release()

    def release(self, holding: Holding) -> None:
        """Count nothing for ``holding`` any more, but for its connection that is being closed."""
        with self._lock:
            if holding.is_evicted:
                return
            self.set_sizes(holding, 0, 0)
            holding.is_evicted = True
            self.total_bytes -= holding.size
            holding.group.open_holdings.discard(holding)
            holding.group.closing_holdings.add(holding)
            self.on_release()

    def remove(self, holding: Holding) -> None:
        """Forget ``holding``, whose connection is closed."""
        with self._lock:
            self.release(holding)
            holding.group.closing_holdings.discard(holding)

    def makes_room(self, most_bytes: float, requester: Holding | None) -> bool:
        """Return whether at most ``most_bytes`` are held, after closing stalled connections.

        Those that hold most are closed first, ``requester`` in no case.
        """
        with self._lock:
            now_s = self.now_s()
            if self.total_bytes <= most_bytes or now_s < self._search_due_s:
                return self.total_bytes <= most_bytes
            stalled = [each for each in self._holdings() if each.has_stalled(now_s)]
            for holding in sorted(stalled, key=lambda each: -each.size):
                if self.total_bytes <= most_bytes:
                    return True
                if holding is not requester:
                    holding.evict()
            if self.total_bytes > most_bytes:
                self._search_due_s = now_s + SEARCH_INTERVAL_S
            return self.total_bytes <= most_bytes

    def _makes_request_room(self, holding: Holding, size: int) -> bool:
        more = size - holding.request_bytes
        if size <= SMALL_BYTES:
            return self.makes_room(self.limit_bytes - more, holding)
        beside_bytes = self.total_bytes - self.request_bytes
        most_bytes = min(
            self.large_limit_bytes - self.reserved_bytes, beside_bytes + self.request_limit_bytes
        )
        while not self.makes_room(most_bytes - more, holding):
            newer = self._newest_arriving_after(holding)
            if newer is None:
                return False
            newer.evict()
        return True

    def _newest_arriving_after(self, holding: Holding) -> Holding | None:
        """Return the large request that began to arrive last, None unless after ``holding``.

        If all gave way to each other alike, none would ever arrive whole.
        """
        arriving = [
            each
            for each in self._holdings()
            if each.stage is Stage.RECEIVING and each.request_bytes > SMALL_BYTES
        ]
        newest = max(arriving, key=lambda each: each.entered_s, default=None)
        if newest is None or newest.entered_s <= holding.entered_s:
            return None
        return newest

    def _evict_waiting(self, group: ConnectionGroup) -> None:
        """Close the idle or stalled connection whose client has been waited for longest."""
        now_s = self.now_s()
        waiting = [
            each
            for each in group.open_holdings
            if each.stage is Stage.IDLE or each.has_stalled(now_s)
        ]
        if waiting and group.may_evict():
            min(waiting, key=lambda each: each.progress_s).evict()

    def _holdings(self) -> Iterator[Holding]:
        for group in self._groups:
            yield from group.open_holdings


def _do_nothing() -> None:
    """Evict a connection that is closed already."""


_UNLIMITED = ResourceBudget(math.inf).group()


def unlimited_holding() -> Holding:
    """Return a holding that is limited by nothing."""
    return Holding(_UNLIMITED, _do_nothing)
