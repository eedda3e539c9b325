"""Sends the records of streams to origin stores, and asks several stores at once."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Collection
from typing import cast

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.decoding import DECODING_ERRORS
from yokedock.base.link_meter import LinkMeter, Traffic
from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.base.sockets import new_datagram_socket, next_datagram
from yokedock.process.origin_store_messages import OriginFinding, OriginLookup, OriginRecord
from yokedock.request.origin_store_placement import OriginStorePlacement
from yokedock.request.stream_origins import StreamOrigin

_log = logger("versions")

LOOKUP_ATTEMPTS = 2
"""A datagram may be lost once."""
ATTEMPT_S = 0.06
"""Time for the responses to one attempt: ten round trips between zones."""
RECORDS_PER_STEP = 20
"""Records that are moved before other work gets its turn."""
LOOKUP_NUMBER_BITS = 62
"""Bits of the random first number: a response to an earlier process at this port matches none."""
MAX_READ_S = 0.02
"""Maximum time to read queued responses before other work gets its turn."""


class _Lookup:
    """A lookup in progress."""

    def __init__(self, hosts: Collection[str]) -> None:
        """Await a response from each of ``hosts``."""
        self._asked = frozenset(hosts)
        self.unanswered = set(hosts)
        self.versions: set[int] = set()
        self.is_answered = asyncio.Event()

    def add(self, host: str, version: int | None) -> None:
        """Add the response of one store; that of a host that was not asked is dropped."""
        if host not in self._asked:
            return
        self.unanswered.discard(host)
        if version is not None:
            self.versions.add(version)
        if not self.unanswered:
            self.is_answered.set()


class OriginStoreClient(asyncio.DatagramProtocol):
    """One router's access to all origin stores."""

    def __init__(self, own_host: str, port: int, link: LinkMeter | None = None) -> None:
        """All stores listen on ``port``. ``link`` counts the bytes of all datagrams."""
        self._own_host = own_host
        self._port = port
        self._link = link or LinkMeter()
        self._lookups: dict[int, _Lookup] = {}
        self._numbers = itertools.count(new_random().getrandbits(LOOKUP_NUMBER_BITS))
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(OriginFinding)
        self._transport: asyncio.DatagramTransport | None = None
        self._socket: socket.socket | None = None

    async def start(self) -> None:
        """Open a socket on any free port."""
        loop = asyncio.get_running_loop()
        self._socket = new_datagram_socket(f"{self._own_host}:0")
        await loop.create_datagram_endpoint(lambda: self, sock=self._socket)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.abort()

    def record(self, origin: StreamOrigin, hosts: Collection[str]) -> None:
        """Send a record to the stores on ``hosts``."""
        data = self._encoder.encode(OriginRecord(origin))
        for host in hosts:
            self._send(data, host)

    async def find(self, stream: int, hosts: Collection[str]) -> set[int]:
        """Return the versions that the stores on ``hosts`` have recorded for a stream.

        Waits until all have responded, but at most ``LOOKUP_ATTEMPTS * ATTEMPT_S`` seconds.
        """
        if not hosts:
            return set()
        number = next(self._numbers)
        lookup = self._lookups[number] = _Lookup(hosts)
        data = self._encoder.encode(OriginLookup(number, stream))
        try:
            for _ in range(LOOKUP_ATTEMPTS):
                for host in sorted(lookup.unanswered):
                    self._send(data, host)
                await self._wait(lookup)
        finally:
            del self._lookups[number]
        if lookup.unanswered:
            _log.info("no response from origin stores", hosts=sorted(lookup.unanswered))
        return lookup.versions

    async def _wait(self, lookup: _Lookup) -> None:
        try:
            async with asyncio.timeout(ATTEMPT_S):
                await lookup.is_answered.wait()
        except TimeoutError:
            return

    def _send(self, data: bytes, host: str) -> None:
        if self._transport is None:
            return
        self._link.record_sent(Traffic.BACKENDS, len(data))
        self._transport.sendto(data, (host, self._port))

    # --- asyncio.DatagramProtocol ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a response, and all that are queued behind it.

        The loop would read only one in each turn: on a busy router, lookups would time out.
        """
        self._handle(data, addr[0])
        until_s = boot_time_s() + MAX_READ_S
        while self._socket is not None and boot_time_s() < until_s:
            if (queued := next_datagram(self._socket)) is None:
                return
            self._handle(*queued)

    def _handle(self, data: bytes, host: str) -> None:
        """Pass a response to its lookup; one that is late or not understood is dropped."""
        self._link.record_received(Traffic.BACKENDS, len(data))
        try:
            finding = self._decoder.decode(data)
        except DECODING_ERRORS as error:
            _log.warning("not understood", address=host, reason=str(error))
            return
        lookup = self._lookups.get(finding.lookup)
        if lookup is not None:
            lookup.add(host, finding.version)

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be sent: no store runs there at the moment."""
        _log.debug("datagram could not be sent", reason=repr(exc))


class OriginStores:
    """The origin stores beside the listed engines."""

    def __init__(self, client: OriginStoreClient) -> None:
        """Send datagrams with ``client``."""
        self.client = client
        self.placement = OriginStorePlacement()

    async def move_records(
        self, previous: OriginStorePlacement, origins: list[StreamOrigin]
    ) -> None:
        """Send records to the stores that keep them now and did not by ``previous``."""
        placement = self.placement
        changed = placement.changed_versions(previous)
        moved = [origin for origin in origins if origin.version in changed]
        for number, origin in enumerate(moved):
            before = previous.for_record(origin.stream, origin.version)
            hosts = placement.for_record(origin.stream, origin.version)
            self.client.record(origin, [host for host in hosts if host not in before])
            if number % RECORDS_PER_STEP == 0:
                await asyncio.sleep(0)

    def record(self, origin: StreamOrigin) -> int:
        """Send a record to its stores and return their number."""
        hosts = self.placement.for_record(origin.stream, origin.version)
        self.client.record(origin, hosts)
        return len(hosts)

    async def find(self, stream: int) -> set[int]:
        """Return the versions that the stores have recorded for a stream."""
        return await self.client.find(stream, self.placement.for_lookup(stream))
