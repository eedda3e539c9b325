"""Writes the response to a caller's request, as a stream of body chunks or in one piece."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Protocol

import h11
import msgspec

from yokedock.base.resource_budget import Holding, Stage
from yokedock.connection.body_parts import SENT_AT_ONCE_BYTES, parts_of
from yokedock.connection.disconnect_detection import Departure
from yokedock.connection.http_heads import ResponseHead, complete_response
from yokedock.errors import ClientClosedConnection, ErrorResponse, YokedockError


class ResponseChannel(Protocol):
    """The caller's connection, to which a response is written."""

    departure: Departure | None
    """How the caller has left, None as far as it has not."""
    holding: Holding
    """What is held for the connection."""

    def closes_after_response(self) -> bool:
        """Return whether the response must carry ``Connection: close``."""

    def send_event(self, event: h11.Event) -> None:
        """Serialize one HTTP event and write it."""

    async def drain(self) -> None:
        """Wait until the write buffer is below its high-water mark.

        Raises ``ClientClosedConnection`` if the connection is closed.
        """

    def has_disconnected(self) -> bool:
        """Return whether the caller has disconnected."""

    def abort(self) -> None:
        """Close the connection immediately, without flushing."""


class ResponseWriter:
    """Writes the response to one request."""

    def __init__(self, connection: ResponseChannel, has_body: bool = True) -> None:
        """Create a writer for a response on ``connection``.

        ``has_body`` is false for a HEAD request, whose response consists of its head only.
        """
        self._connection = connection
        self._has_body = has_body
        self.status: int | None = None
        self.is_known = False
        """Whether nothing more is needed of the handler but to send the response."""
        self.has_ended = False

    @property
    def has_started(self) -> bool:
        """Return whether the response head was sent."""
        return self.status is not None

    @property
    def departure(self) -> Departure | None:
        """Return how the caller has left, None as far as it has not."""
        return self._connection.departure

    def start(self, head: ResponseHead, length: int | None = None) -> None:
        """Send the head; without ``length`` the body uses chunked transfer encoding."""
        self.status = head.status
        headers = head.end_to_end_headers()
        if length is not None:
            headers.append((b"Content-Length", str(length).encode()))
        if self._connection.closes_after_response():
            headers.append((b"Connection", b"close"))
        self._connection.send_event(
            h11.Response(status_code=head.status, headers=headers, reason=head.reason)
        )

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body; applies backpressure when the caller reads slowly."""
        self._connection.send_event(h11.Data(data=data))
        await self._connection.drain()

    async def end(self) -> None:
        """Finish the response."""
        self.is_known = self.has_ended = True
        self._connection.send_event(h11.EndOfMessage())
        await self._connection.drain()

    @property
    def holding(self) -> Holding:
        """Return what is held for the connection."""
        return self._connection.holding

    async def whole(self, head: ResponseHead, body: bytes | bytearray) -> None:
        """Send a complete response with a known length, as fast as the caller reads."""
        self.is_known = True
        self.start(head, len(body))
        with self._held(len(body)):
            if self._has_body:
                for part in parts_of(body):
                    await self.write(part)
            await self.end()

    @contextlib.contextmanager
    def _held(self, size: int) -> Iterator[None]:
        """Hold a body while it is sent, as far as it is not held as a backend's response."""
        holding = self.holding
        more = max(0, size - holding.response_bytes)
        holding.hold_response(holding.response_bytes + more)
        if size > SENT_AT_ONCE_BYTES:
            holding.enter(Stage.SENDING)
        try:
            yield
        finally:
            holding.hold_response(holding.response_bytes - more)

    async def error(self, error: YokedockError) -> None:
        """Send a typed error, with ``Retry-After`` in seconds if a retry may succeed."""
        headers = []
        if error.retry_after_s is not None:
            headers.append(("Retry-After", f"{error.retry_after_s:.2f}"))
        body = msgspec.json.encode(ErrorResponse(error.body()))
        await self.whole(*complete_response(error.http_status, body, headers))

    def raise_if_disconnected(self) -> None:
        """Raise ``ClientClosedConnection`` if the caller has disconnected, even if EOF was not read
        yet."""
        if self._connection.has_disconnected():
            raise ClientClosedConnection("the caller has disconnected")

    def break_off(self) -> None:
        """Abort the connection mid-response, so that the caller sees the response as truncated."""
        self._connection.abort()
