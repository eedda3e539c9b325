"""Properties of what others can make this process do: it takes time linear in their bytes."""

import asyncio
import contextlib
import re
import time
import tracemalloc
from unittest import mock

import h11
from h11 import _abnf
from hypothesis import strategies as st

from support.search import searched
from yokedock.connection import http_parser
from yokedock.connection.backend_connection import BackendConnection
from yokedock.connection.caller_connection import READ_AHEAD_BYTES, READ_BYTES, CallerConnection
from yokedock.connection.event_stream import MAX_EVENT_BYTES, EventSplitter
from yokedock.connection.http_heads import RequestHead, ResponseHead, complete_response
from yokedock.request.stream_relay import StreamRelay
from yokedock.router_errors import BackendResponseError
from yokedock.version.route_table import CallerLimits

MAX_BUSY_S = 0.5
"""A request must be answered this long after its time-out, whatever other requests do."""
SMALL_PART_BYTES = 16


def feed_time_s(data, part_bytes):
    """Return the processor time in which a splitter takes ``data`` in parts of this size."""
    splitter = EventSplitter()
    began_s = time.thread_time()
    for position in range(0, len(data), part_bytes):
        list(splitter.feed(data[position : position + part_bytes]))
    return time.thread_time() - began_s


# Guards against a stop of the whole router by one stream with a long event in small chunks.
def a_long_event_takes_linear_time():
    """An event without an end takes time linear in its bytes, and so do many events at once."""
    assert feed_time_s(b"x" * 131_072, SMALL_PART_BYTES) < MAX_BUSY_S
    assert feed_time_s(b"\r\n" + b"\n" * 131_072, SMALL_PART_BYTES) < MAX_BUSY_S
    many = b"data: 12345678\n\n" * 65_536
    assert feed_time_s(many, len(many)) < MAX_BUSY_S


# Guards against memory that grows as long as a stream goes on without the end of an event.
def an_event_without_end_breaks_the_stream():
    """An event of the maximum size passes; a longer one is a typed error, complete or not."""
    whole = b"x" * (MAX_EVENT_BYTES - 2) + b"\n\n"
    for part_bytes in (65_536, len(whole)):
        splitter, found = EventSplitter(), []
        for position in range(0, len(whole), part_bytes):
            found += list(splitter.feed(whole[position : position + part_bytes]))
        assert [event.data for event in found] == [whole]
    for too_long in (b"x" + whole, b"x" * (MAX_EVENT_BYTES + 1)):
        try:
            list(EventSplitter().feed(too_long))
        except BackendResponseError:
            continue
        raise AssertionError(f"{len(too_long)} bytes were accepted")


HEAD_BYTES = 65_536
BLANKS = b" " * (HEAD_BYTES - 100)
REQUEST_LINES = b"POST / HTTP/1.1\r\nHost: h\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
INVALID_REQUESTS = {
    "header line": REQUEST_LINES + b"X:" + BLANKS + b"\0\r\n\r\n",
    "chunk extension": REQUEST_LINES + CHUNKED + b"5;" + BLANKS + b"\nx\r\n",
    "trailer": REQUEST_LINES + CHUNKED + b"0\r\nX:" + BLANKS + b"\0\r\n\r\n",
}


# Guards against a stop of the whole router by one invalid request of 64 KB.
def an_invalid_line_of_blanks_is_rejected_in_linear_time():
    """Header lines, trailers and chunk extensions with many blanks are rejected quickly."""
    for name, data in INVALID_REQUESTS.items():
        parser = http_parser.request_parser(HEAD_BYTES)
        parser.receive_data(data)
        began_s = time.thread_time()
        try:
            while parser.next_event() is not h11.NEED_DATA:
                pass
            raise AssertionError(f"{name}: accepted")
        except h11.RemoteProtocolError:
            assert time.thread_time() - began_s < MAX_BUSY_S, name


@searched(
    line=st.text("a5F:;\r\n\0 \t\v\xe9", max_size=12).map(lambda text: text.encode("latin-1")),
    is_chunk_header=st.booleans(),
)
def lines_are_parsed_as_by_the_library(line, is_chunk_header):
    """Valid and invalid lines are accepted and divided as by the expressions of h11."""
    if is_chunk_header:
        line = b"5" + line + b"\r\n"
        expected, found = _abnf.chunk_header, http_parser.CHUNK_HEADER
        names = ("chunk_size",)
    else:
        line = b"a:" + line
        expected, found = _abnf.header_field, http_parser.HEADER_LINE
        names = ("field_name", "field_value")
    own, theirs = found.fullmatch(line), re.fullmatch(expected.encode("ascii"), line)
    assert (own is None) == (theirs is None), line
    assert own is None or own.group(*names) == theirs.group(*names), line


MAX_STEPS = 1_000
"""Steps of work on one connection's data between two turns of any other task."""
MANY = 50_000
LIMIT_S = 20.0


class TurnMeter:
    """Measures how many calls of a function come between two turns of another task."""

    def __init__(self, owner, name):
        self.longest = self._count = 0
        self._original = getattr(owner, name)
        self._patch = mock.patch.object(owner, name, lambda *given: self._call(given))

    def _call(self, given):
        self._count += 1
        self.longest = max(self.longest, self._count)
        return self._original(*given)

    async def measure(self, work):
        """Return the result of ``work``, which must leave others their turns."""
        turns = asyncio.create_task(self._take_turns())
        try:
            with self._patch:
                return await asyncio.wait_for(work, LIMIT_S)
        finally:
            turns.cancel()

    async def _take_turns(self):
        while True:
            await asyncio.sleep(0)
            self._count = 0


async def serve_bytes(data):
    """Listen, and answer each connection's first request with ``data``; return the address."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await reader.read()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


RESPONSE_LINES = b"HTTP/1.1 200 OK\r\n"
ONE_CHUNK = b"1\r\nx\r\n"
LAST_CHUNK = b"0\r\n\r\n"
TINY_PIECES = {
    "chunks": RESPONSE_LINES + CHUNKED + MANY * ONE_CHUNK,
    "interim responses": MANY * b"HTTP/1.1 100 \r\n\r\n" + RESPONSE_LINES + CHUNKED,
    "responses to others": (
        MANY * (RESPONSE_LINES + b"Content-Length: 0\r\n\r\n")
        + RESPONSE_LINES
        + b"X-Ours: 1\r\n"
        + CHUNKED
    ),
}


# Guards against a backend that stops the router with a response of many tiny pieces.
def responses_of_tiny_pieces_leave_others_their_turns():
    """Chunks, interim responses and responses to earlier requests don't hold up other tasks."""

    def is_ours(name):
        return lambda head: name != "responses to others" or head.get(b"x-ours") is not None

    async def read(address, name):
        connection = await BackendConnection.connect(address, LIMIT_S)
        await connection.send(RequestHead((), b"GET", b"/x"), [(b"Host", b"h")], b"")
        await connection.read_head(is_ours(name))
        size = sum([len(part) async for part in connection.body_parts()])
        connection.abort()
        return size

    async def play(name, data):
        address = await serve_bytes(data + LAST_CHUNK)
        meter = TurnMeter(h11.Connection, "next_event")
        assert await meter.measure(read(address, name)) == (MANY if name == "chunks" else 0)
        assert meter.longest <= MAX_STEPS, (name, meter.longest)

    for name, data in TINY_PIECES.items():
        asyncio.run(play(name, data))


# Guards against a caller that stops the router with a request body of many tiny chunks.
def a_request_of_tiny_chunks_leaves_others_their_turns():
    """A body of many tiny chunks is received without holding up other tasks."""
    bodies = []

    async def handle(request, answer):
        bodies.append(request.body)
        await answer.whole(*complete_response(200, b""))

    async def accept(reader, writer):
        await CallerConnection(reader, writer, handle, CallerLimits).serve()

    async def send(port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST_LINES + CHUNKED + MANY * ONE_CHUNK + LAST_CHUNK)
        await reader.readuntil(b"\r\n\r\n")
        writer.close()

    async def play():
        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        meter = TurnMeter(h11.Connection, "next_event")
        await meter.measure(send(server.sockets[0].getsockname()[1]))
        assert bodies == [MANY * b"x"]
        assert meter.longest <= MAX_STEPS, meter.longest

    asyncio.run(play())


# Guards against an engine that ends a stream with an unexpected error by an id of many digits.
def an_id_too_long_for_a_number_breaks_the_stream():
    """An id that is no 64-bit number is a typed error, however many digits it has."""
    for digits in (5_000, 60_000, 20):
        try:
            list(EventSplitter().feed(b"id: " + b"1" * digits + b"\n\n"))
        except BackendResponseError:
            continue
        raise AssertionError(f"{digits} digits were accepted")
    (event,) = EventSplitter().feed(b"id: %d\n\n" % (10**18 - 1))
    assert event.event_id == 10**18 - 1


KEEP_ALIVE_TIMEOUTS = (b"\xb2", b"1" * 400, b"1" * 5_000, b"x")


# Guards against a response that is lost to an unexpected error by its Keep-Alive header.
def invalid_keep_alive_timeouts_are_ignored():
    """A response is read whatever the number in its Keep-Alive header."""

    async def play(timeout):
        head = RESPONSE_LINES + b"Keep-Alive: timeout=" + timeout + b"\r\n"
        address = await serve_bytes(head + b"Content-Length: 0\r\n\r\n")
        connection = await BackendConnection.connect(address, LIMIT_S)
        await connection.send(RequestHead((), b"GET", b"/x"), [(b"Host", b"h")], b"")
        assert (await connection.read_head(lambda head: True)).status == 200
        connection.abort()

    for timeout in KEEP_ALIVE_TIMEOUTS:
        asyncio.run(play(timeout))


SMALL_CHUNK = b"2\r\nxy\r\n"
SMALL_CHUNKS = 131_072
BUFFERS_BYTES = 3_000_000
"""Of the sending side here, of the socket's reader and of the parser, together."""


async def peak_memory_bytes(work):
    """Return how much memory was allocated at once while ``work`` ran."""
    tracemalloc.start()
    try:
        await asyncio.wait_for(work, LIMIT_S)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


# Guards against a body of small chunks that takes thirty times its size in memory.
def a_body_of_small_chunks_takes_little_more_than_its_size():
    """A request body in chunks of two bytes takes memory for its bytes, not for its chunks."""
    sizes = []

    async def handle(request, answer):
        sizes.append(len(request.body))
        await answer.whole(*complete_response(200, b""))

    async def accept(reader, writer):
        await CallerConnection(reader, writer, handle, CallerLimits).serve()

    async def send(port, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        await reader.readuntil(b"\r\n\r\n")
        writer.close()

    async def play():
        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        data = REQUEST_LINES + CHUNKED + SMALL_CHUNKS * SMALL_CHUNK + LAST_CHUNK
        peak = await peak_memory_bytes(send(server.sockets[0].getsockname()[1], data))
        assert sizes == [2 * SMALL_CHUNKS]
        assert peak < BUFFERS_BYTES + 4 * sizes[0], peak

    asyncio.run(play())


class UnlimitedWriter:
    """A caller whose connection takes everything at once."""

    has_started = True

    async def write(self, data):
        """Take a part of the body."""


# Guards against an engine that stops the router with many tiny events in one chunk.
def tiny_events_leave_others_their_turns():
    """Many events of one read, relayed or dropped as duplicates, don't hold up other tasks."""

    async def play(event, owner, name):
        relay = StreamRelay(UnlimitedWriter(), 5)
        meter = TurnMeter(owner, name)
        await meter.measure(relay.feed(ResponseHead((), 200), MANY * event))
        assert 0 < meter.longest <= MAX_STEPS, (event, meter.longest)

    asyncio.run(play(b"\n\n", UnlimitedWriter, "write"))
    asyncio.run(play(b"id:1\n\n", StreamRelay, "_is_next"))


PIPELINED = REQUEST_LINES + b"Content-Length: 0\r\nX: " + b"x" * 8_000 + b"\r\n\r\n"
ANSWERED = 30
"""Requests that are answered before the test ends; without a limit each lets more be read ahead."""
HANDLE_S = 0.02


# Guards against memory that grows as long as a caller sends requests faster than they are handled.
def pipelined_requests_are_buffered_up_to_a_limit():
    """The requests that a caller sends ahead are read only up to the limit, however many follow."""
    buffered = []

    async def accept(reader, writer):
        async def handle(request, answer):
            await asyncio.sleep(HANDLE_S)
            buffered.append(len(connection._parser.trailing_data[0]))
            await answer.whole(*complete_response(200, b""))

        connection = CallerConnection(reader, writer, handle, CallerLimits)
        await connection.serve()

    async def send(port):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(PIPELINED * 1_500)
        while len(buffered) < ANSWERED:
            await asyncio.sleep(HANDLE_S)
        writer.transport.abort()

    async def play():
        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        await asyncio.wait_for(send(server.sockets[0].getsockname()[1]), LIMIT_S)
        await asyncio.sleep(HANDLE_S)

    asyncio.run(play())
    assert max(buffered) <= READ_AHEAD_BYTES + READ_BYTES, max(buffered)


EVENT_LOOP_PROPERTIES = {
    "a long event takes linear time": a_long_event_takes_linear_time,
    "an event without end breaks the stream": an_event_without_end_breaks_the_stream,
    "an id too long for a number breaks the stream": (
        an_id_too_long_for_a_number_breaks_the_stream
    ),
    "invalid keep-alive timeouts are ignored": invalid_keep_alive_timeouts_are_ignored,
    "an invalid line of blanks is rejected soon": (
        an_invalid_line_of_blanks_is_rejected_in_linear_time
    ),
    "lines are parsed as by the library": lines_are_parsed_as_by_the_library,
    "responses of tiny pieces hold up no other task": (
        responses_of_tiny_pieces_leave_others_their_turns
    ),
    "requests of tiny chunks hold up no other task": (
        a_request_of_tiny_chunks_leaves_others_their_turns
    ),
    "tiny events hold up no other task": tiny_events_leave_others_their_turns,
    "a body of small chunks takes little memory": (
        a_body_of_small_chunks_takes_little_more_than_its_size
    ),
    "requests sent ahead are buffered up to a limit": pipelined_requests_are_buffered_up_to_a_limit,
}
