"""Admin HTTP server of a daemon: health, readiness, status and histograms."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokedock.base.histograms import Histograms
from yokedock.base.resource_budget import ConnectionGroup
from yokedock.connection.http_server import HttpRequest, HttpResponse, HttpRouter, HttpServer
from yokedock.errors import NotReady

ADMIN_THREADS = 4
MAX_BODY_BYTES = 16_384


class PeerStatus(msgspec.Struct, frozen=True):
    """Status of one peer, as known to the process."""

    name: str
    connected: bool
    role: str
    ready: bool
    leaving: bool
    slots: int
    slots_taken: int
    version: int


class ProcessStatus(msgspec.Struct, frozen=True):
    """Response to ``GET /status``: identity and current state of a process."""

    name: str
    kind: str
    zone: str
    incarnation: int
    version: int
    digest: str
    ready: bool
    stopping: bool
    in_flight: int
    role: str = ""
    peers: tuple[PeerStatus, ...] = ()


class AdminServer:
    """Serves operators on a separate address, so that a load of callers cannot block them."""

    def __init__(
        self,
        listen: str,
        status: Callable[[], ProcessStatus],
        histograms: Histograms,
        group: ConnectionGroup,
    ) -> None:
        """Bind the address; raises ``SettingsInvalid`` if it is already in use.

        Its connections belong to ``group``.
        """
        self._status = status
        self._histograms = histograms
        router = HttpRouter()
        router.add("GET", "/health", lambda request: HttpResponse.of("alive"))
        router.add("GET", "/ready", self._ready)
        router.add("GET", "/status", lambda request: HttpResponse.of(status()))
        router.add("GET", "/histograms", lambda request: HttpResponse.of(histograms.encode()))
        self._server = HttpServer(router, listen, ADMIN_THREADS, MAX_BODY_BYTES, group)
        self.address = self._server.address

    def start(self) -> None:
        """Start to serve."""
        self._server.start()

    def close(self) -> None:
        """Stop immediately."""
        self._server.close()

    def _ready(self, request: HttpRequest) -> HttpResponse:
        if not self._status().ready:
            raise NotReady("the process is not ready; check /status for its state", 1.0)
        return HttpResponse.of("ready")
