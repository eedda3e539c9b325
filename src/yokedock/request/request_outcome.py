"""Outcome of a request and its exchanges with backends, as logged when the request ends."""

from __future__ import annotations

import msgspec

ANSWERED = "answered"
"""Outcome of a request that got a response from a backend, whatever its status."""
CALLER_GONE = "caller gone"
"""Outcome of a request whose caller has closed or reset its connection."""
CUT_OFF = "cut off"
"""Outcome of a request whose response the router ended after it had started."""
ENDED = "ended"
"""Outcome of a request that the router ended with a final answer, mostly because it stopped."""
FAILED = "failed"
"""Outcome of a request that met an unexpected error of the router."""


class BackendVisit(msgspec.Struct):
    """Log record of one exchange with a backend: which one, when and for how long."""

    backend: str
    zone: str
    role: str
    from_ms: int
    """Time from the request's arrival at the router."""
    held_ms: int = 0
    outcome: str = "whole"
    """``whole`` for a complete response, else an error code or another reason for the end."""
