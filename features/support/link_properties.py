"""Properties of a router on a narrow link."""

import asyncio
import heapq
import itertools
from pathlib import Path
from unittest import mock

import msgspec

from support.gossip_properties import CountingTransport, state
from yokedock.base.link_meter import LinkMeter, Traffic
from yokedock.base.shared_delay import RECENT_S, SharedDelay
from yokedock.connection.backend_connection import BackendConnection
from yokedock.connection.gated_listener import GatedListener
from yokedock.connection.router_gossip import OtherRouter, RouterGossip
from yokedock.errors import SettingsInvalid
from yokedock.platform.machine_limits import machine_options
from yokedock.platform.settings_variable import LIMITS_VARIABLE
from yokedock.process.machine_settings import DEFAULT_MEMORY_MB
from yokedock.process.readiness import Readiness
from yokedock.process.router_settings import (
    changed_options,
    read_router_settings,
    with_machine_options,
)
from yokedock.request.link_admission import LinkAdmission
from yokedock.request.stop_admission import StopState
from yokedock.router_errors import BackendUnreachable
from yokedock_emulator.simulation.simulation import run_simulated

EXAMPLE = Path(__file__).resolve().parents[2] / "examples" / "router.ini"
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


class _FakeClock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


SENT_AFTER_S = ((0.0, 5000), (0.3, 5000), *((0.4 + 0.1 * n, 550) for n in range(15)))
"""What a generation sends, and when after its arrival: the prompt twice, then its events."""
REQUEST_BYTES = 20_000


def _play_arrivals(per_s, seconds=12.0, real_mbps=None):
    """Return the accepted share, the longest queue (s) and the bytes per second of the last 6 s.

    With ``real_mbps`` the link carries that, whatever its configured rate, and connects show it.
    """
    clock = _FakeClock()
    link = LinkMeter(LINK_MBPS, clock)
    real_link = LinkMeter(real_mbps or LINK_MBPS, clock)
    admission = LinkAdmission(link, clock)
    start_s = clock.now_s
    due = [(start_s + number / per_s, 0) for number in range(int(per_s * seconds))]
    offered = accepted = 0
    longest_s, sent_before = 0.0, 0
    while due:
        clock.now_s, size = heapq.heappop(due)
        is_late = clock.now_s > start_s + seconds / 2
        if not is_late:
            sent_before = sum(link.sent_bytes.values())
        if clock.now_s > start_s + seconds:
            break
        if size:
            link.record_sent(Traffic.BACKENDS, size)
            real_link.record_sent(Traffic.BACKENDS, size)
            longest_s = max(longest_s, real_link.queued_s())
            if real_mbps:
                started_s = clock.now_s - 0.001 - real_link.queued_s()
                link.shared_delay.record_connect("10.0.0.1", started_s, link.is_busy())
            continue
        is_accepted = admission.accept()
        if is_late:
            offered += 1
            accepted += is_accepted
        if is_accepted:
            for after_s, part in SENT_AFTER_S:
                heapq.heappush(due, (clock.now_s + after_s, part))
    rate = (sum(link.sent_bytes.values()) - sent_before) / (seconds / 2)
    return accepted / offered, longest_s, rate


# Guards against requests that are read by a router whose link can't carry them.
def a_link_is_used_and_not_overloaded():
    """Of arrivals that a link can carry all are accepted, of more as many as it carries."""
    fitting = LINK_BYTES_PER_S / REQUEST_BYTES
    share, longest_s, _ = _play_arrivals(0.6 * fitting)
    assert share == 1.0 and longest_s < 0.15, (share, longest_s)
    for excess in (1.5, 3.0, 10.0):
        share, longest_s, rate = _play_arrivals(excess * fitting)
        assert longest_s < 0.6, (excess, longest_s)
        assert rate > 0.75 * LINK_BYTES_PER_S, (excess, rate)
        assert 0.7 / excess < share < 1.1 / excess, (excess, share)


# Guards against a router that refuses what a link would carry which is wider than configured.
def a_link_is_used_as_far_as_connects_are_not_delayed():
    """A link that carries its rate in both directions, or no more than configured, is used."""
    fitting = LINK_BYTES_PER_S / REQUEST_BYTES
    for real_share in (1.0, 2.0):
        for excess in (1.5, 3.0):
            real_mbps = real_share * LINK_MBPS
            _, longest_s, rate = _play_arrivals(excess * real_share * fitting, 24.0, real_mbps)
            assert rate > 0.75 * real_share * LINK_BYTES_PER_S, (real_share, excess, rate)
            assert longest_s < 0.6, (real_share, excess, longest_s)


# Guards against a router that leaves all new connections, whatever its estimates say.
def some_connections_are_always_accepted():
    """A router with a full link accepts a connection at least twice a second."""
    clock = _FakeClock()
    link = LinkMeter(LINK_MBPS, clock)
    admission = LinkAdmission(link, clock)
    link.record_sent(Traffic.BACKENDS, 10_000_000)
    accepted = 0
    for _ in range(400):
        clock.now_s += 0.01
        accepted += admission.accept()
    assert 6 <= accepted <= 9, accepted


# Guards against a router that serves nobody any more after hours without a request.
def a_router_that_was_idle_for_hours_accepts():
    """The mean size of requests is defined however long there were none."""
    clock = _FakeClock()
    link = LinkMeter(LINK_MBPS, clock)
    admission = LinkAdmission(link, clock)
    for idle_s in (10.0, 4_000.0, 100_000.0):
        clock.now_s += idle_s
        assert admission.has_room() and admission.accept(), idle_s
        link.record_sent(Traffic.CALLERS, 1000)


# Guards against a balancer that goes on sending connections to a router which refuses most of them.
def a_router_that_refuses_much_should_get_no_new_connections():
    """It says so after a second in which it refuses, and again serves all some seconds later."""
    clock = _FakeClock()
    link = LinkMeter(LINK_MBPS, clock)
    admission = LinkAdmission(link, clock)

    def play(seconds, rate_share):
        ready = []
        for _ in range(int(seconds / 0.02)):
            clock.now_s += 0.02
            link.record_sent(Traffic.BACKENDS, int(rate_share * LINK_BYTES_PER_S * 0.02))
            if admission.may_resume():
                admission.accept()
                if not admission.has_room():
                    admission.refuse()
            ready.append(admission.should_get_new())
        return ready

    assert all(play(5.0, 0.3))
    ready = play(3.0, 1.5)
    assert all(ready[:5]) and not any(ready[-50:])
    ready = play(10.0, 0.0)
    assert not ready[0] and all(ready[-50:])


def _readiness(others):
    """Return the readiness of a router that refuses much, and hears the given other routers.

    ``others`` has a pair for each: whether it leaves, and whether it refuses much too.
    """
    heard = []
    for number, (is_leaving, is_overloaded) in enumerate(others):
        told = state(f"r{number}", 1)
        told.is_leaving, told.is_overloaded = is_leaving, is_overloaded
        heard.append(OtherRouter(f"10.0.0.{number}", state=told))
    follower = mock.Mock(is_known=True)
    admission = mock.Mock(should_get_new=lambda: False)
    return Readiness(follower, StopState(), admission, lambda: heard)


# Guards against a region without a ready router, and against one router that is left with all.
def a_router_that_refuses_much_is_ready_unless_half_can_take_more():
    """It leaves new connections to others only while at least half of all have room."""
    leaves, is_full, has_room = (True, False), (False, True), (False, False)
    assert _readiness([]).is_ready
    assert _readiness([is_full]).is_ready
    assert _readiness([leaves]).is_ready
    assert _readiness([is_full] * 29).is_ready
    assert _readiness([is_full] * 15 + [has_room] * 14).is_ready
    assert not _readiness([is_full] * 14 + [has_room] * 15).is_ready
    assert not _readiness([has_room]).is_ready


async def _close_while_resuming():
    """Close a listener that is binding its address again; return the servers that stay open."""
    servers = []
    may_bind = asyncio.Event()

    async def listen():
        if servers:
            await may_bind.wait()
        servers.append(mock.Mock())
        return servers[-1]

    listener = GatedListener(listen, lambda: True)
    await listener.start()
    running = asyncio.create_task(listener.run())
    listener.pause()
    await asyncio.sleep(0.1)
    listener.close()
    may_bind.set()
    await asyncio.sleep(0.1)
    running.cancel()
    return [server for server in servers if not server.close.called]


# Guards against connections that a stopped router still accepts and never answers.
def a_listener_that_is_closed_while_it_resumes_stays_closed():
    """No server is left open, whenever the close comes."""
    assert not run_simulated(_close_while_resuming())


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


def _connect_to(clock, link, peers, took_s, seconds):
    """Connect to one of ``peers`` every 50 ms; return the longest delay that they seem to share."""
    longest_s = 0.0
    for number in range(int(seconds / 0.05)):
        clock.now_s += 0.05
        peer = peers[number % len(peers)]
        link.shared_delay.record_connect(peer, clock.now_s - took_s, link.is_busy())
        longest_s = max(longest_s, link.shared_delay.current_s())
    return longest_s


# Guards against a router that uses little of its link as soon as it calls only distant backends.
def the_distance_of_backends_is_not_a_delay_of_the_link():
    """Backends in another region are not late, unless a connect takes longer than usual."""
    clock = _FakeClock()
    link = LinkMeter(LINK_MBPS, clock)
    near, far = ["10.0.0.1", "10.0.0.2"], ["10.9.0.1", "10.9.0.2"]
    assert _connect_to(clock, link, near, 0.001, 5.0) < 0.001
    assert _connect_to(clock, link, far, 0.12, 5.0) < 0.001
    assert _connect_to(clock, link, far, 0.5, 5.0) > 0.35
    link.record_sent(Traffic.BACKENDS, int(LINK_BYTES_PER_S))
    assert _connect_to(clock, link, ["10.9.0.3"], 0.5, 0.9) > 0.45


# Guards against memory that grows with each connect of a router whose delay nobody asks for.
def connects_are_forgotten_though_nobody_asks_for_the_delay():
    """The delay is kept for the connects of the last moment alone."""
    clock = _FakeClock()
    delay = SharedDelay(clock)
    for _ in range(10_000):
        clock.now_s += 0.01
        delay.record_connect("10.0.0.1", clock.now_s - 0.001, is_link_busy=False)
    assert len(delay._recent) <= 1 + RECENT_S / 0.01, len(delay._recent)


def the_rate_of_the_link_is_validated():
    """The environment's rate is used if it is valid, none if it is empty, else rejected."""
    settings = read_router_settings(EXAMPLE)
    assert settings.machine.link_mbps == 0.0
    assert with_machine_options(settings, {"link_mbps": ""}) == settings
    named = with_machine_options(settings, {"link_mbps": "5.0"})
    assert named.machine.link_mbps == 5.0
    assert not changed_options(settings, named)
    for wrong in ("wide", "-1", "nan"):
        try:
            with_machine_options(settings, {"link_mbps": wrong})
        except SettingsInvalid as error:
            assert "link_mbps" in error.message, error.message
        else:
            raise AssertionError(f"{wrong} was accepted")


# Guards against routers that keep to the default although the platform names their limits.
def the_limits_of_the_machine_are_translated():
    """Memory and descriptors are taken over, however they are quoted."""
    settings = read_router_settings(EXAMPLE)
    assert settings.machine.memory_mb == DEFAULT_MEMORY_MB
    for text in (
        '{"cpuCores": 1, "memoryMb": 150, "maxFds": 4100, "linkMbps": 10.0}',
        "{'memoryMb': 150, 'maxFds': 4100}",
        '{"memoryMb": "150", "maxFds": "4100.0"}',
    ):
        machine = with_machine_options(settings, machine_options({LIMITS_VARIABLE: text})).machine
        assert (machine.memory_mb, machine.descriptors) == (150.0, 4100), (text, machine)
    for nothing in ({}, {LIMITS_VARIABLE: ""}, {LIMITS_VARIABLE: "{{limits}}"}):
        assert with_machine_options(settings, machine_options(nothing)) == settings


LINK_PROPERTIES = {
    "the limits of the machine are translated": the_limits_of_the_machine_are_translated,
    "the rate of the link is validated": the_rate_of_the_link_is_validated,
    "the distance of backends is not a delay of the link": (
        the_distance_of_backends_is_not_a_delay_of_the_link
    ),
    "connects are forgotten though nobody asks for the delay": (
        connects_are_forgotten_though_nobody_asks_for_the_delay
    ),
    "changes use a small part of a narrow link": changes_use_a_small_part_of_a_narrow_link,
    "a link is used and not overloaded": a_link_is_used_and_not_overloaded,
    "a link is used as far as connects are not delayed": (
        a_link_is_used_as_far_as_connects_are_not_delayed
    ),
    "some connections are always accepted": some_connections_are_always_accepted,
    "a router that was idle for hours accepts": a_router_that_was_idle_for_hours_accepts,
    "a router that refuses much should get no new connections": (
        a_router_that_refuses_much_should_get_no_new_connections
    ),
    "a router that refuses much is ready unless half can take more": (
        a_router_that_refuses_much_is_ready_unless_half_can_take_more
    ),
    "a listener that is closed while it resumes stays closed": (
        a_listener_that_is_closed_while_it_resumes_stays_closed
    ),
    "a connect over a full link is waited for": a_connect_over_a_full_link_is_waited_for,
}
