"""Runs a router as a daemon with signal handlers, logging and an event loop."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path
from typing import Any

from yokedock.base.allocator import return_freed_memory
from yokedock.base.clock import new_event_loop
from yokedock.base.logs import logger, set_up_logs
from yokedock.connection.dialect import Dialect
from yokedock.connection.state_source import StateSource
from yokedock.process.exit import exit_now
from yokedock.process.router import Router
from yokedock.process.router_settings import RouterSettings
from yokedock.process.settings_reload import SettingsReload

_log = logger("main")


def run_router(
    path: Path,
    settings: RouterSettings,
    source: StateSource,
    dialect: Dialect,
    sockets: dict[str, socket.socket] | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP means that the settings file has changed.

    ``settings`` were read from the file at ``path``. ``sockets`` are already listening, by address.
    """
    set_up_logs(settings.log.level, sys.stdout, settings.log.lines_per_s)
    return_freed_memory()
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_run(path, Router(settings, source, dialect, sockets)))
        # The interpreter's shutdown may outlast the grace time on a busy machine.
        exit_now(0)


async def _run(path: Path, router: Router) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_unhandled)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    reload = SettingsReload(path, router.settings, router.apply_settings)
    loop.add_signal_handler(signal.SIGHUP, reload.request)
    reloading = asyncio.create_task(reload.run())
    await router.run(stop)
    reloading.cancel()
    # Closing the loop restores the default action of SIGHUP, which would terminate the process with
    # a failure status.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def _log_unhandled(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an unhandled exception as one structured line."""
    error = context.get("exception")
    _log.error("unhandled", message=context.get("message"), error=repr(error))
