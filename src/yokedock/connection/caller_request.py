"""One request of a caller, and the checks of its head that the parser does not make."""

from __future__ import annotations

import msgspec

from yokedock.connection.http_heads import RequestHead
from yokedock.errors import BadRequest
from yokedock.router_errors import HeaderTooLarge
from yokedock.version.route_table import CallerLimits

LINE_OVERHEAD_BYTES = 4
"""A header line has a colon, a blank and a line end beside its name and value."""


class CallerRequest(msgspec.Struct, frozen=True):
    """One request, read whole."""

    head: RequestHead
    body: bytes
    arrived_s: float
    """Boot time at which its first byte was read."""


def check_head(head: RequestHead, limits: CallerLimits) -> None:
    """Raise ``BadRequest`` for a head that can be read in two ways, ``HeaderTooLarge``."""
    _check_framing(head)
    size = len(head.target)
    size += sum(len(name) + len(value) + LINE_OVERHEAD_BYTES for name, value in head.headers)
    if size > limits.header_bytes:
        raise HeaderTooLarge(f"the head has {size} bytes; send at most {limits.header_bytes}")


def _check_framing(head: RequestHead) -> None:
    """Refuse heads whose length could be read in two ways."""
    lengths = [value for name, value in head.headers if name.lower() == b"content-length"]
    if lengths and head.get(b"transfer-encoding") is not None:
        raise BadRequest("both Content-Length and Transfer-Encoding; send one of them")
    if len(lengths) > 1:
        raise BadRequest("more than one Content-Length; send one")
    if not head.target.startswith(b"/"):
        raise BadRequest("the target is not a path; send a path that begins with a slash")
