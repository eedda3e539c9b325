"""A caller's request, and the validation of its head that the parser does not do."""

from __future__ import annotations

import msgspec

from yokedock.connection.http_heads import RequestHead
from yokedock.errors import BadRequest
from yokedock.router_errors import HeaderTooLarge
from yokedock.version.route_table import CallerLimits

LINE_OVERHEAD_BYTES = 4
"""Colon, space and CRLF of a header line, in addition to its name and value."""


class CallerRequest(msgspec.Struct, frozen=True):
    """A request with its complete body."""

    head: RequestHead
    body: bytes
    arrived_s: float
    """When its first byte was read (``boot_time_s``)."""


def check_head(head: RequestHead, limits: CallerLimits) -> None:
    """Raise ``BadRequest`` for an ambiguous or invalid head, ``HeaderTooLarge`` for a large one."""
    _check_framing(head)
    size = len(head.target)
    size += sum(len(name) + len(value) + LINE_OVERHEAD_BYTES for name, value in head.headers)
    if size > limits.header_bytes:
        raise HeaderTooLarge(
            f"the request head has {size} bytes; send at most {limits.header_bytes}"
        )


def _check_framing(head: RequestHead) -> None:
    """Reject an ambiguous body length (request smuggling) and a target that is not a path."""
    lengths = [value for name, value in head.headers if name.lower() == b"content-length"]
    if lengths and head.get(b"transfer-encoding") is not None:
        raise BadRequest(
            "the request has both Content-Length and Transfer-Encoding; send only one of them"
        )
    if len(lengths) > 1:
        raise BadRequest("the request has more than one Content-Length header; send one")
    if not head.target.startswith(b"/"):
        raise BadRequest("the request target is not a path; send a path that starts with a slash")
