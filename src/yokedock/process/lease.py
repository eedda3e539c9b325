"""Lease of one peer at an agent: its expiry time and the attempts that depend on it."""

from __future__ import annotations

from collections.abc import Callable

from yokedock.base.clock import boot_time_s
from yokedock.errors import LeaseExpired
from yokedock.request.backend import OrderGuard


class Lease(OrderGuard):
    """Expiry time and attempts of a peer's lease; worker threads read both."""

    def __init__(self, check_pause: Callable[[], None]) -> None:
        """Create an expired lease, which the first heartbeat renews."""
        self.expires_s = 0.0
        self.attempts: set[str] = set()
        self._check_pause = check_pause

    def is_valid(self) -> bool:
        """Return whether the lease has not expired."""
        return boot_time_s() < self.expires_s

    def check(self, attempt: str) -> None:
        """Raise ``LeaseExpired`` if a command for the attempt is no longer authorised."""
        self._check_pause()
        if not self.is_valid() or attempt not in self.attempts:
            raise LeaseExpired("the sender's lease has expired or it released the attempt; retry")
