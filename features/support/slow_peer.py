"""Stand-ins of another router that says it is ahead.

One gives its state a byte at a time, the other has less to give than it says.
"""

import asyncio
import contextlib

import msgspec

from yokedock.connection.router_state import RouterState
from yokedock.process.state_exchange import PackedState

SPEAKS_EVERY_S = 0.2
BYTE_EVERY_S = 0.5
ANNOUNCED_BYTES = 70_000


def peer_state(version, position, sequence):
    """Return what a router with nothing at any engine tells."""
    return RouterState("peer", 1, sequence, version, position, False, 0, {}, "", 0, (), ())


class SlowPeer(asyncio.DatagramProtocol):
    """Speaks to one router from ``address``; ``asked`` counts its requests."""

    def __init__(self, address, told):
        self.asked = 0
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._told = told.rpartition(":")[0]
        self._speaking = None

    async def start(self):
        """Listen and begin to speak."""
        loop = asyncio.get_running_loop()
        place = (self._host, self._port)
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=place)
        await asyncio.start_server(self._serve, *place)
        self._speaking = asyncio.create_task(self._speak(transport))

    async def _speak(self, transport):
        sequence = 0
        while True:
            sequence += 1
            state = peer_state(6, 1_000_000, sequence)
            transport.sendto(msgspec.msgpack.encode(state), (self._told, self._port))
            await asyncio.sleep(SPEAKS_EVERY_S)

    async def _serve(self, reader, writer):
        """Answer one request, a byte at a time."""
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            self.asked += 1
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {ANNOUNCED_BYTES}\r\n\r\n".encode())
            while not writer.is_closing():
                writer.write(b"\0")
                await asyncio.sleep(BYTE_EVERY_S)


class EmptyPeer(SlowPeer):
    """Knows nothing: as a router started anew whose last life is still believed."""

    async def _serve(self, reader, writer):
        body = msgspec.msgpack.encode(PackedState(0, {}))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.asked += 1
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
