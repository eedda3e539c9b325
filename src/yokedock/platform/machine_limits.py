"""Translates the platform's limits of a process into options of the section [machine]."""

from __future__ import annotations

import re
from collections.abc import Mapping

from yokedock.base.logs import logger
from yokedock.platform.settings_variable import LIMITS_VARIABLE, LINK_VARIABLE

_log = logger("settings")

LIMIT = re.compile(r"""["']?(\w+)["']?\s*:\s*["']?([0-9]+(?:\.[0-9]+)?)""")
"""A name and a number; how they are quoted depends on the shape in which settings are written."""
MEMORY_LIMIT = "memoryMb"
DESCRIPTOR_LIMIT = "maxFds"


def machine_options(environment: Mapping[str, str]) -> dict[str, str]:
    """Return the options of [machine] that the environment names, as text.

    What it does not name is empty or left out.
    """
    limits = _limits(environment.get(LIMITS_VARIABLE, ""))
    options = {"link_mbps": environment.get(LINK_VARIABLE, "")}
    if limits.get(MEMORY_LIMIT):
        options["memory_mb"] = str(limits[MEMORY_LIMIT])
    if limits.get(DESCRIPTOR_LIMIT):
        options["max_descriptors"] = str(int(limits[DESCRIPTOR_LIMIT]))
    return options


def _limits(text: str) -> dict[str, float]:
    """Return the limits by name; a text without any is logged."""
    limits = {name: float(number) for name, number in LIMIT.findall(text)}
    if text and not limits:
        _log.warning("machine limits not understood", text=text, remedy="write a JSON object")
    return limits
