"""What one router tells the others of itself."""

from __future__ import annotations

import msgspec


class EngineShare(msgspec.Struct, array_like=True):
    """What one router has at one engine."""

    memory_tokens: int = 0
    streams: int = 0
    prefill_tokens: int = 0
    pause_ms: int = 0
    """Pause between events there as measured a moment ago, 0 if it was not."""
    read_tokens_per_ms: int = 0
    """Pace of reading prompts there as measured a moment ago, 0 if it was not."""


class QueueShare(msgspec.Struct, array_like=True):
    """What waits for the engines of one service at one router."""

    in_time: int = 0
    """Generations waiting that can still meet their target."""
    arrivals_per_s: float = 0.0
    next_in_ms: int = 0
    """Time left of the generation whose turn is next, negative if it is late already, 0 if none
    waits or the router is of an older version."""


class RouterState(msgspec.Struct, array_like=True):
    """What one router tells the others."""

    name: str
    incarnation: int
    sequence: int
    table_version: int
    position: int
    is_leaving: bool
    waiting: int
    """Generations of all services that wait and can still be in time."""
    shares: dict[str, EngineShare]
    leader: str
    """Address of the router that it names as leader, empty if none."""
    token: int
    """Highest fencing token that it knows of."""
    changing: tuple[str, ...]
    """Engines whose role it is changing."""
    routers: tuple[str, ...]
    """Addresses (IP) of some routers that it hears; named now and then."""
    queues: dict[str, QueueShare] = {}
    """By service; a router of an older version tells none."""
