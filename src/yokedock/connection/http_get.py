"""One GET on a connection of its own or a kept one, for reading state."""

from __future__ import annotations

import asyncio

import msgspec

from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.http_heads import RequestHead
from yokedock.errors import BackendBroken, BackendUnreachable, PlatformUnavailable

MAX_ANSWER_BYTES = 16_777_216


class GetAnswer(msgspec.Struct, frozen=True):
    """Status and body of an answer."""

    status: int
    body: bytes


class HttpGetter:
    """Reads documents from one address. A connection with a lost answer is never used again."""

    def __init__(self, address: str, connect_timeout_s: float) -> None:
        """Read from ``address`` (IP:port)."""
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._pool = BackendPool()

    async def get(self, target: str, timeout_s: float) -> GetAnswer:
        """Return the answer; raises ``PlatformUnavailable`` if there is none in time."""
        try:
            connection = await self._pool.take(self._address, self._connect_timeout_s)
        except BackendUnreachable as error:
            raise PlatformUnavailable(error.message) from None
        is_whole = False
        try:
            async with asyncio.timeout(timeout_s):
                host = self._address.encode()
                head = RequestHead(((b"Host", host),), b"GET", target.encode())
                await connection.send(head, list(head.headers), b"")
                answer = await connection.read_head(lambda _: True)
                body = await connection.read_body(MAX_ANSWER_BYTES)
                is_whole = True
                return GetAnswer(answer.status, body)
        except TimeoutError:
            raise PlatformUnavailable(f"{self._address} did not answer {target}") from None
        except BackendBroken as error:
            raise PlatformUnavailable(error.message) from None
        finally:
            if is_whole:
                self._pool.give_back(connection)
            else:
                connection.abort()
