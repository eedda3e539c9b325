"""Notices in the responses of one backend incarnation: that it is leaving, or asks for back-off.

They are taken from every response, forwarded or not, except those to releases of prompt memory,
because the backend list may be unavailable or outdated. Treating back-off as a failure alone isn't
enough: that only raises the cost of the backend for some seconds, during which it would get more
requests, each costing its caller a retry.

A notice is not revoked by an older entry that lists the backend as ready, by a success that was in
flight when the backend asked for back-off, or by a shorter back-off after a longer one.
"""

from __future__ import annotations

import math

import msgspec

from yokedock.base.logs import logger
from yokedock.connection.dialect import ResponseMetadata

_log = logger("notices")

LEAVING_GOSSIP_S = 1.0
"""How long routers send each other a leaving notice after they received it: in at least two
datagrams, one of which may be lost. Routers that know of it start no stream that the backend's end
would cut off."""
NOTICE_RETENTION_S = 60.0
"""Retention time for notices after the entry of the backend has gone: an entry that expired
together with the list may reappear while the backend is still shutting down, many seconds later. If
two backends that announced their end are replaced each second, this adds 120 entries to scan."""


class BackendNotices(msgspec.Struct):
    """Notices received from one incarnation; times are seconds of boot time."""

    leaving_since_s: float | None = None
    """When its leaving was first reported, here or by another router."""
    observed_leaving_s: float = -math.inf
    """When this router itself first received a response that reports it."""
    backoff_until_s: float = -math.inf
    """Until when the backend wants no request from this router."""
    leaving_request_sent_ms: int = 0
    """Time of day at which the request was sent whose response first reported the leaving state."""
    backoff_connection_opened_ms: int = 0
    """Time of day at which the connection was opened that last reported a back-off."""

    def take(
        self, notes: ResponseMetadata, backend: str, now_s: float, opened_ms: int, sent_ms: int
    ) -> None:
        """Apply the notices in a response head of ``backend``.

        The connection of the response was opened at ``opened_ms`` and its request was sent at
        ``sent_ms`` (times of day).
        """
        if notes.is_leaving and self.observed_leaving_s < 0:
            self.observed_leaving_s, self.leaving_request_sent_ms = now_s, sent_ms
            self.record_leaving(now_s)
            _log.info("backend says that it leaves", backend=backend)
        if notes.rest_s is not None:
            self.backoff_until_s = max(self.backoff_until_s, now_s + notes.rest_s)
            self.backoff_connection_opened_ms = opened_ms
            _log.info("backend asks for rest", backend=backend, rest_s=notes.rest_s)

    def record_leaving(self, now_s: float) -> None:
        """Record that a response, received here or by another router, reports the leaving state."""
        if self.leaving_since_s is None:
            self.leaving_since_s = now_s

    def is_backing_off(self, now_s: float) -> bool:
        """Return whether the backend has asked for back-off that is not over."""
        return now_s < self.backoff_until_s

    def carried_over(self, born_ms: int, max_clock_skew_ms: int) -> BackendNotices:
        """Return the notices that the next incarnation, started at ``born_ms``, has already given.

        They were attributed to this incarnation because the router had not yet learned of the
        restart. A connection that was opened after the start belongs to the next incarnation.
        Without this, a back-off of 2.5 s was lost when the list was unavailable for that long.

        Clocks differ by up to ``max_clock_skew_ms``. Within that margin a back-off is carried over
        because it ends by itself, and a leaving state is not because nothing would clear it. A
        back-off is dated by the opening of its connection, a leaving state by the sending of its
        request: a request sent after the margin was answered by the next incarnation, even on a
        connection opened before that.
        """
        said = BackendNotices()
        if (
            self.backoff_connection_opened_ms
            and self.backoff_connection_opened_ms >= born_ms - max_clock_skew_ms
        ):
            said.backoff_until_s, said.backoff_connection_opened_ms = (
                self.backoff_until_s,
                self.backoff_connection_opened_ms,
            )
        if self.leaving_request_sent_ms >= born_ms + max_clock_skew_ms:
            said.leaving_since_s, said.observed_leaving_s = (
                self.leaving_since_s,
                self.observed_leaving_s,
            )
            said.leaving_request_sent_ms = self.leaving_request_sent_ms
        return said

    def has_active_notices(self, now_s: float) -> bool:
        """Return whether any notice would still apply if the entry of the backend reappeared."""
        return self.leaving_since_s is not None or self.is_backing_off(now_s)
