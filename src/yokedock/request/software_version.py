"""Software versions of backends and identities of streams, as numbers of 64 bits.

Backends of one service may run different software versions side by side. What they generate does
not fit together, so a stream may be continued only by the version that began it.
"""

from __future__ import annotations

import functools
import hashlib

DIGEST_BYTES = 8
UNKNOWN_VERSION = 0
"""Number of a version that cannot be determined; no stream may be continued at it."""
MAX_CACHED_VERSIONS = 1024


@functools.lru_cache(MAX_CACHED_VERSIONS)
def version_number(service: str, version: str) -> int:
    """Return the number of a service's software version, ``UNKNOWN_VERSION`` if it is empty."""
    return _digest("version", service, version) if version else UNKNOWN_VERSION


def unstated_number(service: str) -> int:
    """Return the number that is recorded for streams of backends that state no version."""
    return _digest("version", service, "")


def stream_number(request_id: str) -> int:
    """Return the number of the stream that the request with this id began."""
    return _digest("stream", request_id)


def _digest(*parts: str) -> int:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(DIGEST_BYTES))
        digest.update(encoded)
    return int.from_bytes(digest.digest())
