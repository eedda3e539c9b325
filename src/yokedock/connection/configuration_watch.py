"""Watches the configuration service by long polling; every retry is delayed with full jitter."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor

import urllib3

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.connection.bounded_http import bounded_pool_manager, read_whole
from yokedock.connection.header_numbers import parse_integer
from yokedock.errors import BundleRejected, PlatformUnavailable
from yokedock.version.bundle_codec import (
    ENVELOPE_KEY,
    MAX_ENVELOPE_BYTES,
    PACK_KEY,
    SECTION_PREFIX,
    digest_of,
    unpack_sections,
)
from yokedock.version.bundle_store import BundleStore

_log = logger("configuration")

REVISION_HEADER = "X-Revision"
RETRY_MIN_S = 0.2
RETRY_MAX_S = 10.0
READ_TIMEOUT_S = 5.0
FETCH_THREADS = 4
MIN_SECTIONS_FOR_PACK = 4
"""If at least this many sections are missing, the packed value with all sections is read."""
MAX_FETCH_DELAY_S = 1.0
"""Maximum random delay before a change is fetched, so that processes do not all read at once."""


class ConfigurationClient:
    """Reads values from the configuration service."""

    def __init__(self, url: str) -> None:
        """``url`` is the base URL of the service."""
        self._url = url.rstrip("/")
        self._pool = bounded_pool_manager(FETCH_THREADS + 1)

    def read(self, key: str, after_revision: int = 0, wait_ms: int = 0) -> tuple[int, bytes] | None:
        """Return (revision, value) of ``key``; None if it is unset or unchanged within ``wait_ms``.

        Raises ``PlatformUnavailable``.
        """
        url = f"{self._url}/v1/values/{key}"
        if wait_ms:
            url += f"?after={after_revision}&wait_ms={wait_ms}"
        try:
            streamed = self._pool.request(
                "GET",
                url,
                timeout=urllib3.Timeout(connect=1.0, read=READ_TIMEOUT_S + wait_ms / 1000),
                preload_content=False,
            )
            response = read_whole(streamed)
        except urllib3.exceptions.HTTPError:
            message = f"the configuration service at {self._url} does not respond; check it"
            raise PlatformUnavailable(message) from None
        if response.status in (204, 404):
            return None
        if response.status != 200:
            raise PlatformUnavailable(
                f"the configuration service responded with status {response.status}"
            )
        if len(response.data) > MAX_ENVELOPE_BYTES:
            raise PlatformUnavailable(f"the value of {key} is over 1 MB; publish a smaller one")
        revision = parse_integer(response.headers.get(REVISION_HEADER, "0"))
        if revision is None:
            raise PlatformUnavailable(
                f"the configuration service sent an invalid {REVISION_HEADER}; check its version"
            )
        return revision, response.data

    def sections(self, digests: tuple[str, ...]) -> dict[str, bytes]:
        """Return the available sections, by digest."""
        found: dict[str, bytes] = {}
        if len(digests) >= MIN_SECTIONS_FOR_PACK:
            found = self._packed(digests)
            digests = tuple(digest for digest in digests if digest not in found)
        with ThreadPoolExecutor(FETCH_THREADS) as executor:
            for digest, value in zip(digests, executor.map(self._section, digests), strict=True):
                if value is not None and digest_of(value) == digest:
                    found[digest] = value
        return found

    def _packed(self, digests: tuple[str, ...]) -> dict[str, bytes]:
        """Return the requested sections that the packed value contains."""
        value = self.read(PACK_KEY)
        packed = unpack_sections(value[1]) if value else {}
        return {digest: packed[digest] for digest in digests if digest in packed}

    def _section(self, digest: str) -> bytes | None:
        value = self.read(SECTION_PREFIX + digest)
        return value[1] if value else None


class ConfigurationWatch(threading.Thread):
    """Thread that watches the published bundle and offers it to the store."""

    def __init__(self, client: ConfigurationClient, store: BundleStore, watch_ms: int) -> None:
        """Initialize the thread."""
        super().__init__(name="configuration watch", daemon=True)
        self._client = client
        self._store = store
        self._watch_ms = watch_ms
        self._stopping = threading.Event()
        self._random = new_random()
        self.confirmed_s = 0.0
        """Boot time in seconds of the last response from the service."""

    def stop(self) -> None:
        """Stop the thread after the current read."""
        self._stopping.set()

    def run(self) -> None:
        """Watch until stopped, retrying with exponential backoff and full jitter."""
        revision, pause_s = 0, RETRY_MIN_S
        while not self._stopping.is_set():
            try:
                revision = self._watch_once(revision)
                pause_s = RETRY_MIN_S
            except PlatformUnavailable as error:
                _log.warning("could not read from the configuration service", error=error.message)
                # Restoring a backup may have lowered the revisions, so a watch from the old
                # one could stall.
                revision = 0
                self._stopping.wait(self._random.uniform(0, pause_s))
                pause_s = min(pause_s * 2, RETRY_MAX_S)

    def _watch_once(self, revision: int) -> int:
        """Wait for a change after ``revision``; return the latest revision read."""
        wait_ms = self._watch_ms if revision else 0
        answer = self._client.read(ENVELOPE_KEY, revision, wait_ms)
        self.confirmed_s = boot_time_s()
        if answer is None:
            if not wait_ms:
                self._stopping.wait(self._random.uniform(0, RETRY_MIN_S))
            return revision
        seen, envelope = answer
        if self._store.stamp.version:
            self._stopping.wait(self._random.uniform(0, MAX_FETCH_DELAY_S))
        try:
            self._store.offer(envelope, self._client.sections, "configuration service")
        except BundleRejected as error:
            _log.error("published bundle rejected", error=error.message)
        return seen
