"""Translates the platform's limits of a process into options of the section [machine]."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from yokedock.base.logs import logger
from yokedock.platform.settings_variable import LIMITS_VARIABLE, LINK_VARIABLE

_log = logger("settings")


class MachineLimits(msgspec.Struct, frozen=True, rename="camel"):
    """The limits of a process in the platform's words; 0: not known."""

    memory_mb: float = 0.0
    max_fds: int | float = 0


def machine_options(environment: Mapping[str, str]) -> dict[str, str]:
    """Return the options of [machine] that the environment names, as text.

    Limits that cannot be decoded are logged and left out.
    """
    limits = _machine_limits(environment.get(LIMITS_VARIABLE, ""))
    options = {"link_mbps": environment.get(LINK_VARIABLE, "")}
    if limits.memory_mb:
        options["memory_mb"] = str(limits.memory_mb)
    if limits.max_fds:
        options["max_descriptors"] = str(int(limits.max_fds))
    return options


def _machine_limits(text: str) -> MachineLimits:
    if not text:
        return MachineLimits()
    try:
        return msgspec.json.decode(text, type=MachineLimits)
    except msgspec.MsgspecError as error:
        _log.warning("machine limits not understood", reason=str(error), remedy="write JSON")
        return MachineLimits()
