"""A TCP relay with a bandwidth limit on its responses, which also counts their bytes."""

import asyncio
import contextlib

CHUNK_BYTES = 4_096
"""Maximum size of one read; small, like the window of a real link."""

BURST_S = 0.2
"""Bytes for this time may be sent without a pause.

A real link sends its queue without gaps, also while this process waits for a processor.
"""


class RateLimitedRelay:
    """Listens on ``address``; all connections share ``bytes_per_s`` towards the router."""

    def __init__(self, target, bytes_per_s):
        self.address = ""
        self.relayed_bytes = 0
        self._target = target
        self._bytes_per_s = bytes_per_s
        self._idle_from_s = 0.0

    async def start(self):
        """Listen on a free port of the loopback interface."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, client_reader, client_writer):
        with contextlib.suppress(asyncio.CancelledError):
            await self._relay(client_reader, client_writer)

    async def _relay(self, client_reader, client_writer):
        host, _, port = self._target.rpartition(":")
        upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        upload = asyncio.create_task(self._copy(client_reader, upstream_writer))
        download = asyncio.create_task(
            self._copy(upstream_reader, client_writer, is_throttled=True)
        )
        await asyncio.wait((upload, download), return_when=asyncio.FIRST_COMPLETED)
        for task in (upload, download):
            task.cancel()
        client_writer.transport.abort()
        upstream_writer.transport.abort()

    async def _copy(self, reader, writer, is_throttled=False):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if is_throttled:
                    await self._throttle(len(data))
                writer.write(data)
                await writer.drain()

    async def _throttle(self, size):
        """Wait until the link has transmitted all earlier bytes and these."""
        now_s = asyncio.get_running_loop().time()
        self._idle_from_s = max(self._idle_from_s, now_s - BURST_S) + size / self._bytes_per_s
        self.relayed_bytes += size
        await asyncio.sleep(self._idle_from_s - now_s)
