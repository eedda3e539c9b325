"""Gossip between routers: small datagrams, sent on every change and at a regular interval.

Each datagram holds the whole state of one router, so lost datagrams need no retransmission. They
also spread the addresses of routers: a router that knows one other soon knows all.

The age of a state is counted from the earliest time at which its datagram may have arrived
(``DatagramInbox``). After a stall, a router drops the others whose state may be too old by that
measure, and requests their current state.
"""

from __future__ import annotations

import asyncio
import ipaddress
import math
from collections.abc import Callable
from typing import cast

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.decoding import DECODING_ERRORS
from yokedock.base.link_meter import LinkMeter, Traffic
from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.connection.datagram_inbox import DatagramInbox
from yokedock.connection.router_state import CrashReport, RouterState

_log = logger("gossip")

INTERVAL_S = 0.3
"""Maximum interval between datagrams of a router. It is counted from the last datagram, so that one
sent because of a change replaces a heartbeat."""
LARGE_FLEET = 24
"""Number of other live routers from which the interval is ``LARGE_FLEET_INTERVAL_S``."""
LARGE_FLEET_INTERVAL_S = 0.4
"""The number of datagrams grows with the square of the fleet; the longer interval saves a quarter
of the heartbeats. One may be lost before a vote expires (1.0 s), two before a router counts as
silent (1.5 s)."""
MIN_SEND_INTERVAL_S = 0.01
"""Minimum interval between datagrams; changes within it are sent together."""
CHANGES_LINK_SHARE = 0.15
"""Fraction of the link's rate that datagrams because of changes use at most: requests need the
rest. Heartbeats are sent in any case."""
SILENT_S = 1.5
"""A router that has not been heard for this long counts as down."""
ROUTER_EXPIRY_S = 60.0
"""A router that has not been heard for this long gets no more datagrams, unless it is a seed."""
STARTUP_PERIOD_S = 2.0
STARTUP_INTERVAL_S = 0.1
"""During its startup period a router sends more often, as others may be starting too."""
STARTUP_INTERVAL_MAX_ROUTERS = 8
"""The startup interval applies only below this number of other live routers: so many name the rest
of the fleet, and a large fleet that starts together needs its CPU time to become ready."""
SILENT_RETRY_INTERVAL_S = 0.9
"""Interval between datagrams to a silent router."""
NEWCOMER_RESPONDERS = 8
"""Average number of routers that send their suspects to a newly started router, which cannot have
received them earlier. One is enough; the probability that none does is 1 in 3,000."""
MAX_ADDRESSES_PER_DATAGRAM = 12
"""Maximum number of router addresses in one datagram; the next one continues after them."""
RESYNC_MIN_INTERVAL_S = 2.0
"""Minimum interval between requests for the others' states. Each request causes a datagram from
every other router, which a fleet short of CPU time cannot afford more often."""
ADDRESS_INTERVAL_S = 1.0
"""Addresses take up half of a datagram and rarely change, so they are sent only at this interval,
during startup, and when another router becomes live."""


STREAM_ORIGINS_MARK = b"\xc1"
"""First byte of a datagram with records of streams; MessagePack never uses it."""


class OtherRouter(msgspec.Struct):
    """Known state of another router, identified by its address."""

    address: str
    heard_s: float = 0.0
    """Boot time at which ``state`` arrived, or the earliest time at which it may have."""
    last_sent_s: float = 0.0
    known_s: float = 0.0
    """Boot time at which the address became known."""
    state: RouterState | None = None
    names_this_router: bool = False
    """Whether it has sent this router's address since it started, so it has heard this router."""


class RouterGossip(asyncio.DatagramProtocol):
    """Sends this router's state to all others and receives theirs."""

    def __init__(
        self,
        own_address: str,
        port: int,
        seeds: tuple[str, ...],
        make_state: Callable[[int, tuple[str, ...]], RouterState],
        on_state: Callable[[OtherRouter], None],
        on_silent: Callable[[OtherRouter], None],
        link: LinkMeter | None = None,
    ) -> None:
        """``make_state`` gets a sequence number and the router addresses to include.

        ``link`` counts the bytes of all datagrams.
        """
        self._link = link or LinkMeter()
        self._own_address = own_address
        self._port = port
        self._make_state = make_state
        self._on_state = on_state
        self._on_silent = on_silent
        self._others: dict[str, OtherRouter] = {}
        self.newcomer_report: Callable[[], CrashReport] = CrashReport
        """Returns what a router that has just started should know about crashes."""
        self.on_started: Callable[[OtherRouter], None] = lambda other: None
        """Called when another router has started or was silent before."""
        self.on_stream_origins: Callable[[bytes, str], None] = lambda data, address: None
        """Called with the records of streams, and their sender's address."""
        self._random = new_random()
        self._seeds = seeds
        self._sequence = 0
        self._sent_s = 0.0
        self._round_bytes = 0
        """Bytes on the link of the last datagram to all others."""
        self._addresses_sent_s = 0.0
        self._next_address_index = 0
        self._is_send_scheduled = False
        self._is_resync_pending = False
        """Whether the next datagram requests the others' states."""
        self._resync_requested_s = -math.inf
        self._started_s = boot_time_s()
        self._transport: asyncio.DatagramTransport | None = None
        self._inbox = DatagramInbox(self._apply_state, self._recover_from_stall)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(RouterState)

    async def start(self) -> None:
        """Bind the port and add the seeds."""
        loop = asyncio.get_running_loop()
        sock = self._inbox.bind(self._own_address, self._port)
        await loop.create_datagram_endpoint(lambda: self, sock=sock)
        for seed in self._seeds:
            self._add_router(seed)

    async def run(self) -> None:
        """Send at intervals, and detect routers that have become silent."""
        while True:
            self._inbox.read_pending()
            self._detect_silent_routers()
            remaining_s = self._sent_s + self._interval_s() - boot_time_s()
            if remaining_s <= 0.0:
                self._speak()
                remaining_s = self._interval_s()
            await asyncio.sleep(min(remaining_s, INTERVAL_S))

    def _interval_s(self) -> float:
        """Return the current maximum interval between datagrams."""
        heard = len(self.alive())
        is_starting = boot_time_s() - self._started_s < STARTUP_PERIOD_S
        if is_starting and heard < STARTUP_INTERVAL_MAX_ROUTERS:
            return STARTUP_INTERVAL_S
        return LARGE_FLEET_INTERVAL_S if heard >= LARGE_FLEET else INTERVAL_S

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other seeds from now on, and contact the new ones immediately.

        Previous seeds expire like any other router once they are not heard.
        """
        added = [seed for seed in seeds if seed not in self._seeds]
        self._seeds = seeds
        if self._transport is None or not added:
            return
        for seed in added:
            self._add_router(seed)
        self._addresses_sent_s = 0.0
        self.change()

    def fleet_size(self) -> int:
        """Return the number of live routers, including this one."""
        return 1 + len(self.alive())

    def known(self) -> int:
        """Return the number of known routers, including this one and silent ones."""
        return 1 + len(self._others)

    def alive(self) -> list[OtherRouter]:
        """Return the other routers that were heard within ``SILENT_S``."""
        oldest_s = boot_time_s() - SILENT_S
        return [other for other in self._others.values() if other.heard_s >= oldest_s]

    def has_heard_all(self) -> bool:
        """Return whether all known routers are live and have heard this one.

        A router names all live ones, in a small fleet, to one that it hears for the first time.
        """
        alive = self.alive()
        is_heard_by_all = all(other.names_this_router for other in alive)
        return bool(alive) and len(alive) == len(self._others) and is_heard_by_all

    def change(self) -> None:
        """Schedule a datagram because the state has changed."""
        if self._is_send_scheduled or self._transport is None:
            return
        self._is_send_scheduled = True
        gap_s = max(0.0, self._sent_s + self._change_interval_s() - boot_time_s())
        asyncio.get_running_loop().call_later(gap_s, self._speak)

    def _change_interval_s(self) -> float:
        """Return the minimum interval between datagrams because of changes."""
        link_s = self._round_bytes / (CHANGES_LINK_SHARE * self._link.bytes_per_s)
        return min(max(MIN_SEND_INTERVAL_S, link_s), self._interval_s())

    def change_known_to_many(self) -> None:
        """Schedule a datagram in a few routers, because many of them know of the same change.

        The others send it with their next one.
        """
        if self._random.random() * len(self.alive()) <= NEWCOMER_RESPONDERS:
            self.change()

    def send_final_state(self) -> None:
        """Send the final state immediately: this router no longer holds any work."""
        self._speak()

    def send_stream_origins(self, address: str, data: bytes) -> None:
        """Send records of streams to one router."""
        if self._transport is not None:
            self._send_datagram(STREAM_ORIGINS_MARK + data, address)

    # --- asyncio.DatagramProtocol ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram, and all that are queued behind it."""
        self._inbox.take(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Ignore send errors: routers that are down are tried again later."""
        _log.debug("datagram could not be sent", reason=repr(exc))

    # --- Receiving ---

    def _recover_from_stall(self) -> None:
        """Drop routers that may be silent by now, and request the states of the others."""
        now_s = boot_time_s()
        self._detect_silent_routers()
        if now_s - self._resync_requested_s >= RESYNC_MIN_INTERVAL_S:
            self._resync_requested_s = now_s
            self._is_resync_pending = True
        self._speak()

    def _apply_state(self, data: bytes, address: str, told_s: float) -> None:
        """Apply a router's state as of ``told_s``; data that cannot be decoded is dropped."""
        self._link.record_received(Traffic.ROUTERS, len(data))
        if data.startswith(STREAM_ORIGINS_MARK):
            self.on_stream_origins(data[len(STREAM_ORIGINS_MARK) :], address)
            return
        try:
            state = self._decoder.decode(data)
        except DECODING_ERRORS:
            _log.warning("not understood", address=address)
            return
        other = self._add_router(address)
        if other is None:
            return
        is_new = other.heard_s < told_s - SILENT_S
        if not is_new and other.state is not None and _order(state) <= _order(other.state):
            return
        has_started = other.state is None or state.incarnation != other.state.incarnation
        other.heard_s = told_s
        other.state = state
        if has_started:
            other.names_this_router = False
            self._report_crashes(other)
            self.on_started(other)
        if has_started and not is_new:
            self._send_addresses(other)
        if self._own_address in state.routers:
            other.names_this_router = True
        if state.is_asking:
            self._send_to(other)
        for named in state.routers:
            if named in self._others or _is_ip_address(named):
                self._add_router(named)
        if is_new:
            _log.info("router heard", address=other.address, name=state.name)
            self._addresses_sent_s = 0.0
            self.change()
        self._on_state(other)

    # --- Sending ---

    def _add_router(self, address: str) -> OtherRouter | None:
        if address == self._own_address:
            return None
        other = self._others.get(address)
        if other is None:
            other = OtherRouter(address, known_s=boot_time_s())
            self._others[address] = other
        return other

    def _speak(self) -> None:
        self._is_send_scheduled = False
        if self._transport is None:
            return
        now_s = boot_time_s()
        self._sent_s = now_s
        self._sequence += 1
        state = self._make_state(self._sequence, self._addresses_to_send(now_s))
        state.is_asking, self._is_resync_pending = self._is_resync_pending, False
        data = self._encode(state)
        sent_before = self._link.sent_bytes[Traffic.ROUTERS]
        for other in self._others.values():
            is_silent = other.heard_s < now_s - SILENT_S
            is_starting = now_s - self._started_s < STARTUP_PERIOD_S
            if (
                is_silent
                and not is_starting
                and now_s - other.last_sent_s < SILENT_RETRY_INTERVAL_S
            ):
                continue
            other.last_sent_s = now_s
            self._send_datagram(data, other.address)
        self._round_bytes = self._link.sent_bytes[Traffic.ROUTERS] - sent_before

    def _report_crashes(self, newcomer: OtherRouter) -> None:
        """Report crashes to a router that has just started, as others were told earlier."""
        report = self.newcomer_report()
        is_empty = not (report.requests or report.parts)
        if is_empty or self._random.random() * len(self.alive()) > NEWCOMER_RESPONDERS:
            return
        self._send_to(newcomer, report)

    def _send_addresses(self, newcomer: OtherRouter) -> None:
        """Send the live routers to one that has restarted before it counted as silent.

        The others are not told: they know it, and it has the same address.
        """
        alive = tuple(other.address for other in self.alive())
        self._send_to(newcomer, addresses=alive[:MAX_ADDRESSES_PER_DATAGRAM])

    def _send_to(
        self,
        other: OtherRouter,
        report: CrashReport | None = None,
        addresses: tuple[str, ...] = (),
    ) -> None:
        """Send this router's state to one router; ``report`` replaces its most recent crashes."""
        if self._transport is None:
            return
        self._sequence += 1
        state = self._make_state(self._sequence, addresses)
        if report is not None:
            state.suspects = report.requests or state.suspects
            state.suspect_parts = report.parts or state.suspect_parts
        self._send_datagram(self._encode(state), other.address)

    def _encode(self, state: RouterState) -> bytes:
        """Return the datagram of a state; without the news if these cannot be encoded.

        Sources check what they report, so that is a defect. The others then fetch the state.
        """
        try:
            return self._encoder.encode(state)
        except Exception:
            _log.exception("news cannot be encoded", news=len(state.news))
            return self._encoder.encode(msgspec.structs.replace(state, news=()))

    def _send_datagram(self, data: bytes, address: str) -> None:
        assert self._transport is not None
        self._link.record_sent(Traffic.ROUTERS, len(data))
        self._transport.sendto(data, (address, self._port))

    def _addresses_to_send(self, now_s: float) -> tuple[str, ...]:
        """Return the addresses for the next datagram: some of the live routers, or none."""
        is_starting = now_s - self._started_s < STARTUP_PERIOD_S
        if not is_starting and now_s - self._addresses_sent_s < ADDRESS_INTERVAL_S:
            return ()
        self._addresses_sent_s = now_s
        alive = self.alive()
        first = self._next_address_index % len(alive) if alive else 0
        self._next_address_index = first + MAX_ADDRESSES_PER_DATAGRAM
        return tuple(
            other.address for other in (alive[first:] + alive[:first])[:MAX_ADDRESSES_PER_DATAGRAM]
        )

    def _detect_silent_routers(self) -> None:
        now_s = boot_time_s()
        for other in list(self._others.values()):
            last_s = max(other.heard_s, other.known_s)
            if other.state is not None and other.heard_s < now_s - SILENT_S:
                _log.info("router silent", address=other.address, name=other.state.name)
                self._on_silent(other)
                other.state = None
            if last_s < now_s - ROUTER_EXPIRY_S and other.address not in self._seeds:
                del self._others[other.address]


def _is_ip_address(text: str) -> bool:
    """Return whether a datagram can be sent to ``text`` without a look-up of a name."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _order(state: RouterState) -> tuple[int, int]:
    return (state.incarnation, state.sequence)
