"""Properties of what others can make this process do: it takes time linear in their bytes."""

import re
import time

import h11
from h11 import _abnf
from hypothesis import strategies as st

from support.search import searched
from yokedock.connection import http_parser
from yokedock.connection.event_stream import MAX_EVENT_BYTES, EventSplitter
from yokedock.router_errors import BackendResponseError

MAX_BUSY_S = 0.5
"""A request must be answered this long after its time-out, whatever other requests do."""
SMALL_PART_BYTES = 16


def feed_time_s(data, part_bytes):
    """Return the processor time in which a splitter takes ``data`` in parts of this size."""
    splitter = EventSplitter()
    began_s = time.thread_time()
    for position in range(0, len(data), part_bytes):
        splitter.feed(data[position : position + part_bytes])
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
            found += splitter.feed(whole[position : position + part_bytes])
        assert [event.data for event in found] == [whole]
    for too_long in (b"x" + whole, b"x" * (MAX_EVENT_BYTES + 1)):
        try:
            EventSplitter().feed(too_long)
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


EVENT_LOOP_PROPERTIES = {
    "a long event takes linear time": a_long_event_takes_linear_time,
    "an event without end breaks the stream": an_event_without_end_breaks_the_stream,
    "an invalid line of blanks is rejected soon": (
        an_invalid_line_of_blanks_is_rejected_in_linear_time
    ),
    "lines are parsed as by the library": lines_are_parsed_as_by_the_library,
}
