"""What the kernel's TCP state tells of the data that the peer of a connection has to acknowledge.

A peer that reads slowly keeps its receive window small or closed, but acknowledges the kernel's
probes. ``TCP_USER_TIMEOUT`` does not make that distinction: it ends a connection whose window
stays too small for a segment.
"""

from __future__ import annotations

import dataclasses
import socket
import struct
from typing import Any

MS_PER_SECOND = 1000
TCP_INFO_BYTES = 148
UNACKNOWLEDGED_OFFSET = 24
LAST_ACKNOWLEDGEMENT_OFFSET = 56
RECEIVED_SEGMENTS_OFFSET = 140
UNSENT_OFFSET = 144
"""Offsets of ``tcpi_unacked`` (segments), ``tcpi_last_ack_recv`` (ms), ``tcpi_segs_in`` and
``tcpi_notsent_bytes`` in Linux's ``tcp.h``."""
UNSIGNED = struct.Struct("=I")


@dataclasses.dataclass(frozen=True)
class AcknowledgementState:
    """A reading of the TCP state of one end of a connection."""

    unacknowledged_segments: int
    unsent_bytes: int
    last_acknowledgement_s: float
    """Time since the last acknowledgement, of whatever was sent. Excludes suspensions."""
    received_segments: int
    """Segments received so far; each carries an acknowledgement."""

    @property
    def is_waiting(self) -> bool:
        """Return whether data is pending."""
        return self.unacknowledged_segments > 0 or self.unsent_bytes > 0


def read_acknowledgement_state(sock: Any) -> AcknowledgementState | None:
    """Return the state of a connected socket, None if the system does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < TCP_INFO_BYTES:
        return None
    return AcknowledgementState(
        unacknowledged_segments=_unsigned(info, UNACKNOWLEDGED_OFFSET),
        unsent_bytes=_unsigned(info, UNSENT_OFFSET),
        last_acknowledgement_s=_unsigned(info, LAST_ACKNOWLEDGEMENT_OFFSET) / MS_PER_SECOND,
        received_segments=_unsigned(info, RECEIVED_SEGMENTS_OFFSET),
    )


def _unsigned(info: bytes, offset: int) -> int:
    value: int = UNSIGNED.unpack_from(info, offset)[0]
    return value
