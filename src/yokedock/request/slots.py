"""Decode slots of one engine: reservations made before the prefill, and running streams.

A reservation guarantees a free slot by a given time. To check it, the table simulates how streams
occupy the slots: each starts when its prefill is predicted to end, and runs for its maximum output
at the measured step time. A reservation is granted if it gets its slot in time and delays no
earlier reservation past its own time.

Some slots are kept free from long, low-priority requests: as many as the requests of higher
priority that are expected within ``HEADROOM_WINDOW_S`` at their current arrival rate. So a short
request of high priority finds a slot while long ones of lower priority fill the engine. Without
arrivals of higher priority no slot is kept free. Requests shorter than those of higher priority are
not limited either, since their slots are soon free again.
"""

from __future__ import annotations

import dataclasses
import heapq
import threading

from yokedock.base.clock import boot_time_s
from yokedock.errors import AttemptLost, NoDecodeCapacity
from yokedock.request.arrival_rates import ArrivalRates

STEP_SMOOTHING = 0.1
"""Weight of a new step time in the exponential moving average."""
MIN_RETRY_AFTER_S = 0.2
HEADROOM_WINDOW_S = 0.5
"""Slots are kept free for the higher-priority requests expected within this time."""
MAX_HEADROOM_SHARE = 0.5
"""At most this share of the slots is kept free."""


@dataclasses.dataclass
class SlotEntry:
    """A reserved or running attempt; times are seconds of boot time.

    ``ready_s`` is the predicted end of its prefill, ``latest_s`` the time by which it must have its
    slot, ``expires_s`` the expiry of an unused reservation.
    """

    attempt: str
    priority: int
    tokens_left: int
    ready_s: float
    latest_s: float
    expires_s: float
    is_running: bool = False
    is_in_batch: bool = False
    """Whether it has produced tokens, and so certainly occupies a slot of the engine."""


class SlotTable:
    """Reserves and frees slots. Thread-safe."""

    def __init__(self, slots: int, step_ms: float) -> None:
        """``step_ms`` is the step time assumed until steps are measured."""
        self.slots = slots
        self._step_s = step_ms / 1000
        self._lock = threading.Lock()
        self._entries: dict[str, SlotEntry] = {}
        self._rates = ArrivalRates()

    def reserve(self, entry: SlotEntry) -> float:
        """Reserve a slot by ``entry.latest_s``; return when one is expected to be free.

        Raises ``NoDecodeCapacity`` if none will be free in time, or if another reservation would
        become late. A second call for the same attempt extends its reservation.
        """
        now = boot_time_s()
        with self._lock:
            self._drop_expired(now)
            known = self._entries.get(entry.attempt)
            if known is not None:
                known.expires_s = max(known.expires_s, entry.expires_s)
                return now
            self._rates.arrived(entry.priority, entry.tokens_left, now)
            starts = self.simulate_starts(now, entry, self._headroom(entry, now))
            late_s = starts[entry.attempt] - max(now, entry.latest_s)
            if late_s > 0 or self._delays_reservation(now, starts):
                message = "no decode slot becomes free in time; retry later"
                raise NoDecodeCapacity(message, max(MIN_RETRY_AFTER_S, late_s))
            self._entries[entry.attempt] = entry
            return starts[entry.attempt]

    def start(self, attempt: str) -> None:
        """Mark a reserved attempt as running; raises ``AttemptLost`` if its reservation expired."""
        with self._lock:
            self._drop_expired(boot_time_s())
            entry = self._entries.get(attempt)
            if entry is None:
                raise AttemptLost("the reservation has expired; reserve again")
            entry.is_running = True

    def add_tokens(self, attempt: str, tokens: int) -> None:
        """Record that a running stream produced ``tokens`` more tokens."""
        entry = self._entries.get(attempt)
        if entry is not None:
            entry.tokens_left = max(0, entry.tokens_left - tokens)
            entry.is_in_batch = True

    def add_step_time(self, seconds: float) -> None:
        """Add a measured step time to the moving average."""
        self._step_s += (seconds - self._step_s) * STEP_SMOOTHING

    def free(self, attempt: str) -> None:
        """Free the slot or the reservation of an attempt."""
        with self._lock:
            self._entries.pop(attempt, None)

    def taken(self) -> int:
        """Return the number of reserved and running attempts."""
        with self._lock:
            self._drop_expired(boot_time_s())
            return len(self._entries)

    def _headroom(self, entry: SlotEntry, now: float) -> int:
        """Return how many slots are kept free from a stream of this priority and length."""
        urgent = self._rates.above(entry.priority, now)
        if urgent.per_s <= 0:
            return 0
        relative_excess = entry.tokens_left / max(1.0, urgent.mean_tokens) - 1
        share = min(1.0, max(0.0, relative_excess))
        most = int(self.slots * MAX_HEADROOM_SHARE)
        return min(most, round(urgent.per_s * HEADROOM_WINDOW_S * share))

    def simulate_starts(
        self, now: float, asking: SlotEntry | None = None, headroom: int = 0
    ) -> dict[str, float]:
        """Simulate the use of the slots; return when each attempt without a slot gets one.

        The simulation includes ``asking``, which gets a slot only once more than ``headroom`` slots
        are free.
        """
        in_batch = [entry for entry in self._entries.values() if entry.is_in_batch]
        ends = [now + self._remaining_run_s(entry) for entry in in_batch]
        ends += [now] * (self.slots - len(in_batch))
        heapq.heapify(ends)
        for _ in range(len(in_batch) - self.slots):
            heapq.heappop(ends)
        waiting = [entry for entry in self._entries.values() if not entry.is_in_batch]
        if asking is not None:
            waiting.append(asking)
        starts: dict[str, float] = {}
        for entry in sorted(waiting, key=lambda waiting: waiting.ready_s):
            needed = headroom if entry is asking else 0
            free_s = heapq.nsmallest(needed + 1, ends)[-1]
            starts[entry.attempt] = max(now, free_s)
            taken_s = max(now, free_s, entry.ready_s)
            heapq.heapreplace(ends, taken_s + self._remaining_run_s(entry))
        return starts

    def _delays_reservation(self, now: float, starts: dict[str, float]) -> bool:
        """Return whether a new reservation makes an existing one late that was in time before."""
        before = self.simulate_starts(now)
        return any(
            starts[attempt] > self._entries[attempt].latest_s >= start_s
            for attempt, start_s in before.items()
        )

    def _remaining_run_s(self, entry: SlotEntry) -> float:
        """Return the expected time that the entry still occupies its slot once it has it."""
        return entry.tokens_left * self._step_s

    def _drop_expired(self, now: float) -> None:
        expired = [e for e in self._entries.values() if not e.is_running and e.expires_s <= now]
        for entry in expired:
            del self._entries[entry.attempt]
