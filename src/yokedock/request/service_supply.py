"""When the backends of a service accept requests again, if none does now."""

from __future__ import annotations

import msgspec


class ServiceSupply(msgspec.Struct, frozen=True):
    """Availability of all backends of a service at one point in time."""

    unavailable_for_s: float
    """Time until a backend may be used again, 0 if one may be used now or there is none."""
    granted_per_s: float | None
    """Combined rate limit of all backends, None if one of them has no limit."""
    freed_per_s: float
    """Connections that become free per second if all are in use, else 0."""

    @property
    def is_served_in_order(self) -> bool:
        """Return whether requests wait for permits or connections, which become free one by one."""
        return self.freed_per_s > 0 or self.granted_per_s is not None

    def wait_s(self, before: float) -> float:
        """Return the expected wait of a request with ``before`` others ahead of it.

        If all backends have rate limits, the requests of all routers are served in turn. If all
        connections are in use, each one that becomes free serves one request.
        """
        if self.granted_per_s:
            return self.unavailable_for_s + before / self.granted_per_s
        return (before + 1) / self.freed_per_s if self.freed_per_s else self.unavailable_for_s
