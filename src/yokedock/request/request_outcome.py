"""The outcome of a request and its backend visits, as logged when the request ends."""

from __future__ import annotations

import msgspec

ANSWERED = "answered"
"""Outcome of a request that got a backend's answer, whatever its status."""


class BackendVisit(msgspec.Struct):
    """One exchange of a request with a backend, for the log: who held it, and for how long."""

    backend: str
    zone: str
    role: str
    from_ms: int
    """Time from the request's arrival at the router."""
    held_ms: int = 0
    outcome: str = "whole"
    """``whole``, or the code of what it ended with."""
