"""Bytes that a backend in trouble sends without end: in place of a response, or within one.

Each shape is valid HTTP as far as it goes, so that only its length tells that nothing will come of
it. Shapes of streams are valid event streams that bring their reader nothing.
"""

from __future__ import annotations

import asyncio
import dataclasses

from yokedock_emulator.plain_http import answer_head, chunk, complete_response

Headers = list[tuple[str, str]]
HUGE_BYTES = 10**12
CHUNKED = ("Transfer-Encoding", "chunked")


@dataclasses.dataclass(frozen=True)
class Pace:
    """How fast bytes without end come."""

    part_bytes: int
    """Bytes in one write, at least one repetition."""
    interval_s: float
    """Pause between two writes."""


SLOW = Pace(1, 0.05)
FAST = Pace(4_096, 0.01)
FULL_SPEED = Pace(65_536, 0.0)
"""As fast as the reader takes them; not for simulated time, which would not pass."""


@dataclasses.dataclass(frozen=True)
class EndlessShape:
    """Bytes to begin with, and bytes that are repeated until the connection is closed."""

    start: bytes
    repeated: bytes


def head_shapes(headers: Headers) -> dict[str, EndlessShape]:
    """Return shapes whose head never ends; ``headers`` are those of the sound response."""
    first_line = answer_head(200, headers).removesuffix(b"\r\n")
    interim = b"HTTP/1.1 102 Processing\r\n\r\n"
    other = complete_response(200, [("X-Request-Id", "somebody-else")], b"stray")
    return {
        "status line": EndlessShape(b"HTTP/1.1 200 ", b"x"),
        "header line": EndlessShape(first_line + b"X-Long: ", b"x"),
        "header lines": EndlessShape(first_line, b"X-More: 1\r\n"),
        "interim responses": EndlessShape(b"", interim),
        "responses to somebody else": EndlessShape(b"", other),
        "no HTTP": EndlessShape(b"", b"\0"),
    }


def body_shapes(headers: Headers, status: int = 200) -> dict[str, EndlessShape]:
    """Return shapes whose body never ends, one for each kind of framing."""
    chunked = answer_head(status, [*headers, CHUNKED])
    return {
        "length": EndlessShape(
            answer_head(status, [*headers, ("Content-Length", str(HUGE_BYTES))]), b"x"
        ),
        "chunks": EndlessShape(chunked, chunk(b"x")),
        "one chunk": EndlessShape(chunked + b"%x\r\n" % HUGE_BYTES, b"x"),
        "chunk extension": EndlessShape(chunked + b"5;", b"x"),
        "trailers": EndlessShape(chunked + chunk(b"x") + b"0\r\n", b"X-More: 1\r\n"),
        "end of the connection": EndlessShape(answer_head(status, headers), b"x"),
    }


def stream_shapes(headers: Headers, first_event: bytes = b"") -> dict[str, EndlessShape]:
    """Return shapes of event streams without use; ``first_event`` is sent before they begin."""
    start = answer_head(200, [*headers, CHUNKED])
    start += chunk(first_event) if first_event else b""
    contents = {
        "no event": b"x",
        "blank lines": b"\n\n",
        "comments": b": wait\n\n",
        "empty events": b"event: wait\n\n",
    }
    if first_event:
        contents["old events"] = first_event
    return {name: EndlessShape(start, chunk(content)) for name, content in contents.items()}


async def write_without_end(writer: asyncio.StreamWriter, shape: EndlessShape, pace: Pace) -> None:
    """Write a shape until the reader closes the connection.

    Raises ``ConnectionError`` then.
    """
    writer.write(shape.start)
    part = shape.repeated * -(-pace.part_bytes // len(shape.repeated))
    while not writer.is_closing():
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(pace.interval_s)
    raise ConnectionResetError("the reader has closed the connection")
