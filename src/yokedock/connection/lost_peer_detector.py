"""Decides from readings of the TCP state, about one a second, whether the peer is gone."""

from __future__ import annotations

from yokedock.connection.acknowledgement import AcknowledgementState

UNANSWERED_PROBES = 2
"""A closed window's probes that must be unanswered: one may be lost, and the next comes late."""


class LostPeerDetector:
    """Tells for how long the peer of one connection has owed an acknowledgement."""

    def __init__(self) -> None:
        """Create a detector for a new connection."""
        self._waiting_since_s: float | None = None
        """Time of the first of the last readings that all waited and saw no segment arrive."""
        self._received_segments = 0

    def unanswered_s(self, state: AcknowledgementState, now_s: float) -> float:
        """Return for how long the peer has owed an acknowledgement, in seconds.

        The wait counts from the first reading that sees it, since the last acknowledgement may have
        come long before the data was sent. The kernel's own time bounds it, so that a suspension,
        during which nothing can arrive, does not count.
        """
        has_received = state.received_segments != self._received_segments
        self._received_segments = state.received_segments
        if not state.is_waiting:
            self._waiting_since_s = None
            return 0.0
        if has_received or self._waiting_since_s is None:
            self._waiting_since_s = now_s
        if 0 < state.unanswered_probes < UNANSWERED_PROBES:
            return 0.0
        return min(now_s - self._waiting_since_s, state.last_acknowledgement_s)
