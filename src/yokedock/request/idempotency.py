"""In-memory store of idempotency keys, by which a home runs each key at most once.

Keys are UUIDv7, so each contains its creation time. The store is lost on a restart: a home that
started after a key was created cannot know whether its predecessor ran it, and rejects the key with
``KeyPredatesHomeStart``.
"""

from __future__ import annotations

import dataclasses
import enum
import threading
import uuid
from concurrent.futures import Future

from yokedock.base.clock import boot_time_s
from yokedock.errors import BadIdempotencyKey, KeyPredatesHomeStart, NotRun, Refused
from yokedock.messages import ServiceAnswer

UUID_VERSION = 7
TIMESTAMP_SHIFT = 80
MAX_RECORDS = 100_000


class KeyState(enum.Enum):
    """State of the call that a key stands for."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    TOMBSTONE = "tombstone"


@dataclasses.dataclass
class KeyRecord:
    """Record of one key; ``finished`` is resolved with the response or a typed error."""

    state: KeyState
    key_created_ms: int
    finished: Future[ServiceAnswer]


@dataclasses.dataclass(frozen=True)
class RecordLimits:
    """How long keys are accepted and how far clocks may differ, in milliseconds."""

    window_ms: int
    skew_ms: int


class RecordFull(Refused):
    """The store of idempotency keys is full, so the call was not run."""

    code = "record_full"


def key_time_ms(key: str) -> int:
    """Return the Unix time in a UUIDv7, in milliseconds; raises ``BadIdempotencyKey``."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        raise BadIdempotencyKey("the idempotency key is not a UUID; send a new UUIDv7") from None
    if parsed.version != UUID_VERSION or str(parsed) != key.lower():
        raise BadIdempotencyKey("the idempotency key is not a UUIDv7; send a new UUIDv7")
    return parsed.int >> TIMESTAMP_SHIFT


def new_key(now_ms: int) -> str:
    """Return a new UUIDv7 with the Unix time ``now_ms``."""
    random_bits = uuid.uuid4().int & ((1 << TIMESTAMP_SHIFT) - 1)
    value = (now_ms << TIMESTAMP_SHIFT) | random_bits
    value = (value & ~(0xF << 76)) | (UUID_VERSION << 76)
    value = (value & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=value))


def check_key_window(key: str, now_ms: int, limits: RecordLimits) -> int:
    """Return the key's creation time; raises ``BadIdempotencyKey`` if it is out of the window."""
    key_created_ms = key_time_ms(key)
    if key_created_ms < now_ms - limits.window_ms + limits.skew_ms:
        raise BadIdempotencyKey("the idempotency key is too old; send a new UUIDv7")
    if key_created_ms > now_ms + limits.skew_ms:
        raise BadIdempotencyKey(
            "the idempotency key is from the future; correct the caller's clock"
        )
    return key_created_ms


class IdempotencyStore:
    """Lets each key run at most once. Thread-safe."""

    def __init__(self, started_at_ms: int) -> None:
        """``started_at_ms`` is the wall-clock time at which this home started."""
        self._started_at_ms = started_at_ms
        self._lock = threading.Lock()
        self._records: dict[str, KeyRecord] = {}
        self._last_sweep_s = boot_time_s()

    def begin(self, key: str, now_ms: int, limits: RecordLimits) -> tuple[KeyRecord, bool]:
        """Return the key's record, and whether it is new, so that the caller must run the call.

        Raises ``KeyPredatesHomeStart``, ``BadIdempotencyKey``, ``NotRun`` (tombstone) or
        ``RecordFull``.
        """
        key_created_ms = check_key_window(key, now_ms, limits)
        with self._lock:
            self._sweep(now_ms, limits)
            known = self._records.get(key)
            if known is not None:
                if known.state is KeyState.TOMBSTONE:
                    raise NotRun("the call was cancelled before it ran; retry with a new key")
                return known, False
            self._check_new_key(key_created_ms, limits)
            record = KeyRecord(KeyState.RUNNING, key_created_ms, Future())
            self._records[key] = record
            return record, True

    def forget(self, key: str) -> None:
        """Delete the record of a call that certainly did not run, so that a retry may run it."""
        with self._lock:
            self._records.pop(key, None)

    def set_tombstone(self, key: str, now_ms: int, limits: RecordLimits) -> KeyRecord | None:
        """Block the key if no call with it was started; else return its record."""
        key_created_ms = check_key_window(key, now_ms, limits)
        with self._lock:
            known = self._records.get(key)
            if known is not None:
                return None if known.state is KeyState.TOMBSTONE else known
            self._check_new_key(key_created_ms, limits)
            self._records[key] = KeyRecord(KeyState.TOMBSTONE, key_created_ms, Future())
            return None

    def size(self) -> int:
        """Return the number of keys in the store."""
        return len(self._records)

    def _check_new_key(self, key_created_ms: int, limits: RecordLimits) -> None:
        if key_created_ms <= self._started_at_ms + limits.skew_ms:
            message = (
                "the key was created before its home started, so an earlier run is possible; "
                "check the result before a retry with a new key"
            )
            raise KeyPredatesHomeStart(message)
        if len(self._records) >= MAX_RECORDS:
            raise RecordFull("the home's store of idempotency keys is full; retry later", 5.0)

    def _sweep(self, now_ms: int, limits: RecordLimits) -> None:
        """Delete keys that would be rejected as too old anyway, at most once a second."""
        if boot_time_s() - self._last_sweep_s < 1.0:
            return
        self._last_sweep_s = boot_time_s()
        horizon = now_ms - limits.window_ms - limits.skew_ms
        for key in [k for k, r in self._records.items() if r.key_created_ms < horizon]:
            del self._records[key]
