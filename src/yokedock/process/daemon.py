"""Runs a daemon until it receives a signal to stop."""

from __future__ import annotations

import threading
from typing import Protocol

from yokedock.base.allocator import return_freed_memory
from yokedock.base.logs import logger
from yokedock.process.exit import exit_now
from yokedock.process.stop_signals import StopSignals

_log = logger("main")

DRAIN_POLL_INTERVAL_S = 0.05


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
    return_freed_memory()
    signals = StopSignals()
    daemon.start()
    received = signals.wait_for_stop()
    _log.info("stopping", signal=received.name)
    drain = threading.Thread(target=daemon.drain, name="drain", daemon=True)
    drain.start()
    while drain.is_alive() and signals.wait(DRAIN_POLL_INTERVAL_S) is None:
        pass
    _log.info("drained", is_complete=not drain.is_alive())
    daemon.stop()
    _log.info("stopped")
    exit_now(0)
