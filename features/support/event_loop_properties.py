"""Properties of what others can make this process do: it takes time linear in their bytes."""

import time

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


EVENT_LOOP_PROPERTIES = {
    "a long event takes linear time": a_long_event_takes_linear_time,
    "an event without end breaks the stream": an_event_without_end_breaks_the_stream,
}
