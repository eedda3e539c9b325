"""Commands that validate settings files."""

from __future__ import annotations

from pathlib import Path

import cyclopts

from yokedock.base.options import Problems, read_ini
from yokedock.process.settings import read_daemon_settings

app = cyclopts.App(name="settings")


@app.command(name="check")
def check_settings(file: Path) -> None:
    """Validate a settings or routes file and print every error with its remedy."""
    sections = read_ini(file, Problems()).sections()
    if "table" in sections:
        from yokedock.connection.routes_file import read_routes

        read_routes(file)
    elif "callers" in sections:
        from yokedock.process.router_settings import read_router_settings

        read_router_settings(file)
    elif "store" in sections:
        from yokedock.process.origin_store_settings import read_origin_store_settings

        read_origin_store_settings(file)
    else:
        read_daemon_settings(file)
    print(f"{file}: no errors")
