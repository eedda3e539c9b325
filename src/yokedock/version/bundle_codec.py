"""The published form of a bundle: a signed manifest and content-addressed sections.

A section is the canonical JSON of one table, or of one shard of a large table, and is named by the
SHA-256 of its content, so an update transfers only the sections that changed. The envelope is the
manifest with an Ed25519 signature over its bytes.
"""

from __future__ import annotations

import dataclasses
import hashlib
from typing import Any

import msgspec
import xxhash
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

from yokedock.base.decoding import DECODING_ERRORS
from yokedock.errors import BundleRejected
from yokedock.messages import BundleStamp
from yokedock.version.bundle import (
    Bundle,
    Engine,
    Limits,
    Model,
    PreviousHome,
    PreviousPool,
    Replica,
    RequestClass,
    Service,
    Tenant,
)

MAX_ENVELOPE_BYTES = 1_000_000
MAX_SECTION_BYTES = 1_000_000
TARGET_ENTRIES_PER_SHARD = 64
"""Target number of entries, such as tenants or engines, per shard (about 16 KB of JSON)."""

ENVELOPE_KEY = "bundle"
SECTION_PREFIX = "section/"
PACK_KEY = "sections"
"""Key of one value that holds all sections: a starting process reads it instead of each section."""
MAX_PACK_BYTES = 1_000_000

_TABLE_KINDS: dict[str, type] = {
    "classes": RequestClass,
    "tenants": Tenant,
    "models": Model,
    "engines": Engine,
    "services": Service,
    "replicas": Replica,
}


class SectionEntry(msgspec.Struct, frozen=True):
    """One entry of the manifest: table, shard, and the digest and size of the content."""

    table: str
    shard: int
    digest: str
    size: int


class Manifest(msgspec.Struct, frozen=True):
    """The signed content: the version and the list of all sections."""

    version: int
    created_at_ms: int
    sections: tuple[SectionEntry, ...]


class Envelope(msgspec.Struct, frozen=True):
    """The encoded manifest and the signature over its bytes."""

    manifest: bytes
    signature: bytes


class SignedBundle(msgspec.Struct, frozen=True):
    """An encoded envelope and the sections that it lists, keyed by digest."""

    envelope: bytes
    sections: dict[str, bytes]

    def published(self) -> tuple[PublishedItem, ...]:
        """Return the items to publish, in the order of publication.

        The envelope comes last, so that no reader finds it before its sections.
        """
        items = [PublishedItem(SECTION_PREFIX + d, c) for d, c in self.sections.items()]
        items.append(PublishedItem(PACK_KEY, pack_sections(self.sections)))
        return (*items, PublishedItem(ENVELOPE_KEY, self.envelope))


class PublishedItem(msgspec.Struct, frozen=True):
    """One key and value of the configuration service."""

    key: str
    content: bytes


def digest_of(content: bytes) -> str:
    """Return the SHA-256 of a section or envelope as hexadecimal digits."""
    return hashlib.sha256(content).hexdigest()


def stamp_of(version: int, envelope: bytes) -> BundleStamp:
    """Return the short identifier by which peers compare their active versions."""
    return BundleStamp(version, digest_of(envelope)[:16])


def sign_bundle(
    bundle: Bundle, version: int, created_at_ms: int, key: Ed25519PrivateKey
) -> SignedBundle:
    """Encode and sign ``bundle`` as ``version``."""
    sections: dict[str, bytes] = {}
    entries: list[SectionEntry] = []
    for table, shard, content in _encode_tables(bundle):
        digest = digest_of(content)
        sections[digest] = content
        entries.append(SectionEntry(table, shard, digest, len(content)))
    manifest = msgspec.json.encode(Manifest(version, created_at_ms, tuple(entries)))
    envelope = msgspec.json.encode(Envelope(manifest, key.sign(manifest)))
    return SignedBundle(envelope, sections)


def pack_sections(sections: dict[str, bytes]) -> bytes:
    """Return all sections as one value; empty if they exceed ``MAX_PACK_BYTES``."""
    packed = msgspec.msgpack.encode(sections)
    return packed if len(packed) <= MAX_PACK_BYTES else b""


def unpack_sections(packed: bytes) -> dict[str, bytes]:
    """Return the sections of a pack whose content matches their digest."""
    try:
        sections = msgspec.msgpack.decode(packed, type=dict[str, bytes])
    except DECODING_ERRORS:
        return {}
    return {digest: c for digest, c in sections.items() if digest_of(c) == digest}


def open_envelope(envelope: bytes, key: Ed25519PublicKey) -> Manifest:
    """Check size, format and signature; raises ``BundleRejected``."""
    if len(envelope) > MAX_ENVELOPE_BYTES:
        raise BundleRejected("the envelope is over 1 MB; publish the file that 'bundle sign' wrote")
    try:
        opened = msgspec.json.decode(envelope, type=Envelope)
        key.verify(opened.signature, opened.manifest)
        manifest = msgspec.json.decode(opened.manifest, type=Manifest)
    except InvalidSignature:
        message = "the signature does not match the deployment's key; sign with its private key"
        raise BundleRejected(message) from None
    except DECODING_ERRORS:
        message = "the envelope is truncated or altered; publish it again"
        raise BundleRejected(message) from None
    if manifest.version < 1:
        raise BundleRejected("the version is below 1; sign with --version 1 or higher")
    return manifest


def assemble(manifest: Manifest, sections: dict[str, bytes]) -> Bundle:
    """Build the bundle from its sections; raises ``BundleRejected`` if any is missing or altered.

    Every section's digest is verified again, whatever source it came from.
    """
    tables: dict[str, dict[str, Any]] = {table: {} for table in _TABLE_KINDS}
    limits = Limits()
    previous_pools: dict[str, PreviousPool] = {}
    for entry in manifest.sections:
        content = sections.get(entry.digest)
        if content is None or digest_of(content) != entry.digest:
            message = f"section {entry.digest[:12]} is missing or altered; publish it again"
            raise BundleRejected(message)
        try:
            if entry.table == "limits":
                limits = msgspec.json.decode(content, type=Limits)
            elif entry.table == "previous_pools":
                previous_pools = msgspec.json.decode(content, type=dict[str, PreviousPool])
            elif entry.table in _TABLE_KINDS:
                kind = _TABLE_KINDS[entry.table]
                tables[entry.table].update(msgspec.json.decode(content, type=dict[str, kind]))  # type: ignore[valid-type]
        except DECODING_ERRORS:
            message = f"section {entry.table} cannot be decoded; sign with this version of yokedock"
            raise BundleRejected(message) from None
    return Bundle(
        manifest.version, manifest.created_at_ms, limits, previous_pools=previous_pools, **tables
    )


def _encode_tables(bundle: Bundle) -> list[tuple[str, int, bytes]]:
    """Return (table, shard, content) of all sections, in a fixed order."""
    encoder = msgspec.json.Encoder(order="sorted")
    encoded = [
        ("limits", 0, encoder.encode(bundle.limits)),
        ("previous_pools", 0, encoder.encode(bundle.previous_pools)),
    ]
    for table in _TABLE_KINDS:
        entries: dict[str, Any] = getattr(bundle, table)
        for shard, content in enumerate(_split_into_shards(entries)):
            encoded.append((table, shard, encoder.encode(content)))
    return encoded


def _split_into_shards(entries: dict[str, Any]) -> list[dict[str, Any]]:
    """Split a table by the hash of each name, so that changing one entry changes one shard."""
    count = 1
    while count * TARGET_ENTRIES_PER_SHARD < len(entries):
        count *= 2
    shards: list[dict[str, Any]] = [{} for _ in range(count)]
    for name, entry in entries.items():
        shards[xxhash.xxh64_intdigest(name.encode()) % count][name] = entry
    return shards


def with_previous_pools(bundle: Bundle, previous: Bundle, now_ms: int) -> Bundle:
    """Return ``bundle`` with the replicas that each changed service had in ``previous``.

    A pool that did not change keeps the record of its last change from ``previous``.
    """
    pools: dict[str, PreviousPool] = {}
    for service in bundle.services:
        before = previous.replicas_of(service)
        if before == bundle.replicas_of(service):
            if service in previous.previous_pools:
                pools[service] = previous.previous_pools[service]
        elif before:
            homes = tuple(PreviousHome(name, previous.replicas[name].agent) for name in before)
            pools[service] = PreviousPool(now_ms, homes)
    return dataclasses.replace(bundle, previous_pools=pools)
