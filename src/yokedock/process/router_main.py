"""Runs a router as a daemon with signal handlers, logging and an event loop."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from typing import Any

from yokedock.base.clock import new_event_loop
from yokedock.base.logs import logger, set_up_logs
from yokedock.connection.dialect import Dialect
from yokedock.connection.state_source import StateSource
from yokedock.process.router import Router
from yokedock.process.router_settings import RouterSettings

_log = logger("main")


def run_router(
    settings: RouterSettings,
    source: StateSource,
    dialect: Dialect,
    sockets: dict[str, socket.socket] | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT. SIGHUP is only logged, as settings are not reloaded.

    ``sockets`` are already listening, by address.
    """
    set_up_logs(settings.log.level, sys.stdout, settings.log.lines_per_s)
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_run(Router(settings, source, dialect, sockets)))


async def _run(router: Router) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_unhandled)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(
        signal.SIGHUP, lambda: _log.info("SIGHUP received; settings are not reloaded")
    )
    await router.run(stop)
    # Closing the loop restores the default action of SIGHUP, which would terminate the process with
    # a failure status.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def _log_unhandled(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an unhandled exception as one structured line."""
    error = context.get("exception")
    _log.error("unhandled", message=context.get("message"), error=repr(error))
