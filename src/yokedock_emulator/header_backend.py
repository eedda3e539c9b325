"""A backend that speaks the router's dialect of headers: a plain service or one model engine.

It answers at once and keeps no state but a count, so that what is measured through it is the
router. Names of headers are those of the dialect that it is given.
"""

from __future__ import annotations

import asyncio

import msgspec

from yokedock.connection.header_dialect import HeaderNames
from yokedock.request.engine_placement import DECODE_ROLE, PREFILL_ROLE
from yokedock_emulator.plain_http import (
    PlainRequest,
    answer_head,
    chunk,
    complete_response,
    listen,
    read_request,
)

EVENTS = 4
"""Events of each stream."""


class HeaderBackend:
    """One listening backend; ``role`` is empty for a plain service."""

    def __init__(self, instance: str, names: HeaderNames, role: str = "") -> None:
        """Prepare; ``start`` listens."""
        self.instance = instance
        self.role = role
        self.address = ""
        self.arrivals = 0
        self._names = names
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on any free port of the loopback."""
        self._server, self.address = await listen(self._serve)

    def stop(self) -> None:
        """Accept no more connections and close those that are open."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                self.arrivals += 1
                self._answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def _answer(self, request: PlainRequest, writer: asyncio.StreamWriter) -> None:
        names = self._names
        expected = request.headers.get(names.instance.lower(), self.instance)
        head = [(names.request_id, request.headers.get(names.request_id.lower(), ""))]
        if expected != self.instance:
            writer.write(complete_response(421, head, b""))
            return
        head.append((names.signature, self.instance))
        if request.method in ("GET", "DELETE"):
            writer.write(complete_response(200, head, b"{}"))
        elif self.role == PREFILL_ROLE:
            result = {names.handle_field: f"h{self.arrivals}", names.tokens_field: 1}
            writer.write(complete_response(200, head, msgspec.json.encode(result)))
        elif self.role == DECODE_ROLE:
            self._stream(head, writer)
        else:
            writer.write(complete_response(200, head, request.body))

    def _stream(self, head: list[tuple[str, str]], writer: asyncio.StreamWriter) -> None:
        writer.write(answer_head(200, [*head, ("Transfer-Encoding", "chunked")]))
        for number in range(1, EVENTS + 1):
            writer.write(chunk(f"id: {number}\ndata: token\n\n".encode()))
        writer.write(chunk(b""))
