"""Runs a router, its backends and callers in one event loop on a separate thread."""

import asyncio
import itertools
import os
import socket
import struct
import threading

from support.port_blocks import FIRST_PORT, PORTS_PER_BLOCK
from support.processes import PORT_BASE_VARIABLE
from support.stand_in_backend import StandInBackend
from yokedock.base.clock import new_event_loop
from yokedock.connection.header_dialect import HeaderDialect
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import (
    BackendEntry,
    StateChanges,
    StateSnapshot,
    StateSource,
)
from yokedock.errors import PlatformUnavailable
from yokedock.process.router import Router
from yokedock.process.router_settings import (
    FleetSettings,
    RetrySettings,
    RouterCallerSettings,
    RouterLogSettings,
    RouterProcessSettings,
    RouterSettings,
    StateSettings,
    StopSettings,
)
from yokedock.request.mechanisms import Mechanisms
from yokedock.version.route_table import (
    CallerLimits,
    EngineTraits,
    Route,
    RouteKind,
    RouteTable,
    ServiceSpec,
    WeightedTarget,
)

HOST = "hut.example"
LIMIT_S = 20.0
_port_offsets = itertools.count()
ENGINE_PAIRS_ONLY = Mechanisms(decode_reads_when_calm=False)
"""Disables prefills on decode engines at low load: scenarios have few concurrent streams, and most
test pairs of a prefill and a decode engine."""
DEFAULT_RETRY_SETTINGS = RetrySettings()
TRAITS = EngineTraits(slots=4, memory_tokens=1000, token_bytes=1.0, link_mbps=1000.0)


def free_address():
    """Return an unused loopback address in the port block of this test worker.

    An ephemeral port chosen by the kernel could be taken by an outgoing connection of another
    worker before it is bound.
    """
    first = int(os.environ.get(PORT_BASE_VARIABLE, FIRST_PORT))
    for _ in range(PORTS_PER_BLOCK):
        port = first + next(_port_offsets) % PORTS_PER_BLOCK
        if _is_free(port):
            return f"127.0.0.1:{port}"
    raise AssertionError(f"no free port in the block at {first}; wait for other test runs to end")


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            if kind == socket.SOCK_STREAM:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def route(name, service, kind, **options):
    """Return a route whose path prefix is its name."""
    targets = (WeightedTarget(service),)
    options = {"timeout_s": 60.0, "target_s": 2.0, "max_attempts": 2, **options}
    return Route(name, HOST, f"/{name}/", RouteKind(kind), targets=targets, **options)


def table(version, **limits):
    """Return a route table with routes of each kind."""
    routes = (
        route("repeat", "plain", "repeatable"),
        route("once", "plain", "once"),
        route("chat", "llm", "stream", resumable=True),
        route("talk", "llm", "stream", max_attempts=1),
        route("brief", "plain", "once", timeout_s=0.4),
        route("thrice", "plain", "repeatable", max_attempts=3),
    )
    services = {"plain": ServiceSpec("plain"), "llm": ServiceSpec("llm", engine=TRAITS)}
    return RouteTable(version, routes, services, CallerLimits(**limits))


class ScriptedStateSource(StateSource):
    """A state source controlled by the scenario; it can be made unresponsive."""

    def __init__(self, first):
        self.snapshot = first
        self.position = first.position if first is not None else SourcePosition()
        self.is_silent = False
        self.is_cut = False
        """Whether calls get no answer at all."""
        self._changes = asyncio.Queue()

    async def read(self):
        if self.is_silent or self.snapshot is None:
            raise PlatformUnavailable("state source does not respond")
        return self.snapshot

    async def wait(self, position, max_duration_s):
        if self.is_silent:
            raise PlatformUnavailable("state source does not respond")
        change = await self._changes.get()
        if self.is_cut:
            await asyncio.Event().wait()
        if isinstance(change, Exception):
            raise change
        return change

    async def current_position(self):
        if self.is_cut:
            await asyncio.Event().wait()
        if self.is_silent:
            raise PlatformUnavailable("state source does not respond")
        return self.position

    def fail(self):
        """Make ``wait`` raise an exception that routers do not expect."""
        self._changes.put_nowait(RuntimeError("unexpected error in the state source"))

    def tell(self, changes):
        self.position = changes.position
        self._changes.put_nowait(changes)


class RouterWorld:
    """Starts and stops backends and routers; ``run`` executes a coroutine in the loop."""

    origin_store_port = 0
    """Port of the origin stores that routers use, 0 if none run."""

    def __init__(self):
        self.loop = new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self.backends = {}
        self.position = 1
        self._started_routers = []

    def run(self, work):
        """Run ``work`` in the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(LIMIT_S)

    def add_backend(self, name, service, role="", slots=4):
        """Create a backend and start to listen."""

        async def start():
            self.backends[name] = StandInBackend(name, service, role, slots)
            await self.backends[name].start()

        self.run(start())

    def entry(self, name, is_leaving=False):
        """Return the registry entry of a backend."""
        backend = self.backends[name]
        return BackendEntry(
            name,
            backend.service,
            backend.address,
            slots=backend.slots,
            role=backend.role,
            is_leaving=is_leaving,
            version=backend.version,
        )

    def snapshot(self, version=1, **limits):
        """Return a snapshot with the route table and all backends."""
        entries = {name: self.entry(name) for name in self.backends}
        return StateSnapshot(SourcePosition(0, self.position), table(version, **limits), entries)

    def start_router(
        self,
        snapshot,
        seeds=(),
        address="",
        grace_s=8.0,
        sockets=None,
        mechanisms=ENGINE_PAIRS_ONLY,
        source=None,
        retries=DEFAULT_RETRY_SETTINGS,
        is_first_start=True,
    ):
        """Start a router and return it once it listens.

        ``sockets`` are listening sockets by address, the one for callers first. ``source`` is used
        instead of a scripted source with ``snapshot``.
        """
        callers = list(sockets or (free_address(), free_address()))
        settings = RouterSettings(
            RouterProcessSettings("router"),
            RouterCallerSettings(*callers),
            FleetSettings(
                address or free_address(),
                seeds,
                is_first_start=is_first_start,
                origin_store_port=self.origin_store_port,
            ),
            StateSettings(free_address()),
            retries,
            StopSettings(grace_s),
            RouterLogSettings(),
            mechanisms,
        )

        async def start():
            router_source = source or ScriptedStateSource(snapshot)
            router = Router(settings, router_source, HeaderDialect(), sockets)
            router.source = router_source
            router.stop_event = asyncio.Event()
            record_servers(router)
            router.life = asyncio.create_task(router.run(router.stop_event))
            self._started_routers.append(router)
            while not router.is_listening:
                if router.life.done():
                    router.life.result()
                await asyncio.sleep(0.005)
            return router

        return self.run(start())

    def kill_router(self, router):
        """Abort all of a router's connections and close its sockets, like the end of a process."""

        async def kill():
            router.life.cancel()
            await asyncio.wait({router.life})
            for server in router.servers:
                server.close()
            for connection in list(router._connections):
                connection.abort()
            transport, router._gossip._transport = router._gossip._transport, None
            transport.abort()
            await asyncio.sleep(0)

        self.run(kill())

    def wait_for(self, check, what):
        """Wait until ``check``, evaluated in the loop, returns true."""

        async def poll():
            async with asyncio.timeout(LIMIT_S):
                while not check():
                    await asyncio.sleep(0.005)

        try:
            self.run(poll())
        except TimeoutError:
            raise AssertionError(f"timed out waiting for: {what}") from None

    def tell(self, router, changed=(), gone=(), new_table=None):
        """Send changes through the source of a router, and wait until it has applied them."""
        self.position += 1
        changes = StateChanges(
            SourcePosition(0, self.position), new_table, tuple(changed), tuple(gone)
        )
        self.loop.call_soon_threadsafe(router.source.tell, changes)
        self.wait_for(lambda: router.position.revision >= self.position, "changes applied")

    def close(self):
        """Stop all routers and backends, cancel the remaining tasks, and close the loop."""

        async def end():
            for router in self._started_routers:
                router.life.cancel()
            for backend in self.backends.values():
                await backend.stop()
            others = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

        self.run(end())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()


def record_servers(router):
    """Record the servers that a router opens in ``router.servers``."""
    listen, router.servers = router._listen, []

    async def listen_and_record(address, accept):
        server = await listen(address, accept)
        router.servers.append(server)
        return server

    router._listen = listen_and_record


class RawCaller:
    """An HTTP caller that works on raw bytes, so that tests see each response as sent."""

    def __init__(self, world, address):
        self._world = world

        async def connect():
            host, _, port = address.rpartition(":")
            return await asyncio.open_connection(host, int(port))

        self._reader, self._writer = world.run(connect())

    def send(self, data):
        """Write ``data`` to the connection."""
        self._world.loop.call_soon_threadsafe(self._writer.write, data)

    def send_slowly(self, data, interval_s):
        """Write ``data`` a byte at a time until the response comes; return it."""
        return self._world.run(self._send_slowly(data, interval_s))

    def read_answer(self):
        """Return (status, headers, body, is_whole) of one response."""
        return self._world.run(self._read_answer())

    def read_until(self, mark):
        """Return the received bytes up to and including ``mark``."""
        return self._world.run(self._reader.readuntil(mark))

    def read_to_eof(self):
        """Return all bytes until the end of the connection."""
        return self._world.run(self._reader.read())

    def read_to_end_of_response(self):
        """Read until the end of a chunked response or of the connection."""
        self._world.run(self._read_to_last_chunk())

    def leave(self):
        """Abort the connection."""
        self._world.loop.call_soon_threadsafe(self._writer.transport.abort)

    async def _read_to_last_chunk(self):
        try:
            await self._reader.readuntil(b"\r\n0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return

    def close(self):
        """Close the connection normally. Must be called in the event loop."""
        self._writer.close()

    def reset(self):
        """Close with a TCP reset. Must be called in the event loop."""
        sock = self._writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._writer.transport.abort()

    def half_close(self):
        """Half-close: shut down the sending side only. Must be called in the event loop."""
        self._writer.write_eof()

    def stop_reading(self):
        """Leave received data in the kernel's buffers. Must be called in the event loop."""
        self._writer.transport.pause_reading()

    async def _send_slowly(self, data, interval_s):
        async def write():
            for byte in data:
                await asyncio.sleep(interval_s)
                self._writer.write(bytes([byte]))

        writing = asyncio.create_task(write())
        try:
            return await self._read_answer()
        finally:
            writing.cancel()

    async def _read_answer(self):
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in head[1:] if line)}
        if "content-length" in headers:
            body = await self._reader.readexactly(int(headers["content-length"]))
            return status, headers, body, True
        body, is_whole = b"", False
        try:
            while True:
                size = int(await self._reader.readuntil(b"\r\n"), 16)
                chunk = await self._reader.readexactly(size + 2)
                body += chunk[:-2]
                if not size:
                    is_whole = True
                    break
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            body += getattr(error, "partial", b"")
        return status, headers, body, is_whole


def request_bytes(name, method="POST", path="x?y=%2F&z", body=b"", headers=(), request_id="r-1"):
    """Return the bytes of one HTTP request for a route."""
    lines = [f"{method} /{name}/{path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}"]
    lines += [f"{key}: {value}" for key, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
