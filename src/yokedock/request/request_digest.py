"""What makes two attempts the same request: who is asked for what, with which body.

An attempt has an id of its own, and a caller's time and position in a stream differ from one to the
next. Method, host, target and body stay.
"""

from __future__ import annotations

import hashlib

from yokedock.connection.caller_request import CallerRequest

DIGEST_BYTES = 8
"""Two of a million requests share a digest by chance once in 40 million times."""


def request_digest(request: CallerRequest) -> int:
    """Return what is alike for all attempts of one request, and differs between requests."""
    head = request.head
    host = (head.get(b"host") or "").lower().encode("latin-1")
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (head.method, host, head.target, request.body):
        digest.update(len(part).to_bytes(DIGEST_BYTES))
        digest.update(part)
    return int.from_bytes(digest.digest())


def digest_text(digest: int) -> str:
    """Return a digest as logs show it."""
    return f"{digest:0{2 * DIGEST_BYTES}x}"
