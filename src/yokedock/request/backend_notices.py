"""What one life of a backend says of itself in its answers: that it leaves, that it wants rest.

It is heard in every answer, whatever was asked and whether or not it goes to a caller, since the
list of backends may be silent or behind.
"""

from __future__ import annotations

import math

import msgspec

from yokedock.base.logs import logger
from yokedock.connection.dialect import AnswerNotes

_log = logger("notices")


class BackendNotices(msgspec.Struct):
    """What answers of one life said; times are seconds of boot time."""

    leaving_since_s: float | None = None
    """When it first said that it leaves."""
    rest_until_s: float = -math.inf
    """Until when it wants no request from this router."""

    def take(self, notes: AnswerNotes, backend: str, now_s: float) -> None:
        """Take in what the head of an answer says of ``backend``."""
        if notes.is_leaving and self.leaving_since_s is None:
            self.leaving_since_s = now_s
            _log.info("backend says that it leaves", backend=backend)
        if notes.rest_s is not None:
            self.rest_until_s = max(self.rest_until_s, now_s + notes.rest_s)
            _log.info("backend asks for rest", backend=backend, rest_s=notes.rest_s)

    def is_resting(self, now_s: float) -> bool:
        """Return whether the backend wants no request now."""
        return now_s < self.rest_until_s
