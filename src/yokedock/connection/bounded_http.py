"""HTTP requests whose timeouts limit the complete response, and whose memory is limited.

A response that was cut off is an error wherever that happened. ``http.client`` and ``urllib3`` take
the end of the connection for the end of the line and of the head or trailers that they are reading:
a response that was cut off ahead of its Content-Length would be complete, without a body.
"""

from __future__ import annotations

import http.client
import io
import re
import socket
from collections.abc import Mapping
from typing import Any

import msgspec
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ProtocolError
from urllib3.util.response import assert_header_parsing

from yokedock.base.bounded_socket import MAX_RESPONSE_BYTES, BoundedSocket
from yokedock.connection.header_numbers import parse_integer

PART_BYTES = 65_536
"""Bytes read at once: reading as many as are announced would allocate memory for all of them."""
MIN_FINAL_STATUS = 200
STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [1-5][0-9]{2}(?![^ \r\n])")
"""Version and status code (RFC 9112, section 4); codes from 600 on are invalid (RFC 9110)."""


class WholeResponse(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    headers: Mapping[str, str]
    data: bytes


class CompleteLineReader(io.BufferedReader):
    """A reader for which the end of the connection is not the end of a line."""

    last_line = b""
    """The last line that was read."""

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line, or its first ``size`` bytes.

        Raises ``http.client.RemoteDisconnected`` if the connection ends before the line does.
        """
        line = self.last_line = super().readline(size)
        if not line.endswith(b"\n") and len(line) != size:
            raise http.client.RemoteDisconnected("the connection ended before the response did")
        return line


class StrictResponse(http.client.HTTPResponse):
    """A response whose head, chunk headers and trailers must be complete."""

    def __init__(self, sock: socket.socket, *args: Any, **options: Any) -> None:
        """Read from ``sock``; the other parameters are those of ``http.client.HTTPResponse``."""
        super().__init__(sock, *args, **options)
        self.fp = self._lines = CompleteLineReader(self.fp.detach())
        self._is_request_cut = isinstance(sock, BoundedSocket) and sock.has_send_failed

    def begin(self) -> None:
        """Read the head.

        Raises ``http.client.HTTPException`` or ``urllib3.exceptions.HTTPError`` if it leaves open
        where the body ends: with the connection only if nothing else is said, and if that has not
        ended already while the request was sent.
        """
        super().begin()
        assert_header_parsing(self.headers)
        encodings = self.headers.get_all("Transfer-Encoding", [])
        if encodings and not self.chunked:
            raise http.client.HTTPException(f"unknown Transfer-Encoding {encodings}")
        lengths = self.headers.get_all("Content-Length", [])
        if not all(parse_integer(length) is not None for length in lengths):
            raise http.client.HTTPException(f"invalid Content-Length {lengths}")
        if self._is_request_cut and self.length is None and not self.chunked:
            raise http.client.HTTPException("the connection was cut while the request was sent")

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line; raises ``http.client.HTTPException`` unless it is valid."""
        parsed: tuple[str, int, str] = super()._read_status()  # type: ignore[misc]
        line = self._lines.last_line
        if STATUS_LINE.match(line) is None:
            raise http.client.BadStatusLine(line.decode("latin-1"))
        return parsed


class BoundedConnection(HTTPConnection):
    """A connection whose responses are limited in time and bytes, and must be complete."""

    response_class = StrictResponse
    _bounded: BoundedSocket | None = None

    def connect(self) -> None:
        """Connect, and limit what is read."""
        super().connect()
        self._bounded = self.sock = BoundedSocket.wrap(self.sock)

    def allow_more(self, timeout_s: float) -> None:
        """Begin new limits within a response that has brought something of use."""
        if self._bounded is not None:
            self._bounded.settimeout(timeout_s)


class BoundedConnectionPool(urllib3.HTTPConnectionPool):
    """A pool of bounded connections to one address."""

    ConnectionCls = BoundedConnection


def bounded_pool_manager(max_connections: int) -> urllib3.PoolManager:
    """Return a pool manager without retries; of each address it keeps ``max_connections``."""
    manager = urllib3.PoolManager(maxsize=max_connections, retries=False, block=False)
    manager.pool_classes_by_scheme = {
        **manager.pool_classes_by_scheme,
        "http": BoundedConnectionPool,
    }
    return manager


def read_whole(response: urllib3.BaseHTTPResponse) -> WholeResponse:
    """Read the body and release the connection.

    Raises ``urllib3.exceptions.HTTPError`` if a limit is exceeded or the response is interim.
    """
    if response.status < MIN_FINAL_STATUS:
        response.close()
        raise ProtocolError(f"interim response {response.status} in place of a final one")
    data = bytearray()
    for part in response.stream(PART_BYTES):
        data += part
        if len(data) > MAX_RESPONSE_BYTES:
            response.close()
            raise ProtocolError(f"the response exceeds {MAX_RESPONSE_BYTES} bytes")
    response.release_conn()
    return WholeResponse(response.status, response.headers, bytes(data))
