"""Reads requests and frames answers of HTTP/1.1 for stand-ins that must keep up with a router.

It understands what the router sends: a head, a body with a length, one request at a time. It is no
server for anybody else.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class PlainRequest:
    """One request; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def listen(serve: Serve, host: str = "127.0.0.1") -> tuple[asyncio.Server, str]:
    """Serve connections on any free port of ``host``; return the server and its address."""
    server = await asyncio.start_server(serve, host, 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


async def read_request(reader: asyncio.StreamReader) -> PlainRequest | None:
    """Return the next request, None when the connection ended between requests."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    pairs = (line.partition(": ") for line in lines[1:] if line)
    headers = {name.lower(): value for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return PlainRequest(method, target, headers, body)


def answer_head(status: int, headers: list[tuple[str, str]]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def complete_response(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Return an answer with its length."""
    return answer_head(status, [*headers, ("Content-Length", str(len(body)))]) + body


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body in chunks; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
