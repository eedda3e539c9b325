"""Records of which software version began which stream, for callers that resume their stream."""

from __future__ import annotations

import abc

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.request.software_version import UNKNOWN_VERSION

MAX_ORIGINS = 20_000
"""Maximum number of records (3 MB); beyond it the oldest ones are dropped."""
MS_PER_SECOND = 1000


class StreamOrigin(msgspec.Struct, array_like=True, frozen=True):
    """The software version that began a stream, as sent to routers and origin stores."""

    stream: int
    """Number of the stream (``stream_number``)."""
    version: int
    """Number of the version (``version_number``)."""
    ttl_ms: int
    """Remaining time for which the caller may resume the stream."""


class OriginQuestion(msgspec.Struct, frozen=True):
    """What has to be known about a stream that a caller resumes."""

    stream: int | None
    """Number of the stream, None if the caller does not name it."""
    service: str | None
    """The only service that may have begun it, None if there are several."""
    max_age_s: float
    """The stream began at most this long ago."""


class OriginDirectory(abc.ABC):
    """The records of all routers and origin stores."""

    @abc.abstractmethod
    def record(self, stream: int, version: int, ttl_s: float) -> None:
        """Record the version that begins or continues a stream, here and at its replicas."""

    @abc.abstractmethod
    async def find(self, question: OriginQuestion) -> int | None:
        """Return the version that began a stream, None if no reachable process knows it."""

    @abc.abstractmethod
    async def is_list_current_since(self, asked_s: float) -> bool:
        """Return whether the list of backends is known to be of a time after ``asked_s``."""


class _Record(msgspec.Struct):
    """One record of the table."""

    version: int
    expires_s: float
    """When it is dropped (boot time, s)."""


class StreamOrigins:
    """The records that one router or origin store holds, of its own streams and for others.

    Request ids are chosen by callers. If an id is used for streams of two versions, the version of
    both is unknown. The table is bounded.
    """

    def __init__(self, max_records: int = MAX_ORIGINS) -> None:
        """Start empty."""
        self._max_records = max_records
        self._records: dict[int, _Record] = {}

    def record(self, origin: StreamOrigin) -> None:
        """Add a record or extend its time."""
        expires_s = boot_time_s() + origin.ttl_ms / MS_PER_SECOND
        known = self._records.get(origin.stream)
        if known is None:
            self._records[origin.stream] = _Record(origin.version, expires_s)
            if len(self._records) > self._max_records:
                del self._records[next(iter(self._records))]
            return
        known.expires_s = max(known.expires_s, expires_s)
        if known.version != origin.version:
            known.version = UNKNOWN_VERSION

    def version_of(self, stream: int) -> int | None:
        """Return the recorded version of a stream, None if there is no record."""
        known = self._records.get(stream)
        if known is None or known.expires_s < boot_time_s():
            return None
        return known.version

    def unexpired(self) -> list[StreamOrigin]:
        """Return all records that have not expired."""
        now_s = boot_time_s()
        return [
            StreamOrigin(stream, known.version, round((known.expires_s - now_s) * MS_PER_SECOND))
            for stream, known in self._records.items()
            if known.expires_s > now_s
        ]

    def drop_expired(self) -> None:
        """Remove records that have expired."""
        now_s = boot_time_s()
        for stream in [s for s, known in self._records.items() if known.expires_s <= now_s]:
            del self._records[stream]

    def size(self) -> int:
        """Return the number of records."""
        return len(self._records)
