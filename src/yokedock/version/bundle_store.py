"""Holds the active bundle of a process; accepts only signed bundles of a higher version."""

from __future__ import annotations

import threading
from collections.abc import Callable

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from yokedock.base.logs import logger
from yokedock.errors import BundleRejected, NotReady
from yokedock.messages import BundleStamp
from yokedock.version.bundle import Bundle
from yokedock.version.bundle_codec import (
    Manifest,
    SignedBundle,
    assemble,
    open_envelope,
    stamp_of,
)

_log = logger("bundle")
SectionFetcher = Callable[[tuple[str, ...]], dict[str, bytes]]
"""Fetches sections by digest from the source of the envelope; may return only some of them."""


class BundleStore:
    """Holds the active bundle and its signed bytes, which are forwarded to peers."""

    def __init__(self, key: Ed25519PublicKey) -> None:
        """Create a store without a bundle; ``key`` is the deployment's public key."""
        self._key = key
        self._lock = threading.Lock()
        self._bundle: Bundle | None = None
        self._signed = SignedBundle(b"", {})
        self._stamp = BundleStamp(0, "")
        self.tenant_by_token_hash: dict[str, str] = {}
        """The tenant names of the active bundle, keyed by token hash."""
        self._listeners: list[Callable[[Bundle], None]] = []
        self._adopted = threading.Event()

    @property
    def stamp(self) -> BundleStamp:
        """Return the version and digest of the active bundle."""
        return self._stamp

    @property
    def signed(self) -> SignedBundle:
        """Return the signed bytes of the active bundle."""
        return self._signed

    def current(self) -> Bundle:
        """Return the active bundle; raises ``NotReady`` if none was adopted yet."""
        bundle = self._bundle
        if bundle is None:
            raise NotReady("no bundle is active yet; publish one, or retry shortly", 1.0)
        return bundle

    def wait(self, timeout_s: float) -> bool:
        """Wait until a bundle is active; return False on time-out."""
        return self._adopted.wait(timeout_s)

    def on_adopt(self, listener: Callable[[Bundle], None]) -> None:
        """Call ``listener`` after each adoption, and immediately if a bundle is active."""
        with self._lock:
            self._listeners.append(listener)
            bundle = self._bundle
        if bundle is not None:
            listener(bundle)

    def sections(self, digests: tuple[str, ...]) -> tuple[bytes, ...]:
        """Return the sections with these digests, empty bytes where unknown."""
        known = self._signed.sections
        return tuple(known.get(digest, b"") for digest in digests)

    def missing(self, envelope: bytes) -> tuple[str, ...]:
        """Return the digests of sections that ``envelope`` lists and this process lacks.

        Raises ``BundleRejected`` if the signature of the envelope is not valid.
        """
        known = self._signed.sections
        manifest = open_envelope(envelope, self._key)
        return tuple(entry.digest for entry in manifest.sections if entry.digest not in known)

    def offer(self, envelope: bytes, fetch: SectionFetcher, origin: str) -> bool:
        """Adopt ``envelope`` if its version is above the active one; return whether it was adopted.

        Raises ``BundleRejected`` if its signature is not valid, if it is truncated or altered, or
        if it has the version of the active bundle with different content.
        """
        if envelope == self._signed.envelope:
            return False
        manifest = open_envelope(envelope, self._key)
        if not self._is_newer(manifest, envelope):
            return False
        sections = self._collect_sections(manifest, fetch)
        bundle = assemble(manifest, sections)
        with self._lock:
            if not self._is_newer(manifest, envelope):
                return False
            self._bundle = bundle
            self.tenant_by_token_hash = bundle.tenant_by_token_hash()
            self._signed = SignedBundle(envelope, sections)
            self._stamp = stamp_of(bundle.version, envelope)
            listeners = list(self._listeners)
        self._adopted.set()
        _log.info("adopted", version=bundle.version, origin=origin)
        for listener in listeners:
            listener(bundle)
        return True

    def _is_newer(self, manifest: Manifest, envelope: bytes) -> bool:
        """Return whether the manifest's version is above the active one."""
        if manifest.version > self._stamp.version:
            return True
        same_version = manifest.version == self._stamp.version
        if same_version and stamp_of(manifest.version, envelope) != self._stamp:
            message = (
                f"version {manifest.version} is already active with different content; "
                "sign the change again with a higher version"
            )
            raise BundleRejected(message)
        return False

    def _collect_sections(self, manifest: Manifest, fetch: SectionFetcher) -> dict[str, bytes]:
        """Return the sections of the manifest, calling ``fetch`` for those not held locally."""
        known = self._signed.sections
        missing = tuple(entry.digest for entry in manifest.sections if entry.digest not in known)
        fetched = fetch(missing) if missing else {}
        sections: dict[str, bytes] = {}
        for entry in manifest.sections:
            content = known.get(entry.digest) or fetched.get(entry.digest)
            if content is not None:
                sections[entry.digest] = content
        return sections
