"""Properties of how often routers speak, with a transport that only counts."""

import asyncio

import msgspec

from yokedock.connection.router_gossip import (
    LARGE_FLEET,
    LARGE_FLEET_INTERVAL_S,
    RouterGossip,
)
from yokedock.connection.router_state import RouterState

PORT = 1
SPAN_S = 2.6
"""Longer than a router counts as young."""


class CountingTransport:
    """Counts what is sent to each address."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        self.sent.append((asyncio.get_running_loop().time(), address[0]))


def state(name, sequence, routers=()):
    """Return what an idle router tells."""
    return RouterState(name, 1, sequence, 1, 1, False, 0, {}, "", 0, (), routers)


class Speaker:
    """One router that hears ``others`` at their own intervals."""

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

    async def _hear_all(self):
        sequence = 0
        while True:
            sequence += 1
            for address in self._others:
                data = msgspec.msgpack.encode(state(address, sequence))
                self.gossip.datagram_received(data, (address, PORT))
            await asyncio.sleep(0.2)

    async def rounds(self, change_every_s=None):
        """Return how often it spoke in a second, once it is no longer young."""
        hearing = asyncio.create_task(self._hear_all())
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
    """A router that tells of a change every 0.2 s sends no heartbeat besides."""
    rounds = asyncio.run(Speaker(5).rounds(change_every_s=0.2))
    assert rounds <= 5.6, rounds


def a_large_fleet_speaks_less_often():
    """An idle router sends a heartbeat every 0.4 s in a large fleet, every 0.3 s in a small one."""
    large = asyncio.run(Speaker(LARGE_FLEET).rounds())
    small = asyncio.run(Speaker(5).rounds())
    assert 1.4 <= large <= 1.15 / LARGE_FLEET_INTERVAL_S, large
    assert 2.3 <= small <= 4.0, small


def starting_together_floods_nobody():
    """In its first second a router that hears 30 others sends no more than they do later."""

    async def play():
        speaker = Speaker(30)
        hearing = asyncio.create_task(speaker._hear_all())
        await asyncio.sleep(0)
        speaking = asyncio.create_task(speaker.gossip.run())
        await asyncio.sleep(1.2)
        for task in (hearing, speaking):
            task.cancel()
        await asyncio.gather(hearing, speaking, return_exceptions=True)
        return len(speaker.transport.sent) / 30

    rounds = asyncio.run(play())
    assert 1 <= rounds <= 6, rounds


GOSSIP_PROPERTIES = {
    "news takes the place of a heartbeat": news_takes_the_place_of_a_heartbeat,
    "a large fleet speaks less often": a_large_fleet_speaks_less_often,
    "starting together floods nobody": starting_together_floods_nobody,
}
