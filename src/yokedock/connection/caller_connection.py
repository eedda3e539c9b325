"""One caller's connection: reads requests, hands each to a handler and frames its answer.

The task of a connection reads top to bottom: wait for a request, answer it, wait for the next.
While a request is being answered a second task reads on, so that a caller who leaves is noticed
at once and the work for it is cancelled.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import h11

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.read_first_timeout import ReadFirstTimeout
from yokedock.connection.answer_writer import AnswerWriter
from yokedock.connection.caller_presence import has_left
from yokedock.connection.caller_request import CallerRequest, check_head
from yokedock.connection.http_heads import RequestHead
from yokedock.errors import BadRequest, ClientClosedConnection, PayloadTooLarge, YokedockError
from yokedock.router_errors import HeaderTooLarge, RequestTimeout
from yokedock.version.route_table import CallerLimits

_log = logger("caller")

READ_BYTES = 65_536
LINGER_S = 1.0
"""How long a connection that we close still reads, so that the caller gets our last answer."""
UNSENT_LIMIT_MS = 10_000
READ_AHEAD_BYTES = 262_144
"""Bytes of later requests that are read while one is answered."""
PRESENCE_POLL_S = 0.1
"""Once so much was read ahead, this often the kernel is asked whether the caller left: engines are
to be free half a second after that (the platform's figure)."""


Handler = Callable[[CallerRequest, AnswerWriter], Awaitable[None]]


class CallerConnection:
    """A connection from a caller; ``serve`` is its task."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
        limits: Callable[[], CallerLimits],
    ) -> None:
        """Wrap an accepted connection."""
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._limits = limits
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limits().header_bytes)
        self._has_data = False
        self._work: asyncio.Task[None] | None = None
        self.is_closing = False
        """Set from outside: the next answer that begins announces the close and is the last one."""
        self._closes_unannounced = False
        self.is_idle = True
        own_socket = writer.get_extra_info("socket")
        own_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        own_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNSENT_LIMIT_MS)

    async def serve(self) -> None:
        """Answer requests until either side closes."""
        try:
            while True:
                request = await self._read_request()
                if request is None:
                    break
                self.is_idle = False
                if not await self._answer(request):
                    return
                self.is_idle = True
                # An answer that announced the close leaves another state. One that did not may have
                # been followed by a request that is on its way: closing would lose it.
                if self._parser.our_state is not h11.DONE or self._closes_unannounced:
                    break
                if self._parser.their_state is not h11.DONE:
                    break
                self._parser.start_next_cycle()
            await self._close_gently()
        except (BadRequest, PayloadTooLarge) as error:
            await self._reject(error)
        except OSError as error:
            _log.debug("connection lost", reason=repr(error))
        finally:
            self._writer.transport.abort() if self._has_unread() else self._writer.close()

    def closes_after_answer(self) -> bool:
        """Return whether the answer must announce that the connection ends."""
        return self.is_closing

    def send_event(self, event: h11.Event) -> None:
        """Frame and write one event."""
        data = self._parser.send(event)
        if data:
            self._writer.write(data)

    def has_left(self) -> bool:
        """Return whether the caller has left."""
        return has_left(self._writer.get_extra_info("socket"))

    async def drain(self) -> None:
        """Wait while the caller reads slowly."""
        await self._writer.drain()

    def abort(self) -> None:
        """Close at once."""
        self._writer.transport.abort()

    def close_if_idle(self) -> None:
        """Close in order when no request is being read or answered; else behind the answer."""
        self.is_closing = self._closes_unannounced = True
        if self.is_idle and not self._has_data:
            self._writer.close()

    def cancel_work(self) -> None:
        """End the work for the request in flight."""
        if self._work is not None:
            self._work.cancel()

    # --- Reading ---

    async def _read_request(self) -> CallerRequest | None:
        """Return the next request, None when the connection ended between requests."""
        limits = self._limits()
        self._has_data = bool(self._parser.trailing_data[0])
        event = self._next_event()
        is_silent = event is h11.NEED_DATA and not self._has_data
        if is_silent and not await self._receive(limits.idle_timeout_s):
            return None
        arrived_s = boot_time_s()
        self._has_data = True
        head = await self._read_head(event, arrived_s + limits.header_timeout_s)
        if head is None:
            return None
        check_head(head, limits)
        body = await self._read_body(head, limits)
        return CallerRequest(head, body, arrived_s)

    async def _read_head(self, event: object, until_s: float) -> RequestHead | None:
        while True:
            if event is h11.NEED_DATA:
                event = self._next_event()
            if isinstance(event, h11.Request):
                headers = tuple(event.headers.raw_items())
                return RequestHead(headers, event.method, event.target, event.http_version)
            if event is not h11.NEED_DATA:
                return None
            remaining_s = until_s - boot_time_s()
            if remaining_s <= 0 or not await self._receive(remaining_s):
                if self._reader.at_eof():
                    return None
                raise RequestTimeout("the head did not arrive in time; send it at once")

    async def _read_body(self, head: RequestHead, limits: CallerLimits) -> bytes:
        declared = head.get(b"content-length")
        if declared is not None and int(declared) > limits.body_bytes:
            raise PayloadTooLarge(f"the body has {declared} bytes; send {limits.body_bytes}")
        parts: list[bytes] = []
        size = 0
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    raise PayloadTooLarge(f"the body is too long; send {limits.body_bytes} bytes")
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                await self._receive_body(limits)

    async def _receive_body(self, limits: CallerLimits) -> None:
        if self._parser.they_are_waiting_for_100_continue:
            self.send_event(h11.InformationalResponse(status_code=100, headers=[]))
        if not await self._receive(limits.idle_timeout_s):
            if self._reader.at_eof():
                raise ConnectionResetError("the caller left in the middle of its request")
            raise RequestTimeout("the body did not arrive in time; send it at once")

    def _next_event(self) -> object:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == HeaderTooLarge.http_status:
                raise HeaderTooLarge("the head is too large; send fewer headers") from None
            raise BadRequest(f"not a request ({error}); send HTTP/1.1") from None

    async def _receive(self, timeout_s: float) -> bool:
        """Hand more bytes to the parser; return False at the end or after ``timeout_s``."""
        try:
            async with ReadFirstTimeout(timeout_s):
                data = await self._reader.read(READ_BYTES)
        except TimeoutError:
            return False
        if not data:
            return False
        self._parser.receive_data(data)
        return True

    # --- Answering ---

    async def _answer(self, request: CallerRequest) -> bool:
        """Run the handler until it has answered or the caller has left; False: no more requests."""
        answer = AnswerWriter(self)
        task = asyncio.create_task(self._run_handler(request, answer))
        self._work = task
        watch = asyncio.create_task(self._watch_caller(task))
        try:
            await asyncio.wait([task])
        finally:
            watch.cancel()
            if not task.done():
                task.cancel()
            await asyncio.wait([task, watch])
        if task.cancelled() or not answer.has_ended:
            self.abort()
            return False
        return True

    async def _run_handler(self, request: CallerRequest, answer: AnswerWriter) -> None:
        try:
            await self._handle(request, answer)
        except (OSError, ClientClosedConnection):
            self.abort()

    async def _handle(self, request: CallerRequest, answer: AnswerWriter) -> None:
        """Run the handler; raises ``OSError`` or ``ClientClosedConnection`` when nobody waits any
        more."""
        try:
            await self._handler(request, answer)
        except (OSError, ClientClosedConnection):
            raise
        except YokedockError as error:
            await self._tell(answer, error)
        except Exception:
            _log.exception("handler failed", path=request.head.path)
            await self._tell(answer, YokedockError("an unexpected error; look in the logs"))

    async def _tell(self, answer: AnswerWriter, error: YokedockError) -> None:
        """Tell the caller of an error; one that comes behind a whole answer does not harm it."""
        if answer.has_ended:
            _log.warning("error behind an answer", code=error.code, error=error.message)
        elif answer.has_started:
            answer.break_off()
        else:
            await answer.error(error)

    async def _watch_caller(self, task: asyncio.Task[None]) -> None:
        """Read on while a request is answered; cancel the work when the caller leaves."""
        ahead = 0
        try:
            while ahead < READ_AHEAD_BYTES:
                data = await self._reader.read(READ_BYTES)
                if not data:
                    break
                ahead += len(data)
                self._parser.receive_data(data)
            else:
                # An end behind unread bytes cannot be read.
                while not self.has_left():
                    await asyncio.sleep(PRESENCE_POLL_S)
        except OSError as error:
            _log.debug("connection lost", reason=repr(error))
        task.cancel()

    # --- Ending ---

    async def _reject(self, error: YokedockError) -> None:
        """Tell what is wrong with a request that could not be read, and close."""
        _log.info("rejected", code=error.code, error=error.message)
        self.is_closing = True
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        try:
            await AnswerWriter(self).error(error)
            await self._close_gently()
        except (OSError, h11.LocalProtocolError):
            return

    async def _close_gently(self) -> None:
        """Stop sending, and read for a moment, so that unread bytes do not reset our answer."""
        if self._writer.is_closing() or self._reader.at_eof():
            return
        try:
            self._writer.write_eof()
            async with asyncio.timeout(LINGER_S):
                while await self._reader.read(READ_BYTES):
                    pass
        except (OSError, TimeoutError):
            return

    def _has_unread(self) -> bool:
        return self._parser.their_state is h11.ERROR
