"""Starts an origin store with the platform's settings file."""

from __future__ import annotations

import os
from pathlib import Path

from yokedock.platform.settings_variable import SETTINGS_VARIABLE
from yokedock.process.origin_store import run_origin_store
from yokedock.process.origin_store_settings import read_origin_store_settings


def main() -> None:
    """Run an origin store with the settings file that the platform provides."""
    run_origin_store(read_origin_store_settings(Path(os.environ[SETTINGS_VARIABLE])))
