"""The decode slots of one engine: reservations made ahead of prefill, and running streams.

A reservation promises that a slot is free by a certain time. It is granted when enough running
streams are bound to have ended by then, at the measured step time and their longest output.
"""

from __future__ import annotations

import dataclasses
import threading
import time

from yokedock.errors import AttemptLost, NoDecodeRoom

STEP_SMOOTHING = 0.1
"""Weight of a new step time in the running mean."""
MIN_RETRY_AFTER_S = 0.2


@dataclasses.dataclass
class SlotEntry:
    """One reserved or running attempt; times are monotonic seconds."""

    attempt: str
    expires_s: float
    tokens_left: int
    is_running: bool = False


class SlotTable:
    """Grants, holds and frees slots. Safe for use by several threads."""

    def __init__(self, slots: int, step_ms: float) -> None:
        """Set the number of slots, and the step time to assume until steps are measured."""
        self.slots = slots
        self._step_s = step_ms / 1000
        self._lock = threading.Lock()
        self._entries: dict[str, SlotEntry] = {}

    def reserve(self, attempt: str, ready_by_s: float, expires_s: float, tokens: int) -> float:
        """Promise a slot by ``ready_by_s``; return when one is expected to be free.

        Raises ``NoDecodeRoom`` when none will be free in time. Asking again for the same attempt
        renews its reservation.
        """
        now = time.monotonic()
        with self._lock:
            self._drop_expired(now)
            known = self._entries.get(attempt)
            if known is not None:
                known.expires_s = max(known.expires_s, expires_s)
                return now
            free_at_s = self._free_at(now)
            if free_at_s > max(now, ready_by_s):
                wait_s = max(MIN_RETRY_AFTER_S, free_at_s - now)
                raise NoDecodeRoom("all decode slots are taken in time; retry later", wait_s)
            self._entries[attempt] = SlotEntry(attempt, expires_s, tokens)
            return max(now, free_at_s)

    def start(self, attempt: str) -> None:
        """Turn a reservation into a running stream; raises ``AttemptLost`` if it has expired."""
        with self._lock:
            self._drop_expired(time.monotonic())
            entry = self._entries.get(attempt)
            if entry is None:
                raise AttemptLost("the reservation has expired; reserve again")
            entry.is_running = True

    def progressed(self, attempt: str, tokens: int) -> None:
        """Note that a running stream got ``tokens`` more."""
        entry = self._entries.get(attempt)
        if entry is not None:
            entry.tokens_left = max(0, entry.tokens_left - tokens)

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
            self._drop_expired(time.monotonic())
            return len(self._entries)

    def holds(self, attempt: str) -> bool:
        """Return whether the attempt has a slot."""
        with self._lock:
            self._drop_expired(time.monotonic())
            return attempt in self._entries

    def _free_at(self, now: float) -> float:
        """Return when one more slot is expected to be free."""
        surplus = len(self._entries) - self.slots
        if surplus < 0:
            return now
        ends = sorted(self._end_of(entry, now) for entry in self._entries.values())
        return ends[surplus]

    def _end_of(self, entry: SlotEntry, now: float) -> float:
        start = now if entry.is_running else entry.expires_s
        return start + entry.tokens_left * self._step_s

    def _drop_expired(self, now: float) -> None:
        expired = [e for e in self._entries.values() if not e.is_running and e.expires_s <= now]
        for entry in expired:
            del self._entries[entry.attempt]
