"""Runs a daemon until it receives a signal to stop."""

from __future__ import annotations

import signal
import threading
from typing import Protocol

from yokedock.base.logs import logger
from yokedock.process.exit import exit_now

_log = logger("main")


class Daemon(Protocol):
    """Interface of a daemon that ``run_daemon`` runs."""

    def start(self) -> None:
        """Start to serve."""

    def drain(self) -> bool:
        """Reject new work and wait for work in flight; return whether all of it completed."""

    def stop(self) -> None:
        """Stop immediately."""


def run_daemon(daemon: Daemon) -> None:
    """Serve until SIGTERM or SIGINT, then drain and stop. A second signal ends the draining."""
    signals = threading.Semaphore(0)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: signals.release())
    daemon.start()
    signals.acquire()
    drain = threading.Thread(target=daemon.drain, name="drain", daemon=True)
    drain.start()
    while drain.is_alive() and not signals.acquire(timeout=0.05):
        pass
    daemon.stop()
    _log.info("stopped")
    exit_now(0)
