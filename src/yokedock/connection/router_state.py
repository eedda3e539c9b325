"""What one router tells the others of itself."""

from __future__ import annotations

import msgspec


class EngineShare(msgspec.Struct, array_like=True):
    """What one router has at one engine."""

    memory_tokens: int = 0
    streams: int = 0
    prefill_tokens: int = 0


class RouterState(msgspec.Struct, array_like=True):
    """What one router tells the others."""

    name: str
    incarnation: int
    sequence: int
    table_version: int
    position: int
    is_leaving: bool
    waiting: int
    shares: dict[str, EngineShare]
    routers: tuple[str, ...]
    """Addresses (IP) of routers that it hears."""
