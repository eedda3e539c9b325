"""Follows the configuration service: one long poll that waits, with full jitter on every retry."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor

import urllib3

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
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
FETCHERS = 4
PACK_WORTH_SECTIONS = 4
"""From so many missing sections on, all sections are read at once."""
SPREAD_S = 1.0
"""A change is fetched within this time, so that not all processes read at once."""


class ConfigurationClient:
    """Reads values from the configuration service."""

    def __init__(self, url: str) -> None:
        """Name the service's base URL."""
        self._url = url.rstrip("/")
        self._pool = urllib3.PoolManager(maxsize=FETCHERS + 1, retries=False)

    def read(self, key: str, after_revision: int = 0, wait_ms: int = 0) -> tuple[int, bytes] | None:
        """Return (revision, value) of ``key``; None if it is unset or did not change in time.

        Raises ``PlatformUnavailable``.
        """
        url = f"{self._url}/v1/values/{key}"
        if wait_ms:
            url += f"?after={after_revision}&wait_ms={wait_ms}"
        try:
            response = self._pool.request(
                "GET",
                url,
                timeout=urllib3.Timeout(connect=1.0, read=READ_TIMEOUT_S + wait_ms / 1000),
            )
        except urllib3.exceptions.HTTPError:
            message = f"the configuration service at {self._url} does not answer; check it"
            raise PlatformUnavailable(message) from None
        if response.status in (204, 404):
            return None
        if response.status != 200:
            raise PlatformUnavailable(f"the configuration service answered {response.status}")
        if len(response.data) > MAX_ENVELOPE_BYTES:
            raise PlatformUnavailable(f"the value of {key} is over 1 MB; publish a smaller one")
        return int(response.headers.get(REVISION_HEADER, "0")), response.data

    def sections(self, digests: tuple[str, ...]) -> dict[str, bytes]:
        """Return the sections that the service has, by digest."""
        found: dict[str, bytes] = {}
        if len(digests) >= PACK_WORTH_SECTIONS:
            found = self._packed(digests)
            digests = tuple(digest for digest in digests if digest not in found)
        with ThreadPoolExecutor(FETCHERS) as fetchers:
            for digest, value in zip(digests, fetchers.map(self._section, digests), strict=True):
                if value is not None and digest_of(value) == digest:
                    found[digest] = value
        return found

    def _packed(self, digests: tuple[str, ...]) -> dict[str, bytes]:
        """Return those of the sections that stand in the packed value."""
        value = self.read(PACK_KEY)
        packed = unpack_sections(value[1]) if value else {}
        return {digest: packed[digest] for digest in digests if digest in packed}

    def _section(self, digest: str) -> bytes | None:
        value = self.read(SECTION_PREFIX + digest)
        return value[1] if value else None


class ConfigurationWatch(threading.Thread):
    """The task that watches the published bundle and offers it to the store."""

    def __init__(self, client: ConfigurationClient, store: BundleStore, watch_ms: int) -> None:
        """Prepare the thread."""
        super().__init__(name="configuration watch", daemon=True)
        self._client = client
        self._store = store
        self._watch_ms = watch_ms
        self._stopping = threading.Event()
        self._random = new_random()
        self.confirmed_s = 0.0
        """Boot time at which the service last answered."""

    def stop(self) -> None:
        """End the thread after its present read."""
        self._stopping.set()

    def run(self) -> None:
        """Watch until stopped; every retry waits a random part of a growing pause."""
        revision, pause_s = 0, RETRY_MIN_S
        while not self._stopping.is_set():
            try:
                revision = self._watch_once(revision)
                pause_s = RETRY_MIN_S
            except PlatformUnavailable as error:
                _log.warning("no answer", error=error.message)
                # A restore may have lowered the revisions, so a watch from the old one could stall.
                revision = 0
                self._stopping.wait(self._random.uniform(0, pause_s))
                pause_s = min(pause_s * 2, RETRY_MAX_S)

    def _watch_once(self, revision: int) -> int:
        """Wait for a change after ``revision``; return the revision seen."""
        wait_ms = self._watch_ms if revision else 0
        answer = self._client.read(ENVELOPE_KEY, revision, wait_ms)
        self.confirmed_s = boot_time_s()
        if answer is None:
            if not wait_ms:
                self._stopping.wait(self._random.uniform(0, RETRY_MIN_S))
            return revision
        seen, envelope = answer
        if self._store.stamp.version:
            self._stopping.wait(self._random.uniform(0, SPREAD_S))
        try:
            self._store.offer(envelope, self._client.sections, "configuration service")
        except BundleRejected as error:
            _log.error("published bundle rejected", error=error.message)
        return seen
