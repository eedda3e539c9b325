"""One call on a connection of a pool: connect, send, read the whole answer, keep or drop.

A small answer must be whole within a fixed time. One that may be large is limited by its progress
instead: how long it takes depends on its size and on the link, and a read that is given up while it
flows begins again at nothing, so that on a narrow link it would never end.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec

from yokedock.base.read_first_timeout import ReadFirstTimeout
from yokedock.connection.backend_connection import LONGEST_REST_S, BackendConnection
from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.http_heads import AnswerHead, Header, RequestHead
from yokedock.router_errors import BackendUnresponsive, ResponseTooLarge

MAX_ANSWER_BYTES = 16_777_216


class ShortCall(msgspec.Struct, frozen=True):
    """What is sent; the Host header and the length are added."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...] = ()
    body: bytes = b""


class ShortAnswer(msgspec.Struct, frozen=True):
    """Status, body and head of an answer."""

    status: int
    body: bytes
    head: AnswerHead
    opened_ms: int
    """Time of day at which its connection was opened."""
    sent_ms: int
    """Time of day at which its request was sent."""


class AnswerProgress(msgspec.Struct, frozen=True):
    """Limits for an answer that may be large, once its head has come."""

    stall_s: float
    """Seconds without any byte after which the answer is given up."""
    longest_s: float
    """Seconds from the sending after which it is given up although it flows."""


class CallLimits(msgspec.Struct, frozen=True):
    """Seconds to connect, and from then on to the whole answer."""

    connect_s: float
    answer_s: float
    """To the whole answer; to its head where ``progress`` limits the rest."""
    longest_rest_s: float = LONGEST_REST_S
    """A kept connection that rested for longer is not used."""
    progress: AnswerProgress | None = None
    most_bytes: int = MAX_ANSWER_BYTES
    """An answer that announces or has more is given up (``ResponseTooLarge``)."""


class ReadShare(msgspec.Struct):
    """How much of an answer has come, for whoever looks on while it is read."""

    received_bytes: int = 0
    announced_bytes: int = 0
    """Length that the head told, 0 before it or without one."""

    def value(self) -> float:
        """Return the share of the body that has come, 0 where its length is not known."""
        return self.received_bytes / self.announced_bytes if self.announced_bytes else 0.0


async def short_call(
    pool: BackendPool,
    address: str,
    call: ShortCall,
    limits: CallLimits,
    share: ReadShare | None = None,
) -> ShortAnswer:
    """Send a call and return the answer; a connection with a lost answer is never used again.

    ``share`` is kept up to date while the answer comes.

    Raises ``BackendUnreachable`` if nothing was sent, ``BackendResponseError`` if there is no whole
    answer (``BackendUnresponsive`` if there is none in time).
    """
    async with _connection(pool, address, limits) as connection:
        sent_s = asyncio.get_running_loop().time()
        try:
            async with ReadFirstTimeout(limits.answer_s) as time_limit:
                head = RequestHead((), call.method, call.target)
                await connection.send(head, [(b"Host", address.encode()), *call.headers], call.body)
                answer = await connection.read_head(lambda _: True)
                announced_bytes = _announced_bytes(answer)
                if announced_bytes > limits.most_bytes:
                    message = f"the answer has {announced_bytes} bytes, over {limits.most_bytes}"
                    raise ResponseTooLarge(f"{address}: {message}")
                share = share or ReadShare()
                share.announced_bytes = announced_bytes
                parts = []
                async for part in connection.body_parts(limits.most_bytes):
                    parts.append(part)
                    share.received_bytes += len(part)
                    _extend(time_limit, sent_s, limits.progress)
                return ShortAnswer(
                    answer.status,
                    b"".join(parts),
                    answer,
                    connection.opened_ms,
                    connection.sent_ms,
                )
        except TimeoutError:
            took_s = asyncio.get_running_loop().time() - sent_s
            state = f"{connection.received_bytes} bytes in {took_s:.1f} s, not whole"
            raise BackendUnresponsive(f"{address}: {state}: {call.target.decode()}") from None


def _announced_bytes(head: AnswerHead) -> int:
    """Return the length of the body that the head tells, 0 if it tells none."""
    announced = head.get(b"content-length") or ""
    return int(announced) if announced.isdecimal() else 0


def _extend(time_limit: ReadFirstTimeout, sent_s: float, progress: AnswerProgress | None) -> None:
    """Give an answer that has just made progress its time to the next part."""
    if progress is not None:
        now_s = asyncio.get_running_loop().time()
        time_limit.reschedule(min(now_s + progress.stall_s, sent_s + progress.longest_s))


@contextlib.asynccontextmanager
async def _connection(
    pool: BackendPool, address: str, limits: CallLimits
) -> AsyncIterator[BackendConnection]:
    """Take a connection from the pool; it goes back only if its answer was read whole."""
    connection = await pool.take(address, limits.connect_s, limits.longest_rest_s)
    is_whole = False
    try:
        yield connection
        is_whole = True
    finally:
        if is_whole:
            pool.give_back(connection)
        else:
            connection.abort()
