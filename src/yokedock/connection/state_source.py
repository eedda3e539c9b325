"""The interface through which the router reads its routes and backends."""

from __future__ import annotations

import abc

import msgspec

from yokedock.base.link_meter import LinkMeter
from yokedock.connection.source_position import SourcePosition
from yokedock.version.route_table import RouteTable


class BackendEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """A live backend as listed in the registry."""

    instance: str
    """Identifier of this backend process."""
    service: str
    address: str
    zone: str = ""
    slots: int = 1
    is_leaving: bool = False
    role: str = ""
    """``prefill`` or ``decode`` for a model engine, else empty."""
    born_ms: int = 0
    """Start time of the backend in Unix milliseconds, 0 if unknown: a backend may restart under its
    previous identifier."""
    revision: int = 0
    """Revision of the source at which the entry was written; 0 if unknown."""
    version: str = ""
    """Version of the backend's software, empty if it states none."""


class StateSnapshot(msgspec.Struct, frozen=True):
    """The full state of the source at ``position``."""

    position: SourcePosition
    table: RouteTable | None
    backends: dict[str, BackendEntry]
    undecoded: tuple[str, ...] = ()
    """Items that could not be decoded: they add no backend, and a previous table stays in force."""


class StateChanges(msgspec.Struct, frozen=True):
    """The changes since an earlier position."""

    position: SourcePosition
    table: RouteTable | None = None
    changed: tuple[BackendEntry, ...] = ()
    gone: tuple[str, ...] = ()
    undecoded: tuple[str, ...] = ()
    """Items that could not be decoded: such a backend is removed, a previous table stays."""
    omitted: tuple[tuple[str, str], ...] = ()
    """Service and software version of entries that were listed in between and are in no field."""


class StateSource(abc.ABC):
    """Reads state. Every call raises ``PlatformUnavailable`` if there is no valid response."""

    is_shared = False
    """Whether all routers read the same source, so that a few may read it for the others."""

    @abc.abstractmethod
    async def read(self) -> StateSnapshot:
        """Return the full state."""

    @abc.abstractmethod
    async def wait(self, position: SourcePosition, max_duration_s: float) -> StateChanges:
        """Return the changes after ``position``, or no changes after ``max_duration_s``.

        Raises ``HistoryUnavailable`` if the source no longer has the changes after ``position``.
        """

    @abc.abstractmethod
    async def current_position(self) -> SourcePosition:
        """Return the position that the source has reached at a time after the call was made."""

    def use_link(self, link: LinkMeter) -> None:
        """Have ``link`` count the bytes that are exchanged with the source.

        A source that uses no network has nothing to count.
        """
        del link

    def received_fraction(self) -> float:
        """Return the received fraction (0 to 1) of the response in progress; 0 if unknown."""
        return 0.0
