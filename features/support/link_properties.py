"""Properties of a router on a narrow link."""

import asyncio
import itertools

import msgspec

from support.gossip_properties import CountingTransport, state
from yokedock.base.link_meter import LinkMeter
from yokedock.connection.router_gossip import RouterGossip
from yokedock_emulator.simulation.simulation import run_simulated

LINK_MBPS = 5.0
LINK_BYTES_PER_S = LINK_MBPS * 125_000
OTHER_ROUTERS = 29
STATE_BYTES = 900
MAX_CHANGES_SHARE = 0.2
HEARTBEATS_PER_S = 3.0
PORT = 7000


async def _change_rounds(link_mbps):
    """Return how often per second a router whose state always changes sends to all others."""
    transport = CountingTransport()
    link = LinkMeter(link_mbps)

    def own_state(sequence, routers):
        return state("x" * STATE_BYTES, sequence, routers)

    gossip = RouterGossip("10.0.0.1", PORT, (), own_state, lambda _: None, lambda _: None, link)
    gossip.connection_made(transport)
    addresses = [f"10.0.1.{number}" for number in range(OTHER_ROUTERS)]
    speaking = asyncio.create_task(gossip.run())
    until_s = asyncio.get_running_loop().time() + 4.0
    for sequence in itertools.count(1):
        if sequence % 40 == 1:
            for address in addresses:
                data = msgspec.msgpack.encode(state(address, sequence))
                gossip.datagram_received(data, (address, PORT))
        gossip.change()
        await asyncio.sleep(0.005)
        if asyncio.get_running_loop().time() >= until_s:
            break
    speaking.cancel()
    last_s = [at_s for at_s, _ in transport.sent if at_s >= until_s - 2.0]
    return len(last_s) / OTHER_ROUTERS / 2.0


# Guards against a router whose own state fills its link while most connections come to it.
def changes_use_a_small_part_of_a_narrow_link():
    """Datagrams because of changes are as frequent as a wide link allows, rarer on a narrow one."""
    narrow = run_simulated(_change_rounds(LINK_MBPS))
    wide = run_simulated(_change_rounds(1000.0))
    unknown = run_simulated(_change_rounds(0.0))
    round_bytes = OTHER_ROUTERS * STATE_BYTES
    assert narrow * round_bytes <= MAX_CHANGES_SHARE * LINK_BYTES_PER_S, narrow
    assert narrow >= HEARTBEATS_PER_S, narrow
    assert min(wide, unknown) >= 50, (wide, unknown)


LINK_PROPERTIES = {
    "changes use a small part of a narrow link": changes_use_a_small_part_of_a_narrow_link,
}
