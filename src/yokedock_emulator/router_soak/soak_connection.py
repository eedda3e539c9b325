"""A caller's connection that notes how far an answer came when its connection ends."""

from __future__ import annotations

import asyncio
import dataclasses


@dataclasses.dataclass
class SoakAnswer:
    """One answer, as far as it came."""

    status: int | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytearray = dataclasses.field(default_factory=bytearray)
    is_whole: bool = False


class SoakConnection:
    """One connection, for one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap an open connection; use ``connect``."""
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, address: str) -> SoakConnection:
        """Open a connection to ``address`` (IP:port)."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, data: bytes) -> None:
        """Send the bytes of one request."""
        self._writer.write(data)

    async def rest(self, seconds: float) -> bytes | None:
        """Rest without a request; return bytes that came unasked, None if the connection ended."""
        try:
            async with asyncio.timeout(seconds):
                return await self._reader.read(200) or None
        except TimeoutError:
            return b""
        except OSError:
            return None

    async def read(self, answer: SoakAnswer) -> None:
        """Read into ``answer``; raises ``OSError`` or ``EOFError`` where the connection ends.

        Raises ``ValueError`` for what is no answer.
        """
        head = await self._reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        if not lines[0].startswith("HTTP/1.1 "):
            raise ValueError(f"not an answer: {lines[0][:80]!r}")
        pairs = (line.partition(":") for line in lines[1:] if line)
        answer.headers = {name.lower(): value.strip() for name, _, value in pairs}
        answer.status = int(lines[0][9:12])
        if (length := answer.headers.get("content-length")) is not None:
            await self._read_length(answer, int(length))
        elif answer.headers.get("transfer-encoding") == "chunked":
            await self._read_chunks(answer)
        else:
            raise ValueError("an answer of unknown length")
        answer.is_whole = True

    async def _read_length(self, answer: SoakAnswer, length: int) -> None:
        while len(answer.body) < length:
            answer.body += await self._some(length - len(answer.body))

    async def _read_chunks(self, answer: SoakAnswer) -> None:
        while size := int(await self._reader.readuntil(b"\r\n"), 16):
            answer.body += await self._reader.readexactly(size)
            await self._reader.readexactly(2)
        await self._reader.readexactly(2)

    async def _some(self, most: int) -> bytes:
        data = await self._reader.read(most)
        if not data:
            raise EOFError("the connection ended within an answer")
        return data

    def leave(self) -> None:
        """Close at once."""
        self._writer.transport.abort()
