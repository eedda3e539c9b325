"""The decode slots of one engine: reservations made ahead of prefill, and running streams.

A reservation promises that a slot is free by a certain time. The table replays how all streams
take the slots in turn, each when its prefill is predicted to be over, at the measured step time and
their longest output. A reservation is granted if its slot and those promised before come in time.

Some slots are held back from long work of lower priority: as many as work of higher priority is
expected to ask for within ``HEADROOM_S``, by its present rate. So a short urgent request finds a
slot while long ones of lower priority fill the engine. Where no such work comes, nothing is held
back, and work shorter than the urgent is not held back either: its slot is soon free again.
"""

from __future__ import annotations

import dataclasses
import heapq
import threading

from yokedock.base.clock import boot_time_s
from yokedock.errors import AttemptLost, NoDecodeRoom
from yokedock.request.arrival_rates import ArrivalRates

STEP_SMOOTHING = 0.1
"""Weight of a new step time in the running mean."""
MIN_RETRY_AFTER_S = 0.2
HEADROOM_S = 0.5
"""Slots are held back for the higher-priority work that is expected within this time."""
MOST_HEADROOM_SHARE = 0.5
"""At most this share of the slots is held back."""


@dataclasses.dataclass
class SlotEntry:
    """One reserved or running attempt; times are seconds of boot time.

    ``ready_s`` is when its prefill is predicted to be over, ``latest_s`` when it must have its
    slot, ``expires_s`` when a reservation that was not used ends.
    """

    attempt: str
    priority: int
    tokens_left: int
    ready_s: float
    latest_s: float
    expires_s: float
    is_running: bool = False
    is_in_batch: bool = False
    """Whether it has brought tokens, and so certainly has its slot at the engine."""


class SlotTable:
    """Grants, holds and frees slots. Safe for use by several threads."""

    def __init__(self, slots: int, step_ms: float) -> None:
        """Set the number of slots, and the step time to assume until steps are measured."""
        self.slots = slots
        self._step_s = step_ms / 1000
        self._lock = threading.Lock()
        self._entries: dict[str, SlotEntry] = {}
        self._rates = ArrivalRates()

    def reserve(self, entry: SlotEntry) -> float:
        """Promise a slot by ``entry.latest_s``; return when one is expected to be free.

        Raises ``NoDecodeRoom`` when none will be free in time, or when another reservation would
        come too late. Asking again for the same attempt renews its reservation.
        """
        now = boot_time_s()
        with self._lock:
            self._drop_expired(now)
            known = self._entries.get(entry.attempt)
            if known is not None:
                known.expires_s = max(known.expires_s, entry.expires_s)
                return now
            self._rates.arrived(entry.priority, entry.tokens_left, now)
            starts = self.expected_starts(now, entry, self._headroom(entry, now))
            late_s = starts[entry.attempt] - max(now, entry.latest_s)
            if late_s > 0 or self._breaks_promise(now, starts):
                message = "all decode slots are taken in time; retry later"
                raise NoDecodeRoom(message, max(MIN_RETRY_AFTER_S, late_s))
            self._entries[entry.attempt] = entry
            return starts[entry.attempt]

    def start(self, attempt: str) -> None:
        """Turn a reservation into a running stream; raises ``AttemptLost`` if it has expired."""
        with self._lock:
            self._drop_expired(boot_time_s())
            entry = self._entries.get(attempt)
            if entry is None:
                raise AttemptLost("the reservation has expired; reserve again")
            entry.is_running = True

    def progressed(self, attempt: str, tokens: int) -> None:
        """Note that a running stream got ``tokens`` more."""
        entry = self._entries.get(attempt)
        if entry is not None:
            entry.tokens_left = max(0, entry.tokens_left - tokens)
            entry.is_in_batch = True

    def step_took(self, seconds: float) -> None:
        """Take a measured step time into the running mean."""
        self._step_s += (seconds - self._step_s) * STEP_SMOOTHING

    def free(self, attempt: str) -> None:
        """Free the attempt's slot."""
        with self._lock:
            self._entries.pop(attempt, None)

    def taken(self) -> int:
        """Return how many slots are reserved or running."""
        with self._lock:
            self._drop_expired(boot_time_s())
            return len(self._entries)

    def _headroom(self, entry: SlotEntry, now: float) -> int:
        """Return how many slots are held back from a stream of this priority and length."""
        urgent = self._rates.above(entry.priority, now)
        if urgent.per_s <= 0:
            return 0
        how_much_longer = entry.tokens_left / max(1.0, urgent.mean_tokens) - 1
        share = min(1.0, max(0.0, how_much_longer))
        most = int(self.slots * MOST_HEADROOM_SHARE)
        return min(most, round(urgent.per_s * HEADROOM_S * share))

    def expected_starts(
        self, now: float, asking: SlotEntry | None = None, headroom: int = 0
    ) -> dict[str, float]:
        """Replay who takes a slot when; return the start of each that has none yet.

        ``asking`` must find one slot more than ``headroom`` free.
        """
        in_batch = [entry for entry in self._entries.values() if entry.is_in_batch]
        ends = [now + self._stay_s(entry) for entry in in_batch]
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
            heapq.heapreplace(ends, taken_s + self._stay_s(entry))
        return starts

    def _breaks_promise(self, now: float, starts: dict[str, float]) -> bool:
        """Return whether one more reservation makes another late that was not late before."""
        before = self.expected_starts(now)
        return any(
            starts[attempt] > self._entries[attempt].latest_s >= start_s
            for attempt, start_s in before.items()
        )

    def _stay_s(self, entry: SlotEntry) -> float:
        """Return how long the entry keeps its slot from the time it has it."""
        return entry.tokens_left * self._step_s

    def _drop_expired(self, now: float) -> None:
        expired = [e for e in self._entries.values() if not e.is_running and e.expires_s <= now]
        for entry in expired:
            del self._entries[entry.attempt]
