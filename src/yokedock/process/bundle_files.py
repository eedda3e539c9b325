"""Signed bundles as files, which operators publish to the configuration service.

A directory contains ``bundle`` (the envelope), ``section/DIGEST`` for each section, and
``sections`` (all sections in one value). The file names are the keys for publication.
"""

from __future__ import annotations

import base64
import binascii
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

from yokedock.errors import BundleInvalid, BundleRejected
from yokedock.version.bundle import Bundle
from yokedock.version.bundle_codec import (
    ENVELOPE_KEY,
    SECTION_PREFIX,
    SignedBundle,
    assemble,
    open_envelope,
)


def write_signed(signed: SignedBundle, directory: Path) -> None:
    """Write each value of a signed bundle to a file named after its key."""
    (directory / SECTION_PREFIX).mkdir(parents=True, exist_ok=True)
    for item in signed.published():
        (directory / item.key).write_bytes(item.content)


def read_signed(directory: Path) -> SignedBundle:
    """Read a signed bundle written by ``write_signed``; raises ``BundleInvalid``."""
    try:
        envelope = (directory / ENVELOPE_KEY).read_bytes()
        files = sorted((directory / SECTION_PREFIX).iterdir())
        return SignedBundle(envelope, {file.name: file.read_bytes() for file in files})
    except OSError as error:
        message = f"no signed bundle in {directory} ({error.strerror}); run 'bundle sign' first"
        raise BundleInvalid(message) from None


def open_signed(signed: SignedBundle, key: Ed25519PublicKey) -> Bundle:
    """Verify the signature and return the bundle; raises ``BundleRejected``."""
    return assemble(open_envelope(signed.envelope, key), signed.sections)


def write_private_key(key: Ed25519PrivateKey, file: Path) -> None:
    """Write a private key to a new file that only its owner may read."""
    file.touch(mode=0o600, exist_ok=False)
    file.write_text(base64.b64encode(key.private_bytes_raw()).decode() + "\n", encoding="ascii")


def read_private_key(file: Path) -> Ed25519PrivateKey:
    """Read a private key; raises ``BundleInvalid``."""
    try:
        return Ed25519PrivateKey.from_private_bytes(base64.b64decode(file.read_text()))
    except (OSError, ValueError, binascii.Error):
        message = f"no private key in {file}; generate one with 'bundle keygen'"
        raise BundleInvalid(message) from None


def parse_public_key(text: str) -> Ed25519PublicKey:
    """Parse a public key in base64; raises ``BundleRejected``."""
    try:
        return Ed25519PublicKey.from_public_bytes(base64.b64decode(text, validate=True))
    except (ValueError, binascii.Error):
        message = "the public key is not 32 bytes in base64; copy it from the settings"
        raise BundleRejected(message) from None


def format_public_key(key: Ed25519PublicKey) -> str:
    """Return a public key in base64, as used in settings."""
    return base64.b64encode(key.public_bytes_raw()).decode()
