"""When a caller counts as lost, over real loopback sockets and from made-up readings."""

import asyncio
import contextlib
import ctypes
import socket
import struct

from yokedock.base.clock import boot_time_s
from yokedock.connection.acknowledgement import AcknowledgementState
from yokedock.connection.caller_connection import CallerConnection
from yokedock.connection.http_heads import ResponseHead
from yokedock.connection.lost_peer_detector import LostPeerDetector
from yokedock.version.route_table import CallerLimits

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
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
        await asyncio.sleep(1.4)
        _drop_received(sock)
        await asyncio.sleep(0.2)
        sock.setsockopt(socket.SOL_SOCKET, DETACH_FILTER, 0)
        return await _read_body(sock, b"late")

    assert asyncio.run(_play(caller, b"late", wait_s=1.5, lost_after_s=1.2))


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
        assert connection.caller_has_left
        return ended_s - began_s

    return asyncio.run(_play(caller, body, wait_s, lost_after_s))


def a_caller_that_is_gone_is_noticed():
    """Guards against callers without power that hold their connection until the deadline."""
    ended_s = _gone_after_s(pause_s=0.0, body=b"late", wait_s=0.3)
    assert 1.3 <= ended_s < 2.8, ended_s


def silence_counts_only_while_data_waits():
    """What was acknowledged last, a suspension and a late look say nothing of a caller."""
    detector = LostPeerDetector()
    readings = (
        (0.0, 0, 0.0, 1, 0.0),
        (11.0, 1, 11.0, 1, 0.0),
        (12.0, 1, 0.8, 2, 0.0),
        (13.0, 1, 1.8, 2, 1.0),
        (33.0, 1, 19.9, 3, 0.0),
        (93.0, 1, 20.4, 3, 20.4),
        (94.0, 0, 0.5, 4, 0.0),
        (124.0, 1, 30.5, 4, 0.0),
    )
    for now_s, unacknowledged, last_s, segments, expected_s in readings:
        state = AcknowledgementState(unacknowledged, 0, last_s, segments)
        assert detector.unanswered_s(state, now_s) == expected_s, now_s


LOST_CALLER_PROPERTIES = {
    "a caller that is gone is noticed": a_caller_that_is_gone_is_noticed,
    "a caller that waits long for its answer gets it": (
        a_caller_that_waits_long_for_its_answer_gets_it
    ),
    "silence counts only while data waits": silence_counts_only_while_data_waits,
}
