"""Writes the one answer of a caller's request: its head, its body in parts or whole, its end."""

from __future__ import annotations

from typing import Protocol

import h11
import msgspec

from yokedock.connection.http_heads import AnswerHead, whole_answer
from yokedock.errors import ClientClosedConnection, ErrorResponse, YokedockError


class AnswerChannel(Protocol):
    """What an answer is written to: the connection of its caller."""

    def closes_after_answer(self) -> bool:
        """Return whether the answer must announce that the connection ends."""

    def send_event(self, event: h11.Event) -> None:
        """Frame and write one event."""

    async def drain(self) -> None:
        """Wait while the caller reads slowly."""

    def has_left(self) -> bool:
        """Return whether the caller has left."""

    def abort(self) -> None:
        """Close at once."""


class AnswerWriter:
    """Writes the one answer of a request."""

    def __init__(self, connection: AnswerChannel) -> None:
        """Write to ``connection``."""
        self._connection = connection
        self.status: int | None = None
        self.has_ended = False

    @property
    def has_started(self) -> bool:
        """Return whether the head went out."""
        return self.status is not None

    def start(self, head: AnswerHead, length: int | None = None) -> None:
        """Send the head; without ``length`` the body is sent in chunks."""
        self.status = head.status
        headers = head.passed_on()
        if length is not None:
            headers.append((b"Content-Length", str(length).encode()))
        if self._connection.closes_after_answer():
            headers.append((b"Connection", b"close"))
        self._connection.send_event(
            h11.Response(status_code=head.status, headers=headers, reason=head.reason)
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body; waits while the caller reads slowly."""
        self._connection.send_event(h11.Data(data=data))
        await self._connection.drain()

    async def end(self) -> None:
        """End the answer as complete."""
        self.has_ended = True
        self._connection.send_event(h11.EndOfMessage())
        await self._connection.drain()

    async def whole(self, head: AnswerHead, body: bytes) -> None:
        """Send a whole answer."""
        self.start(head, len(body))
        if body:
            self._connection.send_event(h11.Data(data=body))
        await self.end()

    async def error(self, error: YokedockError) -> None:
        """Send a typed error, with ``Retry-After`` in seconds where a retry may succeed."""
        headers = []
        if error.retry_after_s is not None:
            headers.append(("Retry-After", f"{error.retry_after_s:.2f}"))
        body = msgspec.json.encode(ErrorResponse(error.body()))
        await self.whole(*whole_answer(error.http_status, body, headers))

    def require_caller(self) -> None:
        """Raise ``ClientClosedConnection`` if the caller has left, also when that was not read
        yet."""
        if self._connection.has_left():
            raise ClientClosedConnection("the caller has left")

    def break_off(self) -> None:
        """Close the connection in the middle of the answer, which then cannot look complete."""
        self._connection.abort()
