"""Settings of the origin store: an INI file, validated at start."""

from __future__ import annotations

import dataclasses
from pathlib import Path

from yokedock.base.options import Problems, address, option, read_sections
from yokedock.errors import SettingsInvalid
from yokedock.process.router_settings import RouterLogSettings


@dataclasses.dataclass(frozen=True)
class OriginStoreListenSettings:
    """Where it listens."""

    listen: str = option(
        "address for routers, IP:port; the IP address must be the engine's", check=address
    )


@dataclasses.dataclass(frozen=True)
class OriginStoreSettings:
    """All settings of an origin store."""

    store: OriginStoreListenSettings
    log: RouterLogSettings


_KINDS = {"store": OriginStoreListenSettings, "log": RouterLogSettings}


def read_origin_store_settings(path: Path) -> OriginStoreSettings:
    """Read and validate a settings file; raises ``SettingsInvalid`` with all errors."""
    problems = Problems()
    sections = read_sections(path, _KINDS, {"log"}, "examples/origin-store.ini", problems)
    if problems.lines:
        raise SettingsInvalid(problems.text())
    return OriginStoreSettings(**sections)
