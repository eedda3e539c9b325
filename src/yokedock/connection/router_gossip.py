"""What routers tell each other: small datagrams, sent on every change and at least now and then.

A datagram holds one router's whole state, so a lost one needs no repair. Addresses of routers
spread with them: a router that knows one other soon knows all.

What a datagram tells counts from when it may have come (``DatagramInbox``). A router that stood
still drops who may be silent by that, and asks the others to tell it anew.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import cast

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.connection.datagram_inbox import DatagramInbox
from yokedock.connection.router_state import RouterState, SuspectRequest

_log = logger("gossip")

INTERVAL_S = 0.3
"""A router speaks at least this often; it counts from its last word, so that changes it told of in
the meantime take the place of a heartbeat."""
LARGE_FLEET = 24
"""Routers heard from which on heartbeats come at ``LARGE_FLEET_INTERVAL_S``."""
LARGE_FLEET_INTERVAL_S = 0.4
"""Datagrams grow with the square of the fleet: this saves a quarter of the heartbeats. One may be
lost before a vote lapses (1.0 s), two before a router counts as silent (1.5 s)."""
LEAST_GAP_S = 0.01
"""Changes within this time go out in one datagram."""
SILENT_S = 1.5
"""A router that was silent for this long counts as gone."""
FORGOTTEN_S = 60.0
"""A router that was silent for this long is no longer called."""
FIRST_CALLS_S = 2.0
FIRST_INTERVAL_S = 0.1
"""A router that starts speaks more often at first: others may be starting with it."""
ENOUGH_HEARD = 8
"""Not when it hears so many: these name the rest, and a large fleet that starts together needs its
processors to become ready."""
CALL_SILENT_S = 0.9
"""Silent routers are called this often."""
WELCOMES = 8
"""So many routers, on average, tell a newcomer what it cannot have heard: one is enough, and the
chance that none does is one in 3,000."""
MOST_NAMED = 12
"""Addresses of other routers in one datagram; the next one names those behind them."""
ASK_GAP_S = 2.0
"""Least time between two askings: each brings a datagram from every other router, and a fleet that
has no processor must not spend it on those."""
NAMED_INTERVAL_S = 1.0
"""Addresses are half of a datagram and seldom new: they are sent this often, and at once to whoever
is new or while this router is."""


class OtherRouter(msgspec.Struct):
    """What is known of another router, by its address."""

    address: str
    heard_s: float = 0.0
    """When it told ``state``, or the earliest time at which it may have (boot time)."""
    called_s: float = 0.0
    known_s: float = 0.0
    state: RouterState | None = None


class RouterGossip(asyncio.DatagramProtocol):
    """Sends this router's state to all others and takes in theirs."""

    def __init__(
        self,
        own_address: str,
        port: int,
        seeds: tuple[str, ...],
        make_state: Callable[[int, tuple[str, ...]], RouterState],
        on_state: Callable[[OtherRouter], None],
        on_silent: Callable[[OtherRouter], None],
    ) -> None:
        """``make_state`` gets a sequence number and the addresses to name."""
        self._own_address = own_address
        self._port = port
        self._make_state = make_state
        self._on_state = on_state
        self._on_silent = on_silent
        self._others: dict[str, OtherRouter] = {}
        self.for_newcomers: Callable[[], tuple[SuspectRequest, ...]] = tuple
        """Returns what a router that has just started is told besides."""
        self._random = new_random()
        self._seeds = seeds
        self._sequence = 0
        self._sent_s = 0.0
        self._named_s = 0.0
        self._first_named = 0
        self._is_sending = False
        self._is_asking = False
        """Whether the others are to answer the next word at once."""
        self._asked_s = -math.inf
        self._started_s = boot_time_s()
        self._transport: asyncio.DatagramTransport | None = None
        self._inbox = DatagramInbox(self._take_in, self._stood_still)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(RouterState)

    async def start(self) -> None:
        """Bind the port and begin to speak."""
        loop = asyncio.get_running_loop()
        own_socket = self._inbox.bind(self._own_address, self._port)
        await loop.create_datagram_endpoint(lambda: self, sock=own_socket)
        for seed in self._seeds:
            self._know(seed)

    async def run(self) -> None:
        """Speak at intervals, and notice who fell silent."""
        while True:
            self._inbox.read_waiting()
            self._notice_silence()
            remaining_s = self._sent_s + self._interval_s() - boot_time_s()
            if remaining_s <= 0.0:
                self._speak()
                remaining_s = self._interval_s()
            await asyncio.sleep(min(remaining_s, INTERVAL_S))

    def _interval_s(self) -> float:
        """Return how long this router may say nothing."""
        heard = len(self.alive())
        is_young = boot_time_s() - self._started_s < FIRST_CALLS_S
        if is_young and heard < ENOUGH_HEARD:
            return FIRST_INTERVAL_S
        return LARGE_FLEET_INTERVAL_S if heard >= LARGE_FLEET else INTERVAL_S

    def fleet_size(self) -> int:
        """Return how many routers are alive, this one included."""
        return 1 + len(self.alive())

    def known(self) -> int:
        """Return how many routers are known, this one and those that were silent for long too."""
        return 1 + len(self._others)

    def alive(self) -> list[OtherRouter]:
        """Return the routers heard a moment ago."""
        oldest_s = boot_time_s() - SILENT_S
        return [other for other in self._others.values() if other.heard_s >= oldest_s]

    def change(self) -> None:
        """Tell the others soon that something has changed."""
        if self._is_sending or self._transport is None:
            return
        self._is_sending = True
        gap_s = max(0.0, self._sent_s + LEAST_GAP_S - boot_time_s())
        asyncio.get_running_loop().call_later(gap_s, self._speak)

    def tell_last(self) -> None:
        """Tell the others a last time, at once: this router holds nothing any more."""
        self._speak()

    # --- asyncio.DatagramProtocol ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in another router's state, and all that waits behind it."""
        self._inbox.take(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Go on: a router that is down is called again later."""
        _log.debug("datagram refused", reason=repr(exc))

    # --- Hearing ---

    def _stood_still(self) -> None:
        """Drop who may be silent by now, and have the others tell their states anew."""
        now_s = boot_time_s()
        self._notice_silence()
        if now_s - self._asked_s >= ASK_GAP_S:
            self._asked_s = now_s
            self._is_asking = True
        self._speak()

    def _take_in(self, data: bytes, address: str, told_s: float) -> None:
        """Take in a router's state, told at ``told_s``; what is not understood is dropped."""
        try:
            state = self._decoder.decode(data)
        except msgspec.MsgspecError:
            _log.warning("not understood", address=address)
            return
        other = self._know(address)
        if other is None:
            return
        is_new = other.heard_s < told_s - SILENT_S
        if not is_new and other.state is not None and _order(state) <= _order(other.state):
            return
        has_started = other.state is None or state.incarnation != other.state.incarnation
        other.heard_s = told_s
        other.state = state
        if has_started:
            self._welcome(other)
        if state.is_asking:
            self._tell_alone(other)
        for named in state.routers:
            self._know(named)
        if is_new:
            _log.info("router heard", address=other.address, name=state.name)
            self._named_s = 0.0
            self.change()
        self._on_state(other)

    # --- Speaking ---

    def _know(self, address: str) -> OtherRouter | None:
        if address == self._own_address:
            return None
        other = self._others.get(address)
        if other is None:
            other = OtherRouter(address, known_s=boot_time_s())
            self._others[address] = other
        return other

    def _speak(self) -> None:
        self._is_sending = False
        if self._transport is None:
            return
        now_s = boot_time_s()
        self._sent_s = now_s
        self._sequence += 1
        state = self._make_state(self._sequence, self._named(now_s))
        state.is_asking, self._is_asking = self._is_asking, False
        data = self._encoder.encode(state)
        for other in self._others.values():
            is_silent = other.heard_s < now_s - SILENT_S
            is_young = now_s - self._started_s < FIRST_CALLS_S
            if is_silent and not is_young and now_s - other.called_s < CALL_SILENT_S:
                continue
            other.called_s = now_s
            self._transport.sendto(data, (other.address, self._port))

    def _welcome(self, newcomer: OtherRouter) -> None:
        """Tell a router that has just started what was told to the others before."""
        suspects = self.for_newcomers()
        if not suspects or self._random.random() * len(self.alive()) > WELCOMES:
            return
        self._tell_alone(newcomer, suspects)

    def _tell_alone(self, other: OtherRouter, suspects: tuple[SuspectRequest, ...] = ()) -> None:
        """Tell one router this one's state at once, and ``suspects`` in place of the newest."""
        if self._transport is None:
            return
        self._sequence += 1
        state = self._make_state(self._sequence, ())
        state.suspects = suspects or state.suspects
        self._transport.sendto(self._encoder.encode(state), (other.address, self._port))

    def _named(self, now_s: float) -> tuple[str, ...]:
        """Return the addresses to name now: some of the routers that are heard, or none."""
        is_young = now_s - self._started_s < FIRST_CALLS_S
        if not is_young and now_s - self._named_s < NAMED_INTERVAL_S:
            return ()
        self._named_s = now_s
        alive = self.alive()
        first = self._first_named % len(alive) if alive else 0
        self._first_named = first + MOST_NAMED
        return tuple(other.address for other in (alive[first:] + alive[:first])[:MOST_NAMED])

    def _notice_silence(self) -> None:
        now_s = boot_time_s()
        for other in list(self._others.values()):
            last_s = max(other.heard_s, other.known_s)
            if other.state is not None and other.heard_s < now_s - SILENT_S:
                _log.info("router silent", address=other.address, name=other.state.name)
                self._on_silent(other)
                other.state = None
            if last_s < now_s - FORGOTTEN_S and other.address not in self._seeds:
                del self._others[other.address]


def _order(state: RouterState) -> tuple[int, int]:
    return (state.incarnation, state.sequence)
