"""What an agent keeps of one attempt at its engine, and what is fixed about that engine."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from yokedock.messages import Decode
from yokedock.request.backend import SendFrame


@dataclasses.dataclass
class EngineAttempt:
    """One attempt at this engine."""

    attempt: str
    is_ordered: bool = False
    is_released: bool = False
    is_streaming: bool = False
    next_sequence: int = 0
    send: SendFrame | None = None


@dataclasses.dataclass(frozen=True)
class EngineSetup:
    """What is fixed for the life of the agent."""

    name: str
    url: str
    agent_address: str
    slots: int
    kept_s: float
    link_bytes_per_s: float
    max_transfers: int


TransferFunction = Callable[[Decode, float], Callable[[bool], None]]
"""Waits for transfer credit at the source's agent; returns the function that gives it back."""
