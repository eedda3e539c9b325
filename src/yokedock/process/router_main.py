"""The thin daemon around a router: signals, logs, the event loop."""

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
    """Serve until SIGTERM or SIGINT. SIGHUP is noted: addresses do not change while it runs.

    ``sockets`` listen already, by address.
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
    loop.add_signal_handler(signal.SIGHUP, lambda: _log.info("settings may have changed"))
    await router.run(stop)
    # The loop gives the signal its default action back when it is closed: it would end the process
    # as though it had failed.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def _log_unhandled(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log what no task has caught, as one line like all others."""
    error = context.get("exception")
    _log.error("unhandled", message=context.get("message"), error=repr(error))
