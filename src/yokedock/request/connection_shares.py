"""How many connections a router may have to a backend, of those that it takes from all routers.

Pattern: equal shares of a count. A backend resets what goes beyond, and says to nobody that it has
not run what was on its way: so no router may find the end by trying. Connections that rest count as
those in use do, or a router that starts would find none left.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from yokedock.version.route_table import ServiceSpec

USABLE_SHARE = 0.9
"""Share of a backend's connections that is used. The rest is for calls that are no requests, for
connections that it has not yet seen closed, and for routers that are not known yet."""


class ConnectionShares:
    """The shares of one router."""

    def __init__(self, routers: Callable[[], int] = lambda: 1) -> None:
        """``routers`` counts all that may have connections, this one and silent ones included."""
        self._routers = routers

    def most(self, service: ServiceSpec) -> int:
        """Return how many connections this router may have to one backend, at least 1."""
        return max(1, math.floor(USABLE_SHARE * service.max_connections / max(1, self._routers())))
