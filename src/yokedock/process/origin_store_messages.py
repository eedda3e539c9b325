"""Datagrams between routers and the origin stores beside engines, in MessagePack.

Each fits into one packet. None is confirmed: a record goes to several stores, and a lookup without
a response is sent again.
"""

from __future__ import annotations

import msgspec

from yokedock.request.stream_origins import StreamOrigin


class OriginRecord(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """A router reports which software version began a stream."""

    origin: StreamOrigin


class OriginLookup(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A router asks which software version began a stream."""

    lookup: int
    """Number that the response repeats."""
    stream: int
    """Number of the stream (``stream_number``)."""


class OriginFinding(msgspec.Struct, array_like=True, frozen=True):
    """The response to a lookup."""

    lookup: int
    version: int | None
    """Number of the version, ``UNKNOWN_VERSION`` if two began it, None if there is no record."""
