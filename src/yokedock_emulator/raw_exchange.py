"""A caller's connection without a client library, for callers that come and go by the thousand."""

from __future__ import annotations

import asyncio


class RawExchange:
    """One connection of a caller; sends a request and reads the whole answer."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap an open connection; use ``connect``."""
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, address: str) -> RawExchange:
        """Open a connection to ``address`` (IP:port)."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, data: bytes) -> None:
        """Send the bytes of one request."""
        self._writer.write(data)

    async def read(self) -> tuple[int, bytes]:
        """Return status and body of one answer."""
        head = (await self._reader.readuntil(b"\r\n\r\n")).lower()
        status = int(head[9:12])
        length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
        if length:
            return status, await self._reader.readexactly(int(length))
        body = b""
        while size := int(await self._reader.readuntil(b"\r\n"), 16):
            body += await self._reader.readexactly(size)
            await self._reader.readexactly(2)
        await self._reader.readexactly(2)
        return status, body

    def leave(self) -> None:
        """Close at once."""
        self._writer.transport.abort()


async def get_page(address: str, path: str) -> tuple[int, bytes]:
    """Read one page on a connection of its own; return status and body."""
    exchange = await RawExchange.connect(address)
    exchange.send(f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
    try:
        return await exchange.read()
    finally:
        exchange.leave()
