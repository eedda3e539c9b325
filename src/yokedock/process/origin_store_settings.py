"""Settings of the origin store: an INI file, validated at start."""

from __future__ import annotations

import dataclasses
from pathlib import Path

from yokedock.base.options import Problems, address, option, read_ini, read_section
from yokedock.errors import SettingsInvalid
from yokedock.process.router_settings import RouterLogSettings

_REMEDY = "see examples/origin-store.ini"


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


def read_origin_store_settings(path: Path) -> OriginStoreSettings:
    """Read and validate a settings file; raises ``SettingsInvalid`` with all errors."""
    problems = Problems()
    parser = read_ini(path, problems)
    for title in parser.sections():
        if title not in ("store", "log"):
            problems.add(f"[{title}]", "unknown section", _REMEDY)
    if "store" not in parser and not problems.lines:
        problems.add("[store]", "missing section", f"add it; {_REMEDY}")
    store = log = None
    if not problems.lines:
        log_values = parser["log"] if parser.has_section("log") else {}
        store = read_section(OriginStoreListenSettings, "store", parser["store"], problems)
        log = read_section(RouterLogSettings, "log", log_values, problems)
    if store is None or log is None:
        raise SettingsInvalid(problems.text())
    return OriginStoreSettings(store, log)
