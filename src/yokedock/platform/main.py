"""Starts a router with the platform's settings file, metadata store and header names."""

from __future__ import annotations

import os
import socket
from pathlib import Path

from yokedock.connection.header_dialect import HeaderDialect
from yokedock.platform.headers import PLATFORM_HEADERS
from yokedock.platform.machine_limits import machine_options
from yokedock.platform.settings_variable import SETTINGS_VARIABLE
from yokedock.platform.store import PlatformStore
from yokedock.process.router_main import run_router
from yokedock.process.router_settings import read_router_settings, with_machine_options


def main(sockets: dict[str, socket.socket]) -> None:
    """Run a router with the settings file that the platform provides.

    ``sockets`` are already listening, keyed by address.
    """
    path = Path(os.environ[SETTINGS_VARIABLE])
    settings = with_machine_options(read_router_settings(path), machine_options(os.environ))
    source = PlatformStore(settings.state.source)
    run_router(path, settings, source, HeaderDialect(PLATFORM_HEADERS), sockets)
