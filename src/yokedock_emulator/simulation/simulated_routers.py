"""Runs complete routers as processes of a simulation."""

from __future__ import annotations

import asyncio
import datetime
import signal
from pathlib import Path
from typing import Any

import logbook

from yokedock.base.clock import wall_clock_ms
from yokedock.base.link_meter import BYTES_PER_S_PER_MBPS
from yokedock.base.logs import json_line
from yokedock.connection.header_dialect import HeaderDialect
from yokedock.platform.headers import PLATFORM_HEADERS
from yokedock.platform.store import PlatformStore
from yokedock.process.machine_settings import RouterMachineSettings
from yokedock.process.router import Router
from yokedock.process.router_settings import (
    FleetSettings,
    RetrySettings,
    RouterCallerSettings,
    RouterLogSettings,
    RouterProcessSettings,
    RouterSettings,
    StateSettings,
    StopSettings,
)
from yokedock_emulator.router_soak.soak_plan import ROUTERS
from yokedock_emulator.simulation.event_loop import SimulatedLoop
from yokedock_emulator.simulation.network import EXTERNAL_ADDRESS
from yokedock_emulator.simulation.processes import SimulatedProcess, current_process

STARTUP_S = 0.4
"""Time between the start of a process and the start of its program."""
PORTS = [7000, 7001, 7002]
ORIGIN_STORE_PORT = 7003
MS_PER_SECOND = 1000


class SimulatedRouter:
    """One simulated process of a router."""

    def __init__(self, loop: SimulatedLoop, address: str, settings: RouterSettings) -> None:
        """Start the process; its program starts after ``STARTUP_S``."""
        self.returncode: int | None = None
        self.process = SimulatedProcess(address)
        self._loop = loop
        self._settings = settings
        self._stop = asyncio.Event()
        context = self.process.context()
        self._context = context
        self._main_task = loop.create_task(self._run(), context=context)
        self._main_task.add_done_callback(self._on_main_task_done)

    def poll(self) -> int | None:
        """Return the exit status, None while the process runs."""
        return self.returncode

    def send_signal(self, number: int) -> None:
        """Send a signal; a frozen process handles ``SIGTERM`` when it resumes."""
        if not self.process.is_alive:
            return
        if number == signal.SIGSTOP:
            self._loop.freeze(self.process)
        elif number == signal.SIGCONT:
            self._loop.thaw(self.process)
        elif number == signal.SIGTERM:
            self._loop.call_soon(self._stop.set, context=self._context)

    def kill(self) -> None:
        """Kill the process."""
        self._exit(-signal.SIGKILL)

    def handles_signal(self, number: signal.Signals) -> bool:
        """Return True: signals are handled from the start of the process."""
        return True

    def processor_wait_s(self) -> float:
        """Return 0: processor time is not simulated."""
        return 0.0

    async def _run(self) -> None:
        await asyncio.sleep(STARTUP_S)
        source = PlatformStore(self._settings.state.source)
        router = Router(self._settings, source, HeaderDialect(PLATFORM_HEADERS))
        await router.run(self._stop)

    def _on_main_task_done(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled():
            self._exit(0 if task.exception() is None else 1)

    def _exit(self, status: int) -> None:
        if self.returncode is None:
            self.returncode = status
            self._loop.end(self.process)


class SimulatedLauncher:
    """Starts routers in a simulation and logs them with simulated times."""

    router_type: type[SimulatedRouter] = SimulatedRouter
    store_host = "10.0.1.1"
    can_cut = True

    def __init__(self, loop: SimulatedLoop, folder: Path) -> None:
        """Write the log of each router to a file in ``folder``."""
        self._loop = loop
        self.hosts = [f"10.0.0.{number + 1}" for number in range(ROUTERS)]
        self.ports = PORTS
        self.origin_store_port = ORIGIN_STORE_PORT
        self.logs = SimulatedLogs(folder, self.hosts)

    def start(self, router: int, fields: dict[str, Any]) -> SimulatedRouter:
        """Start a process of a router."""
        if link_mbps := fields["limits"]["linkMbps"]:
            self._loop.network.limit_link(self.hosts[router], link_mbps * BYTES_PER_S_PER_MBPS)
        return self.router_type(self._loop, self.hosts[router], _settings(fields))

    def backends_host(self, group: int) -> str:
        """Return the IP address of the backends of a group."""
        return EXTERNAL_ADDRESS if group == 0 else f"10.0.2.{group}"

    def cut(self, router: int, peers: list[str]) -> None:
        """Lose all packets between a router and the hosts ``peers``."""
        for peer in peers:
            self._loop.network.cut(self.hosts[router], peer)
            self._loop.network.cut(peer, self.hosts[router])

    def heal(self, router: int, peers: list[str]) -> None:
        """Deliver packets between a router and the hosts ``peers`` again."""
        for peer in peers:
            self._loop.network.heal(self.hosts[router], peer)
            self._loop.network.heal(peer, self.hosts[router])

    def close(self) -> None:
        """Close the logs."""
        self.logs.close()


class SimulatedLogs(logbook.Handler):  # type: ignore[misc]
    """Writes the log records of all processes of a simulation, one file per host."""

    def __init__(self, folder: Path, hosts: list[str]) -> None:
        """Open a log file in ``folder`` for each host."""
        super().__init__(level="INFO")
        files = [(folder / f"router-{n}.log").open("wb") for n in range(len(hosts))]
        self._files = dict(zip(hosts, files, strict=True))

    def emit(self, record: Any) -> None:
        """Write a record to the log of the running process."""
        process = current_process()
        if process is None or not process.is_alive:
            return
        time_s = wall_clock_ms() / MS_PER_SECOND
        record.time = datetime.datetime.fromtimestamp(time_s, datetime.UTC).replace(tzinfo=None)
        self._files[process.address].write(json_line(record) + b"\n")

    def close(self) -> None:
        """Close the files."""
        for file in self._files.values():
            file.close()


def _settings(fields: dict[str, Any]) -> RouterSettings:
    """Return the settings that the template in the deploy file produces from ``fields``."""
    listen, bounds = fields["listenAddrs"], fields["bounds"]
    port, origin_store_port = fields["internalPortRange"]
    return RouterSettings(
        RouterProcessSettings(fields["nodeName"], fields["zone"]),
        RouterCallerSettings(listen["frontend"], listen["ready"]),
        FleetSettings(
            f"{fields['ipAddress']}:{port}",
            tuple(fields["seedNodes"]),
            bounds["leaseMs"] / MS_PER_SECOND,
            fields["bootstrap"],
            origin_store_port,
        ),
        StateSettings(fields["platform"]["address"]),
        RetrySettings(bounds["retryBudgetRatio"], bounds["retryWindowS"], bounds["retryAllowance"]),
        StopSettings(bounds["graceS"]),
        RouterLogSettings(),
        machine=RouterMachineSettings(link_mbps=fields["limits"]["linkMbps"]),
    )
