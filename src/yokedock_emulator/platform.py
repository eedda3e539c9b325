"""Stand-ins for the platform: configuration service (read and watch only) and machine list.

Operators publish through ``/test`` paths, which the system itself never calls.
"""

from __future__ import annotations

import dataclasses
import threading

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.connection.configuration_watch import REVISION_HEADER
from yokedock.connection.http_server import HttpRequest, HttpResponse, HttpRouter, HttpServer
from yokedock.connection.machine_list import Machine, MachineList
from yokedock.errors import BadRequest, PlatformUnavailable
from yokedock.version.bundle_codec import SignedBundle
from yokedock_emulator.ledgers import PlatformLedger

HTTP_THREADS = 600
VALUES_PATH = "/v1/values/"
MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_MS = 60_000


@dataclasses.dataclass(frozen=True)
class StoredValue:
    """One value with the revision of its last change."""

    revision: int
    content: bytes


class Outage(msgspec.Struct, frozen=True):
    """``POST /test/outage``: take the configuration service down, or let it serve an old state."""

    down: bool = False
    stale: bool = False


class PublishedValue(msgspec.Struct, frozen=True):
    """``POST /test/publish``: set one value."""

    key: str
    content: bytes


class Platform:
    """Both stand-ins on one HTTP server."""

    def __init__(self, address: str = "127.0.0.1:0", list_lag_ms: float = 200.0) -> None:
        """Start to serve at ``address``."""
        self._changed = threading.Condition()
        self._values: dict[str, StoredValue] = {}
        self._stale_values: dict[str, StoredValue] = {}
        self._revision = 0
        self._outage = Outage()
        self._reads = 0
        self._watches = 0
        self._list_lag_s = list_lag_ms / 1000
        self._lists: list[tuple[float, tuple[Machine, ...]]] = [(0.0, ())]
        router = HttpRouter()
        router.add("GET", VALUES_PATH, self._read)
        router.add("GET", "/v1/machines", lambda request: HttpResponse.of(self.machine_list()))
        router.add("GET", "/ledger", lambda request: HttpResponse.of(self.ledger()))
        router.add("POST", "/test/publish", self._publish)
        router.add("POST", "/test/machines", self._set_machines)
        router.add("POST", "/test/outage", self._set_outage)
        self._server = HttpServer(router, address, HTTP_THREADS, 4 * MAX_VALUE_BYTES)
        self.url = self._server.url
        self._server.start()

    def publish(self, key: str, content: bytes) -> None:
        """Set a value and wake its watches."""
        with self._changed:
            self._revision += 1
            self._values[key] = StoredValue(self._revision, content)
            self._changed.notify_all()

    def publish_bundle(self, signed: SignedBundle) -> None:
        """Publish a bundle, the envelope last."""
        for item in signed.published():
            self.publish(item.key, item.content)

    def set_outage(self, outage: Outage) -> None:
        """Change what fails. A stale service serves the state of the moment it became stale."""
        with self._changed:
            if outage.stale and not self._outage.stale:
                self._stale_values = dict(self._values)
            self._outage = outage
            self._changed.notify_all()

    def restore_backup(self, lost: int) -> None:
        """Lower the revisions by ``lost``, as a restore from backup does, but keep the values."""
        with self._changed:
            self._revision = max(0, self._revision - lost)
            self._values = {
                key: StoredValue(min(value.revision, self._revision), value.content)
                for key, value in self._values.items()
            }

    def set_machines(self, machines: tuple[Machine, ...]) -> None:
        """Set the list; readers see it after the lag."""
        with self._changed:
            self._lists.append((boot_time_s(), machines))

    def machine_list(self) -> MachineList:
        """Return the list as it was some time ago."""
        horizon = boot_time_s() - self._list_lag_s
        with self._changed:
            while len(self._lists) > 1 and self._lists[1][0] <= horizon:
                self._lists.pop(0)
            return MachineList(self._lists[0][1])

    def ledger(self) -> PlatformLedger:
        """Return how often the configuration service was read."""
        return PlatformLedger(self._reads, self._watches)

    def _read(self, request: HttpRequest) -> HttpResponse:
        key = request.path[len(VALUES_PATH) :]
        try:
            after = int(request.query("after", "0"))
            wait_ms = min(int(request.query("wait_ms", "0")), MAX_WAIT_MS)
        except ValueError:
            raise BadRequest("after and wait_ms must be whole numbers") from None
        with self._changed:
            self._reads += 1
            self._watches += 1 if wait_ms else 0
            value = self._wait_for(key, after, wait_ms / 1000)
        if value is None:
            return HttpResponse(404)
        if wait_ms and value.revision <= after:
            return HttpResponse(204)
        headers = [(REVISION_HEADER, str(value.revision))]
        return HttpResponse(200, value.content, "application/octet-stream", headers)

    def _wait_for(self, key: str, after: int, wait_s: float) -> StoredValue | None:
        give_up_s = boot_time_s() + wait_s
        while True:
            if self._outage.down:
                raise PlatformUnavailable("the configuration service is down")
            values = self._stale_values if self._outage.stale else self._values
            value = values.get(key)
            remaining_s = give_up_s - boot_time_s()
            if remaining_s <= 0 or (value is not None and value.revision > after):
                return value
            self._changed.wait(remaining_s)

    def _publish(self, request: HttpRequest) -> HttpResponse:
        value = request.json(PublishedValue)
        self.publish(value.key, value.content)
        return HttpResponse.of(None)

    def _set_machines(self, request: HttpRequest) -> HttpResponse:
        self.set_machines(request.json(MachineList).machines)
        return HttpResponse.of(None)

    def _set_outage(self, request: HttpRequest) -> HttpResponse:
        self.set_outage(request.json(Outage))
        return HttpResponse.of(None)
