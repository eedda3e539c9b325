"""One soak from its start to its judgement."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections.abc import Iterable
from pathlib import Path

from yokedock.base.clock import boot_time_s
from yokedock.process.origin_store import OriginStore
from yokedock_emulator.deployed_router import DeployedRouter
from yokedock_emulator.router_soak.soak_clients import SoakClients
from yokedock_emulator.router_soak.soak_fleet import SoakFleet
from yokedock_emulator.router_soak.soak_judge import judge
from yokedock_emulator.router_soak.soak_operator import LOOPBACK, SoakOperator
from yokedock_emulator.router_soak.soak_plan import (
    ALL_ROUTERS_KILLED,
    CONNECTIONS_BROKEN,
    CUT_KINDS,
    DEFAULT_OPTIONS,
    LARGE_ROUTES,
    MOST_CONNECTIONS,
    ROLLOUT_KINDS,
    ROUTER_FAULTS,
    ROUTERS,
    SoakEvent,
    SoakOptions,
    draw_plan,
    has_origin_stores,
    states_first_version,
)
from yokedock_emulator.router_soak.soak_processes import (
    DeployedLauncher,
    RouterLauncher,
)
from yokedock_emulator.router_soak.soak_records import VERSIONS, SoakHistory
from yokedock_emulator.router_soak.soak_report import (
    SoakReport,
    keep_report,
    make_report,
    print_report,
)

CALM_S = 1.0
"""Callers go on for so long after the last event."""
EMPTY_LIMIT_S = 3.0
"""What is left of the work must be gone by then."""
TICK_S = 0.05
STALL_THRESHOLD_S = 0.4
"""A tick that comes so late shows that this process itself did not run."""


class RouterSoak:
    """One soak; ``run`` is its life."""

    def __init__(
        self,
        seed: int,
        seconds: float,
        launcher: RouterLauncher,
        options: SoakOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Run routers that ``launcher`` starts."""
        self._seed = seed
        self._seconds = seconds
        self._launcher = launcher
        self._options = options
        self.history = SoakHistory()
        groups = len(VERSIONS) if options.has_version_rollouts else 1
        self._backends_hosts = [launcher.backends_host(group) for group in range(groups)]
        self._operator = SoakOperator(self.history, options, self._backends_hosts)
        store_hosts = self._backends_hosts if has_origin_stores(seed, options) else []
        self._origin_stores = {host: OriginStore() for host in store_hosts}
        self._began_s = 0.0

    async def run(self) -> SoakReport:
        """Run to the end and judge; raises ``TimeoutError`` if routers do not get ready."""
        ticks = asyncio.create_task(self._tick())
        is_stated = states_first_version(self._seed, self._options)
        # Elsewhere the store shares the callers' address, as the histories of fixed seeds assume.
        store_host = self._launcher.store_host if self._options.has_version_rollouts else LOOPBACK
        await self._operator.start(store_host, is_stated)
        for host, origin_store in self._origin_stores.items():
            await origin_store.start(f"{host}:{self._launcher.origin_store_port}")
        fleet = SoakFleet(
            self._launcher,
            self._operator.store.address,
            self.history,
            self._options,
        )
        try:
            await fleet.start()
            await self._drive(fleet)
            await self._look_at_end(fleet)
            await fleet.stop()
        finally:
            fleet.close()
            for origin_store in self._origin_stores.values():
                origin_store.close()
            self._operator.stop()
            ticks.cancel()
        violations = judge(self.history)
        return make_report(self._seed, self._seconds, self._began_s, self.history, violations)

    async def _drive(self, fleet: SoakFleet) -> None:
        clients = SoakClients(self._seed, fleet, self._operator, self.history, self._options)
        self._began_s = boot_time_s()
        calls = asyncio.create_task(clients.run())
        for event in draw_plan(self._seed, self._seconds, self._options):
            await asyncio.sleep(self._began_s + event.at_s - boot_time_s())
            done = await self._strike(fleet, clients, event)
            if done:
                self.history.tell(boot_time_s(), done)
        await asyncio.sleep(self._began_s + self._seconds + CALM_S - boot_time_s())
        clients.stop()
        await calls

    async def _strike(self, fleet: SoakFleet, clients: SoakClients, event: SoakEvent) -> str:
        """Do what the plan says; return what was done, empty if it was not possible."""
        operator = self._operator
        if event.kind in ROUTER_FAULTS or event.kind in CUT_KINDS:
            return fleet.strike(event)
        if event.kind in ROLLOUT_KINDS:
            return f"{event.kind} {await operator.roll_out(event)}"
        if event.kind == CONNECTIONS_BROKEN:
            return f"{event.kind} {clients.break_streams(event.target)}"
        if event.kind == ALL_ROUTERS_KILLED:
            return fleet.kill_all()
        if event.kind in ("configuration", "large configuration"):
            operator.publish(LARGE_ROUTES if event.kind.startswith("large") else 0)
            return f"{event.kind} {operator.version}"
        if event.kind == MOST_CONNECTIONS:
            now_s = boot_time_s()
            self.history.uneven_spans.append((event.target, now_s, now_s + event.length_s))
            return f"router {event.target}: {event.kind} {event.length_s:.2f}"
        if event.kind == "store silent":
            operator.silence_store(event.length_s)
            return f"store silent {event.length_s:.2f}"
        if event.kind == "store restored":
            operator.restore_store(event.length_s, event.backup_age_s)
            return f"store restored {event.length_s:.2f}, backup age {event.backup_age_s:.2f}"
        if event.kind == "store connection silent":
            return event.kind if operator.store.silence_connection(event.target) else ""
        return f"{event.kind} {await operator.strike(event)} {event.length_s:.2f}"

    async def _look_at_end(self, fleet: SoakFleet) -> None:
        """Read what routers still hold once nobody calls."""
        await fleet.settle()
        for router in range(ROUTERS):
            until_s = boot_time_s() + EMPTY_LIMIT_S
            while True:
                levels = await fleet.levels(router)
                self.history.at_end[router] = levels
                if not levels["router_active"] or boot_time_s() > until_s:
                    break
                await asyncio.sleep(TICK_S)

    async def _tick(self) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            while True:
                before_s = boot_time_s()
                await asyncio.sleep(TICK_S)
                now_s = boot_time_s()
                if now_s - before_s > STALL_THRESHOLD_S:
                    self.history.stood_still_s.append((before_s, now_s))


def run_soak(
    seed: int,
    seconds: float,
    router: DeployedRouter,
    out: Path,
    options: SoakOptions = DEFAULT_OPTIONS,
) -> SoakReport:
    """Run one soak of routers that are built already; a folder in ``out`` gets logs and report."""
    kept = out / f"router-soak-{seed}"
    kept.mkdir(parents=True, exist_ok=True)
    launcher = DeployedLauncher(router, kept, seed)
    report = asyncio.run(RouterSoak(seed, seconds, launcher, options).run())
    keep_report(report, kept)
    print_report(report, kept)
    return report


def run_soaks(
    seeds: Iterable[int],
    seconds: float,
    repository: Path,
    out: Path,
    options: SoakOptions = DEFAULT_OPTIONS,
) -> list[SoakReport]:
    """Build the router once and run a soak for each seed."""
    with tempfile.TemporaryDirectory() as folder:
        router = DeployedRouter(repository, Path(folder))
        router.build()
        return [run_soak(seed, seconds, router, out, options) for seed in seeds]
