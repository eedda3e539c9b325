"""A fake backend that speaks the product's own HTTP dialect and records its requests.

Faults are injected by name through ``faults``: each request consumes the next one, in order.
"""

import asyncio
import contextlib
import dataclasses
import json
import math
import socket

from yokedock.base.clock import boot_time_s
from yokedock_emulator.endless_bytes import FULL_SPEED, write_without_end

DEFAULT_EVENT_COUNT = 6
LAST_CHUNK = b"0\r\n\r\n"
LONG_ERROR_PARTS = 512
LONG_ERROR_PART = b"e" * 65_536
SLOW_BYTE_INTERVAL_S = 0.1
"""Delay before each byte of a slow response body: eleven bytes take 1.1 s."""
COMMENT_INTERVAL_S = 0.1
LARGE_BODY_BYTES = 13_000_000
LARGE_PART_BYTES = 65_536
LARGE_PART_INTERVAL_S = 0.03
"""A large body arrives with 2 MB/s."""
CACHE_PATH = "/cache"


@dataclasses.dataclass
class Arrival:
    """One request as received."""

    method: str
    target: str
    headers: list
    body: bytes
    arrived_s: float = 0.0
    was_closed: bool = False
    has_ended: bool = False
    """Whether its processing has ended, with or without success."""
    crashed_backend: bool = False
    """Whether the backend crashed when it started to run the request."""
    was_unanswered: bool = False
    """Whether it was received on an unresponsive connection, so that nothing was sent back."""

    def header(self, name):
        """Return the first value of a header, or None if it is absent."""
        return next((v for n, v in self.headers if n.lower() == name.lower()), None)


class StandInBackend:
    """One listening backend; ``arrivals`` records the requests that it received."""

    def __init__(self, name, service, role="", slots=4):
        self.name, self.service, self.role, self.slots = name, service, role, slots
        self.version = ""
        self.arrivals = []
        self.faults = []
        self.answer_status = 200
        self.gate = asyncio.Event()
        self.gate.set()
        self.holds_midway = False
        """Whether it sends a part of each response body before it waits for ``gate``."""
        self.body_gate = asyncio.Event()
        self.body_gate.set()
        """While it is clear, request headers are read but bodies are left unread in the socket."""
        self.headers_read = 0
        self.pieces = DEFAULT_EVENT_COUNT
        self.padding = ""
        """Text appended to the data of each event."""
        self.events_written = 0
        self.event_interval_s = 0.0
        self.on_event = lambda number: None
        """Called with the number of each event after it was sent."""
        self.is_leaving = False
        """Whether all its responses announce that it is shutting down."""
        self.limit = None
        """Requests per second that all its responses announce as the limit, as text, or None."""
        self.processing_time_s = lambda arrival: 0.0
        """Returns the processing time of a request before its response starts."""
        self.endless_shape = lambda arrival, headers: None
        """Returns the bytes without end that a request gets as its response, None for a sound one;
        ``headers`` are those of the sound response."""
        self.endless_pace = FULL_SPEED
        self.crashes_after_break = False
        self.is_unframed = False
        """Whether its streams have neither a length nor chunks, and end with the connection."""
        self.crashes_on = lambda arrival: False
        """Returns whether the backend crashes when it starts to run the request."""
        self.on_crash = lambda: None
        """Called after such a request has crashed it."""
        self.clears_cache_after_break = False
        self.cache = {}
        """Cached tokens by prompt part; if None, requests for the contents get no response."""
        self.connections = 0
        self.max_connections = math.inf
        """Maximum number of concurrent connections; further ones are reset."""
        self.resets = 0
        """Number of connections reset because of ``max_connections``."""
        self._late_answer = b""
        self._port = 0
        self._port_holder = None
        self._writers = set()
        self._silent = set()
        self._is_stopped = False
        """Checked per request: a connection may be accepted, but not yet served, at the stop."""

    async def start(self):
        """Listen on any free port, or on the previous port after a stop."""
        self._is_stopped = False
        if self._port_holder is not None:
            self._port_holder.close()
            self._port_holder = None
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, reuse_address=True
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"

    async def stop(self):
        """Close everything at once; the port stays bound so that no other process can take it."""
        self._is_stopped = True
        self._server.close()
        self._port_holder = socket.socket()
        self._port_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_holder.bind(("127.0.0.1", self._port))
        self.break_off()

    def break_off(self):
        """Reset all connections but continue to listen. Must be called in the event loop."""
        for writer in list(self._writers):
            writer.transport.abort()

    def stop_responding(self):
        """Stop responding on all open connections; new ones are served normally."""
        self._silent |= self._writers

    def open_connections(self):
        """Return the writers of all open connections."""
        return set(self._writers)

    def unanswered(self):
        """Return the requests received on unresponsive connections."""
        return [arrival for arrival in self.arrivals if arrival.was_unanswered]

    def runs(self):
        """Return all recorded requests except those for a single stage, such as a prefill."""
        return [a for a in self.arrivals if a.header("X-Stage") is None]

    async def _serve(self, reader, writer):
        self.connections += 1
        if len(self._writers) >= self.max_connections:
            self.resets += 1
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while await self._one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            self._silent.discard(writer)
            writer.close()

    async def _one(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return False
        if self._is_stopped:
            writer.transport.abort()
            return False
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = [tuple(line.split(": ", 1)) for line in lines[1:] if line]
        arrival = Arrival(method, target, headers, b"")
        length = int(arrival.header("Content-Length") or 0)
        self.headers_read += 1
        await self.body_gate.wait()
        arrival.body = await reader.readexactly(length)
        if target == CACHE_PATH and writer in self._silent:
            await reader.read(1)
            return False
        if target == CACHE_PATH:
            return await self._send_cache_contents(arrival, writer)
        arrival.arrived_s = boot_time_s()
        self.arrivals.append(arrival)
        if writer in self._silent:
            arrival.was_unanswered = True
            await self._watch(reader, arrival)
            return False
        if method == "DELETE":
            return self._write_response(writer, arrival, 200, b"", [])
        watch = asyncio.create_task(self._watch(reader, arrival))
        try:
            return await self._answer(arrival, writer)
        finally:
            arrival.has_ended = True
            watch.cancel()
            await asyncio.wait({watch})

    async def _hold_midway(self, arrival, writer):
        writer.write(self._head(arrival, 200, [("Content-Length", "10")]) + b"first")
        await self.gate.wait()
        writer.write(b" last")
        return True

    def _cache_prompt(self, arrival):
        parts = (part.split(":") for part in (arrival.header("X-Prompt-Parts") or "").split(","))
        if self.cache is not None:
            self.cache.update({name: int(tokens) for name, tokens in parts})

    async def _send_cache_contents(self, arrival, writer):
        if self.cache is None:
            await asyncio.sleep(3600)
        held = [["", part, tokens, "m"] for part, tokens in self.cache.items()]
        return self._write_response(writer, arrival, 200, json.dumps({"held": held}).encode(), [])

    async def _watch(self, reader, arrival):
        """Record that the caller closed or reset the connection during the request."""
        with contextlib.suppress(ConnectionError):
            await reader.read(1)
        arrival.was_closed = True

    async def _answer(self, arrival, writer):
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "reset":
            writer.transport.abort()
            return False
        if fault == "silent":
            await asyncio.sleep(3600)
        if fault == "refuse":
            return self._write_response(writer, arrival, 503, b"full", [("X-Not-Run", "1")])
        if fault.startswith("rest "):
            extra = [("X-Not-Run", "1"), ("Retry-After", fault.removeprefix("rest "))]
            return self._write_response(writer, arrival, 503, b"busy", extra)
        if arrival.header("X-Expected-Backend") not in (None, self.name):
            return self._write_response(writer, arrival, 421, b"", [])
        if fault == "late answer to another":
            self._write_response(writer, arrival, 200, b"foreign", [], request_id="somebody-else")
        if fault == "error":
            return self._write_response(
                writer, arrival, 500, b"broken", [("X-Signature", self.name)]
            )
        signed = [("X-Request-Id", arrival.header("X-Request-Id")), ("X-Signature", self.name)]
        if (shape := self.endless_shape(arrival, signed)) is not None:
            await write_without_end(writer, shape, self.endless_pace)
        if self.holds_midway:
            return await self._hold_midway(arrival, writer)
        await self.gate.wait()
        await asyncio.sleep(self.processing_time_s(arrival))
        is_run = arrival.header("X-Stage") is None
        if is_run and self.crashes_on(arrival):
            await self._crash_during(arrival, writer)
            return False
        if self.role:
            self._cache_prompt(arrival)
        if arrival.header("X-Stage") == "prefill":
            body = json.dumps({"handle": f"h{len(self.arrivals)}", "tokens": 5}).encode()
            return self._write_response(writer, arrival, 200, body, [], signed=False)
        if self.role:
            return await self._stream(arrival, writer, fault)
        return await self._whole(arrival, writer, fault)

    async def _crash_during(self, arrival, writer):
        """Send the start of a response, then crash, which aborts all requests on this backend."""
        arrival.crashed_backend = True
        framing = [] if self.is_unframed else [("Transfer-Encoding", "chunked")]
        writer.write(self._head(arrival, 200, framing))
        await writer.drain()
        if self.is_unframed:
            writer.close()
            await asyncio.sleep(0.001)
        await self.stop()
        self.on_crash()

    def _head(self, arrival, status, extra, signed=True, request_id=None):
        named = request_id or arrival.header("X-Request-Id")
        lines = [f"HTTP/1.1 {status} Status", f"X-Request-Id: {named}"]
        lines += [f"X-Signature: {self.name}"] if signed else []
        lines += ["X-Backend-Leaving: 1"] if self.is_leaving else []
        lines += [f"X-Backend-Limit: {self.limit}"] if self.limit is not None else []
        lines += [f"{name}: {value}" for name, value in extra]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _write_response(self, writer, arrival, status, body, extra, signed=True, request_id=None):
        signed = signed and status == 200
        extra = [*extra, ("Content-Length", str(len(body)))]
        writer.write(self._head(arrival, status, extra, signed, request_id) + body)
        return True

    async def _whole(self, arrival, writer, fault):
        body = b"answer of " + self.name.encode()
        if fault == "cut":
            writer.write(self._head(arrival, 200, [("Content-Length", "100")]) + body)
            await writer.drain()
            writer.transport.abort()
            return False
        if fault == "flows slowly":
            writer.write(self._head(arrival, 200, [("Content-Length", str(len(body)))]))
            for byte in body:
                await writer.drain()
                await asyncio.sleep(SLOW_BYTE_INTERVAL_S)
                writer.write(bytes([byte]))
            return True
        if fault == "large":
            writer.write(self._head(arrival, 200, [("Content-Length", str(LARGE_BODY_BYTES))]))
            for first in range(0, LARGE_BODY_BYTES, LARGE_PART_BYTES):
                await writer.drain()
                await asyncio.sleep(LARGE_PART_INTERVAL_S)
                writer.write(b"x" * min(LARGE_PART_BYTES, LARGE_BODY_BYTES - first))
            return True
        if fault == "ends with the connection":
            writer.write(self._head(arrival, 200, [("Connection", "close")]) + body)
            await writer.drain()
            return False
        if fault == "ends with the connection, stops in the body":
            writer.write(self._head(arrival, 200, [("Connection", "close")]) + body[:3])
            await asyncio.sleep(3600)
        if fault == "encoded":
            return self._write_response(writer, arrival, 200, body, [("Content-Encoding", "gzip")])
        self._write_response(writer, arrival, self.answer_status, body, [("X-Own", "kept")])
        if fault == "bytes behind":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
        return True

    async def _stream_unframed(self, arrival, writer, fault):
        """Write a stream with neither a length nor chunks, which ends with its connection."""
        first = int(arrival.header("Last-Event-Id") or 0) + 1
        writer.write(self._head(arrival, 200, []))
        for number in range(first, self.pieces + 1):
            event = f"id: {number}\ndata: piece {number} of {self.name}\n\n".encode()
            if fault == f"unframed, ends before event {number}":
                return False
            if fault == f"unframed, ends within event {number}":
                writer.write(event[:9])
                return False
            writer.write(event)
            await writer.drain()
            if fault == f"wait after event {number}":
                await asyncio.sleep(3600)
        return False

    async def _write_error(self, arrival, writer, stalls):
        """Write an error response whose body is long, or stops coming after its first part."""
        framing = [("Transfer-Encoding", "chunked"), ("X-Signature", self.name)]
        writer.write(self._head(arrival, 400, framing, signed=False))
        for _ in range(LONG_ERROR_PARTS):
            writer.write(b"%x\r\n%s\r\n" % (len(LONG_ERROR_PART), LONG_ERROR_PART))
            await writer.drain()
            if stalls:
                await asyncio.sleep(3600)
        writer.write(LAST_CHUNK)
        return True

    async def _write_comments(self, writer, duration_s):
        """Write comments, which bring the caller nothing, for some time."""
        until_s = boot_time_s() + duration_s
        while boot_time_s() < until_s:
            writer.write(b"8\r\n: wait\n\n\r\n")
            await asyncio.sleep(COMMENT_INTERVAL_S)

    async def _write_without_end(self, writer):
        """Write bytes that never become an event until the router closes the connection."""
        part = b"x" * 65_536
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()

    async def _stream(self, arrival, writer, fault):
        if fault in ("long error", "stalled error"):
            return await self._write_error(arrival, writer, fault == "stalled error")
        if self.is_unframed or fault.startswith("unframed"):
            return await self._stream_unframed(arrival, writer, fault)
        first = int(arrival.header("Last-Event-Id") or 0) + 1
        writer.write(self._head(arrival, 200, [("Transfer-Encoding", "chunked")]))
        for number in range(first, self.pieces + 1):
            event = f"id: {number}\ndata: piece {number} of {self.name}{self.padding}\n\n".encode()
            if fault == f"break within event {number}":
                writer.write(b"%x\r\n%s" % (len(event), event[:9]))
                await writer.drain()
                if self.crashes_after_break:
                    self._server.close()
                if self.clears_cache_after_break:
                    self.cache.clear()
                writer.transport.abort()
                return False
            if fault == f"lose event {number}":
                continue
            if fault == f"endless event {number}":
                return await self._write_without_end(writer)
            if fault == f"double event {number}":
                event += event
            if fault.startswith("comments for ") and number == first:
                await self._write_comments(writer, float(fault.split()[2]))
            if writer in self._silent:
                await asyncio.sleep(3600)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            self.events_written += 1
            await asyncio.sleep(0)
            if fault == f"wait after event {number}":
                await asyncio.sleep(3600)
            if fault.startswith("pause ") and fault.endswith(f" s after event {number}"):
                await asyncio.sleep(float(fault.split()[1]))
            if fault == f"fall silent after event {number}":
                self._silent.add(writer)
            self.on_event(number)
            if self.event_interval_s:
                await asyncio.sleep(self.event_interval_s)
        writer.write(b"0\r\n\r\n")
        return True
