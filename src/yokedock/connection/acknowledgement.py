"""What the kernel's TCP state tells of the acknowledgements that the peer of a connection owes.

A peer that reads slowly keeps its receive window small or closed, but acknowledges the kernel's
probes, which come at intervals that double up to two minutes. ``TCP_USER_TIMEOUT`` does not make
that distinction: it ends a connection whose window stays too small for a segment.
"""

from __future__ import annotations

import dataclasses
import socket
import struct
from typing import Any

MS_PER_SECOND = 1000
TCP_INFO_BYTES = 144
PROBES_OFFSET = 3
UNACKNOWLEDGED_OFFSET = 24
LAST_DATA_SENT_OFFSET = 44
LAST_ACKNOWLEDGEMENT_OFFSET = 56
RECEIVED_SEGMENTS_OFFSET = 140
"""Offsets of ``tcpi_probes`` (one byte), ``tcpi_unacked`` (segments), ``tcpi_last_data_sent`` (ms),
``tcpi_last_ack_recv`` (ms) and ``tcpi_segs_in`` in Linux's ``tcp.h``."""
UNSIGNED = struct.Struct("=I")


@dataclasses.dataclass(frozen=True)
class AcknowledgementState:
    """A reading of the TCP state of one end of a connection."""

    unacknowledged_segments: int
    unanswered_probes: int
    """Probes of a closed window that were sent since the last acknowledgement."""
    last_data_sent_s: float
    """Time since data was last sent, again or for the first time. Excludes suspensions."""
    last_acknowledgement_s: float
    """Time since the last acknowledgement, of whatever was sent. Excludes suspensions."""
    received_segments: int
    """Segments received so far; each carries an acknowledgement."""

    @property
    def is_waiting(self) -> bool:
        """Return whether the peer owes an acknowledgement.

        It owes none of data that it has no room for: it drops what is sent beyond its window, and
        acknowledges that nothing was taken.
        """
        has_data_in_flight = self.unacknowledged_segments > 0
        is_unanswered = self.last_data_sent_s < self.last_acknowledgement_s
        return self.unanswered_probes > 0 or (has_data_in_flight and is_unanswered)


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
        unanswered_probes=info[PROBES_OFFSET],
        last_data_sent_s=_unsigned(info, LAST_DATA_SENT_OFFSET) / MS_PER_SECOND,
        last_acknowledgement_s=_unsigned(info, LAST_ACKNOWLEDGEMENT_OFFSET) / MS_PER_SECOND,
        received_segments=_unsigned(info, RECEIVED_SEGMENTS_OFFSET),
    )


def _unsigned(info: bytes, offset: int) -> int:
    value: int = UNSIGNED.unpack_from(info, offset)[0]
    return value
