"""Heads of HTTP messages as the router forwards them: names, order and bytes unchanged."""

from __future__ import annotations

import msgspec

from yokedock.connection.header_numbers import MAX_DIGITS

Header = tuple[bytes, bytes]

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1)."""
FRAMING_HEADERS = frozenset({b"content-length", b"expect"})
"""Headers that the router generates itself, since it buffers the complete body."""


class Head(msgspec.Struct, frozen=True):
    """Headers of a message as raw names and values, with look-up by lower-case name."""

    headers: tuple[Header, ...]

    def get(self, name: bytes) -> str | None:
        """Return the first value of header ``name`` (in lower case), None if absent."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode("latin-1").strip()
        return None

    def has_token(self, name: bytes, token: str) -> bool:
        """Return whether the comma-separated header ``name`` lists ``token``."""
        for key, value in self.headers:
            if key.lower() == name:
                tokens = value.decode("latin-1").lower().split(",")
                if token in (part.strip() for part in tokens):
                    return True
        return False

    def end_to_end_headers(self, without: frozenset[bytes] = frozenset()) -> list[Header]:
        """Return the headers to forward.

        Hop-by-hop and framing headers, those that Connection lists and ``without`` are left out.
        """
        named = self.get(b"connection") or ""
        listed = {part.strip().lower().encode("latin-1") for part in named.split(",")}
        dropped = HOP_BY_HOP_HEADERS | FRAMING_HEADERS | without | listed
        return [(name, value) for name, value in self.headers if name.lower() not in dropped]


class RequestHead(Head, frozen=True):
    """Head of a request; ``target`` is the path and query exactly as received."""

    method: bytes
    target: bytes
    version: bytes = b"1.1"

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def query(self) -> str:
        """Return the query string without the question mark, empty if there is none."""
        return self.target.partition(b"?")[2].decode("latin-1")


class ResponseHead(Head, frozen=True):
    """Head of a response."""

    status: int
    reason: bytes = b""

    @property
    def is_framed(self) -> bool:
        """Return whether the end of the body shows in a length or in chunks.

        Otherwise the body ends with the connection (RFC 9112, section 6.3).
        """
        has_length = self.get(b"content-length") is not None
        return has_length or self.has_token(b"transfer-encoding", "chunked")

    def content_length(self) -> int | None:
        """Return the announced length of the body in bytes, None if it is missing or invalid."""
        announced = self.get(b"content-length") or ""
        return int(announced) if announced.isdecimal() and len(announced) <= MAX_DIGITS else None


def complete_response(
    status: int, body: bytes, headers: list[tuple[str, str]] | None = None
) -> tuple[ResponseHead, bytes]:
    """Return a response that the router generates itself, with a JSON body."""
    own = [(name.encode(), value.encode()) for name, value in headers or []]
    own.append((b"Content-Type", b"application/json"))
    return ResponseHead(tuple(own), status), body
