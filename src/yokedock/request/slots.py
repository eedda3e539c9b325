"""The decode slots of one engine: reservations made ahead of prefill, and running streams.

A reservation takes a slot only for the time in which its stream is expected to run: from when its
prefill will be ready, for its longest output at the measured step time. Before that, the slot
serves shorter streams. It is granted when at no moment of that time more streams would run than
there are slots.
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
    start_s: float
    expires_s: float
    tokens_left: int
    is_running: bool = False

    def span(self, now: float, step_s: float) -> tuple[float, float]:
        """Return from when to when the stream is expected to take a slot."""
        start_s = now if self.is_running else max(now, self.start_s)
        return start_s, start_s + self.tokens_left * step_s


class SlotTable:
    """Grants, holds and frees slots. Safe for use by several threads."""

    def __init__(self, slots: int, step_ms: float) -> None:
        """Set the number of slots, and the step time to assume until steps are measured."""
        self.slots = slots
        self._step_s = step_ms / 1000
        self._lock = threading.Lock()
        self._entries: dict[str, SlotEntry] = {}

    def reserve(
        self, attempt: str, need_at_s: float, ready_by_s: float, expires_s: float, tokens: int
    ) -> float:
        """Promise a slot from ``need_at_s`` on, or a little later; return from when.

        Raises ``NoDecodeRoom`` when none will be free by ``ready_by_s``. Asking again for the same
        attempt renews its reservation.
        """
        now = time.monotonic()
        with self._lock:
            self._drop_expired(now)
            known = self._entries.get(attempt)
            if known is not None:
                known.expires_s = max(known.expires_s, expires_s)
                return max(now, known.start_s)
            start_s = self._earliest(now, max(now, need_at_s), tokens * self._step_s)
            if start_s > max(now, need_at_s, ready_by_s):
                wait_s = max(MIN_RETRY_AFTER_S, start_s - max(now, ready_by_s))
                raise NoDecodeRoom("all decode slots are taken in time; retry later", wait_s)
            self._entries[attempt] = SlotEntry(attempt, start_s, expires_s, tokens)
            return start_s

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

    def _earliest(self, now: float, from_s: float, duration_s: float) -> float:
        """Return the first time from ``from_s`` on at which a slot is free for the duration."""
        spans = [entry.span(now, self._step_s) for entry in self._entries.values()]
        ends = sorted(end_s for _, end_s in spans if end_s > from_s)
        for candidate_s in (from_s, *ends):
            if self._fits(spans, candidate_s, candidate_s + duration_s):
                return candidate_s
        return ends[-1]

    def _fits(self, spans: list[tuple[float, float]], from_s: float, until_s: float) -> bool:
        """Return whether one more stream fits between the two times.

        The number of streams rises only where one starts, so those moments are enough to look at.
        """
        overlapping = [span for span in spans if span[0] < until_s and span[1] > from_s]
        moments = [from_s, *(start_s for start_s, _ in overlapping if start_s > from_s)]
        return all(
            sum(start_s <= moment < end_s for start_s, end_s in overlapping) < self.slots
            for moment in moments
        )

    def _drop_expired(self, now: float) -> None:
        expired = [e for e in self._entries.values() if not e.is_running and e.expires_s <= now]
        for entry in expired:
            del self._entries[entry.attempt]
