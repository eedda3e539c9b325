"""Divides the connections that a backend accepts equally between the routers.

A backend resets connections beyond its limit without saying that it did not run the requests on
them, so a router must not find the limit by trying. Idle connections count like those in use, as
otherwise a newly started router would find none left.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from yokedock.version.route_table import ServiceSpec

USABLE_SHARE = 0.9
"""Share of a backend's connections that is used. The rest is left for calls other than requests,
for connections whose closing the backend has not yet noticed, and for routers that are not known
yet."""


class ConnectionShares:
    """The connection shares of one router."""

    def __init__(self, routers: Callable[[], int] = lambda: 1) -> None:
        """``routers`` counts all that may have connections, including this one and silent ones."""
        self._routers = routers

    def most(self, service: ServiceSpec) -> int:
        """Return how many connections this router may have to one backend, at least 1."""
        return max(1, math.floor(USABLE_SHARE * service.max_connections / max(1, self._routers())))
