"""Runs a daemon until a signal stops it."""

from __future__ import annotations

import signal
import threading
from typing import Protocol

from yokedock.base.logs import logger
from yokedock.process.exit import exit_now

_log = logger("main")


class Daemon(Protocol):
    """What a daemon's main function drives."""

    def start(self) -> None:
        """Begin to serve."""

    def drain(self) -> bool:
        """Planned stop: let all work in flight end."""

    def stop(self) -> None:
        """Stop at once."""


def run_daemon(daemon: Daemon) -> None:
    """Serve until SIGTERM or SIGINT, then make a planned stop. A second signal stops at once."""
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
