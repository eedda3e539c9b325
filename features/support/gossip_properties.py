"""Tests of how often routers send gossip, with a transport that only records datagrams."""

import asyncio

import msgspec

from yokedock.connection.router_gossip import (
    LARGE_FLEET,
    LARGE_FLEET_INTERVAL_S,
    RouterGossip,
)
from yokedock.connection.router_state import RouterState, StateNews
from yokedock.connection.state_source import BackendEntry

PORT = 1
SPAN_S = 2.6
"""Longer than the startup period, in which a router sends more often."""


class CountingTransport:
    """Records the time and destination of each datagram."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((asyncio.get_running_loop().time(), address[0]))


def state(name, sequence, routers=()):
    """Return the state that an idle router sends."""
    return RouterState(name, 1, sequence, 1, 1, False, 0, {}, "", 0, (), routers)


class GossipingRouter:
    """One router that receives the state of ``others`` routers every 0.2 s."""

    def __init__(self, others):
        self._others = [f"10.0.1.{n}" for n in range(others)]
        self.transport = CountingTransport()
        self.gossip = RouterGossip(
            "10.0.0.1",
            PORT,
            (),
            lambda sequence, named: state("own", sequence, named),
            lambda other: None,
            lambda other: None,
        )
        self.gossip.connection_made(self.transport)

    async def _receive_from_all(self):
        sequence = 0
        while True:
            sequence += 1
            for address in self._others:
                data = msgspec.msgpack.encode(state(address, sequence))
                self.gossip.datagram_received(data, (address, PORT))
            await asyncio.sleep(0.2)

    async def rounds(self, change_every_s=None):
        """Return the datagrams per second to each other router after the startup period."""
        hearing = asyncio.create_task(self._receive_from_all())
        speaking = asyncio.create_task(self.gossip.run())
        await asyncio.sleep(SPAN_S)
        self.transport.sent.clear()
        until_s = asyncio.get_running_loop().time() + 2.0
        while asyncio.get_running_loop().time() < until_s:
            if change_every_s is not None:
                self.gossip.change()
            await asyncio.sleep(change_every_s or 0.1)
        for task in (hearing, speaking):
            task.cancel()
        await asyncio.gather(hearing, speaking, return_exceptions=True)
        return len(self.transport.sent) / len(self._others) / 2.0


def news_takes_the_place_of_a_heartbeat():
    """A router that reports a change every 0.2 s sends no additional heartbeats."""
    rounds = asyncio.run(GossipingRouter(5).rounds(change_every_s=0.2))
    assert rounds <= 5.6, rounds


def a_large_fleet_speaks_less_often():
    """An idle router sends a heartbeat every 0.4 s in a large fleet, every 0.3 s in a small one."""
    large = asyncio.run(GossipingRouter(LARGE_FLEET).rounds())
    small = asyncio.run(GossipingRouter(5).rounds())
    assert 1.4 <= large <= 1.15 / LARGE_FLEET_INTERVAL_S, large
    assert 2.3 <= small <= 4.0, small


def starting_together_floods_nobody():
    """In its first 1.2 s, a router among 30 others sends each at most six datagrams."""

    async def play():
        gossiping_router = GossipingRouter(30)
        hearing = asyncio.create_task(gossiping_router._receive_from_all())
        await asyncio.sleep(0)
        speaking = asyncio.create_task(gossiping_router.gossip.run())
        await asyncio.sleep(1.2)
        for task in (hearing, speaking):
            task.cancel()
        await asyncio.gather(hearing, speaking, return_exceptions=True)
        return len(gossiping_router.transport.sent) / 30

    rounds = asyncio.run(play())
    assert 1 <= rounds <= 6, rounds


class LinkedRouters:
    """Gossiping routers whose datagrams arrive at once, each heard by all others."""

    def __init__(self, *addresses):
        self.gossips = {}
        for address in addresses:
            self.start(address, 1)
        for gossip in list(self.gossips.values()):
            gossip._speak()

    def start(self, address, incarnation, seeds=()):
        """Start a router, or another one in its place."""

        def own_state(sequence, named):
            own = state(address, sequence, named)
            own.incarnation = incarnation
            return own

        nothing = lambda other: None  # noqa: E731
        gossip = RouterGossip(address, PORT, seeds, own_state, nothing, nothing)
        gossip.connection_made(LinkedTransport(self, address))
        for other in seeds or self.gossips:
            gossip._add_router(other)
        self.gossips[address] = gossip
        return gossip


class LinkedTransport:
    """Passes datagrams on to the router that has the destination."""

    def __init__(self, linked, address):
        self._linked = linked
        self._address = address

    def sendto(self, data, destination):
        receive = self._linked.gossips[destination[0]].datagram_received
        asyncio.get_running_loop().call_soon(receive, data, (self._address, PORT))


def a_router_replaced_at_once_soon_hears_all():
    """Guards against a replaced router that knows for 0.9 s only some of those that know it."""

    async def play():
        addresses = [f"10.0.0.{number}" for number in range(1, 5)]
        linked = LinkedRouters(*addresses)
        await asyncio.sleep(0.05)
        assert all(gossip.has_heard_all() for gossip in linked.gossips.values())
        fresh = linked.start(addresses[0], 2, seeds=(addresses[1],))
        assert not fresh.has_heard_all(), "nobody was heard"
        fresh._speak()
        await asyncio.sleep(0.1)
        assert fresh.fleet_size() == 4 and fresh.has_heard_all(), fresh.fleet_size()

    asyncio.run(play())


class QueueingReceiver(asyncio.DatagramProtocol):
    """Puts each datagram into a queue."""

    def __init__(self, inbox):
        self._inbox = inbox

    def datagram_received(self, data, address):
        self._inbox.put_nowait(data)


def odd_addresses_of_routers_are_not_used():
    """A datagram that names routers by anything but an IP address stops no other datagram."""

    async def play():
        loop = asyncio.get_running_loop()
        inbox = asyncio.Queue()
        own, _ = await loop.create_datagram_endpoint(
            lambda: QueueingReceiver(inbox), local_addr=("127.0.0.3", 0)
        )
        port = own.get_extra_info("sockname")[1]
        gossip = RouterGossip(
            "127.0.0.4",
            port,
            (),
            lambda sequence, named: state("own", sequence, named),
            lambda other: None,
            lambda other: None,
        )
        await gossip.start()
        odd = ("\0", "", "x" * 70, "x..y", "10.0.0.999", "name.invalid", "\u0130" * 64)
        data = msgspec.msgpack.encode(state("odd", 1, (*odd, "127.0.0.3")))
        gossip.datagram_received(data, ("127.0.0.5", port))
        gossip.send_final_state()
        async with asyncio.timeout(2.0):
            await inbox.get()
        assert set(gossip._others) == {"127.0.0.3", "127.0.0.5"}, set(gossip._others)
        gossip._transport.close()
        own.close()

    asyncio.run(play())


def news_that_cannot_be_encoded_stops_no_heartbeat():
    """A state whose news cannot be encoded is sent without them."""
    odd = BackendEntry("odd", "s", "10.0.0.1:80", revision=2**64)
    news = (StateNews(1, 2, 1, (odd,)),)

    def odd_state(sequence, named):
        return msgspec.structs.replace(state("own", sequence, named), news=news)

    async def play():
        transport = CountingTransport()
        gossip = RouterGossip("10.0.0.1", PORT, (), odd_state, lambda o: None, lambda o: None)
        gossip.connection_made(transport)
        data = msgspec.msgpack.encode(state("other", 1))
        gossip.datagram_received(data, ("10.0.0.2", PORT))
        gossip.send_final_state()
        assert [address for _, address in transport.sent] == ["10.0.0.2"]

    asyncio.run(play())


GOSSIP_PROPERTIES = {
    "odd addresses of routers are not used": odd_addresses_of_routers_are_not_used,
    "news that cannot be encoded stops no heartbeat": (
        news_that_cannot_be_encoded_stops_no_heartbeat
    ),
    "news takes the place of a heartbeat": news_takes_the_place_of_a_heartbeat,
    "a large fleet speaks less often": a_large_fleet_speaks_less_often,
    "a router replaced at once soon hears all": a_router_replaced_at_once_soon_hears_all,
    "starting together floods nobody": starting_together_floods_nobody,
}
