"""One HTTP connection to a backend: sends one request at a time and reads its answer.

h11 parses and frames. Every exchange gets a fresh parser, so that bytes left over from an earlier
answer are seen: an answer to an earlier request is read and dropped, and whatever stands behind a
whole answer makes the connection unfit for reuse.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable

import h11

from yokedock.base.clock import boot_time_s, wall_clock_ms
from yokedock.base.read_first_timeout import ReadFirstTimeout
from yokedock.base.sockets import new_socket
from yokedock.connection.http_heads import AnswerHead, Header, RequestHead
from yokedock.router_errors import (
    BackendConnectionClosed,
    BackendResponseError,
    BackendUnreachable,
    BackendUnresponsive,
    ResponseTooLarge,
)

READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER on, with no time: a close drops what was not sent and resets the connection."""
MAX_HEAD_BYTES = 65_536
UNSENT_LIMIT_MS = 2_500
"""A peer that acknowledges nothing for this long counts as gone (TCP_USER_TIMEOUT)."""
LONGEST_REST_S = 4.0
"""A connection that rested longer is not used again."""
REST_MARGIN = 0.7
"""Share of the backend's own keep-alive time for which a resting connection is used."""

IsOurs = Callable[[AnswerHead], bool]


class BackendConnection:
    """A connection to one backend address."""

    def __init__(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wrap an open connection; use ``connect`` to open one."""
        self.address = address
        self.received_bytes = 0
        """Bytes received since the newest request was sent."""
        self.heard_s = boot_time_s()
        """When the peer last accepted the connection or sent something (boot time, s)."""
        self.opened_ms = wall_clock_ms()
        """Time of day at which it was open: backends tell their start so."""
        self.sent_ms = self.opened_ms
        """Time of day at which the newest request was sent; ``opened_ms`` before the first one."""
        self.sent_s = 0.0
        """When the newest request was sent (boot time, s)."""
        self._reader = reader
        self._writer = writer
        self._parser: h11.Connection | None = None
        self._rests_since_s = boot_time_s()
        self._rest_until_s = self._rests_since_s + LONGEST_REST_S
        self._is_fit = True
        self._has_closed = False
        """Whether the peer has ended its side."""

    @classmethod
    async def connect(cls, address: str, timeout_s: float) -> BackendConnection:
        """Open a connection; raises ``BackendUnreachable``: then nothing was sent."""
        own_socket = await _connected_socket(address, timeout_s)
        reader, writer = await asyncio.open_connection(sock=own_socket, limit=READ_BYTES)
        return cls(address, reader, writer)

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent: whole answer read, nothing behind it."""
        if not self._is_fit or self._reader.at_eof() or self._writer.is_closing():
            return False
        has_stray_bytes = bool(getattr(self._reader, "_buffer", b""))
        return not has_stray_bytes and boot_time_s() < self._rest_until_s

    @property
    def is_open(self) -> bool:
        """Return whether neither side has ended the connection."""
        return not self._writer.is_closing()

    def rested_s(self) -> float:
        """Return how long the connection has rested, in seconds."""
        return boot_time_s() - self._rests_since_s

    def awaited_since_s(self) -> float:
        """Return since when the peer has been silent while something was asked of it."""
        return max(self.sent_s, self.heard_s)

    async def send(self, head: RequestHead, headers: list[Header], body: bytes) -> None:
        """Send one request; the body is written while the answer may already be read."""
        self.received_bytes = 0
        self.sent_s = boot_time_s()
        self.sent_ms = wall_clock_ms()
        self._is_fit = False
        parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        framed = [*headers]
        if body or head.method not in (b"GET", b"HEAD", b"DELETE"):
            framed.append((b"Content-Length", str(len(body)).encode()))
        request = h11.Request(method=head.method, target=head.target, headers=framed)
        data = parser.send(request)
        if body:
            data += parser.send(h11.Data(data=body))
        data += parser.send(h11.EndOfMessage()) or b""
        self._parser = parser
        try:
            self._writer.write(data)
        except (OSError, RuntimeError) as error:
            raise BackendConnectionClosed(f"{self.address}: {error}") from None

    async def read_head(self, is_ours: IsOurs) -> AnswerHead:
        """Return the head of the answer to the request sent last.

        Answers for which ``is_ours`` is false belong to earlier requests: they are dropped.
        Raises ``BackendConnectionClosed`` when the connection ends, ``BackendResponseError`` if the
        bytes are no answer.
        """
        while True:
            head = await self._next_head()
            if is_ours(head):
                return head
            await self._drop_foreign_answer()

    async def body_parts(self, limit: int | None = None) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they come.

        Raises ``BackendConnectionClosed`` if it is cut off, ``ResponseTooLarge`` if it has more
        than ``limit`` bytes.
        """
        size = 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                size += len(event.data)
                if limit is not None and size > limit:
                    raise ResponseTooLarge(
                        f"{self.address}: the answer has more than {limit} bytes"
                    )
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
                return
            else:
                raise BackendConnectionClosed(f"{self.address}: the answer was cut off")

    def abort(self) -> None:
        """Close at once; the backend sees a reset and may stop its work.

        Without the reset the kernel would go on delivering what it has of a long body.
        """
        self._is_fit = False
        if not self._writer.transport.is_closing():
            own_socket = self._writer.get_extra_info("socket")
            own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._writer.transport.abort()

    def close(self) -> None:
        """Close in order."""
        self._is_fit = False
        self._writer.close()

    async def _next_head(self) -> AnswerHead:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                headers = tuple(event.headers.raw_items())
                self._note_rest(headers)
                return AnswerHead(headers, event.status_code, bytes(event.reason))
            raise BackendConnectionClosed(f"{self.address}: the connection ended without an answer")

    async def _next_event(self) -> object:
        assert self._parser is not None
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                if self._has_closed:
                    raise BackendConnectionClosed(
                        f"{self.address}: closed within an answer"
                    ) from None
                raise BackendResponseError(f"{self.address}: not an answer ({error})") from None
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._reader.read(READ_BYTES)
            except TimeoutError:
                # Nothing that was sent has been acknowledged: the kernel gave the connection up.
                raise BackendUnresponsive(f"{self.address} acknowledges nothing") from None
            except OSError as error:
                raise BackendConnectionClosed(
                    f"{self.address}: {error.strerror or error}"
                ) from None
            self._has_closed = not data
            self.received_bytes += len(data)
            if data:
                self.heard_s = boot_time_s()
            try:
                self._parser.receive_data(data)
            except (h11.RemoteProtocolError, RuntimeError) as error:
                raise BackendResponseError(f"{self.address}: not an answer ({error})") from None

    async def _drop_foreign_answer(self) -> None:
        """Read an earlier request's answer to its end and go on behind it."""
        assert self._parser is not None
        while not isinstance(await self._next_event(), h11.EndOfMessage):
            pass
        rest = self._parser.trailing_data[0]
        if self._parser.their_state is not h11.DONE:
            raise BackendResponseError(f"{self.address}: closed after another request's answer")
        parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        parser.send(h11.Request(method="GET", target="/", headers=[("Host", "-")]))
        parser.send(h11.EndOfMessage())
        parser.receive_data(rest) if rest else None
        self._parser = parser

    def _note_rest(self, headers: tuple[Header, ...]) -> None:
        head = AnswerHead(headers, 0)
        rest_s = LONGEST_REST_S
        for part in (head.get(b"keep-alive") or "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                rest_s = min(rest_s, int(value) * REST_MARGIN)
        self._rest_until_s = boot_time_s() + rest_s

    def _finish(self) -> None:
        """Keep the connection for reuse if both sides are done and nothing stands behind."""
        assert self._parser is not None
        states = (self._parser.our_state, self._parser.their_state)
        is_whole = states == (h11.DONE, h11.DONE) and not self._parser.trailing_data[0]
        has_unsent = self._writer.transport.get_write_buffer_size() > 0
        self._is_fit = is_whole and not has_unsent
        self._rests_since_s = boot_time_s()


async def _connected_socket(address: str, timeout_s: float) -> socket.socket:
    """Return a socket that ``address`` has accepted; raises ``BackendUnreachable``.

    Only the wait for the peer is limited, and with patience: a process that had no processor for
    the whole time finds the connection accepted. Counted as unreachable, sound backends were
    avoided for a second each beside a load of 25 on 8 cores, and 2 to 5 of 20,000 calls refused.
    """
    host, _, port = address.rpartition(":")
    with contextlib.ExitStack() as on_failure:
        own_socket = on_failure.enter_context(new_socket(socket.SOCK_STREAM))
        own_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        own_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNSENT_LIMIT_MS)
        try:
            async with ReadFirstTimeout(timeout_s):
                await asyncio.get_running_loop().sock_connect(own_socket, (host, int(port)))
        except TimeoutError:
            raise BackendUnreachable(f"{address} did not accept in {timeout_s:.2f} s") from None
        except OSError as error:
            raise BackendUnreachable(f"{address}: {error.strerror or error}") from None
        on_failure.pop_all()
    return own_socket
