"""Schedules the outgoing transfers of one prefill engine, shortest first with aging.

Without it, transfers of long prompts in a burst would share the link with those of short ones. A
transfer waits for a credit before it starts. Its priority grows with its waiting time, so that no
transfer starves.
"""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable

from yokedock.base.clock import boot_time_s

AGING_RATE_SHARE = 1.0
"""Each second of waiting counts as a size smaller by this share of a second's link bytes."""
CREDIT_SLACK_S = 1.0
"""An unreturned credit expires after four times its fair-share transfer time plus this."""


@dataclasses.dataclass
class WaitingTransfer:
    """A transfer that waits for a credit."""

    attempt: str
    size: int
    since_s: float
    give_up_s: float
    granted: Callable[[], None]


class TransferCredit:
    """Grants credits for at most ``most`` concurrent transfers."""

    def __init__(self, bytes_per_s: float, most: int) -> None:
        """``most`` transfers share a link of ``bytes_per_s``."""
        self._bytes_per_s = bytes_per_s
        self._max_transfers = most
        self._lock = threading.Lock()
        self._waiting: list[WaitingTransfer] = []
        self._granted: dict[str, float] = {}

    def ask(self, attempt: str, size: int, patience_s: float, granted: Callable[[], None]) -> None:
        """Request a credit for a transfer.

        ``granted`` is called once the transfer may start, unless ``patience_s`` has passed by then.
        """
        now = boot_time_s()
        with self._lock:
            self._waiting.append(WaitingTransfer(attempt, size, now, now + patience_s, granted))
        self.check()

    def give_back(self, attempt: str) -> None:
        """Return the credit of a transfer that ended, or cancel its request for one."""
        with self._lock:
            self._granted.pop(attempt, None)
            self._waiting = [w for w in self._waiting if w.attempt != attempt]
        self.check()

    def backlog_s(self) -> float:
        """Return the time that the link needs for all waiting transfers."""
        with self._lock:
            return sum(waiting.size for waiting in self._waiting) / self._bytes_per_s

    def check(self) -> None:
        """Grant free credits, and drop expired credits and requests."""
        now = boot_time_s()
        chosen: list[WaitingTransfer] = []
        with self._lock:
            for attempt in [a for a, ends_s in self._granted.items() if ends_s <= now]:
                del self._granted[attempt]
            self._waiting = [w for w in self._waiting if w.give_up_s > now]
            while self._waiting and len(self._granted) < self._max_transfers:
                first = min(self._waiting, key=lambda w: self._rank(w, now))
                self._waiting.remove(first)
                fair_share_s = 4 * self._max_transfers * first.size / self._bytes_per_s
                self._granted[first.attempt] = now + fair_share_s + CREDIT_SLACK_S
                chosen.append(first)
        for transfer in chosen:
            transfer.granted()

    def _rank(self, waiting: WaitingTransfer, now: float) -> float:
        aging_bytes = (now - waiting.since_s) * self._bytes_per_s * AGING_RATE_SHARE
        return waiting.size - aging_bytes
