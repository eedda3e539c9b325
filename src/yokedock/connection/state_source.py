"""Where the router learns its routes and backends: a narrow interface and its typed answers."""

from __future__ import annotations

import abc

import msgspec

from yokedock.connection.source_position import SourcePosition
from yokedock.version.route_table import RouteTable


class BackendEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """One live backend as its registry lists it."""

    instance: str
    """Identifier of this incarnation."""
    service: str
    address: str
    zone: str = ""
    slots: int = 1
    is_leaving: bool = False
    role: str = ""
    """``prefill`` or ``decode`` for a model engine, else empty."""
    born_ms: int = 0
    """Unix millisecond at which this life began, 0 if it does not say: it may start anew under the
    identifier that it had."""
    revision: int = 0
    """Of the source, at which the entry was written; 0 if unknown."""


class StateSnapshot(msgspec.Struct, frozen=True):
    """All that the source knows at ``position``."""

    position: SourcePosition
    table: RouteTable | None
    backends: dict[str, BackendEntry]
    undecoded: tuple[str, ...] = ()
    """Items that were not understood: they name no backend; a table before stays in force."""


class StateChanges(msgspec.Struct, frozen=True):
    """What has changed since an earlier position."""

    position: SourcePosition
    table: RouteTable | None = None
    changed: tuple[BackendEntry, ...] = ()
    gone: tuple[str, ...] = ()
    undecoded: tuple[str, ...] = ()
    """Items that were not understood: a backend of that name is gone; a table before stays."""


class StateSource(abc.ABC):
    """Reads state. Every call raises ``PlatformUnavailable`` when there is no sound answer."""

    is_shared = False
    """Whether all routers read one source, so that a few may read it for the others."""

    @abc.abstractmethod
    async def read(self) -> StateSnapshot:
        """Return everything."""

    @abc.abstractmethod
    async def wait(self, position: SourcePosition, longest_s: float) -> StateChanges:
        """Return what has changed after ``position``, or nothing after ``longest_s``.

        Raises ``HistoryUnavailable`` when the source no longer knows what came after ``position``.
        """

    def received_fraction(self) -> float:
        """Return how much of the answer under way has come, from 0 to 1; 0 if that is not known."""
        return 0.0
