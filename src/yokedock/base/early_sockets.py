"""Listens before the program is loaded, so that callers who come meanwhile wait instead of fail.

Loading takes 0.14 s of a 2 GHz core, more on a small machine. After everything died at once every
caller meets a machine that is loading; a connection that is refused costs it one of its retries,
one that waits in the queue of the kernel is served in time. This module imports nothing heavy.
"""

from __future__ import annotations

import socket

BACKLOG = 512
"""Connections that wait in the kernel's queue until they are accepted."""
OPTIONS = ("listen", "ready_listen")
SECTION = "[callers]"


def listen_early(settings_path: str) -> dict[str, socket.socket]:
    """Return listening sockets by address for the callers' addresses of a router's settings.

    Whatever cannot be read or bound is left out: the program reads its settings again, in full,
    and tells what is wrong with them.
    """
    sockets: dict[str, socket.socket] = {}
    for address in _addresses(settings_path):
        host, _, port = address.rpartition(":")
        try:
            sockets[address] = socket.create_server((host, int(port)), backlog=BACKLOG)
        except (OSError, ValueError):
            continue
    return sockets


def _addresses(settings_path: str) -> list[str]:
    """Return the values of the options that name addresses for callers."""
    found, section = [], ""
    try:
        with open(settings_path, encoding="utf-8") as file:
            for line in file:
                name, _, value = (part.strip() for part in line.partition("="))
                if line.startswith("["):
                    section = line.strip()
                elif section == SECTION and name in OPTIONS:
                    found.append(value)
    except (OSError, UnicodeDecodeError):
        return []
    return found
