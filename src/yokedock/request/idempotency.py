"""The at-most-once record of a home: what became of each idempotency key.

Keys are UUIDv7, so each names the time at which it was made. The record lives in memory only: a
home that started after a key was made cannot know what its predecessor ran, and says so.
"""

from __future__ import annotations

import dataclasses
import enum
import threading
import uuid
from concurrent.futures import Future

from yokedock.base.clock import boot_time_s
from yokedock.errors import BadIdempotencyKey, KeyFromBeforeRestart, NotRun, Refused
from yokedock.messages import ServiceAnswer

UUID_VERSION = 7
TIMESTAMP_SHIFT = 80
MAX_RECORDS = 100_000


class KeyState(enum.Enum):
    """What became of a key."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    TOMBSTONE = "tombstone"


@dataclasses.dataclass
class KeyRecord:
    """The record of one key; ``finished`` gets the answer or the typed error."""

    state: KeyState
    made_at_ms: int
    finished: Future[ServiceAnswer]


@dataclasses.dataclass(frozen=True)
class RecordLimits:
    """How long keys are kept and how far clocks may differ, in milliseconds."""

    window_ms: int
    skew_ms: int


class RecordFull(Refused):
    """The record of keys is full, so the call was not run."""

    code = "record_full"


def key_time_ms(key: str) -> int:
    """Return the time in a UUIDv7, ms since 1970; raises ``BadIdempotencyKey``."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        raise BadIdempotencyKey("the idempotency key is no UUID; send a fresh UUIDv7") from None
    if parsed.version != UUID_VERSION or str(parsed) != key.lower():
        raise BadIdempotencyKey("the idempotency key is no UUIDv7; send a fresh UUIDv7")
    return parsed.int >> TIMESTAMP_SHIFT


def new_key(now_ms: int) -> str:
    """Return a fresh UUIDv7 for ``now_ms``."""
    random_bits = uuid.uuid4().int & ((1 << TIMESTAMP_SHIFT) - 1)
    value = (now_ms << TIMESTAMP_SHIFT) | random_bits
    value = (value & ~(0xF << 76)) | (UUID_VERSION << 76)
    value = (value & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=value))


def check_key_window(key: str, now_ms: int, limits: RecordLimits) -> int:
    """Return the key's time; raises ``BadIdempotencyKey`` when it is out of the window."""
    made_at_ms = key_time_ms(key)
    if made_at_ms < now_ms - limits.window_ms + limits.skew_ms:
        raise BadIdempotencyKey("the idempotency key is too old; send a fresh UUIDv7")
    if made_at_ms > now_ms + limits.skew_ms:
        raise BadIdempotencyKey("the idempotency key is from the future; set the caller's clock")
    return made_at_ms


class IdempotencyRecord:
    """Lets each key run at most once. Safe for use by several threads."""

    def __init__(self, started_at_ms: int) -> None:
        """Start empty; ``started_at_ms`` is the wall-clock time of this home's start."""
        self._started_at_ms = started_at_ms
        self._lock = threading.Lock()
        self._records: dict[str, KeyRecord] = {}
        self._swept_s = boot_time_s()

    def begin(self, key: str, now_ms: int, limits: RecordLimits) -> tuple[KeyRecord, bool]:
        """Return the key's record and whether the caller is to run it now.

        Raises ``KeyFromBeforeRestart``, ``BadIdempotencyKey``, ``NotRun`` (tombstone) or
        ``RecordFull``.
        """
        made_at_ms = check_key_window(key, now_ms, limits)
        with self._lock:
            self._sweep(now_ms, limits)
            known = self._records.get(key)
            if known is not None:
                if known.state is KeyState.TOMBSTONE:
                    raise NotRun("the call was given up before it ran; send it with a fresh key")
                return known, False
            self._check_new(made_at_ms, limits)
            record = KeyRecord(KeyState.RUNNING, made_at_ms, Future())
            self._records[key] = record
            return record, True

    def forget(self, key: str) -> None:
        """The call certainly did not run: a later order may run it."""
        with self._lock:
            self._records.pop(key, None)

    def set_tombstone(self, key: str, now_ms: int, limits: RecordLimits) -> KeyRecord | None:
        """Forbid a key that has not run; return its record if it has."""
        made_at_ms = check_key_window(key, now_ms, limits)
        with self._lock:
            known = self._records.get(key)
            if known is not None:
                return None if known.state is KeyState.TOMBSTONE else known
            self._check_new(made_at_ms, limits)
            self._records[key] = KeyRecord(KeyState.TOMBSTONE, made_at_ms, Future())
            return None

    def size(self) -> int:
        """Return the number of keys on record."""
        return len(self._records)

    def _check_new(self, made_at_ms: int, limits: RecordLimits) -> None:
        if made_at_ms <= self._started_at_ms + limits.skew_ms:
            message = (
                "the key is older than its home's record, so an earlier run cannot be ruled out; "
                "look up the result before sending it with a fresh key"
            )
            raise KeyFromBeforeRestart(message)
        if len(self._records) >= MAX_RECORDS:
            raise RecordFull("the home's record of keys is full; retry later", 5.0)

    def _sweep(self, now_ms: int, limits: RecordLimits) -> None:
        """Forget keys that would be refused as too old anyway."""
        if boot_time_s() - self._swept_s < 1.0:
            return
        self._swept_s = boot_time_s()
        horizon = now_ms - limits.window_ms - limits.skew_ms
        for key in [k for k, r in self._records.items() if r.made_at_ms < horizon]:
            del self._records[key]
