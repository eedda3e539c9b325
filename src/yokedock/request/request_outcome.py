"""Outcome of a request and its exchanges with backends, as logged when the request ends."""

from __future__ import annotations

import msgspec

ANSWERED = "answered"
"""Outcome of a request that got a response from a backend, whatever its status."""


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
