"""Fake routers that announce a newer state than the router under test has.

One sends its state a byte at a time; the other returns less state than announced.
"""

import asyncio
import contextlib

import msgspec

from yokedock.connection.router_state import RouterState
from yokedock.process.state_exchange import PackedState

GOSSIP_INTERVAL_S = 0.2
BYTE_INTERVAL_S = 0.5
ANNOUNCED_BYTES = 70_000


def peer_state(version, position, sequence):
    """Return the gossip state of a router without requests at any engine."""
    return RouterState("peer", 1, sequence, version, position, False, 0, {}, "", 0, (), ())


class SlowPeer(asyncio.DatagramProtocol):
    """Sends gossip from ``address`` to one router; ``asked`` counts that router's requests."""

    def __init__(self, address, receiver):
        self.asked = 0
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._receiver_host = receiver.rpartition(":")[0]
        self._gossip_task = None

    async def start(self):
        """Listen for requests and start sending gossip."""
        loop = asyncio.get_running_loop()
        local_address = (self._host, self._port)
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=local_address)
        await asyncio.start_server(self._serve, *local_address)
        self._gossip_task = asyncio.create_task(self._send_gossip(transport))

    async def _send_gossip(self, transport):
        sequence = 0
        while True:
            sequence += 1
            state = peer_state(6, 1_000_000, sequence)
            transport.sendto(msgspec.msgpack.encode(state), (self._receiver_host, self._port))
            await asyncio.sleep(GOSSIP_INTERVAL_S)

    async def _serve(self, reader, writer):
        """Answer one request with one byte per ``BYTE_INTERVAL_S``."""
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            self.asked += 1
            writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {ANNOUNCED_BYTES}\r\n\r\n".encode())
            while not writer.is_closing():
                writer.write(b"\0")
                await asyncio.sleep(BYTE_INTERVAL_S)


class EmptyPeer(SlowPeer):
    """Returns an empty state, like a restarted router whose earlier gossip is still in use."""

    async def _serve(self, reader, writer):
        body = msgspec.msgpack.encode(PackedState(0, {}))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.asked += 1
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
