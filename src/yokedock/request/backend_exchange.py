"""One HTTP exchange with one backend: connect, send the request, read the response."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Callable

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.link_meter import LinkMeter
from yokedock.base.logs import logger
from yokedock.base.read_first_timeout import ReadFirstTimeout
from yokedock.base.resource_budget import ResourceBudget
from yokedock.connection.backend_connection import MAX_IDLE_S, BackendConnection
from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.dialect import Dialect, ForwardingOrder, ResponseMetadata
from yokedock.connection.http_heads import ResponseHead
from yokedock.request.backend_incarnation import Backend
from yokedock.request.body_progress import BodyLimits, BodyProgress
from yokedock.request.connection_shares import ConnectionShares
from yokedock.request.crash_records import CrashRecords
from yokedock.request.poison_parts import PROOF_S
from yokedock.request.request_digest import digest_text
from yokedock.request.reserved_connection import ReservedConnection
from yokedock.request.response_buffers import ResponseBuffers
from yokedock.request.routed_call import (
    MS_PER_SECOND,
    NOT_SENT,
    BufferedResponse,
    RoutedCall,
)
from yokedock.router_errors import (
    BackendConnectionClosed,
    BackendNotAccepting,
    BackendRefused,
    BackendResponseError,
    BackendUnreachable,
    BackendUnresponsive,
    ResponseTooLarge,
)

_log = logger("exchange")

CONNECT_TIMEOUT_S = 0.15
MAX_IDLE_NOT_REPEATABLE_S = 0.8
"""Maximum idle time of a reused connection for requests that must not be repeated: the shorter a
connection was idle, the less likely the backend is to have closed it."""
MAX_BUFFERED_RESPONSE_BYTES = 16_777_216
MIN_REDIRECT_STATUS = 300
SERVER_ERROR = 500
SILENT_S = 1.0
"""A backend that sends nothing for this long is avoided temporarily."""


class BackendExchange:
    """A request that is being sent to, or answered by, one backend."""

    def __init__(
        self,
        connection: BackendConnection,
        dialect: Dialect,
        backend: Backend,
        call: RoutedCall,
        crashes: CrashRecords,
        buffers: ResponseBuffers,
        link: LinkMeter,
    ) -> None:
        """Wrap a connection that is ready to send; the outcome is reported to ``crashes``.

        Time limits don't count the delay that all connections over ``link`` share.
        """
        self._link = link
        self.backend = backend
        self.buffers = buffers
        self.is_whole = False
        self.is_sent = False
        self.on_silence: Callable[[], None] = lambda: None
        """Called when the time set with ``start_silence_timer`` has passed without data."""
        self._silence_timer: asyncio.TimerHandle | None = None
        self._connection = connection
        self._dialect = dialect
        self._call = call
        self._crashes = crashes
        self._sent_s = 0.0
        self._writing_since_s: float | None = None
        """When the first part of the response body arrived (boot time, s)."""
        self._is_writing_proved = False
        """Whether the backend has been writing for so long that the prompt's parts are sound."""
        self._is_prefill = False
        self._notes: ResponseMetadata | None = None
        """Metadata from the latest response head."""

    @property
    def is_open(self) -> bool:
        """Return whether a response can still arrive on the connection."""
        return self._connection.is_open

    async def send(self, order: ForwardingOrder) -> None:
        """Send the request; raises ``ClientClosedConnection`` instead if the caller has
        disconnected."""
        call = self._call
        call.answer.raise_if_disconnected()
        headers = self._dialect.backend_headers(call.request.head, order)
        self._is_prefill = order.is_prefill
        self._sent_s = boot_time_s()
        self.is_sent = True
        call.at_backends += 1
        await self._connection.send(call.request.head, headers, call.request.body)

    def start_silence_timer(self, max_silence_s: float) -> None:
        """Call ``on_silence`` once no data has arrived for ``max_silence_s``, and continue to wait.

        A request that must not be repeated waits for its response or its deadline; this keeps other
        requests off connections that have probably failed in the same way.
        """
        due_s = max_silence_s - (boot_time_s() - self._connection.awaiting_response_since_s())
        if due_s <= 0:
            self.on_silence()
            return
        loop = asyncio.get_running_loop()
        self._silence_timer = loop.call_later(due_s, self.start_silence_timer, max_silence_s)

    def close(self) -> None:
        """End the exchange and stop the silence timer."""
        self._call.at_backends -= self.is_sent
        if self._silence_timer is not None:
            self._silence_timer.cancel()

    async def read_head(self, timeout_s: float) -> ResponseHead:
        """Return the head of the response.

        Raises ``BackendRefused`` if the backend states that it does not run the request,
        ``BackendResponseError`` if no valid response arrives within ``timeout_s``.
        """
        clock = asyncio.get_running_loop().time
        sent_s = clock()

        def due_s() -> float:
            return sent_s + timeout_s + self._link.shared_delay.current_s()

        try:
            async with ReadFirstTimeout(timeout_s + self._link.queued_s(), due_s=due_s):
                head = await self._connection.read_head(self._matches_request)
        except TimeoutError:
            if timeout_s >= SILENT_S:
                self.backend.health.record_silence(boot_time_s())
            message = f"{self.backend.name} sent no response within {timeout_s:.2f} s"
            raise BackendUnresponsive(message) from None
        notes = self._notes
        assert notes is not None
        self.backend.load = notes.load or self.backend.load
        if notes.is_misdirected:
            self.backend.record_gone(boot_time_s())
        self._crashes.record_alive(self.backend.life, self._sent_s)
        if notes.is_not_run:
            raise BackendRefused(
                f"{self.backend.name} refused the request with status {head.status}"
            )
        if head.get(b"content-encoding") is not None:
            raise BackendResponseError(f"{self.backend.name}: response has a Content-Encoding")
        if head.status < SERVER_ERROR and not self._is_prefill:
            self._check_origin(head, notes)
        return head

    async def read_whole(
        self,
        patience_s: float,
        limits: BodyLimits,
        max_bytes: int = MAX_BUFFERED_RESPONSE_BYTES,
    ) -> BufferedResponse:
        """Return the head and the complete body; raises as ``read_head`` and ``read_body``.

        ``patience_s`` limits the wait for the head. The body of a server error is of little use,
        so it may take no longer than another attempt.
        """
        head = await self.read_head(patience_s)
        if head.status >= SERVER_ERROR and limits.attempt_s:
            limits = msgspec.structs.replace(limits, max_s=limits.attempt_s)
        return BufferedResponse(head, await self.read_body(head, limits, max_bytes))

    async def read_body(
        self,
        head: ResponseHead,
        limits: BodyLimits,
        max_bytes: int = MAX_BUFFERED_RESPONSE_BYTES,
    ) -> bytes | bytearray:
        """Return the complete body, whose memory is held until the request has ended.

        Raises ``BackendResponseError`` if it is truncated, or incomplete when ``limits`` end the
        wait, ``ResponseTooLarge`` if it exceeds ``max_bytes``.
        """
        content_length = head.content_length()
        if content_length is not None and content_length > max_bytes:
            message = f"response body of {content_length} bytes exceeds {max_bytes}"
            raise ResponseTooLarge(f"{self.backend.name}: {message}")
        clock = asyncio.get_running_loop().time
        body = bytearray()
        progress = BodyProgress(limits, content_length, clock())
        time_limit = ReadFirstTimeout(
            progress.due_s() - clock(),
            lambda: progress.may_expire(clock()),
            progress.due_s,
            progress.deadline_s,
        )
        try:
            async with time_limit:
                with contextlib.ExitStack() as unless_whole:
                    buffer = unless_whole.enter_context(self.buffers.open(self._call.holding))
                    async for part in self.body_parts(max_bytes):
                        body += part
                        progress.record(len(part), clock())
                        progress.pause()
                        await buffer.grow(len(body))
                        progress.resume(clock())
                    unless_whole.pop_all()
                    self._call.keep_response(buffer)
        except TimeoutError:
            raise BackendResponseError(
                f"{self.backend.name}: response incomplete at the time limit"
            ) from None
        self.finish(is_failure=head.status >= SERVER_ERROR)
        return body

    async def body_parts(self, max_bytes: int | None = None) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive.

        Raises ``BackendConnectionClosed`` if the body is truncated, ``ResponseTooLarge`` if it
        exceeds ``max_bytes``.
        """
        async for part in self._connection.body_parts(max_bytes):
            self._note_writing()
            yield part

    def _note_writing(self) -> None:
        """Note that a part of the body has arrived."""
        now_s = boot_time_s()
        if self._writing_since_s is None:
            self._writing_since_s = now_s
        is_proof_due = not (self._is_writing_proved or self._is_prefill)
        if is_proof_due and now_s >= self._writing_since_s + PROOF_S:
            self._is_writing_proved = True
            self._crashes.record_writing(self._call)

    def log_broken(self, error: BackendResponseError) -> None:
        """Log a failed exchange, with how far the response had got."""
        now_s, since_s = boot_time_s(), self._writing_since_s
        _log.info(
            "answer broken off",
            request=self._call.request_id,
            digest=digest_text(self._call.digest),
            parts=list(self._call.shared_parts),
            backend=self.backend.name,
            is_prefill=self._is_prefill,
            sent_ms_ago=round((now_s - self._sent_s) * MS_PER_SECOND) if self.is_sent else None,
            written_ms=None if since_s is None else round((now_s - since_s) * MS_PER_SECOND),
            reason=error.message,
        )

    def finish(self, is_failure: bool = False) -> None:
        """Record that the response was read completely."""
        self.is_whole = True
        now_s = boot_time_s()
        self.backend.health.record_answer(now_s, now_s - self._sent_s, is_failure)
        if not is_failure and not self._is_prefill:
            self._crashes.record_answered(self._call)

    def record_closed(self) -> None:
        """Record that the backend closed the connection during the request.

        Does nothing if the backend has announced that it is leaving.
        """
        if self.is_sent and not self.backend.is_ending:
            since_sent_s = boot_time_s() - self._sent_s
            is_part_sound = self._is_writing_proved or self._is_prefill
            self._crashes.record_crash(self._call, self.backend.life, since_sent_s, is_part_sound)

    def _check_origin(self, head: ResponseHead, notes: ResponseMetadata) -> None:
        """Raise unless the response names a request and a successful one carries a signature."""
        if notes.request_id is None:
            raise BackendResponseError(f"{self.backend.name}: response names no request id")
        if head.status < MIN_REDIRECT_STATUS and not notes.is_signed:
            raise BackendResponseError(f"{self.backend.name}: response is not signed")

    def _matches_request(self, head: ResponseHead) -> bool:
        """Return whether a response is for this request, not an earlier one on the connection.

        Statements of the backend about itself are applied in either case.
        """
        notes = self._notes = self._dialect.response_metadata(head)
        is_ours = notes.request_id is None or notes.request_id == self._call.request_id
        opened_ms = self._connection.opened_ms
        sent_s, sent_ms = -math.inf, opened_ms
        if is_ours:
            sent_s, sent_ms = self._sent_s, self._connection.sent_ms
        self.backend.apply_notices(notes, boot_time_s(), opened_ms, sent_s, sent_ms)
        return is_ours


class BackendExchanges:
    """Opens exchanges with backends."""

    def __init__(
        self,
        pool: BackendPool,
        dialect: Dialect,
        crashes: CrashRecords,
        shares: ConnectionShares,
        budget: ResourceBudget | None = None,
    ) -> None:
        """Use the connection pool, dialect, crash records and memory of the process."""
        self.pool = pool
        self._shares = shares
        self.crashes = crashes
        self.dialect = dialect
        self._buffers = ResponseBuffers(budget)

    @contextlib.asynccontextmanager
    async def open(
        self,
        backend: Backend,
        call: RoutedCall,
        has_permit: bool = False,
        reserved: ReservedConnection | None = None,
    ) -> AsyncIterator[BackendExchange]:
        """Connect to a backend; raises ``BackendUnreachable`` if nothing could be sent.

        This includes a backend that has stopped accepting requests since it was selected. Raises
        ``RequestQuarantined`` for a request that crashes backends.

        ``has_permit``: a permit of a rate-limited backend has been taken already, or nothing will
        be sent. ``reserved``: the connection that ``reserve`` has returned for this call.

        Afterwards the connection goes back to the pool if the response was read completely.
        Otherwise it is closed at once, so that the backend stops working on a request without a
        recipient.
        """
        self._require_usable(backend, call, reserved)
        if not has_permit:
            backend.take_permit(boot_time_s())
        with call.visit(backend.name, backend.entry.zone, backend.entry.role) as visit:
            async with self._exchange(backend, call, reserved) as exchange:
                yield exchange
                if not exchange.is_sent:
                    visit.outcome = NOT_SENT

    async def reserve(self, backend: Backend, call: RoutedCall) -> ReservedConnection:
        """Connect to a backend for the next attempt of ``call``; raises as ``open``.

        The caller releases the connection unless it passes it to ``open``.
        """
        self._require_usable(backend, call)
        with call.visit(backend.name, backend.entry.zone, backend.entry.role) as visit:
            connection = await self._connect(backend, call)
            visit.outcome = NOT_SENT

        def give_back(connection: BackendConnection) -> None:
            self._give_back(connection, backend, call)

        return ReservedConnection(connection, backend, give_back)

    def _require_usable(
        self, backend: Backend, call: RoutedCall, reserved: ReservedConnection | None = None
    ) -> None:
        """Raise as ``open`` unless the call may be sent to the backend now."""
        if backend.has_ended:
            raise BackendUnreachable(
                f"{backend.name} has ended: {backend.entry.instance} was restarted"
            )
        self.crashes.require_not_quarantined(call)
        backend.require_accepting(boot_time_s())
        has_connection = reserved is not None and reserved.is_usable
        if not has_connection and backend.outstanding >= self._shares.most(call.service):
            raise BackendNotAccepting(f"all connections to {backend.name} are in use")

    async def _connect(self, backend: Backend, call: RoutedCall) -> BackendConnection:
        """Return an idle connection to the backend or a new one."""
        address = backend.entry.address
        rest_s = MAX_IDLE_S if call.route.may_repeat else MAX_IDLE_NOT_REPEATABLE_S
        timeout_s = min(CONNECT_TIMEOUT_S, call.remaining_s())
        backend.outstanding += 1
        try:
            return await self.pool.take(address, timeout_s, rest_s, call.min_last_receive_s)
        except BackendUnreachable:
            backend.health.record_silence(boot_time_s())
            self.pool.forget(address)
            raise
        finally:
            # A request counts as outstanding while it connects, because other requests select
            # backends meanwhile. Whoever uses the connection counts it again.
            backend.outstanding -= 1

    def _give_back(self, connection: BackendConnection, backend: Backend, call: RoutedCall) -> None:
        """Return a connection to the pool, within the share of the call's service."""
        self.pool.give_back(connection, self._shares.most(call.service) - backend.outstanding)

    @contextlib.asynccontextmanager
    async def _exchange(
        self, backend: Backend, call: RoutedCall, reserved: ReservedConnection | None
    ) -> AsyncIterator[BackendExchange]:
        connection = reserved.take() if reserved is not None else None
        if connection is None:
            connection = await self._connect(backend, call)
        exchange = BackendExchange(
            connection,
            self.dialect,
            backend,
            call,
            self.crashes,
            self._buffers,
            self.pool.link,
        )
        exchange.on_silence = lambda: self._drop_silent_connections(connection, call)
        backend.outstanding += 1
        backend.connections.add(connection)
        try:
            yield exchange
        except BackendRefused:
            now_s = boot_time_s()
            if not backend.notices.is_backing_off(now_s):
                # A backend that asked for back-off has stated itself how long to avoid it.
                backend.health.record_answer(now_s, 0.0, is_failure=True)
            raise
        except BackendResponseError as error:
            exchange.log_broken(error)
            if isinstance(error, BackendConnectionClosed):
                exchange.record_closed()
            if isinstance(error, BackendUnresponsive):
                self._drop_silent_connections(connection, call)
            backend.health.record_broken(boot_time_s())
            raise
        finally:
            exchange.close()
            backend.outstanding -= 1
            backend.connections.discard(connection)
            if exchange.is_whole or not exchange.is_sent:
                self._give_back(connection, backend, call)
            else:
                connection.abort()

    def _drop_silent_connections(self, connection: BackendConnection, call: RoutedCall) -> None:
        """Drop idle connections that may have failed with this one, and exclude them from retries.

        A connection on which data arrived in the second half of the silent period was still working
        during it, and is kept.
        """
        min_last_receive_s = (connection.awaiting_response_since_s() + boot_time_s()) / 2
        call.min_last_receive_s = max(call.min_last_receive_s, min_last_receive_s)
        self.pool.drop_silent(connection.address, min_last_receive_s)
