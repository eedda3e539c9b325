"""Tells from the kernel's TCP state whether the peer of a connection still acknowledges data.

A peer that reads slowly keeps its receive window small or closed, but acknowledges the kernel's
probes. ``TCP_USER_TIMEOUT`` does not make that distinction: it ends a connection whose window
stays too small for a segment.
"""

from __future__ import annotations

import socket
import struct
from typing import Any

MS_PER_SECOND = 1000
TCP_INFO_BYTES = 148
UNACKNOWLEDGED_OFFSET = 24
LAST_ACKNOWLEDGEMENT_OFFSET = 56
UNSENT_OFFSET = 144
"""Offsets of ``tcpi_unacked`` (segments), ``tcpi_last_ack_recv`` (ms) and ``tcpi_notsent_bytes`` in
Linux's ``tcp.h``."""
UNSIGNED = struct.Struct("=I")


def unacknowledged_s(sock: Any) -> float:
    """Return for how long the peer has acknowledged nothing though data is pending, in seconds.

    Returns 0 if all data was acknowledged, or if the system does not tell.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0.0
    if len(info) < TCP_INFO_BYTES:
        return 0.0
    offsets = (UNACKNOWLEDGED_OFFSET, UNSENT_OFFSET)
    if not any(UNSIGNED.unpack_from(info, offset)[0] for offset in offsets):
        return 0.0
    silent_ms = UNSIGNED.unpack_from(info, LAST_ACKNOWLEDGEMENT_OFFSET)[0]
    return float(silent_ms) / MS_PER_SECOND
