"""Paces the transfers that leave one prefill engine, the shortest first.

A burst of long prompts would otherwise share the link with every short one. A transfer waits here
for its credit; one that has waited a while goes before shorter ones, so none starves.
"""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable

from yokedock.base.clock import boot_time_s

AGING_BYTES_PER_S_SHARE = 1.0
"""Waiting for a second counts like being shorter by this share of a second's bytes."""
CREDIT_SLACK_S = 1.0
"""A credit that is not given back ends after four times its fair time plus this."""


@dataclasses.dataclass
class WaitingTransfer:
    """One transfer that wants to start."""

    attempt: str
    size: int
    since_s: float
    give_up_s: float
    granted: Callable[[], None]


class TransferCredit:
    """Grants at most ``most`` transfers at one time."""

    def __init__(self, bytes_per_s: float, most: int) -> None:
        """Set the link's rate and how many transfers share it."""
        self._bytes_per_s = bytes_per_s
        self._most = most
        self._lock = threading.Lock()
        self._waiting: list[WaitingTransfer] = []
        self._granted: dict[str, float] = {}

    def ask(self, attempt: str, size: int, patience_s: float, granted: Callable[[], None]) -> None:
        """Call ``granted`` as soon as the transfer may start."""
        now = boot_time_s()
        with self._lock:
            self._waiting.append(WaitingTransfer(attempt, size, now, now + patience_s, granted))
        self.check()

    def give_back(self, attempt: str) -> None:
        """The transfer ended, or is not wanted any more."""
        with self._lock:
            self._granted.pop(attempt, None)
            self._waiting = [w for w in self._waiting if w.attempt != attempt]
        self.check()

    def backlog_s(self) -> float:
        """Return how long the link needs for everything that waits."""
        with self._lock:
            return sum(waiting.size for waiting in self._waiting) / self._bytes_per_s

    def check(self) -> None:
        """Grant what can be granted now."""
        now = boot_time_s()
        chosen: list[WaitingTransfer] = []
        with self._lock:
            for attempt in [a for a, ends_s in self._granted.items() if ends_s <= now]:
                del self._granted[attempt]
            self._waiting = [w for w in self._waiting if w.give_up_s > now]
            while self._waiting and len(self._granted) < self._most:
                first = min(self._waiting, key=lambda w: self._rank(w, now))
                self._waiting.remove(first)
                fair_s = 4 * self._most * first.size / self._bytes_per_s
                self._granted[first.attempt] = now + fair_s + CREDIT_SLACK_S
                chosen.append(first)
        for transfer in chosen:
            transfer.granted()

    def _rank(self, waiting: WaitingTransfer, now: float) -> float:
        aged = (now - waiting.since_s) * self._bytes_per_s * AGING_BYTES_PER_S_SHARE
        return waiting.size - aged
