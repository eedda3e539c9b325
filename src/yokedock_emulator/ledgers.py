"""What the stand-ins' ledgers say: the judge of tests, independent of the system's own word."""

from __future__ import annotations

import msgspec

from yokedock.connection.engine_protocol import HeldItem
from yokedock.messages import Sampling


class EngineLedger(msgspec.Struct, frozen=True):
    """``GET /ledger``: what really happened, for the judge of tests alone."""

    held: tuple[HeldItem, ...]
    prefill_tokens: int
    wasted_prefill_tokens: int
    tokens_out: int
    requests_started: tuple[str, ...]
    orders_refused: int
    seconds_since_last_order: float
    dropped_by_role_change: tuple[str, ...] = ()
    """Requests whose work ended because the engine was told to change its role."""
    samplings: tuple[Sampling, ...] = ()
    """What the orders to decode said of how to choose tokens, where they said anything."""


class HoldOrder(msgspec.Struct, frozen=True):
    """``POST /test/hold``: hold every request at ``step`` until called with an empty step."""

    step: str


class LinkState(msgspec.Struct, frozen=True):
    """``POST /test/link``: let an engine's link stand still, or go on."""

    is_stalled: bool


class Execution(msgspec.Struct, frozen=True):
    """One call that a plain service really ran."""

    service: str
    key: str
    body: str


class ServiceLedger(msgspec.Struct, frozen=True):
    """``GET /ledger`` of a plain service. ``arrived`` counts calls that reached it."""

    executions: tuple[Execution, ...]
    arrived: int


class PlatformLedger(msgspec.Struct, frozen=True):
    """``GET /ledger`` of the platform stand-in: reads of the configuration service so far."""

    reads: int
    watches: int
