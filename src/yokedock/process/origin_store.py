"""The origin store: keeps, beside an engine, which software version began which stream.

Routers keep these records too, but all routers may be lost at once. The records are in memory only,
for the short time in which callers may resume their streams.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import cast

import msgspec

from yokedock.base.clock import new_event_loop
from yokedock.base.decoding import DECODING_ERRORS
from yokedock.base.logs import logger, set_up_logs
from yokedock.base.sockets import new_datagram_socket
from yokedock.process.exit import exit_now
from yokedock.process.origin_store_messages import OriginFinding, OriginLookup, OriginRecord
from yokedock.process.origin_store_settings import OriginStoreSettings
from yokedock.request.stream_origins import StreamOrigins

_log = logger("versions")

MAINTENANCE_INTERVAL_S = 1.0


class OriginStore(asyncio.DatagramProtocol):
    """Answers the datagrams of routers."""

    def __init__(self) -> None:
        """Start without records."""
        self._origins = StreamOrigins()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(OriginRecord | OriginLookup)
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Bind ``address`` (IP:port); raises ``OSError`` if it is in use."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=new_datagram_socket(address))
        _log.info("started", listen=address)

    async def run(self) -> None:
        """Remove expired records periodically, until cancelled."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self._origins.drop_expired()

    def close(self) -> None:
        """Stop answering."""
        if self._transport is not None:
            self._transport.abort()

    def size(self) -> int:
        """Return the number of records."""
        return self._origins.size()

    # --- asyncio.DatagramProtocol ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Store a record, or answer a lookup; other data is dropped."""
        try:
            message = self._decoder.decode(data)
        except DECODING_ERRORS as error:
            _log.warning("not understood", address=addr[0], reason=str(error))
            return
        if isinstance(message, OriginRecord):
            self._origins.record(message.origin)
            return
        finding = OriginFinding(message.lookup, self._origins.version_of(message.stream))
        if self._transport is not None:
            self._transport.sendto(self._encoder.encode(finding), addr)

    def error_received(self, exc: Exception) -> None:
        """Log that a response could not be sent: its router has ended."""
        _log.debug("datagram could not be sent", reason=repr(exc))


def run_origin_store(settings: OriginStoreSettings) -> None:
    """Serve until SIGTERM or SIGINT. SIGHUP has no effect, as no option may change meanwhile."""
    set_up_logs(settings.log.level, sys.stdout, settings.log.lines_per_s)
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_run(settings))
        exit_now(0)


async def _run(settings: OriginStoreSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _log.info, "settings unchanged")
    store = OriginStore()
    await store.start(settings.store.listen)
    maintenance = asyncio.create_task(store.run())
    await stop.wait()
    maintenance.cancel()
    _log.info("stopped", records=store.size())
