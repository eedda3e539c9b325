"""Operator and platform of the soak: configurations, and backends that come, leave and fail."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Coroutine, Sequence
from typing import Any, cast

from yokedock.base.clock import boot_time_s, wall_clock_ms
from yokedock.base.ordered_set import OrderedSet
from yokedock.platform.documents import (
    DRAINING,
    ONCE_KIND,
    REPEATABLE_KIND,
    STREAM_KIND,
    Stage,
    StoredConfiguration,
    StoredEngine,
    StoredRoute,
    StoredServer,
    StoredService,
    StoredState,
)
from yokedock.request.engine_placement import DECODE_ROLE, PREFILL_ROLE
from yokedock_emulator.router_soak.soak_backend import LIMITS, SoakBackend
from yokedock_emulator.router_soak.soak_plan import (
    DEFAULT_OPTIONS,
    ROLLOUT_OF_ALL,
    ROLLOUT_OF_SOME,
    ROLLOUT_WITHDRAWN,
    SoakEvent,
    SoakOptions,
)
from yokedock_emulator.router_soak.soak_records import (
    KINDS,
    LIVES_IN,
    MODEL_SERVICE,
    ROUTES_A_KIND,
    VERSIONS,
    SoakHistory,
    SoakRoute,
)
from yokedock_emulator.router_soak.soak_store import SoakStore

HOST = "soak.example"
LOOPBACK = "127.0.0.1"
STORED_KINDS = {
    "once": ONCE_KIND,
    "repeat": REPEATABLE_KIND,
    "talk": STREAM_KIND,
    "chat": STREAM_KIND,
}
POOLS = [("plain-a", "", 3), ("plain-b", "", 3), ("model", PREFILL_ROLE, 2)]
POOLS.append(("model", DECODE_ROLE, 3))
"""Service, role and number of backends."""
MIXED_DECODE_ENGINES = 6
"""Number of decode engines where there are two software versions."""
MORE_DECODE_ENGINES = 10
"""Number of them where all routers are killed, so that two engines of each version mostly serve."""
ROLLOUT_ENGINES = {PREFILL_ROLE: 2, DECODE_ROLE: 5}
"""Engines of each version where versions are rolled out, by role."""
LEAVES_AFTER_ROLLOUT_S = (0.0, 0.8)
"""Engines of the version before leave so long after those of the new one have joined."""
WITHDRAWN_AFTER_S = (0.4, 1.5)
"""Engines of a version that is withdrawn leave so long after they have joined."""
SERVES_ON_S = 8.0
"""A backend that leaves goes on serving for so long: whoever still comes to it is seen."""
ENDS_S = 4.0
"""What is under way then has so long to end."""
UNLISTED_S = 2.0
"""The entry of a backend that was killed goes after this time."""
BACK_AFTER_S = (0.2, 1.0)
"""A backend that a request has ended is back after so long."""
REWRITE_DELAY_S = (0.1, 1.8)
"""Time after a restore until the operator or a backend rewrites what the backup lacks."""
ENTRY_EXPIRY_S = 2.0
"""A restored entry that its backend does not rewrite is removed after this time."""
ODD_DOCUMENTS = (b"", b"{", b"[]", b"\xff", b'{"service": "model"}', b'{"state": "ready"}')
"""What other writers leave in the place of an entry."""
SLOTS = 64
LIMIT_OF_ALL = "20"
"""What each backend of a service names as all of them do: under a third of what callers ask for."""
TIMEOUTS_MS = (9_000.0, 10_000.0, 15_000.0)
"""All beyond the deadline of callers, so that no answer depends on which one is in force."""
TARGET_LATENCIES_MS = (500.0, 1_000.0, 3_000.0)
MAX_ATTEMPTS = (2, 3, 4)
VERSION_STEP = 7
"""Versions of the operator's configurations rise by more than one."""


@dataclasses.dataclass(frozen=True)
class RouteSettings:
    """Limits that a configuration sets for all of its routes and engines."""

    timeout_ms: float = 10_000.0
    target_latency_ms: float = 1_000.0
    max_attempts: int = 3
    slots: int = SLOTS


class SoakOperator:
    """Writes the store and owns all backends."""

    def __init__(
        self,
        history: SoakHistory,
        options: SoakOptions = DEFAULT_OPTIONS,
        backends_hosts: Sequence[str] = (LOOPBACK,),
    ) -> None:
        """Start with nothing; decode engines have two software versions if so asked.

        With ``has_version_rollouts``, the backends of each version have a host of their own, in the
        order of ``VERSIONS``.
        """
        self._backends_hosts = backends_hosts
        self._has_rollouts = options.has_version_rollouts
        self._newest_version = VERSIONS[0]
        self._mixed_decode_engines = (
            MORE_DECODE_ENGINES if options.has_all_routers_killed else MIXED_DECODE_ENGINES
        )
        self._versions = VERSIONS[: 2 if options.has_two_versions else 1]
        self._changes_settings = options.has_stops_in_turn
        self._setting_choices = random.Random("soak-settings")
        self._version_choices = random.Random("soak-versions")
        self.store = SoakStore()
        self.version = 0
        """Newest configuration, counted from 1."""
        self._history = history
        self.serving: list[SoakBackend] = []
        """Those listed and not leaving."""
        self._all: list[SoakBackend] = []
        self._next = 0
        self._choices = random.Random("soak-operator")
        self._born_ms: dict[str, int] = {}
        """When the newest life of each backend began, by identifier."""
        self._entries: dict[str, StoredServer | None] = {}
        """Last entry written by each backend, None after its removal."""
        self._configuration: StoredConfiguration | None = None
        self._later: OrderedSet[asyncio.Task[Any]] = OrderedSet()

    async def start(self, store_host: str = LOOPBACK, states_first_version: bool = True) -> None:
        """Start the store and the backends, and publish what the first requests need.

        Entries of the first version do not name it unless ``states_first_version``.
        """
        if not states_first_version:
            self._history.unstated_versions.add(VERSIONS[0])
        await self.store.start(store_host)
        for service, role, count in POOLS:
            is_mixed = role == DECODE_ROLE and len(self._versions) > 1
            if self._has_rollouts and service == MODEL_SERVICE:
                count = ROLLOUT_ENGINES[role]
            for _ in range(self._mixed_decode_engines if is_mixed else count):
                await self._add(service, role)
        for _ in range(LIVES_IN):
            self.publish()

    def stop(self) -> None:
        """End everything."""
        for task in self._later:
            task.cancel()
        for backend in self._all:
            backend.kill()
        self.store.stop()

    # --- Configurations ---

    def publish(self, more_routes: int = 0) -> None:
        """Publish the next configuration: its own routes and those of the two before."""
        self.version += 1
        settings = self._settings()
        routes = [
            _stored(SoakRoute(kind, version, number), settings)
            for version in range(max(1, self.version - LIVES_IN + 1), self.version + 1)
            for kind in KINDS
            for number in range(ROUTES_A_KIND)
        ]
        fill = [
            _stored(SoakRoute("once", self.version, 1000 + n), settings) for n in range(more_routes)
        ]
        engine = StoredEngine(slot_count=settings.slots, kv_capacity=1_000_000, kv_token_bytes=1.0)
        services = (
            StoredService("plain-a"),
            StoredService("plain-b"),
            StoredService("model", engine=engine),
        )
        number = self.version * VERSION_STEP
        self._configuration = StoredConfiguration(number, tuple(routes + fill), services)
        self.store.publish(self._configuration)
        self._history.published_s[self.version] = boot_time_s()

    def _settings(self) -> RouteSettings:
        """Return the limits of the next configuration; they change only if so asked."""
        if not self._changes_settings:
            return RouteSettings()
        return RouteSettings(
            timeout_ms=self._setting_choices.choice(TIMEOUTS_MS),
            target_latency_ms=self._setting_choices.choice(TARGET_LATENCIES_MS),
            max_attempts=self._setting_choices.choice(MAX_ATTEMPTS),
            slots=self._setting_choices.choice((SLOTS, SLOTS // 2)),
        )

    # --- The store's faults ---

    def silence_store(self, length_s: float) -> None:
        """Let the store answer nobody for a while."""
        now_s = boot_time_s()
        self._history.store_silent_s.append((now_s, now_s + length_s))
        self.store.fall_silent()
        asyncio.get_running_loop().call_later(length_s, self.store.speak_again)

    def restore_store(self, offline_s: float, backup_age_s: float) -> None:
        """Take the store offline, restore a backup, and rewrite later what the backup lacks."""
        now_s = boot_time_s()
        recovered_s = now_s + offline_s + ENTRY_EXPIRY_S
        self._history.store_silent_s.append((now_s, recovered_s))
        self._history.restored_s.append((now_s - backup_age_s, now_s, recovered_s))
        self.store.go_offline()
        self._after(offline_s, self._finish_restore(now_s - backup_age_s))

    async def _finish_restore(self, taken_s: float) -> None:
        self.store.restore_backup_taken_at(taken_s)
        self.store.go_online()
        self._after(self._choices.uniform(*REWRITE_DELAY_S), self._rewrite_configuration())
        for instance, entry in self._entries.items():
            delay_s = (
                self._choices.uniform(*REWRITE_DELAY_S) if entry is not None else ENTRY_EXPIRY_S
            )
            self._after(delay_s, self._rewrite_entry(instance))

    async def _rewrite_configuration(self) -> None:
        if self._configuration is not None and not self.store.contains_configuration(
            self._configuration
        ):
            self.store.publish(self._configuration)

    async def _rewrite_entry(self, instance: str) -> None:
        entry = self._entries[instance]
        if entry is None:
            self.store.remove_server(instance)
        elif not self.store.contains_server(instance, entry):
            self.store.put_server(instance, entry)

    # --- Backends ---

    async def strike(self, soak_event: SoakEvent) -> str:
        """Let something happen to a backend; return its name."""
        backend = self.serving[soak_event.target % len(self.serving)]
        if soak_event.kind in ("errors", "refusals", "rest", "endless bytes"):
            self._fail(backend, soak_event)
            return backend.instance
        if soak_event.kind == "silent moment":
            is_silent = backend.fall_silent(soak_event.length_s)
            return backend.instance if is_silent else f"{backend.instance} not again"
        if soak_event.kind in ("limit", "limit of all"):
            return self._limit(backend, soak_event)
        if soak_event.kind == "restart":
            backend.kill()
            self._crashed(backend)
            return backend.instance
        if soak_event.kind == "odd entry":
            self._write_oddly(backend, soak_event.length_s)
            return backend.instance
        if soak_event.kind in ("outage", "rest of all"):
            for other in self.serving:
                if other.service == backend.service:
                    self._fail(other, soak_event)
            return backend.service
        # Removed before the replacement starts: if the backend ends meanwhile, _crashed would
        # remove it from the list, and a second removal fails.
        self.serving.remove(backend)
        self._record_engines()
        version = backend.version if self._has_rollouts else ""
        if soak_event.kind != "replace":
            await self._add(backend.service, backend.role, version=version)
        if soak_event.kind == "drain":
            self._drain(backend)
        elif soak_event.kind == "remove":
            self._remove(backend)
        else:
            backend.kill()
            self._history.killed_s.append((backend.service, boot_time_s()))
            self._after(UNLISTED_S, self._unlist_later(backend))
        if soak_event.kind == "replace":
            await self._add(backend.service, backend.role, backend.address, version)
        return backend.instance

    async def roll_out(self, soak_event: SoakEvent) -> str:
        """Let engines of the next version join and some of those before leave; return the version.

        Those that leave are listed as draining, or are not listed any more, by the event's target.
        Nothing happens after the last version.
        """
        previous = VERSIONS.index(self._newest_version)
        if previous + 1 == len(VERSIONS):
            return "is not possible"
        before = [backend for backend in self.serving if backend.service == MODEL_SERVICE]
        self._newest_version = VERSIONS[previous + 1]
        self._history.rollouts_s.append(boot_time_s())
        for role, count in ROLLOUT_ENGINES.items():
            for _ in range(count):
                await self._add(MODEL_SERVICE, role, version=self._newest_version)
        is_announced = soak_event.target % 2 == 0
        for backend in _leaving_engines(before, VERSIONS[previous], soak_event.kind):
            delay_s = self._version_choices.uniform(*LEAVES_AFTER_ROLLOUT_S)
            self._after(delay_s, self._leave(backend, is_announced))
        if soak_event.kind == ROLLOUT_WITHDRAWN:
            delay_s = self._version_choices.uniform(*WITHDRAWN_AFTER_S)
            self._after(delay_s, self._withdraw(self._newest_version, is_announced))
        return self._newest_version

    async def _withdraw(self, version: str, is_announced: bool) -> None:
        for backend in [each for each in self.serving if each.version == version]:
            await self._leave(backend, is_announced)

    async def _leave(self, backend: SoakBackend, is_announced: bool) -> None:
        if backend not in self.serving:
            return
        self.serving.remove(backend)
        self._record_engines()
        if is_announced:
            self._drain(backend)
        else:
            self._remove(backend)

    def _remove(self, backend: SoakBackend) -> None:
        """Unlist a backend, which goes on serving for a while."""
        self._unlist(backend)
        backend.is_leaving = True
        self._after(SERVES_ON_S, backend.end(ENDS_S))

    def _fail(self, backend: SoakBackend, soak_event: SoakEvent) -> None:
        """Let a backend answer errors, refuse or ask for rest, for a while."""
        modes = {
            "refusals": "refusals",
            "rest": "rest",
            "rest of all": "rest",
            "endless bytes": "endless",
        }
        backend.mode = modes.get(soak_event.kind, "errors")
        self._record_engines()
        self._after(soak_event.length_s, self._recover(backend))

    def _limit(self, backend: SoakBackend, soak_event: SoakEvent) -> str:
        """Let a backend, or all of its service, name a limit for a while."""
        is_all = soak_event.kind == "limit of all"
        limited = [
            other
            for other in self.serving
            if other is backend or (is_all and other.service == backend.service)
        ]
        text = LIMIT_OF_ALL if is_all else LIMITS[soak_event.target % len(LIMITS)]
        for other in limited:
            other.name_limit(text)
            self._record_engines()
            self._after(soak_event.length_s, self._end_limit(other))
        return f"{backend.service if is_all else backend.instance} names {text}"

    async def _end_limit(self, backend: SoakBackend) -> None:
        backend.name_limit("")
        self._record_engines()

    async def _add(self, service: str, role: str, address: str = "", version: str = "") -> None:
        """Start a backend; its address and version are chosen if empty."""
        self._next += 1
        version = version or self._next_version(role)
        group = VERSIONS.index(version) if self._has_rollouts else 0
        address = address or f"{self._backends_hosts[group]}:0"
        backend = SoakBackend(
            f"i-{self._next}", service, role, self._history, version, self._has_rollouts
        )
        await self._begin(backend, address)

    def _next_version(self, role: str) -> str:
        """Return the version of the next backend: in two of three cases the less frequent one."""
        if role != DECODE_ROLE:
            return self._version_choices.choice(self._versions)
        counts = {version: self._decode_engines(version) for version in self._versions}
        fewest = min(self._versions, key=lambda version: counts[version])
        candidates: tuple[str, ...] = (fewest, fewest, *self._versions)
        return self._version_choices.choice(candidates)

    def _decode_engines(self, version: str) -> int:
        """Return the number of decode engines of a version that are listed."""
        return sum(b.role == DECODE_ROLE and b.version == version for b in self.serving)

    def _record_engines(self) -> None:
        """Record the number of decode engines of each version that serve, if it has changed."""
        for version in VERSIONS:
            steps = self._history.engines.setdefault(version, [])
            count = sum(
                b.role == DECODE_ROLE and b.version == version and b.takes_all for b in self.serving
            )
            if (steps or count) and (not steps or steps[-1][1] != count):
                steps.append((boot_time_s(), count))

    async def _begin(self, backend: SoakBackend, address: str) -> None:
        await backend.start(address)
        backend.on_crash = self._crashed
        self._born_ms[backend.instance] = wall_clock_ms()
        self.serving.append(backend)
        self._record_engines()
        self._all.append(backend)
        self._list(backend, "ready")

    def _crashed(self, backend: SoakBackend) -> None:
        """Have a backend that ended come back under its identifier after a while."""
        self._history.killed_s.append((backend.service, boot_time_s()))
        if backend in self.serving:
            self.serving.remove(backend)
            self._record_engines()
            self._after(self._choices.uniform(*BACK_AFTER_S), self._start_anew(backend))

    async def _start_anew(self, before: SoakBackend) -> None:
        """Start the next life of a backend at the same address, under the same identifier."""
        after = SoakBackend(
            before.instance,
            before.service,
            before.role,
            self._history,
            before.version,
            self._has_rollouts,
        )
        await self._begin(after, before.address)

    def _write_oddly(self, backend: SoakBackend, length_s: float) -> None:
        """Let another writer spoil a backend's entry; the backend writes it again later."""
        document = self._choices.choice(ODD_DOCUMENTS)
        self.store.put_entry(backend.instance, document)
        self._after(length_s, self._write_again(backend))

    async def _write_again(self, backend: SoakBackend) -> None:
        if backend in self.serving:
            self._list(backend, "ready")

    def _list(self, backend: SoakBackend, state: StoredState) -> None:
        stage = cast(Stage, backend.role)
        born_ms = self._born_ms[backend.instance]
        is_unstated = backend.version in self._history.unstated_versions
        server = StoredServer(
            backend.service,
            backend.address,
            "zone-1",
            SLOTS,
            state,
            "" if is_unstated else backend.version,
            0.0,
            1,
            stage,
            born=born_ms,
        )
        self._entries[backend.instance] = server
        self.store.put_server(backend.instance, server)

    def _drain(self, backend: SoakBackend) -> None:
        self._list(backend, DRAINING)
        self._history.leaving_s[backend.instance] = boot_time_s()
        backend.is_leaving = True
        self._after(SERVES_ON_S, self._end_drained(backend))

    async def _end_drained(self, backend: SoakBackend) -> None:
        await backend.end(ENDS_S)
        self._unlist(backend)

    async def _recover(self, backend: SoakBackend) -> None:
        backend.mode = "normal"
        self._record_engines()

    async def _unlist_later(self, backend: SoakBackend) -> None:
        self._unlist(backend)

    def _unlist(self, backend: SoakBackend) -> None:
        self._entries[backend.instance] = None
        self.store.remove_server(backend.instance)
        self._history.leaving_s.setdefault(backend.instance, boot_time_s())

    def _after(self, delay_s: float, work: Coroutine[Any, Any, None]) -> None:
        async def run() -> None:
            try:
                await asyncio.sleep(delay_s)
            except asyncio.CancelledError:
                work.close()
                raise
            await work

        task = asyncio.create_task(run())
        self._later.add(task)
        task.add_done_callback(self._later.discard)


def _leaving_engines(
    before: list[SoakBackend], previous: str, rollout_kind: str
) -> list[SoakBackend]:
    """Return the engines of earlier versions that leave in a rollout.

    Those older than ``previous`` always do, unless the new version will be withdrawn.
    """
    if rollout_kind == ROLLOUT_WITHDRAWN:
        return []
    share = {ROLLOUT_OF_ALL: 1.0, ROLLOUT_OF_SOME: 0.5}.get(rollout_kind, 0.0)
    leaving = [engine for engine in before if engine.version != previous]
    for role in ROLLOUT_ENGINES:
        engines = [each for each in before if each.version == previous and each.role == role]
        leaving += engines[: int(share * len(engines))]
    return leaving


def _stored(route: SoakRoute, settings: RouteSettings) -> StoredRoute:
    return StoredRoute(
        name=route.name,
        host=HOST,
        path_prefix=f"/{route.name}/",
        route_type=STORED_KINDS[route.kind],
        timeout_ms=settings.timeout_ms,
        target_latency_ms=settings.target_latency_ms,
        service=route.service,
        max_attempts=settings.max_attempts,
        resumable=route.kind == "chat",
        itl_target_ms=300.0,
    )
