"""What the operator and the platform do during a long run: configurations, backends that change.

Every configuration renames all routes; a backend is replaced by one of another name.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from yokedock.base.clock import boot_time_s
from yokedock.platform.documents import (
    ONCE_KIND,
    REPEATABLE_KIND,
    STREAM_KIND,
    Stage,
    StoredConfiguration,
    StoredEngine,
    StoredRoute,
    StoredServer,
    StoredService,
)
from yokedock.platform.headers import PLATFORM_HEADERS
from yokedock.request.engine_placement import DECODE_ROLE, PREFILL_ROLE
from yokedock_emulator.header_backend import HeaderBackend
from yokedock_emulator.state_store import StateStore

HOST = "long.example"
TARGET_MS = 10.0
SERVICES = {"once": "plain", "repeat": "plain", "chat": "model", "idle": "nobody"}
"""The service of each kind of route; no backend serves ``nobody``."""
STORED_KINDS = {
    "once": ONCE_KIND,
    "idle": ONCE_KIND,
    "repeat": REPEATABLE_KIND,
    "chat": STREAM_KIND,
}
KEPT_VERSIONS = 3
"""Versions of the configuration whose routes stand in each."""
OLD_BACKEND_S = 1.5
"""A replaced backend goes on serving for this long after its entry is removed, excluding processor
wait, so that requests of a delayed router are not cut off."""
OLD_BACKEND_LIMIT_S = 10.0
"""Upper bound of that period, including processor wait."""
GRACE_POLL_S = 0.05
PLAIN_BACKENDS = 4
DECODE_ENGINES = 3


class LongRunOperator:
    """The store, the backends and the configurations of one long run."""

    def __init__(self, routes: int, processor_wait_s: Callable[[], float]) -> None:
        """Publish ``routes`` routes of each kind in a configuration.

        ``processor_wait_s`` returns the total processor wait of the router and this process so far.
        """
        self._routes_a_kind = routes
        self._processor_wait_s = processor_wait_s
        self._stop_tasks: set[asyncio.Task[None]] = set()
        self._store = StateStore()
        self._backends: dict[str, HeaderBackend] = {}
        self._version = 0
        self._next_backend = 0

    @property
    def store_address(self) -> str:
        """Return where the router reads its state."""
        return self._store.address

    async def start(self) -> None:
        """Start the store and the backends, and publish what a router needs."""
        await self._store.start()
        for _ in range(PLAIN_BACKENDS):
            await self._add_backend("plain", "")
        await self._add_backend("model", PREFILL_ROLE)
        for _ in range(DECODE_ENGINES):
            await self._add_backend("model", DECODE_ROLE)
        await self.publish()
        await self.publish()

    def stop(self) -> None:
        """End the backends and the store."""
        for task in self._stop_tasks:
            task.cancel()
        for backend in self._backends.values():
            backend.stop()
        self._store.stop()

    def route_in_use(self, kind: str, number: int) -> str:
        """Return the name of a route that callers may use now."""
        return _route_name(kind, self._version - 1, number)

    async def _add_backend(self, service: str, role: str) -> str:
        self._next_backend += 1
        instance = f"i-{self._next_backend}"
        backend = HeaderBackend(instance, PLATFORM_HEADERS, role)
        await backend.start()
        self._backends[instance] = backend
        stage = cast(Stage, role)
        server = StoredServer(service, backend.address, "zone-1", 64, "ready", "v1", 0.0, 1, stage)
        self._store.put_server(instance, server)
        return instance

    async def replace_backend(self) -> None:
        """Replace the oldest backend that is no prefill engine by one of another name."""
        instance, old = next(
            (name, backend)
            for name, backend in self._backends.items()
            if backend.role != PREFILL_ROLE
        )
        await self._add_backend("model" if old.role else "plain", old.role)
        del self._backends[instance]
        self._store.remove_server(instance)
        task = asyncio.create_task(self._stop_after_grace(old))
        self._stop_tasks.add(task)
        task.add_done_callback(self._stop_tasks.discard)

    async def _stop_after_grace(self, old: HeaderBackend) -> None:
        started_s, initial_wait_s = boot_time_s(), self._processor_wait_s()
        elapsed_s = waited_s = 0.0
        while elapsed_s - waited_s < OLD_BACKEND_S and elapsed_s < OLD_BACKEND_LIMIT_S:
            await asyncio.sleep(GRACE_POLL_S)
            elapsed_s = boot_time_s() - started_s
            waited_s = self._processor_wait_s() - initial_wait_s
        old.stop()

    async def publish(self) -> None:
        """Publish a configuration with the routes of this version and of those before.

        Callers use the routes of the version before the newest, which stand in the configuration
        before, in this one and in the next: a request on its way when one of them comes into force
        still finds its route.
        """
        self._version += 1
        versions = range(self._version - KEPT_VERSIONS + 1, self._version + 1)
        routes = [route for version in versions for route in self._routes(version)]
        engine = StoredEngine(slot_count=64, kv_capacity=1_000_000, kv_token_bytes=1.0)
        services = (
            StoredService("plain"),
            StoredService("model", engine=engine),
            StoredService("nobody"),
        )
        self._store.publish(StoredConfiguration(self._version, tuple(routes), services))

    def _routes(self, version: int) -> list[StoredRoute]:
        return [
            StoredRoute(
                name=_route_name(kind, version, number),
                host=HOST,
                path_prefix=f"/{_route_name(kind, version, number)}/",
                route_type=STORED_KINDS[kind],
                timeout_ms=10_000.0,
                target_latency_ms=TARGET_MS,
                service=service,
                max_attempts=2,
                resumable=kind == "chat",
            )
            for kind, service in SERVICES.items()
            for number in range(self._routes_a_kind)
        ]


def _route_name(kind: str, version: int, number: int) -> str:
    return f"{kind}-{version}-{number}"
