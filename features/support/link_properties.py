"""Properties of a router on a narrow link."""

import asyncio
import itertools

import msgspec

from support.gossip_properties import CountingTransport, state
from yokedock.base.link_meter import LinkMeter, Traffic
from yokedock.connection.backend_connection import BackendConnection
from yokedock.connection.router_gossip import RouterGossip
from yokedock.router_errors import BackendUnreachable
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


async def _connect_over_queue(queue_bytes, is_other_reached):
    """Connect behind ``queue_bytes`` on a narrow link; return whether the peer was reached."""
    loop = asyncio.get_running_loop()
    link = LinkMeter(LINK_MBPS)
    own = "127.0.0.1"
    network = loop.network
    server = await asyncio.start_server(lambda r, w: None, "10.0.0.2", PORT)
    del server
    network.limit_link("10.0.0.2", LINK_BYTES_PER_S)
    network.arrival_s(own, "10.0.0.2", queue_bytes)
    link.record_sent(Traffic.BACKENDS, queue_bytes)
    if is_other_reached:
        other = await asyncio.start_server(lambda r, w: None, "10.0.0.3", PORT)
        del other

        async def reach_other():
            await asyncio.sleep(0.01)
            await BackendConnection.connect(f"10.0.0.3:{PORT}", 0.15, link)

        reaching = asyncio.create_task(reach_other())
    try:
        await BackendConnection.connect(f"10.0.0.2:{PORT}", 0.15, link)
    except BackendUnreachable:
        return False
    finally:
        if is_other_reached:
            await reaching
    return True


# Guards against sound backends that are given up because the router's own link is full.
def a_connect_over_a_full_link_is_waited_for():
    """A connect that waits 0.4 s is given up only if another peer has accepted a later one."""
    queue_bytes = int(0.4 * LINK_BYTES_PER_S)
    assert run_simulated(_connect_over_queue(queue_bytes, is_other_reached=False))
    assert not run_simulated(_connect_over_queue(queue_bytes, is_other_reached=True))


LINK_PROPERTIES = {
    "changes use a small part of a narrow link": changes_use_a_small_part_of_a_narrow_link,
    "a connect over a full link is waited for": a_connect_over_a_full_link_is_waited_for,
}
