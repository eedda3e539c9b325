"""A single request and response over a pooled connection.

A small response must be complete within a fixed time. For one that may be large, the limit is on
its progress instead: its duration depends on its size and on the bandwidth, and a transfer that is
aborted while it makes progress restarts from zero, so that over a slow link it would never finish.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec

from yokedock.base.read_first_timeout import ReadFirstTimeout
from yokedock.connection.backend_connection import MAX_IDLE_S, BackendConnection
from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.http_heads import Header, RequestHead, ResponseHead
from yokedock.router_errors import BackendUnresponsive, ResponseTooLarge

MAX_ANSWER_BYTES = 16_777_216


class ShortCall(msgspec.Struct, frozen=True):
    """A request; the headers Host and Content-Length are added."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...] = ()
    body: bytes = b""


class ShortAnswer(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    body: bytes
    head: ResponseHead
    opened_ms: int
    """Wall-clock time at which its connection was opened, in Unix milliseconds."""
    sent_ms: int
    """Wall-clock time at which its request was sent, in Unix milliseconds."""


class TransferLimits(msgspec.Struct, frozen=True):
    """Time limits for the body of a response that may be large."""

    stall_s: float
    """The response is aborted after this many seconds without data."""
    max_duration_s: float
    """It is aborted this many seconds after the request was sent, even if data arrives."""

    def due_s(self, sent_s: float, now_s: float) -> float:
        """Return until when to wait for a response of which data has arrived now."""
        return min(now_s + self.stall_s, sent_s + self.max_duration_s)


class CallLimits(msgspec.Struct, frozen=True):
    """Limits for a request and its response; times in seconds."""

    connect_s: float
    response_s: float
    """From connect to the complete response; only to its head if ``progress`` is set."""
    max_idle_s: float = MAX_IDLE_S
    """An idle connection is not reused after more than this time."""
    progress: TransferLimits | None = None
    max_bytes: int = MAX_ANSWER_BYTES
    """A response whose body or Content-Length exceeds this is aborted (``ResponseTooLarge``)."""


class ReadProgress(msgspec.Struct):
    """Progress of a response that is being read, for observers."""

    received_bytes: int = 0
    content_length: int = 0
    """Value of Content-Length; 0 if it is missing or the head was not received yet."""

    def value(self) -> float:
        """Return the received fraction of the body, 0 if its length is not known."""
        return self.received_bytes / self.content_length if self.content_length else 0.0


async def short_call(
    pool: BackendPool,
    address: str,
    call: ShortCall,
    limits: CallLimits,
    share: ReadProgress | None = None,
) -> ShortAnswer:
    """Send a request and return the response.

    ``share`` is updated while the body is received. A connection on which the response was not read
    completely is never reused.

    Raises ``BackendUnreachable`` if nothing was sent, ``BackendResponseError`` if no complete
    response was received (``BackendUnresponsive`` if it timed out).
    """
    async with _connection(pool, address, limits) as connection:
        clock = asyncio.get_running_loop().time
        sent_s = clock()
        due_s = sent_s + limits.response_s + pool.link.shared_delay.current_s()
        try:
            async with ReadFirstTimeout(limits.response_s, due_s=lambda: due_s):
                head = RequestHead((), call.method, call.target)
                await connection.send(head, [(b"Host", address.encode()), *call.headers], call.body)
                answer = await connection.read_head(lambda _: True)
                content_length = answer.content_length() or 0
                if content_length > limits.max_bytes:
                    message = f"response body of {content_length} bytes exceeds {limits.max_bytes}"
                    raise ResponseTooLarge(f"{address}: {message}")
                share = share or ReadProgress()
                share.content_length = content_length
                body = bytearray()
                async for part in connection.body_parts(limits.max_bytes):
                    body += part
                    share.received_bytes += len(part)
                    if limits.progress is not None:
                        due_s = limits.progress.due_s(sent_s, clock())
                return ShortAnswer(
                    answer.status,
                    bytes(body),
                    answer,
                    connection.opened_ms,
                    connection.sent_ms,
                )
        except TimeoutError:
            took_s = clock() - sent_s
            state = f"timed out with {connection.received_bytes} bytes received in {took_s:.1f} s"
            raise BackendUnresponsive(f"{address}: {state}: {call.target.decode()}") from None


@contextlib.asynccontextmanager
async def _connection(
    pool: BackendPool, address: str, limits: CallLimits
) -> AsyncIterator[BackendConnection]:
    """Take a connection from the pool; return it only if the response was read completely."""
    connection = await pool.take(address, limits.connect_s, limits.max_idle_s)
    is_whole = False
    try:
        yield connection
        is_whole = True
    finally:
        if is_whole:
            pool.give_back(connection)
        else:
            connection.abort()
