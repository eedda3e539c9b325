"""An HTTP/1.1 connection to a backend, which carries one request at a time.

h11 does parsing and framing. Each exchange gets a new parser, so that bytes left over from an
earlier response are detected: a response to an earlier request is read and discarded, and any bytes
after a complete response make the connection unusable for further requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable

import h11

from yokedock.base.clock import boot_time_s, wall_clock_ms
from yokedock.base.link_meter import LinkMeter, Traffic
from yokedock.base.read_first_timeout import ReadFirstTimeout
from yokedock.base.sockets import new_socket, reset_on_close
from yokedock.base.work_turns import WorkTurns
from yokedock.connection.body_parts import SENT_AT_ONCE_BYTES, parts_of
from yokedock.connection.header_numbers import parse_integer
from yokedock.connection.http_heads import Header, RequestHead, ResponseHead
from yokedock.connection.http_parser import response_parser
from yokedock.router_errors import (
    BackendConnectionClosed,
    BackendResponseError,
    BackendUnreachable,
    BackendUnresponsive,
    ResponseTooLarge,
)

READ_BYTES = 32_768
BUFFER_LIMIT_BYTES = 16_384
"""``limit`` of the stream reader, which reads while less than twice as much is buffered."""
MAX_HEAD_BYTES = 65_536
MAX_DISCARDED_BYTES = 16_777_216
"""Bytes of responses to earlier requests and of interim responses ahead of a response."""
MAX_STATUS = 599
"""Greater status codes are invalid (RFC 9110, section 15)."""
MIN_REDIRECT_STATUS = 300
USER_TIMEOUT_MS = 2_500
"""TCP_USER_TIMEOUT: the kernel drops a connection whose data is unacknowledged for this long."""
MAX_IDLE_S = 4.0
"""Connections that were idle for longer are not reused."""
READ_BEFORE_ABORT_S = 0.05
"""Time in which data that has arrived is read before a connection is aborted."""
MAX_LINK_DELAY_S = 0.6
"""How much longer a connect may take while the link may be what delays it."""
KEEP_ALIVE_SHARE = 0.7
"""Fraction of the backend's keep-alive timeout for which an idle connection is reused."""

ResponseMatcher = Callable[[ResponseHead], bool]


class BackendConnection:
    """A connection to one backend address."""

    def __init__(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: LinkMeter,
        traffic: Traffic,
    ) -> None:
        """Wrap an open connection; use ``connect`` to open one."""
        self.address = address
        self._link = link
        self._traffic = traffic
        self.received_bytes = 0
        """Bytes received since the last request was sent."""
        self.heard_s = boot_time_s()
        """When the peer last accepted the connection or sent data (``boot_time_s``)."""
        self.opened_ms = wall_clock_ms()
        """Wall-clock time at which it was established, in Unix milliseconds.

        Backends report their start time on the same clock.
        """
        self.sent_ms = self.opened_ms
        """Wall-clock time of the last request, in Unix ms; ``opened_ms`` before the first one."""
        self.sent_s = 0.0
        """When the last request was sent (``boot_time_s``)."""
        self._reader = reader
        self._writer = writer
        self._parser: h11.Connection | None = None
        self._turns = WorkTurns()
        self._unyielded = bytearray()
        """Parsed bytes of the body that ``body_parts`` has not yielded yet."""
        self._idle_since_s = boot_time_s()
        self._reusable_until_s = self._idle_since_s + MAX_IDLE_S
        self._can_reuse = True
        self._status = 0
        """Status of the last response."""
        self._is_abort_due = False
        """Whether ``abort_after_reading`` was called."""
        self._peer_closed = False
        """Whether the peer has closed its sending side."""
        self._sending: asyncio.Task[None] | None = None
        """Sends the body of the last request, if that is large."""
        self._is_cut_here = False
        """Whether this side has closed the connection before the peer did."""

    @classmethod
    async def connect(
        cls,
        address: str,
        timeout_s: float,
        link: LinkMeter | None = None,
        traffic: Traffic = Traffic.BACKENDS,
    ) -> BackendConnection:
        """Open a connection; raises ``BackendUnreachable``, in which case nothing was sent.

        ``link`` counts its bytes as ``traffic``.
        """
        link = link or LinkMeter()
        link.record_sent(traffic, 0)
        sock = await _connect_socket(address, timeout_s, link)
        reader, writer = await asyncio.open_connection(sock=sock, limit=BUFFER_LIMIT_BYTES)
        writer.transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        return cls(address, reader, writer, link, traffic)

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent.

        The last response must have been read completely, with no bytes after it, and the idle
        timeout must not have expired.
        """
        if not self._can_reuse or self._is_abort_due:
            return False
        if self._reader.at_eof() or self._writer.is_closing():
            return False
        return not self._has_unread_bytes() and boot_time_s() < self._reusable_until_s

    @property
    def is_open(self) -> bool:
        """Return whether the connection has not been closed."""
        return not self._writer.is_closing()

    def idle_time_s(self) -> float:
        """Return how long the connection has been idle, in seconds."""
        return boot_time_s() - self._idle_since_s

    def awaiting_response_since_s(self) -> float:
        """Return since when the peer has been silent with a response outstanding (boot time)."""
        return max(self.sent_s, self.heard_s)

    async def send(self, head: RequestHead, headers: list[Header], body: bytes) -> None:
        """Begin to send one request; the response may be read before the body is fully sent.

        Of a large body, only what the kernel takes is copied; the rest is sent meanwhile.
        """
        self.received_bytes = 0
        self.sent_s = boot_time_s()
        self.sent_ms = wall_clock_ms()
        self._can_reuse = False
        parser = response_parser(MAX_HEAD_BYTES)
        request_headers = [*headers]
        if body or head.method not in (b"GET", b"HEAD", b"DELETE"):
            request_headers.append((b"Content-Length", str(len(body)).encode()))
        request = h11.Request(method=head.method, target=head.target, headers=request_headers)
        self._parser = parser
        if len(body) > SENT_AT_ONCE_BYTES:
            self._write(parser.send(request))
            self._sending = asyncio.create_task(self._send_parts(parser, body))
            return
        data = parser.send(request)
        if body:
            data += parser.send(h11.Data(data=body))
        self._write(data + (parser.send(h11.EndOfMessage()) or b""))

    async def _send_parts(self, parser: h11.Connection, body: bytes) -> None:
        """Send a large body. If the connection is lost, whoever reads the response is told."""
        with contextlib.suppress(OSError, BackendConnectionClosed, h11.LocalProtocolError):
            for part in parts_of(body):
                self._write(parser.send(h11.Data(data=part)))
                await self._writer.drain()
            self._write(parser.send(h11.EndOfMessage()) or b"")

    def _write(self, data: bytes) -> None:
        try:
            self._link.record_sent(self._traffic, len(data))
            self._writer.write(data)
        except (OSError, RuntimeError) as error:
            raise BackendConnectionClosed(f"{self.address}: {error}") from None

    async def read_head(self, is_ours: ResponseMatcher) -> ResponseHead:
        """Return the head of the response to the last request.

        Responses for which ``is_ours`` returns false belong to earlier requests and are discarded.
        Raises ``BackendConnectionClosed`` if the connection is closed, ``BackendResponseError`` if
        the data is not a valid HTTP response.
        """
        while True:
            head = await self._next_head()
            if is_ours(head):
                return head
            await self._discard_unmatched_response()

    async def body_parts(self, limit: int | None = None) -> AsyncIterator[bytes]:
        """Yield the body in parts as they arrive; chunks that were parsed in one turn are joined.

        If a wait for the next part was cancelled, another call goes on where it ended.
        Raises ``BackendConnectionClosed`` if the body is truncated, ``ResponseTooLarge`` if it
        exceeds ``limit`` bytes.
        """
        size = 0
        part = self._unyielded
        while True:
            if await self._turns.step() and part:
                yield self._take_unyielded()
            try:
                event = self._parse()
            except BackendResponseError:
                if part:
                    yield self._take_unyielded()
                raise
            if isinstance(event, h11.Data):
                size += len(event.data)
                if limit is not None and size > limit:
                    raise ResponseTooLarge(f"{self.address}: response body exceeds {limit} bytes")
                part += event.data
                if len(part) < READ_BYTES:
                    continue
            if part:
                yield self._take_unyielded()
            if event is h11.NEED_DATA:
                await self._receive()
            elif isinstance(event, h11.EndOfMessage):
                self._require_end_after_request()
                self._finish()
                return
            elif not isinstance(event, h11.Data):
                raise BackendConnectionClosed(f"{self.address}: response body truncated")

    def _require_end_after_request(self) -> None:
        """Raise if a successful response was ended by its connection before the request was sent.

        Where only that ends a body, the backend may have been cut off.
        """
        assert self._parser is not None
        is_request_sent = self._parser.our_state in (h11.DONE, h11.MUST_CLOSE)
        if self._peer_closed and not is_request_sent and self._status < MIN_REDIRECT_STATUS:
            raise BackendConnectionClosed(
                f"{self.address}: connection closed while the request was being sent"
            )

    def _take_unyielded(self) -> bytes:
        part = bytes(self._unyielded)
        self._unyielded.clear()
        return part

    def abort(self) -> None:
        """Reset the connection, so that the backend can stop working on the request.

        Without the reset the kernel would go on delivering the data it has buffered of a long body.
        """
        self._note_closed_here()
        if not self._writer.transport.is_closing():
            reset_on_close(self._writer.get_extra_info("socket"))
        self._writer.transport.abort()

    def abort_after_reading(self) -> None:
        """Reset the connection once the data that has already arrived could be read.

        After a stall, a complete response may still wait in the socket.
        """
        self._is_abort_due = True
        asyncio.get_running_loop().call_later(READ_BEFORE_ABORT_S, self.abort)

    def close(self) -> None:
        """Close after flushing pending data."""
        self._note_closed_here()
        self._writer.close()

    def _note_closed_here(self) -> None:
        self._can_reuse = False
        if self._sending is not None:
            self._sending.cancel()
        if not getattr(self._reader, "_eof", False):
            self._is_cut_here = True

    async def _next_head(self) -> ResponseHead:
        while True:
            event = await self._next_event()
            self._require_little_discarded()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                self._status = event.status_code
                if self._status > MAX_STATUS:
                    raise BackendResponseError(f"{self.address}: invalid status {self._status}")
                headers = tuple(event.headers.raw_items())
                self._apply_keep_alive(headers)
                return ResponseHead(headers, event.status_code, bytes(event.reason))
            raise BackendConnectionClosed(f"{self.address}: connection closed before a response")

    async def _next_event(self) -> object:
        while True:
            await self._turns.step()
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event
            await self._receive()

    def _parse(self) -> object:
        """Return the next event of the data received so far."""
        assert self._parser is not None
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            if self._peer_closed:
                raise BackendConnectionClosed(
                    f"{self.address}: connection closed in the middle of a response"
                ) from None
            raise BackendResponseError(f"{self.address}: invalid HTTP response ({error})") from None

    async def _receive(self) -> None:
        """Read data, or the end of the connection, into the parser."""
        assert self._parser is not None
        is_buffered = self._has_unread_bytes()
        try:
            data = await self._reader.read(READ_BYTES)
        except TimeoutError:
            # TCP_USER_TIMEOUT expired: the peer has not acknowledged the data that was sent.
            raise BackendUnresponsive(
                f"{self.address}: peer does not acknowledge sent data"
            ) from None
        except OSError as error:
            raise BackendConnectionClosed(f"{self.address}: {error.strerror or error}") from None
        if not data and self._is_cut_here:
            # asyncio reports it like an end that the peer has sent, which may complete a body.
            raise BackendConnectionClosed(f"{self.address}: connection given up")
        if not is_buffered:
            self._turns.begin()
        self._peer_closed = not data
        self.received_bytes += len(data)
        self._link.record_received(self._traffic, len(data))
        if data:
            self.heard_s = boot_time_s()
        try:
            self._parser.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            raise BackendResponseError(f"{self.address}: invalid HTTP response ({error})") from None

    def _has_unread_bytes(self) -> bool:
        return bool(getattr(self._reader, "_buffer", b""))

    async def _discard_unmatched_response(self) -> None:
        """Read the response to an earlier request to its end, then parse what follows it."""
        assert self._parser is not None
        while not isinstance(await self._next_event(), h11.EndOfMessage):
            self._require_little_discarded()
        rest = self._parser.trailing_data[0]
        if self._parser.their_state is not h11.DONE:
            raise BackendResponseError(
                f"{self.address}: connection closed after the response to an earlier request"
            )
        parser = response_parser(MAX_HEAD_BYTES)
        parser.send(h11.Request(method="GET", target="/", headers=[("Host", "-")]))
        parser.send(h11.EndOfMessage())
        parser.receive_data(rest) if rest else None
        self._parser = parser

    def _require_little_discarded(self) -> None:
        if self.received_bytes > MAX_DISCARDED_BYTES:
            raise ResponseTooLarge(f"{self.address}: too many bytes ahead of the response")

    def _apply_keep_alive(self, headers: tuple[Header, ...]) -> None:
        head = ResponseHead(headers, 0)
        rest_s = MAX_IDLE_S
        for part in (head.get(b"keep-alive") or "").split(","):
            name, _, value = part.strip().partition("=")
            timeout_s = parse_integer(value)
            if name.lower() == "timeout" and timeout_s is not None:
                rest_s = min(rest_s, timeout_s * KEEP_ALIVE_SHARE)
        self._reusable_until_s = boot_time_s() + rest_s

    def _finish(self) -> None:
        """Allow reuse if both messages are complete and no data is left in either direction."""
        assert self._parser is not None
        states = (self._parser.our_state, self._parser.their_state)
        is_whole = states == (h11.DONE, h11.DONE) and not self._parser.trailing_data[0]
        has_unsent = self._writer.transport.get_write_buffer_size() > 0
        self._can_reuse = is_whole and not has_unsent
        self._idle_since_s = boot_time_s()


async def _connect_socket(address: str, timeout_s: float, link: LinkMeter) -> socket.socket:
    """Return a socket connected to ``address``; raises ``BackendUnreachable``.

    While the link is busy, the timeout only applies once another peer has accepted a connection
    that was requested later, or after ``MAX_LINK_DELAY_S`` more.

    The timeout covers only the wait for the peer, and ``ReadFirstTimeout`` lets a connection that
    is already established win over an expired timer: a process that got no CPU time during the
    timeout would otherwise treat healthy backends as unreachable.
    """
    host, _, port = address.rpartition(":")
    clock = asyncio.get_running_loop().time
    started_s = boot_time_s()
    latest_s = clock() + timeout_s + MAX_LINK_DELAY_S

    def may_expire() -> bool:
        is_own_delay = link.is_busy() and not link.shared_delay.has_connected_since(started_s)
        return not is_own_delay or clock() >= latest_s

    with contextlib.ExitStack() as cleanup:
        sock = cleanup.enter_context(new_socket(socket.SOCK_STREAM))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        try:
            async with ReadFirstTimeout(timeout_s, may_expire, latest_s=latest_s):
                await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
            link.shared_delay.record_connect(host, started_s, link.is_busy())
        except TimeoutError:
            raise BackendUnreachable(
                f"{address}: connect timed out after {timeout_s:.2f} s"
            ) from None
        except OSError as error:
            raise BackendUnreachable(f"{address}: {error.strerror or error}") from None
        except (ValueError, OverflowError) as error:
            raise BackendUnreachable(f"{address} is not an address: {error}") from None
        cleanup.pop_all()
    return sock
