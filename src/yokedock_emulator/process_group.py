"""Starts and ends real processes of one deployment, for tests and benches.

The system itself starts no process; this is the operator's hand in an emulation.
"""

from __future__ import annotations

import configparser
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import urllib3

from yokedock.base.clock import boot_time_s
from yokedock.errors import YokedockError

START_LIMIT_S = 30.0
STOP_LIMIT_S = 30.0
POLL_S = 0.02
NS_A_SECOND = 1_000_000_000
CLOCK_TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ProcessNotUp(YokedockError):
    """A process did not start to answer in time."""

    code = "process_not_up"


class Ports:
    """Hands out free ports below the ephemeral range, so that a restart finds its port free."""

    def __init__(self, first: int) -> None:
        """Start above ``first``."""
        self._next = first

    def address(self) -> str:
        """Return a loopback address with a free port."""
        while True:
            self._next += 1
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", self._next))
                except OSError:
                    continue
            return f"127.0.0.1:{self._next}"


def program(name: str) -> str:
    """Return the path of a console script of this installation."""
    return str(Path(sys.executable).parent / name)


def write_ini(path: Path, sections: dict[str, dict[str, str]]) -> Path:
    """Write an INI file and return its path."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    with path.open("w", encoding="utf-8") as file:
        parser.write(file)
    return path


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used so far, seconds (Linux: /proc/PID/stat)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_A_SECOND


def processor_wait_s(pid: int) -> float:
    """Return how long a process has been runnable without a processor since its start, seconds.

    Covers the main thread and completed waits (Linux: /proc/PID/schedstat). 0 if the kernel does
    not provide the figure or the process has ended.
    """
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / NS_A_SECOND
    except (OSError, IndexError):
        return 0.0


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, bytes (Linux: /proc/PID/statm)."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


class Node:
    """One process that can be started again with the same arguments."""

    def __init__(
        self, name: str, arguments: Sequence[str], health_url: str, directory: Path
    ) -> None:
        """Prepare the process; it is up once ``health_url`` answers."""
        self.name = name
        self._arguments = list(arguments)
        self._health_url = health_url
        self._log = directory / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self._may_end = True

    @property
    def running(self) -> subprocess.Popen[bytes]:
        """Return the process; raises ``ProcessNotUp`` before the first start."""
        if self.process is None:
            raise ProcessNotUp(f"{self.name} was never started; call start first")
        return self.process

    def start(self) -> None:
        """Start the process."""
        self._may_end = False
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(self._arguments, stdout=log, stderr=log)

    def wait_up(self) -> None:
        """Wait until the process answers; raises ``ProcessNotUp``."""
        give_up_s = boot_time_s() + START_LIMIT_S
        while boot_time_s() < give_up_s and self.is_alive():
            if self._answers():
                return
            time.sleep(POLL_S)
        raise ProcessNotUp(f"{self.name} did not start:\n{self.log_text()[-3000:]}")

    def _answers(self) -> bool:
        try:
            urllib3.request("GET", self._health_url, timeout=1.0, retries=False)
        except urllib3.exceptions.HTTPError:
            return False
        return True

    def is_alive(self) -> bool:
        """Return whether the process runs (a frozen one does)."""
        return self.process is not None and self.process.poll() is None

    def has_died(self) -> bool:
        """Return whether the process ended although nobody ended it."""
        return not self._may_end and not self.is_alive()

    def kill(self) -> None:
        """End the process at once."""
        self._may_end = True
        if self.is_alive():
            self.running.kill()
            self.running.wait()

    def restart(self) -> None:
        """End the process at once and start it again; raises ``ProcessNotUp``."""
        self.kill()
        self.start()
        self.wait_up()

    def freeze(self) -> None:
        """Stop the process until ``thaw``."""
        self.running.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.running.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask for a planned stop."""
        self._may_end = True
        self.running.send_signal(signal.SIGTERM)

    def wait_exit(self) -> int:
        """Wait for the end of the process; return its exit status."""
        return self.running.wait(STOP_LIMIT_S)

    def log_text(self) -> str:
        """Return everything the process has logged."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    def processor_s(self) -> float:
        """Return the processor time used so far, seconds (Linux: /proc/PID/stat)."""
        return processor_s(self.running.pid)

    def resident_bytes(self) -> int:
        """Return the resident memory, bytes (Linux: /proc/PID/statm)."""
        return resident_bytes(self.running.pid)
