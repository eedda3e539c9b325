"""Starts a router on the platform: where the settings lie, the store and the names of headers."""

from __future__ import annotations

import os
from pathlib import Path

from yokedock.connection.dialect import HeaderDialect
from yokedock.platform.headers import PLATFORM_HEADERS
from yokedock.platform.store import PlatformStore
from yokedock.process.router_main import run_router
from yokedock.process.router_settings import read_router_settings

SETTINGS_VARIABLE = "YOKEDOCK_SETTINGS"


def main() -> None:
    """Run a router with the settings that the platform filled in."""
    settings = read_router_settings(Path(os.environ[SETTINGS_VARIABLE]))
    source = PlatformStore(settings.state.source)
    run_router(settings, source, HeaderDialect(PLATFORM_HEADERS))
