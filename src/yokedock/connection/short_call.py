"""One short call on a connection of a pool: connect, send, read the whole answer, keep or drop."""

from __future__ import annotations

import asyncio

import msgspec

from yokedock.connection.backend_connection import LONGEST_REST_S
from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.http_heads import Header, RequestHead
from yokedock.router_errors import BackendSilent

MAX_ANSWER_BYTES = 16_777_216


class ShortCall(msgspec.Struct, frozen=True):
    """What is sent; the Host header and the length are added."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...] = ()
    body: bytes = b""


class ShortAnswer(msgspec.Struct, frozen=True):
    """Status and body of an answer."""

    status: int
    body: bytes


class CallLimits(msgspec.Struct, frozen=True):
    """Seconds to connect, and from then on to the whole answer."""

    connect_s: float
    answer_s: float
    longest_rest_s: float = LONGEST_REST_S
    """A kept connection that rested for longer is not used."""


async def short_call(
    pool: BackendPool, address: str, call: ShortCall, limits: CallLimits
) -> ShortAnswer:
    """Send a call and return the answer; a connection with a lost answer is never used again.

    Raises ``BackendUnreachable`` if nothing was sent, ``BackendBroken`` if there is no whole answer
    (``BackendSilent`` if there is none in time).
    """
    connection = await pool.take(address, limits.connect_s, limits.longest_rest_s)
    is_whole = False
    try:
        async with asyncio.timeout(limits.answer_s):
            head = RequestHead((), call.method, call.target)
            await connection.send(head, [(b"Host", address.encode()), *call.headers], call.body)
            answer = await connection.read_head(lambda _: True)
            body = await connection.read_body(MAX_ANSWER_BYTES)
            is_whole = True
            return ShortAnswer(answer.status, body)
    except TimeoutError:
        state = f"{connection.received_bytes} bytes in {limits.answer_s:.1f} s, not whole"
        raise BackendSilent(f"{address}: {state}: {call.target.decode()}") from None
    finally:
        if is_whole:
            pool.give_back(connection)
        else:
            connection.abort()
