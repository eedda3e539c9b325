"""One peer's lease at an agent: when it ends, and which attempts hang on it."""

from __future__ import annotations

from collections.abc import Callable

from yokedock.base.clock import boot_time_s
from yokedock.errors import LeaseExpired
from yokedock.request.backend import OrderGuard


class Lease(OrderGuard):
    """When the peer's lease ends and which attempts hang on it; read by worker threads."""

    def __init__(self, check_pause: Callable[[], None]) -> None:
        """Start expired: the first heartbeat renews."""
        self.expires_s = 0.0
        self.attempts: set[str] = set()
        self._check_pause = check_pause

    def is_valid(self) -> bool:
        """Return whether the lease has not expired."""
        return boot_time_s() < self.expires_s

    def check(self, attempt: str) -> None:
        """Raise ``LeaseExpired`` when the order may not be given any more."""
        self._check_pause()
        if not self.is_valid() or attempt not in self.attempts:
            raise LeaseExpired("the sender's lease ended or it gave the attempt up; send it again")
