"""What one life of a backend says of itself in its answers: that it leaves, that it wants rest.

It is heard in every answer but those to releases of a prompt's memory, passed on or not, since the
list of backends may be silent or behind. A refusal alone only makes a backend dearer for some
seconds: one that wants rest would get more requests meanwhile, each of which costs its caller a
repeat.

Nothing takes back what was said: neither an older entry that calls the backend ready, nor a good
answer that was under way when it asked for rest, nor a shorter rest asked for after a longer one.
"""

from __future__ import annotations

import math

import msgspec

from yokedock.base.logs import logger
from yokedock.connection.dialect import AnswerNotes

_log = logger("notices")

LEAVING_GOSSIP_S = 1.0
"""Routers tell each other of a leaving for so long after they heard of it: two datagrams at least,
of which one may be lost. Whoever hears it sends no stream to a backend that ends under it."""
SAID_KEPT_S = 60.0
"""What a backend said is kept so long after its entry has gone: an entry that lapsed with the list
may come back while the backend is still on its way out, many seconds later. Two backends replaced
each second, all of which say that they leave, are 120 more to look through."""


class BackendNotices(msgspec.Struct):
    """What answers of one life said; times are seconds of boot time."""

    leaving_since_s: float | None = None
    """When it was first heard that it leaves."""
    observed_leaving_s: float = -math.inf
    """When this router itself first had an answer that says so."""
    backoff_until_s: float = -math.inf
    """Until when it wants no request from this router."""
    leaving_request_sent_ms: int = 0
    """Time of day at which the request was sent whose answer first reported the leaving state."""
    backoff_connection_opened_ms: int = 0
    """Time of day at which the connection was opened that last reported a rest."""

    def take(
        self, notes: AnswerNotes, backend: str, now_s: float, opened_ms: int, sent_ms: int
    ) -> None:
        """Take in what the head of an answer says of ``backend``.

        The answer's connection was opened at ``opened_ms`` and its request was sent at ``sent_ms``
        (times of day).
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
        """Note that an answer said, here or to another router, that the backend leaves."""
        if self.leaving_since_s is None:
            self.leaving_since_s = now_s

    def is_resting(self, now_s: float) -> bool:
        """Return whether the backend wants no request now."""
        return now_s < self.backoff_until_s

    def carried_over(self, born_ms: int, max_clock_skew_ms: int) -> BackendNotices:
        """Return what the next life, begun at ``born_ms``, said before it was heard of.

        A connection that was opened since its start is its own, whoever was thought to be there:
        with the list silent for 2.5 s, a rest of that length was forgotten as the list came back.
        Clocks differ by ``max_clock_skew_ms``: within that a rest is believed, since it ends by
        itself, and a leaving state is not, since nothing would clear it. A rest is dated by the
        opening of its connection, a leaving state by the sending of its request: a request sent
        after the margin was answered by the next life, even on a connection opened before that.
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

    def matter(self, now_s: float) -> bool:
        """Return whether anything was said that would still hold if its entry came back."""
        return self.leaving_since_s is not None or self.is_resting(now_s)
