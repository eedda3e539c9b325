"""When the backends of a service take requests again, where none takes one now."""

from __future__ import annotations

import msgspec


class ServiceSupply(msgspec.Struct, frozen=True):
    """What one look at all backends of a service shows."""

    rest_left_s: float
    """Until a backend may be used again, 0 if one may be now and where there is none."""
    granted_per_s: float | None
    """What all take together where all have named limits."""
    freed_per_s: float
    """How many connections come free in a second where all are in use, else 0."""

    @property
    def moves_in_order(self) -> bool:
        """Return whether a wait is for permits or connections, which come one after the other."""
        return self.freed_per_s > 0 or self.granted_per_s is not None

    def wait_s(self, before: float) -> float:
        """Return for how long a request waits that has ``before`` others before it.

        Where all backends have named limits, the requests of all routers are taken in turn; where
        all connections are in use, one goes out for each that comes free.
        """
        if self.granted_per_s:
            return self.rest_left_s + before / self.granted_per_s
        return (before + 1) / self.freed_per_s if self.freed_per_s else self.rest_left_s
