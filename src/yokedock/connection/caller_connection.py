"""A caller's HTTP/1.1 connection: reads requests, runs a handler for each, writes the responses.

Each connection has one task, which reads a request, runs its handler and then reads the next
request. While the handler runs, a second task keeps reading from the socket, so that a disconnect
of the caller is detected immediately and the handler is cancelled.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator

import h11

from yokedock.base.clock import boot_time_s
from yokedock.base.link_meter import LinkMeter, Traffic
from yokedock.base.logs import logger
from yokedock.base.read_first_timeout import ReadFirstTimeout
from yokedock.base.resource_budget import Stage, unlimited_holding
from yokedock.base.sockets import limit_buffers, reset_on_close
from yokedock.base.work_turns import WorkTurns
from yokedock.connection.acknowledgement import MS_PER_SECOND, read_acknowledgement_state
from yokedock.connection.caller_request import CallerRequest, check_head
from yokedock.connection.disconnect_detection import (
    Departure,
    has_disconnected,
    has_unread_data,
    unread_bytes,
)
from yokedock.connection.http_heads import RequestHead
from yokedock.connection.http_parser import request_parser
from yokedock.connection.lost_peer_detector import LostPeerDetector
from yokedock.connection.response_writer import ResponseWriter
from yokedock.errors import (
    BadRequest,
    ClientClosedConnection,
    OutOfMemory,
    PayloadTooLarge,
    YokedockError,
)
from yokedock.router_errors import HeaderTooLarge, RequestTimeout
from yokedock.version.route_table import CallerLimits

_log = logger("caller")

READ_BYTES = 65_536
HTTP_1_0 = b"1.0"
LINGER_S = 1.0
"""How long incoming data is read after our FIN, so that the caller receives the last response."""
LOST_AFTER_S = 10.0
"""A caller that acknowledges nothing for this long although data is pending is gone."""
USER_TIMEOUT_MS = 600_000
"""TCP_USER_TIMEOUT, for systems that don't tell of acknowledgements. It also ends callers that read
slowly, so it exceeds any deadline."""
READ_AHEAD_BYTES = 16_384
"""Maximum number of bytes of pipelined requests that are read while a request is handled."""
BUFFER_LIMIT_BYTES = 8192
"""``limit`` of the stream reader, which reads while less than twice as much is buffered."""
MAX_BUFFERED_BYTES = 2 * BUFFER_LIMIT_BYTES + READ_BYTES
WAITING_BYTES = 131_072
"""What buffers hold of a stream whose caller does not read: its engine is not read either."""
MEMORY_RETRY_AFTER_S = 1.0
"""Retry-after time for a request that finds no memory: what is held changes within a second."""
DISCONNECT_POLL_S = 0.1
"""Interval at which the TCP state is polled for a disconnect once the read-ahead limit is reached.

The platform requires that engines are free half a second after the caller disconnects.
"""


Handler = Callable[[CallerRequest, ResponseWriter], Awaitable[None]]
TimeLimit = Callable[[RequestHead], float | None]
"""Returns how long a request may be served, in s from its first byte; None if that isn't known."""


class CallerConnection:
    """A connection from a caller; ``serve`` runs as its task."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        time_limit: TimeLimit = lambda head: None,
        link: LinkMeter | None = None,
        traffic: Traffic = Traffic.CALLERS,
        lost_after_s: float = LOST_AFTER_S,
    ) -> None:
        """Wrap an accepted connection.

        A body is waited for no longer than its request may be served, for the idle timeout in all
        if that isn't known. ``link`` counts the bytes of the connection as ``traffic``.
        ``abort_if_lost`` closes it once the caller owes an acknowledgement for ``lost_after_s``.
        """
        self._link = link or LinkMeter()
        self._traffic = traffic
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._limits = limits
        self._lost_after_s = lost_after_s
        self._lost_peer_detector = LostPeerDetector()
        self._time_limit = time_limit
        self._parser = request_parser(limits().header_bytes)
        self._turns = WorkTurns()
        self.holding = unlimited_holding()
        """Set by the owner: what is held for this connection."""
        self._unparsed_bytes = 0
        """Bytes that were received and are not part of a request that was read."""
        self._written_bytes = 0
        """Bytes written since the last wait for the caller."""
        self._refusal: YokedockError | None = None
        """Why the request that is being read is refused, although it has not arrived."""
        self._serve_task: asyncio.Task[None] | None = None
        self._has_request_data = False
        self._handler_task: asyncio.Task[None] | None = None
        self._response: ResponseWriter | None = None
        """The response to the request in flight, or to the last one."""
        self.is_closing = False
        """Set by the owner: the next response is the last and says ``Connection: close``."""
        self.should_close: Callable[[], bool] = lambda: False
        """Set by the owner: returns whether the caller should use another connection from now on.
        Asked at the start of each response."""
        self._close_unannounced = False
        self.is_idle = True
        self.departure: Departure | None = None
        """How the caller has left, None as far as it has not."""
        self._is_aborted = False
        self._has_parse_error = False
        """Whether what was received is not HTTP."""
        self._has_handler_begun = False
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    async def serve(self) -> None:
        """Serve requests until either side closes the connection."""
        self._serve_task = asyncio.current_task()
        try:
            limit_buffers(self._writer.transport, READ_BYTES, self.holding.unread_limit_bytes)
            while True:
                request = await self._read_unless_refused()
                if request is None:
                    break
                self.is_idle = False
                if not await self._answer(request):
                    return
                self.is_idle = True
                self.holding.hold_request(self._unparsed_bytes)
                # After ``Connection: close`` the parser is not in the state DONE. After any other
                # response the next request may be in flight already, and closing would lose it.
                if self._parser.our_state is not h11.DONE or self._close_unannounced:
                    break
                if self._parser.their_state is not h11.DONE:
                    break
                self._parser.start_next_cycle()
            await self._close_gracefully()
        except (BadRequest, PayloadTooLarge, OutOfMemory) as error:
            await self._reject(error)
        except OSError as error:
            _log.debug("connection lost", reason=repr(error))
        finally:
            self._note_parse_error()
            self._writer.transport.abort() if self._has_parse_error else self._writer.close()
            # What was received is freed now, not once cyclic garbage is collected.
            self._response = self._handler_task = self._serve_task = None

    def closes_after_response(self) -> bool:
        """Return whether the response must carry ``Connection: close``."""
        self.is_closing = self.is_closing or self.should_close()
        return self.is_closing

    def send_event(self, event: h11.Event) -> None:
        """Serialize one HTTP event and write it."""
        data = self._parser.send(event)
        if data:
            self._link.record_sent(self._traffic, len(data))
            self._writer.write(data)
            self._written_bytes += len(data)

    def has_disconnected(self) -> bool:
        """Return whether the caller has disconnected, and note it if so."""
        if not has_disconnected(self._writer.get_extra_info("socket")):
            return False
        self._note_end()
        return True

    async def drain(self) -> None:
        """Wait until the write buffer is below its high-water mark.

        Raises ``ClientClosedConnection`` if the connection is closed.
        """
        with self._sending():
            try:
                await self._writer.drain()
            except OSError as error:
                self._note_departure(Departure.RESET)
                raise ClientClosedConnection(
                    f"the caller's connection is lost ({error!r})"
                ) from None

    @contextlib.contextmanager
    def _sending(self) -> Iterator[None]:
        """Note that the caller is waited for, if it has not taken what was written so far."""
        unsent, self._written_bytes = self._written_bytes, 0
        if not self._writer.transport.get_write_buffer_size():
            self.holding.record_progress(unsent)
            yield
            return
        holding, stage = self.holding, self.holding.stage
        holding.enter(Stage.SENDING)
        holding.hold_response(holding.response_bytes + unsent + WAITING_BYTES)
        try:
            if not holding.make_room():
                holding.evict()
            yield
            holding.record_progress(unsent)
        finally:
            holding.hold_response(holding.response_bytes - unsent - WAITING_BYTES)
            holding.enter(stage)

    def abort(self) -> None:
        """Close the connection immediately, without flushing.

        It is reset if its end would otherwise complete the response that it cuts off.
        """
        self._is_aborted = True
        if self._would_complete_response() and not self._writer.transport.is_closing():
            reset_on_close(self._writer.get_extra_info("socket"))
        self._writer.transport.abort()

    def abort_unread(self) -> None:
        """Reset the connection, so that its caller knows that nothing was read."""
        self._is_aborted = True
        reset_on_close(self._writer.get_extra_info("socket"))
        self._writer.transport.abort()

    def abort_if_lost(self) -> None:
        """Close the connection if its caller no longer acknowledges what it is sent.

        To be called about once a second.
        """
        state = read_acknowledgement_state(self._writer.get_extra_info("socket"))
        if state is None:
            return
        unanswered_s = self._lost_peer_detector.unanswered_s(state, boot_time_s())
        if unanswered_s >= self._lost_after_s:
            _log.info("caller lost", unacknowledged_ms=round(unanswered_s * MS_PER_SECOND))
            self._note_departure(Departure.UNACKNOWLEDGED)
            self.abort()

    def close_if_idle(self) -> None:
        """Close if no request has arrived or is handled; otherwise close after the response.

        If this process has just stalled, a request may wait in the socket unread. The close is sent
        at once: the transport closes the socket later, possibly after another stall.
        """
        self.is_closing = self._close_unannounced = True
        if not self.is_idle or self._has_request_data:
            return
        if has_unread_data(self._writer.get_extra_info("socket")):
            return
        with contextlib.suppress(OSError):  # The caller has reset the connection.
            self._writer.write_eof()
        self._writer.close()

    def evict(self) -> None:
        """Close the connection, because its memory or its descriptor is needed for others.

        A request that has not arrived whole is refused. An answer that the caller does not read is
        cut off.
        """
        _log.info("caller evicted", stage=self.holding.stage.value)
        match self.holding.stage:
            case Stage.IDLE:
                self.close_if_idle()
            case Stage.RECEIVING if self._serve_task is not None:
                self._refusal = OutOfMemory(
                    "others need the memory that the request takes; send it without delay",
                    MEMORY_RETRY_AFTER_S,
                )
                self._serve_task.cancel()
            case _:
                self._note_departure(Departure.EVICTED)
                self.abort()

    def cancel_handler(self) -> None:
        """Cancel the handler of the request in flight.

        One that has not begun sees the state of the router when it does, and answers by itself.
        One whose response is known only waits until it is sent.
        """
        is_known = self._response is not None and self._response.is_known
        if self._handler_task is not None and self._has_handler_begun and not is_known:
            self._handler_task.cancel()

    def has_unsent_answer(self) -> bool:
        """Return whether an answer, or a part of one, has not been handed to the kernel yet."""
        is_handled = self._handler_task is not None and not self._handler_task.done()
        return is_handled or self._writer.transport.get_write_buffer_size() > 0

    async def wait_sent(self) -> None:
        """Wait until a connection that ``serve`` has closed is closed by the kernel.

        It is closed after the last answer was sent, or once the caller does not acknowledge it.
        """
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()

    def _would_complete_response(self) -> bool:
        """Return whether a close would end a response of which a part was not sent.

        Callers of HTTP/1.0 get no chunks: the end of the connection ends the body.
        """
        response = self._response
        if response is None or not response.has_started:
            return False
        has_unsent = self._writer.transport.get_write_buffer_size() > 0
        is_cut = has_unsent or not response.has_ended
        return is_cut and self._parser.their_http_version == HTTP_1_0

    # --- Reading ---

    async def _read_unless_refused(self) -> CallerRequest | None:
        """Return the next request, None if the connection was closed between requests.

        Raises the refusal of a request that was evicted while it arrived.
        """
        try:
            return await self._read_request()
        except asyncio.CancelledError:
            if self._refusal is None:
                raise
        # Not raised while the cancellation is handled: it refers to what has arrived of the body.
        assert self._serve_task is not None
        self._serve_task.uncancel()
        raise self._refusal

    async def _read_request(self) -> CallerRequest | None:
        limits = self._limits()
        self._has_request_data = bool(self._unparsed_bytes)
        self.holding.enter(Stage.RECEIVING if self._has_request_data else Stage.IDLE)
        event = self._next_event()
        is_silent = event is h11.NEED_DATA and not self._has_request_data
        if is_silent and not await self._receive_while_idle():
            return None
        arrived_s = boot_time_s()
        self._has_request_data = True
        self.holding.enter(Stage.RECEIVING)
        head = await self._read_head(event, arrived_s + limits.header_timeout_s)
        if head is None:
            return None
        check_head(head, limits)
        body = await self._read_body(head, limits, arrived_s)
        self._unparsed_bytes = len(self._parser.trailing_data[0])
        self.holding.hold_request(len(body) + self._unparsed_bytes)
        self.holding.enter(Stage.SERVED)
        return CallerRequest(head, body, arrived_s)

    async def _receive_while_idle(self) -> bool:
        """Wait for the first data of a request; returns False if none arrives in the idle time.

        A configuration may raise the idle timeout meanwhile: callers then reuse the connection for
        longer.
        """
        since_s = boot_time_s()
        while (remaining_s := since_s + self._limits().idle_timeout_s - boot_time_s()) > 0:
            if await self._receive(remaining_s):
                return True
            if self._reader.at_eof():
                return False
        return False

    async def _read_head(self, event: object, until_s: float) -> RequestHead | None:
        while True:
            self._require_memory(self.holding.try_hold_request(self._unparsed_bytes))
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
                raise RequestTimeout(
                    "timed out waiting for the request head; send it without delay"
                )

    async def _read_body(self, head: RequestHead, limits: CallerLimits, arrived_s: float) -> bytes:
        declared = head.get(b"content-length")
        if declared is not None and int(declared) > limits.body_bytes:
            raise PayloadTooLarge(
                f"the body has {declared} bytes; send at most {limits.body_bytes}"
            )
        self._require_memory(self.holding.has_request_room(int(declared or 0)))
        body = bytearray()
        until_s: float | None = None
        while True:
            await self._turns.step()
            event = self._next_event()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    raise PayloadTooLarge(
                        f"the body is too large; send at most {limits.body_bytes} bytes"
                    )
                self._require_memory(self.holding.try_hold_request(len(body)))
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                if until_s is None:
                    limit_s = self._time_limit(head)
                    until_s = arrived_s + (limits.idle_timeout_s if limit_s is None else limit_s)
                await self._receive_body(limits, until_s)

    async def _receive_body(self, limits: CallerLimits, until_s: float) -> None:
        """Receive a part of a body, which is of no use after ``until_s``."""
        if self._parser.they_are_waiting_for_100_continue:
            self.send_event(h11.InformationalResponse(status_code=100, headers=[]))
        timeout_s = min(limits.idle_timeout_s, until_s - boot_time_s())
        if timeout_s <= 0 or not await self._receive(timeout_s):
            if self._reader.at_eof():
                raise ConnectionResetError("the caller disconnected in the middle of the request")
            raise RequestTimeout("timed out waiting for the request body; send it without delay")

    def _require_memory(self, has_room: bool) -> None:
        """Raise ``OutOfMemory`` unless there is room for the request."""
        if not has_room:
            raise OutOfMemory(
                "there is no memory for the request now; retry later", MEMORY_RETRY_AFTER_S
            )

    def _next_event(self) -> object:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == HeaderTooLarge.http_status:
                raise HeaderTooLarge("the request head is too large; send fewer headers") from None
            raise BadRequest(f"malformed HTTP request ({error}); send HTTP/1.1") from None

    async def _receive(self, timeout_s: float) -> bool:
        """Read data into the parser; returns False on end of stream or after ``timeout_s``."""
        try:
            async with ReadFirstTimeout(timeout_s):
                data = await self._reader.read(READ_BYTES)
        except TimeoutError:
            return False
        if not data:
            return False
        self._turns.begin()
        self._take(data)
        return True

    def _take(self, data: bytes) -> None:
        """Give received data to the parser."""
        self._link.record_received(self._traffic, len(data))
        self.holding.record_progress(len(data))
        self._unparsed_bytes += len(data)
        self._parser.receive_data(data)

    # --- Handling ---

    async def _answer(self, request: CallerRequest) -> bool:
        """Run the handler to completion, or cancel it if the caller disconnects.

        Returns whether the connection can serve further requests.
        """
        has_body = request.head.method != b"HEAD"
        answer = self._response = ResponseWriter(self, has_body)
        self._has_handler_begun = False
        task = asyncio.create_task(self._run_handler(request, answer))
        self._handler_task = task
        watch = asyncio.create_task(self._watch_disconnect(task))
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

    async def _run_handler(self, request: CallerRequest, answer: ResponseWriter) -> None:
        self._has_handler_begun = True
        try:
            await self._handle(request, answer)
        except ClientClosedConnection as error:
            _log.debug("connection lost", reason=error.message)
            self.abort()

    async def _handle(self, request: CallerRequest, answer: ResponseWriter) -> None:
        """Run the handler; raises ``ClientClosedConnection`` if the caller has disconnected.

        No other error shows that, not even an ``OSError``: it may come from another connection.
        """
        try:
            await self._handler(request, answer)
        except ClientClosedConnection:
            raise
        except YokedockError as error:
            await self._tell(answer, error)
        except Exception:
            _log.exception("handler failed", path=request.head.path)
            await self._tell(answer, YokedockError("internal error; see the logs for details"))

    async def _tell(self, answer: ResponseWriter, error: YokedockError) -> None:
        """Send an error to the caller, or abort a response that has started.

        An error raised after the response is complete is only logged.
        """
        if answer.has_ended:
            _log.warning(
                "handler raised an error after the response was complete",
                code=error.code,
                error=error.message,
            )
        elif answer.has_started:
            answer.break_off()
        else:
            await answer.error(error)

    async def _watch_disconnect(self, task: asyncio.Task[None]) -> None:
        """Keep reading while the handler runs; cancel it when the caller disconnects."""
        body_bytes = self.holding.request_bytes - self._unparsed_bytes
        try:
            while self._may_read_ahead():
                data = await self._reader.read(READ_AHEAD_BYTES)
                if not data:
                    break
                self._take(data)
                self.holding.hold_request(body_bytes + self._unparsed_bytes)
            else:
                await self._poll_disconnect(body_bytes)
            self._note_end()
        except OSError as error:
            _log.debug("connection lost", reason=repr(error))
            self._note_departure(Departure.RESET)
        task.cancel()

    def _may_read_ahead(self) -> bool:
        """Return whether to read more of the next requests while one is handled."""
        if self._unparsed_bytes >= READ_AHEAD_BYTES:
            return False
        return self.holding.has_spare_room(READ_AHEAD_BYTES)

    async def _poll_disconnect(self, body_bytes: int) -> None:
        """Wait until the caller has disconnected, without reading: its FIN is behind unread data.

        What arrives meanwhile takes memory too, in the kernel or here.
        """
        try:
            while not self.has_disconnected():
                unread = self._unread_bytes()
                self.holding.hold_request(body_bytes + self._unparsed_bytes + unread)
                self.holding.has_unread_requests = unread > 0
                self.holding.make_room()
                await asyncio.sleep(DISCONNECT_POLL_S)
        finally:
            self.holding.has_unread_requests = False

    def _unread_bytes(self) -> int:
        """Return how much the data that waits to be read may take: 0, or all that buffers hold.

        Behind as much as is read ahead, more is expected to come.
        """
        sock = self._writer.get_extra_info("socket")
        unread = len(getattr(self._reader, "_buffer", b"")) + unread_bytes(sock)
        most = MAX_BUFFERED_BYTES + self.holding.unread_limit_bytes
        is_expected = self._unparsed_bytes >= READ_AHEAD_BYTES
        return max(unread, most) if unread or is_expected else 0

    def _note_end(self) -> None:
        """Note that nothing more can be read from the connection."""
        is_closed_here = self._writer.is_closing()
        self._note_departure(Departure.CLOSED_HERE if is_closed_here else Departure.CLOSED)

    def _note_departure(self, departure: Departure) -> None:
        """Note how the caller has left, unless this router has aborted the connection."""
        if self.departure is None and not self._is_aborted:
            self.departure = departure

    # --- Closing ---

    async def _reject(self, error: YokedockError) -> None:
        """Send an error for a request that could not be read, and close the connection."""
        _log.info("rejected", code=error.code, error=error.message)
        self.is_closing = True
        self._refusal = None
        # The traceback refers to what has arrived of the body.
        error.__traceback__ = None
        self.holding.hold_request(0)
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        try:
            await ResponseWriter(self).error(error)
            await self._close_gracefully()
        except (OSError, ClientClosedConnection, h11.LocalProtocolError):
            return

    async def _close_gracefully(self) -> None:
        """Send FIN, then discard incoming data for up to ``LINGER_S``.

        Closing with unread data would make the kernel send RST, which can destroy the response.
        """
        self._forget_requests()
        if self._writer.is_closing() or self._reader.at_eof():
            return
        try:
            self._writer.write_eof()
            async with asyncio.timeout(LINGER_S):
                while await self._reader.read(READ_BYTES):
                    pass
        except (OSError, TimeoutError):
            return

    def _note_parse_error(self) -> None:
        self._has_parse_error = self._has_parse_error or self._parser.their_state is h11.ERROR

    def _forget_requests(self) -> None:
        """Free what was received, as no further request is served."""
        self._note_parse_error()
        self._parser = request_parser(self._limits().header_bytes)
        self._unparsed_bytes = 0
        self.holding.hold_request(0)
