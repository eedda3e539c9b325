"""Synchronizes bundles between peers: the one with the older version fetches the newer.

Every heartbeat and its reply carry a stamp (version, digest). The dialer fetches the bundle if its
own version is older and offers its bundle if it is newer. A listener that is offered a bundle
requests the sections it lacks over the same connection.
"""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor

from yokedock.base.logs import logger
from yokedock.connection.peer_listener import PeerConnection
from yokedock.connection.peer_view import AgentPeerHandle
from yokedock.errors import BundleRejected, YokedockError
from yokedock.messages import (
    BundleEnvelope,
    BundleSections,
    BundleStamp,
    FetchBundle,
    FetchSections,
    OfferBundle,
)
from yokedock.version.bundle_codec import digest_of
from yokedock.version.bundle_store import BundleStore

_log = logger("bundle")
FETCH_TIMEOUT_S = 2.0


class BundleExchange:
    """Synchronizes the bundle store of one process with its peers."""

    def __init__(self, store: BundleStore) -> None:
        """Synchronize ``store``."""
        self._store = store
        self._worker = ThreadPoolExecutor(1, "bundle exchange")
        self._lock = threading.Lock()
        self._fetching_version = 0
        self._offered_envelope = b""

    def stop(self) -> None:
        """Stop the worker thread."""
        self._worker.shutdown(wait=False, cancel_futures=True)

    # --- Dialing side ---

    def peer_stamp_seen(self, peer: AgentPeerHandle, stamp: BundleStamp) -> None:
        """Fetch from a peer with a newer version; offer to one with an older version."""
        own = self._store.stamp
        if stamp.version > own.version:
            with self._lock:
                if self._fetching_version >= stamp.version:
                    return
                self._fetching_version = stamp.version
            self._worker.submit(self._fetch, peer, b"")
        elif stamp.version < own.version:
            peer.notify(OfferBundle(self._store.signed.envelope))

    def peer_offered(self, peer: AgentPeerHandle, envelope: bytes) -> None:
        """Handle an envelope that an agent sent along with a refusal."""
        self._worker.submit(self._fetch, peer, envelope)

    def _fetch(self, peer: AgentPeerHandle, envelope: bytes) -> None:
        """Fetch and adopt the peer's bundle; runs on the worker thread."""
        try:
            if not envelope:
                answer = peer.call(FetchBundle()).result(FETCH_TIMEOUT_S)
                assert isinstance(answer, BundleEnvelope)
                envelope = answer.envelope
            self._store.offer(
                envelope, lambda digests: self._fetch_sections(peer, digests), peer.name
            )
        except BundleRejected as error:
            _log.error("peer's bundle rejected", peer=peer.name, error=error.message)
        except (YokedockError, TimeoutError) as error:
            _log.warning("could not fetch peer's bundle", peer=peer.name, error=str(error))
        finally:
            with self._lock:
                self._fetching_version = 0

    def _fetch_sections(self, peer: AgentPeerHandle, digests: tuple[str, ...]) -> dict[str, bytes]:
        answer = peer.call(FetchSections(digests)).result(FETCH_TIMEOUT_S)
        assert isinstance(answer, BundleSections)
        return sections_by_digest(answer.contents)

    # --- Listening side ---

    def gateway_offered(self, envelope: bytes, connection: PeerConnection) -> None:
        """Request missing sections from the gateway, or adopt the bundle if there are none."""
        try:
            missing = self._store.missing(envelope)
            if missing:
                with self._lock:
                    self._offered_envelope = envelope
                connection.send(FetchSections(missing))
            else:
                self._store.offer(envelope, lambda _digests: {}, connection.name)
        except BundleRejected as error:
            _log.error("peer's bundle rejected", peer=connection.name, error=error.message)

    def sections_arrived(self, contents: tuple[bytes, ...]) -> None:
        """Adopt the offered envelope, whose missing sections have arrived."""
        with self._lock:
            envelope, self._offered_envelope = self._offered_envelope, b""
        if not envelope:
            return
        sections = sections_by_digest(contents)
        try:
            self._store.offer(envelope, lambda _digests: sections, "peer")
        except BundleRejected as error:
            _log.error("peer's bundle rejected", error=error.message)


def sections_by_digest(contents: tuple[bytes, ...]) -> dict[str, bytes]:
    """Return sections by the digest computed from their contents."""
    return {digest_of(content): content for content in contents if content}
