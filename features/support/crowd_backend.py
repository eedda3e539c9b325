"""A backend for crowds: answers with large bodies or long streams, and can be held."""

import asyncio

from yokedock_emulator.plain_http import answer_head, chunk, listen, read_request

PART = b"x" * 65_536
EVENT_PADDING = "x" * 8192


class CrowdBackend:
    """One listening backend; its attributes may change at any time."""

    def __init__(self, name, role=""):
        self.name = name
        self.role = role
        self.answer_bytes = 10
        self.events = 4
        self.gate = asyncio.Event()
        """While it is clear, requests get no answer."""
        self.gate.set()
        self.request_ids = []
        """Of the requests that have arrived whole, in order."""
        self.body_bytes = []
        """Sizes of their bodies."""

    async def start(self):
        """Listen on any free port."""
        self._server, self.address = await listen(self._serve)

    async def stop(self):
        """Accept no more connections."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _answer(self, request, writer):
        request_id = request.headers.get("x-request-id", "")
        head = [("X-Request-Id", request_id), ("X-Signature", self.name)]
        if request.headers.get("x-stage") == "prefill":
            body = b'{"handle": "h1", "tokens": 5}'
            writer.write(answer_head(200, [*head, ("Content-Length", str(len(body)))]) + body)
            return
        self.request_ids.append(request_id)
        self.body_bytes.append(len(request.body))
        await self.gate.wait()
        if self.role:
            await self._stream(head, writer)
            return
        writer.write(answer_head(200, [*head, ("Content-Length", str(self.answer_bytes))]))
        left = self.answer_bytes
        while left > 0:
            writer.write(PART[:left])
            left -= min(left, len(PART))
            await writer.drain()

    async def _stream(self, head, writer):
        writer.write(answer_head(200, [*head, ("Transfer-Encoding", "chunked")]))
        for number in range(1, self.events + 1):
            writer.write(chunk(f"id: {number}\ndata: {EVENT_PADDING}\n\n".encode()))
            await writer.drain()
        writer.write(chunk(b""))
        await writer.drain()
