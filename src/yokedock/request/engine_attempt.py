"""State of one attempt at an agent's engine, and the static configuration of that engine."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from yokedock.messages import Decode
from yokedock.request.backend import SendFrame


@dataclasses.dataclass
class EngineAttempt:
    """State of one attempt at this engine."""

    attempt: str
    is_submitted: bool = False
    is_released: bool = False
    is_streaming: bool = False
    next_sequence: int = 0
    send: SendFrame | None = None


@dataclasses.dataclass(frozen=True)
class EngineSetup:
    """Engine configuration that does not change during the lifetime of the agent."""

    name: str
    url: str
    agent_address: str
    slots: int
    handle_ttl_s: float
    link_bytes_per_s: float
    max_transfers: int


TransferFunction = Callable[[Decode, float], Callable[[bool], None]]
"""Acquires transfer credit from the source's agent; returns the function that releases it."""
