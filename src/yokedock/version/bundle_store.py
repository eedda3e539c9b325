"""The version in force in a process: adopts only signed, higher versions."""

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
FetchSectionsFunction = Callable[[tuple[str, ...]], dict[str, bytes]]
"""Fetches sections by digest from where the envelope came from; may return fewer."""


class BundleStore:
    """Holds the bundle in force and the signed bytes to hand on to peers."""

    def __init__(self, key: Ed25519PublicKey) -> None:
        """Start with no bundle; ``key`` is the deployment's public key."""
        self._key = key
        self._lock = threading.Lock()
        self._bundle: Bundle | None = None
        self._signed = SignedBundle(b"", {})
        self._stamp = BundleStamp(0, "")
        self.tenant_by_token_hash: dict[str, str] = {}
        """The tenants of the bundle in force, by the hash of their token."""
        self._listeners: list[Callable[[Bundle], None]] = []
        self._adopted = threading.Event()

    @property
    def stamp(self) -> BundleStamp:
        """Return version and digest of the bundle in force."""
        return self._stamp

    @property
    def signed(self) -> SignedBundle:
        """Return the signed bytes in force."""
        return self._signed

    def current(self) -> Bundle:
        """Return the bundle in force; raises ``NotReady`` before the first one."""
        bundle = self._bundle
        if bundle is None:
            raise NotReady("no bundle is in force yet; publish one, or retry shortly", 1.0)
        return bundle

    def wait(self, timeout_s: float) -> bool:
        """Wait for the first bundle; return whether there is one."""
        return self._adopted.wait(timeout_s)

    def on_adopt(self, listener: Callable[[Bundle], None]) -> None:
        """Call ``listener`` after each adoption, and now if a bundle is in force."""
        with self._lock:
            self._listeners.append(listener)
            bundle = self._bundle
        if bundle is not None:
            listener(bundle)

    def sections(self, digests: tuple[str, ...]) -> tuple[bytes, ...]:
        """Return the named sections, empty where unknown."""
        known = self._signed.sections
        return tuple(known.get(digest, b"") for digest in digests)

    def missing(self, envelope: bytes) -> tuple[str, ...]:
        """Return the digests of sections that ``envelope`` names and this process lacks.

        Raises ``BundleRejected`` when the envelope is not validly signed.
        """
        known = self._signed.sections
        manifest = open_envelope(envelope, self._key)
        return tuple(entry.digest for entry in manifest.sections if entry.digest not in known)

    def offer(self, envelope: bytes, fetch: FetchSectionsFunction, origin: str) -> bool:
        """Adopt ``envelope`` if it is higher than the version in force; return whether it was.

        Raises ``BundleRejected`` when it is not validly signed, is truncated or altered, or has
        the version in force with other content.
        """
        if envelope == self._signed.envelope:
            return False
        manifest = open_envelope(envelope, self._key)
        if not self._is_newer(manifest, envelope):
            return False
        sections = self._collect(manifest, fetch)
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
        """Return whether the manifest is above the version in force."""
        if manifest.version > self._stamp.version:
            return True
        same_version = manifest.version == self._stamp.version
        if same_version and stamp_of(manifest.version, envelope) != self._stamp:
            message = (
                f"version {manifest.version} is in force with other content; "
                "sign the change again with a higher version"
            )
            raise BundleRejected(message)
        return False

    def _collect(self, manifest: Manifest, fetch: FetchSectionsFunction) -> dict[str, bytes]:
        """Return all sections of the manifest: those at hand, the others from ``fetch``."""
        known = self._signed.sections
        missing = tuple(entry.digest for entry in manifest.sections if entry.digest not in known)
        fetched = fetch(missing) if missing else {}
        sections: dict[str, bytes] = {}
        for entry in manifest.sections:
            content = known.get(entry.digest) or fetched.get(entry.digest)
            if content is not None:
                sections[entry.digest] = content
        return sections
