"""A relay whose answers share a link of limited rate, with a count of their bytes."""

import asyncio
import contextlib

PIECE_BYTES = 4_096
"""What is passed on at a time: a small window, as on a real link."""

QUEUE_S = 0.2
"""What a link has queued goes out without a pause, also while this process has no processor."""


class NarrowLink:
    """Listens on ``address``; all connections share ``bytes_per_s`` towards the router."""

    def __init__(self, target, bytes_per_s):
        self.address = ""
        self.passed_bytes = 0
        self._target = target
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0

    async def start(self):
        """Listen on any free port of the loopback."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, near_reader, near_writer):
        with contextlib.suppress(asyncio.CancelledError):
            await self._relay(near_reader, near_writer)

    async def _relay(self, near_reader, near_writer):
        host, _, port = self._target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        forth = asyncio.create_task(self._pass(near_reader, far_writer))
        back = asyncio.create_task(self._pass(far_reader, near_writer, is_narrow=True))
        await asyncio.wait((forth, back), return_when=asyncio.FIRST_COMPLETED)
        for task in (forth, back):
            task.cancel()
        near_writer.transport.abort()
        far_writer.transport.abort()

    async def _pass(self, reader, writer, is_narrow=False):
        with contextlib.suppress(OSError):
            while data := await reader.read(PIECE_BYTES):
                if is_narrow:
                    await self._take_permit(len(data))
                writer.write(data)
                await writer.drain()

    async def _take_permit(self, size):
        """Wait until the link has carried everything before and these bytes."""
        now_s = asyncio.get_running_loop().time()
        self._free_s = max(self._free_s, now_s - QUEUE_S) + size / self._bytes_per_s
        self.passed_bytes += size
        await asyncio.sleep(self._free_s - now_s)
