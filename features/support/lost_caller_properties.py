"""When a caller counts as lost, over real loopback sockets and from made-up readings."""

import asyncio
import contextlib
import ctypes
import socket
import struct

from yokedock.base.clock import boot_time_s
from yokedock.connection.acknowledgement import AcknowledgementState
from yokedock.connection.caller_connection import CallerConnection
from yokedock.connection.disconnect_detection import Departure
from yokedock.connection.http_heads import ResponseHead
from yokedock.connection.lost_peer_detector import LostPeerDetector
from yokedock.version.route_table import CallerLimits

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
LONG_BODY = b"x" * 4_000_000
"""More than what the kernel buffers for a connection."""
SMALL_BUFFER_BYTES = 4096
LOOK_INTERVAL_S = 0.02
SILENCE_S = 0.5
"""Time between the two parts of an answer."""
LIMIT_S = 5.0
ATTACH_FILTER, DETACH_FILTER = 26, 27
"""Socket options of Linux (``asm-generic/socket.h``)."""
DROP_ALL = ctypes.create_string_buffer(struct.pack("=HBBI", 6, 0, 0, 0))
"""A filter that drops each segment before TCP sees it: ``ret 0`` of the classic BPF."""


async def _play(caller, body, wait_s, lost_after_s):
    """Answer the request of a caller after a wait, in two parts; return the caller's result."""
    served = []

    async def answer(request, answer):
        await asyncio.sleep(wait_s)
        answer.start(ResponseHead((), 200), len(body))
        await answer.write(body[:-1])
        await asyncio.sleep(SILENCE_S)
        await answer.write(body[-1:])
        await answer.end()

    async def accept(reader, writer):
        connection = CallerConnection(
            reader, writer, answer, CallerLimits, lost_after_s=lost_after_s
        )
        serving = asyncio.create_task(connection.serve())
        while not serving.done():
            connection.abort_if_lost()
            await asyncio.wait([serving], timeout=LOOK_INTERVAL_S)
        served.append((connection, boot_time_s()))

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.connect(server.sockets[0].getsockname())
        sock.sendall(REQUEST)
        sock.setblocking(False)
        result = await caller(sock, served)
    server.close()
    return result


def _drop_received(sock):
    """Drop all that arrives from now on, as if the link were cut."""
    drop_all = struct.pack("HP", 1, ctypes.addressof(DROP_ALL))
    sock.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER, drop_all)


async def _read_body(sock, body):
    """Return whether the whole answer arrives; raises ``ConnectionResetError``."""
    loop = asyncio.get_running_loop()
    received = b""
    while not received.endswith(b"\r\n\r\n" + body):
        data = await asyncio.wait_for(loop.sock_recv(sock, len(body)), LIMIT_S)
        if not data:
            return False
        received += data
    return True


def a_caller_that_waits_long_for_its_answer_gets_it():
    """Guards against callers that are cut because a long wait ends with unacknowledged data.

    What it is sent in the first 0.1 s is lost on the way and sent again.
    """

    async def caller(sock, served):
        await asyncio.sleep(2.4)
        _drop_received(sock)
        await asyncio.sleep(0.2)
        sock.setsockopt(socket.SOL_SOCKET, DETACH_FILTER, 0)
        return await _read_body(sock, b"late")

    assert asyncio.run(_play(caller, b"late", wait_s=2.5, lost_after_s=2.0))


def a_caller_that_pauses_gets_the_whole_answer():
    """Guards against callers that are cut because the window's probes come at long intervals.

    Probes are answered at 1.6, 3.3 and 6.9 s, and each time later by twice as much.
    """

    async def caller(sock, served):
        await asyncio.sleep(6.0)
        return await _read_body(sock, LONG_BODY)

    assert asyncio.run(_play(caller, LONG_BODY, wait_s=0.0, lost_after_s=2.0))


def _gone_after_s(pause_s, body, wait_s, lost_after_s=1.0):
    """Drop all that a caller is sent after a pause; return when its connection ended."""

    async def caller(sock, served):
        await asyncio.sleep(pause_s)
        _drop_received(sock)
        began_s = boot_time_s()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LIMIT_S):
                while not served:
                    await asyncio.sleep(LOOK_INTERVAL_S)
        assert served, "not noticed"
        connection, ended_s = served[0]
        assert connection.departure is Departure.UNACKNOWLEDGED
        return ended_s - began_s

    return asyncio.run(_play(caller, body, wait_s, lost_after_s))


def a_caller_that_is_gone_is_noticed():
    """Guards against callers without power that hold their connection until the deadline.

    They are noticed within two seconds of the limit, which is 1 s here. The second one's window is
    closed: of its next probes, after 0.4 and 1.3 s, none is answered.
    """
    for pause_s, body, wait_s in ((0.0, b"late", 0.3), (0.3, LONG_BODY, 0.0)):
        ended_s = _gone_after_s(pause_s, body, wait_s)
        assert 0.9 <= ended_s - wait_s < 3.0, (body[:4], ended_s)


def silence_counts_only_while_data_waits():
    """What was acknowledged last, a suspension and a late look say nothing of a caller."""
    readings = (
        (0.0, 0, 0, 0.0, 0.0, 1, 0.0),
        (11.0, 1, 0, 0.0, 11.0, 1, 0.0),
        (12.0, 1, 0, 0.1, 0.8, 2, 0.0),
        (13.0, 1, 0, 1.1, 1.8, 2, 1.0),
        (33.0, 1, 0, 0.0, 19.9, 3, 0.0),
        (93.0, 1, 0, 0.5, 20.4, 3, 20.4),
        (94.0, 0, 0, 1.5, 0.5, 4, 0.0),
        (124.0, 1, 0, 0.0, 30.5, 4, 0.0),
    )
    _check_readings(readings)


def silence_counts_only_while_an_answer_is_owed():
    """Guards against callers that are cut between probes that they have answered.

    The first one's window was closed while data was in flight; of the second one's probes, one is
    lost; the third one is gone.
    """
    dropped = ((9.0, 3, 0, 12.8, 12.8, 5, 0.0), (20.0, 3, 0, 23.8, 23.7, 5, 0.0))
    one_lost = ((9.0, 0, 1, 30.0, 13.0, 5, 0.0), (29.0, 0, 1, 50.0, 33.0, 5, 0.0))
    gone = ((35.0, 0, 2, 60.0, 40.0, 5, 26.0), (36.0, 0, 0, 61.0, 0.5, 6, 0.0))
    _check_readings(dropped)
    _check_readings(one_lost + gone)


def _check_readings(readings):
    """Play readings, each a time, the five values of the state, and the silence to be told."""
    detector = LostPeerDetector()
    for now_s, *values, expected_s in readings:
        state = AcknowledgementState(*values)
        assert detector.unanswered_s(state, now_s) == expected_s, now_s


LOST_CALLER_PROPERTIES = {
    "a caller that is gone is noticed": a_caller_that_is_gone_is_noticed,
    "a caller that pauses gets the whole answer": a_caller_that_pauses_gets_the_whole_answer,
    "a caller that waits long for its answer gets it": (
        a_caller_that_waits_long_for_its_answer_gets_it
    ),
    "silence counts only while an answer is owed": silence_counts_only_while_an_answer_is_owed,
    "silence counts only while data waits": silence_counts_only_while_data_waits,
}
