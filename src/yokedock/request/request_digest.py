"""Digests that identify a request across its attempts, and a prompt part across requests.

The digest of a request is made of its method, host, target and body. Other headers are left out:
each attempt has its own id, and a caller's deadline and stream position differ between attempts.
"""

from __future__ import annotations

import hashlib

from yokedock.connection.caller_request import CallerRequest

DIGEST_BYTES = 8
"""Among a million requests, two share a digest by chance once in 40 million cases."""


def request_digest(request: CallerRequest) -> int:
    """Return a digest that is equal for all attempts of a request and differs between requests."""
    head = request.head
    host = (head.get(b"host") or "").lower().encode("latin-1")
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (head.method, host, head.target, request.body):
        digest.update(len(part).to_bytes(DIGEST_BYTES))
        digest.update(part)
    return int.from_bytes(digest.digest())


def part_key(part_id: str) -> int:
    """Return a digest that is equal for all uses of a prompt part and differs between parts."""
    return int.from_bytes(hashlib.blake2b(part_id.encode(), digest_size=DIGEST_BYTES).digest())


def digest_text(digest: int) -> str:
    """Format a digest for logs."""
    return f"{digest:0{2 * DIGEST_BYTES}x}"
