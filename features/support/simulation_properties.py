"""Properties of simulated processes and networks that match those of the operating system."""

import asyncio
import socket

from yokedock.base.clock import boot_time_s
from yokedock.base.sockets import new_socket
from yokedock_emulator.simulation.datagrams import DATAGRAM_OVERHEAD_BYTES, RECEIVE_BUFFER_BYTES
from yokedock_emulator.simulation.processes import SimulatedProcess
from yokedock_emulator.simulation.simulation import run_simulated

HOST, OTHER = "10.0.0.1", "10.0.0.2"
PORT = 7000
FREEZE_S = 5.0


def network():
    """Return the network of the running simulation."""
    return asyncio.get_running_loop().network


def run_in_process(process, coroutine):
    """Start a coroutine as a task of a simulated process."""
    return asyncio.get_running_loop().create_task(coroutine, context=process.context())


async def echo(reader, writer):
    """Echo all received bytes until the end of the stream."""
    while data := await reader.read(1000):
        writer.write(data)
    writer.close()


async def start_echo_process():
    """Start a simulated process that runs an echo server."""
    process = SimulatedProcess(HOST)
    await run_in_process(process, asyncio.start_server(echo, HOST, PORT))
    return process


def bytes_arrive_in_order():
    """Random delays of segments do not reorder a stream."""

    async def play():
        await start_echo_process()
        reader, writer = await asyncio.open_connection(HOST, PORT)
        sent = b"".join(b"%d " % number for number in range(500))
        for number in range(500):
            writer.write(b"%d " % number)
            await asyncio.sleep(0.0001)
        writer.write_eof()
        assert await reader.read(-1) == sent

    run_simulated(play())


def a_frozen_process_handles_deferred_events_on_resume():
    """Timers, new connections and received bytes are kept until a frozen process resumes."""

    async def play():
        loop, began_s = asyncio.get_running_loop(), boot_time_s()
        process = await start_echo_process()
        fired_s = []
        loop.call_later(1.0, lambda: fired_s.append(boot_time_s()), context=process.context())
        reader, writer = await asyncio.open_connection(HOST, PORT)
        loop.freeze(process)
        writer.write(b"a")
        later_reader, later_writer = await asyncio.open_connection(HOST, PORT)
        later_writer.write(b"b")
        loop.call_later(FREEZE_S, loop.thaw, process)
        assert await reader.readexactly(1) == b"a"
        assert await later_reader.readexactly(1) == b"b"
        assert FREEZE_S <= boot_time_s() - began_s < FREEZE_S + 0.1
        assert [round(at_s - began_s, 2) for at_s in fired_s] == [FREEZE_S]

    run_simulated(play())


def a_killed_process_closes_its_sockets_and_stops():
    """Its connections end, new ones are refused, and its tasks stop."""

    async def play():
        loop = asyncio.get_running_loop()
        process = await start_echo_process()
        ticks = []

        async def tick():
            while True:
                await asyncio.sleep(0.1)
                ticks.append(boot_time_s())

        run_in_process(process, tick())
        reader, _ = await asyncio.open_connection(HOST, PORT)
        await asyncio.sleep(1.0)
        loop.end(process)
        ticks_at_kill = len(ticks)
        assert await reader.read() == b""
        try:
            await asyncio.open_connection(HOST, PORT)
        except ConnectionRefusedError:
            await asyncio.sleep(1.0)
            assert ticks_at_kill > 5 and len(ticks) == ticks_at_kill, ticks
        else:
            raise AssertionError("a killed process accepted a connection")

    run_simulated(play())


def exiting_with_unread_bytes_resets_connections():
    """A process that exits with unread bytes resets its connections, as on Linux."""

    async def play():
        loop = asyncio.get_running_loop()
        process = await start_echo_process()
        reader, writer = await asyncio.open_connection(HOST, PORT)
        await asyncio.sleep(0.1)
        loop.freeze(process)
        writer.write(b"a")
        await asyncio.sleep(0.1)
        loop.end(process)
        try:
            await reader.read()
        except ConnectionResetError:
            return
        raise AssertionError("the connection was closed without a reset")

    run_simulated(play())


def a_link_cut_one_way_delays_streams_and_loses_datagrams():
    """One direction can be cut alone; streams deliver their bytes after the link is restored."""

    async def play():
        process = await start_echo_process()
        receiver = new_socket(socket.SOCK_DGRAM)
        receiver.bind((OTHER, PORT))
        reader, writer = await asyncio.open_connection(HOST, PORT)
        network().cut(HOST, "127.0.0.1")
        network().cut(HOST, OTHER)
        writer.write(b"a")
        sender = await run_in_process(process, bound_datagram_socket(HOST))
        sender.send(b"lost", (OTHER, PORT))
        asyncio.get_running_loop().call_later(2.0, network().heal, HOST, "127.0.0.1")
        began_s = boot_time_s()
        assert await reader.readexactly(1) == b"a"
        assert 2.0 <= boot_time_s() - began_s < 2.5
        try:
            receiver.recvfrom(100)
        except BlockingIOError:
            return
        raise AssertionError("a datagram was delivered over a cut link")

    run_simulated(play())


async def bound_datagram_socket(address):
    """Return a datagram socket of the running process, bound to an address."""
    bound = new_socket(socket.SOCK_DGRAM)
    bound.bind((address, PORT))
    return bound


def a_connection_without_acknowledgements_times_out():
    """``TCP_USER_TIMEOUT`` closes a connection whose bytes are never acknowledged."""

    async def play():
        await start_echo_process()
        reader, writer = await asyncio.open_connection(HOST, PORT)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2500)
        sock.stream.is_silent = True
        writer.write(b"a")
        began_s = boot_time_s()
        try:
            await reader.read()
        except OSError:
            assert 2.5 <= boot_time_s() - began_s < 3.0
            return
        raise AssertionError("the connection was closed without an error")

    run_simulated(play())


def a_full_receive_buffer_drops_new_datagrams():
    """A socket that is not read queues a bounded number of datagrams and drops later ones."""

    async def play():
        receiver = await bound_datagram_socket(OTHER)
        sender = await bound_datagram_socket(HOST)
        size = 1000
        for number in range(1000):
            sender.send(b"%04d" % number + b"x" * (size - 4), (OTHER, PORT))
            await asyncio.sleep(0.01)
        kept = []
        try:
            while True:
                kept.append(int(receiver.recvfrom(size)[0][:4]))
        except BlockingIOError:
            capacity = RECEIVE_BUFFER_BYTES // (size + DATAGRAM_OVERHEAD_BYTES)
            assert kept == list(range(capacity)), (len(kept), capacity)

    run_simulated(play())


SIMULATION_PROPERTIES = {
    check.__name__.replace("_", " "): check
    for check in (
        bytes_arrive_in_order,
        a_frozen_process_handles_deferred_events_on_resume,
        a_killed_process_closes_its_sockets_and_stops,
        exiting_with_unread_bytes_resets_connections,
        a_link_cut_one_way_delays_streams_and_loses_datagrams,
        a_connection_without_acknowledgements_times_out,
        a_full_receive_buffer_drops_new_datagrams,
    )
}
