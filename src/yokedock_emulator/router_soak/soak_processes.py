"""Interfaces by which a soak starts and controls router processes, and their deployed form."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
from pathlib import Path
from typing import Any, Protocol

from yokedock_emulator.deployed_router import DeployedRouter
from yokedock_emulator.process_group import processor_wait_s
from yokedock_emulator.router_soak.soak_plan import ROUTERS

HANDLED_MASKS = ("SigIgn:", "SigCgt:")
"""Lines of a process's status that tell which signals it ignores and catches."""
BACKENDS_HOST = "127.0.0.1"
"""IP address of the first group of backends, and so of the origin store beside them."""
FIRST_BACKENDS_HOST = 100
"""Last byte of the IP address of the backends of group 0, if it did not have ``BACKENDS_HOST``."""
PORTS_PER_ROUTER = 3
"""One each for callers, for readiness, and for other routers and metrics."""


class RouterProcess(Protocol):
    """One process of a router."""

    @property
    def returncode(self) -> int | None:
        """Return the exit status after the process has ended, negative if a signal ended it."""

    def poll(self) -> int | None:
        """Return the exit status, None while the process runs."""

    def send_signal(self, number: int) -> None:
        """Send a signal."""

    def kill(self) -> None:
        """Kill the process."""

    def handles_signal(self, number: signal.Signals) -> bool:
        """Return whether the process currently ignores or catches a signal."""

    def processor_wait_s(self) -> float:
        """Return how long the process has waited for a processor, in seconds."""


class RouterLauncher(Protocol):
    """Starts router processes; a restarted router keeps its addresses."""

    hosts: list[str]
    """IP address of each router."""
    ports: list[int]
    """The ``PORTS_PER_ROUTER`` ports that each router uses on its own IP address."""
    store_host: str
    """IP address of the store."""
    origin_store_port: int
    """The port of the origin stores at the hosts of backends."""
    can_cut: bool
    """Whether ``cut`` is available."""

    def start(self, router: int, fields: dict[str, Any]) -> RouterProcess:
        """Start a process of a router; ``fields`` are the settings that the platform fills in."""

    def backends_host(self, group: int) -> str:
        """Return the IP address of the backends of a group, counted from 0."""

    def cut(self, router: int, peers: list[str]) -> None:
        """Lose all packets between a router and the hosts ``peers``."""

    def heal(self, router: int, peers: list[str]) -> None:
        """Deliver packets between a router and the hosts ``peers`` again."""

    def close(self) -> None:
        """Release all resources, once every process has exited or been killed."""


class DeployedProcess:
    """An operating system process that the deploy file's command starts."""

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        """Wrap a process."""
        self._process = process

    @property
    def returncode(self) -> int | None:
        """Return the exit status after the process has ended."""
        return self._process.returncode

    def poll(self) -> int | None:
        """Return the exit status, None while the process runs."""
        return self._process.poll()

    def send_signal(self, number: int) -> None:
        """Send a signal."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process."""
        self._process.kill()

    def wait(self) -> None:
        """Wait for the process to exit."""
        self._process.wait()

    def handles_signal(self, number: signal.Signals) -> bool:
        """Return whether the process ignores or catches a signal now; a new one does neither.

        A program sets that with its first line. How long the interpreter takes until then cannot be
        told from outside: 0.06 s on a quiet machine, over 0.35 s beside a load of 17.
        """
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        masks = [line.split()[1] for line in status.splitlines() if line.startswith(HANDLED_MASKS)]
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    def processor_wait_s(self) -> float:
        """Return how long the process has waited for a processor, in seconds."""
        return processor_wait_s(self._process.pid)


class DeployedLauncher:
    """Starts routers that are already built, each on its own loopback address."""

    store_host = BACKENDS_HOST
    can_cut = False
    """Links of real processes cannot be cut without privileges."""

    def __init__(self, router: DeployedRouter, folder: Path, seed: int) -> None:
        """Write the log of each router to a file in ``folder``."""
        self._router = router
        self._network = f"127.{64 + os.getpid() % 128}.{seed % 256}"
        self.hosts = [f"{self._network}.{number + 1}" for number in range(ROUTERS)]
        self.ports = _free_ports(self.hosts[0])
        self.origin_store_port = _free_datagram_port(BACKENDS_HOST)
        self._started: list[DeployedProcess] = []
        self._logs = [(folder / f"router-{n}.log").open("wb") for n in range(ROUTERS)]

    def start(self, router: int, fields: dict[str, Any]) -> DeployedProcess:
        """Start a process of a router."""
        process = DeployedProcess(self._router.start(fields, self._logs[router].fileno()))
        self._started.append(process)
        return process

    def backends_host(self, group: int) -> str:
        """Return the IP address of the backends of a group."""
        return BACKENDS_HOST if group == 0 else f"{self._network}.{FIRST_BACKENDS_HOST + group}"

    def cut(self, router: int, peers: list[str]) -> None:
        """Raise an error: ``can_cut`` is False."""
        raise NotImplementedError("links of real processes cannot be cut")

    def heal(self, router: int, peers: list[str]) -> None:
        """Do nothing: no link is cut."""

    def close(self) -> None:
        """Wait for all processes to exit, then close the logs."""
        for process in self._started:
            process.wait()
        for log in self._logs:
            log.close()


def _free_ports(host: str) -> list[int]:
    """Return ports that are free on ``host``; only this soak uses its hosts, so on all of them."""
    sockets = [socket.socket() for _ in range(PORTS_PER_ROUTER)]
    try:
        for each in sockets:
            each.bind((host, 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def _free_datagram_port(host: str) -> int:
    """Return a port that is free on ``host`` for datagrams."""
    with socket.socket(type=socket.SOCK_DGRAM) as free:
        free.bind((host, 0))
        return int(free.getsockname()[1])
