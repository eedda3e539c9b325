"""A router, its backends and callers in one event loop on a thread of its own."""

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
_port_numbers = itertools.count()
PAIRS = Mechanisms(decode_reads_when_calm=False)
"""Scenarios have few streams at a time, and most are about pairs of engines."""
RETRIES = RetrySettings()
TRAITS = EngineTraits(slots=4, memory_tokens=1000, token_bytes=1.0, link_mbps=1000.0)


def free_address():
    """Return an address on loopback that nobody listens on, of this worker's own range.

    A port that the kernel picks may be taken by a connection of another worker before it is bound.
    """
    first = int(os.environ.get(PORT_BASE_VARIABLE, FIRST_PORT))
    for _ in range(PORTS_PER_BLOCK):
        port = first + next(_port_numbers) % PORTS_PER_BLOCK
        if _is_free(port):
            return f"127.0.0.1:{port}"
    raise AssertionError(f"no port is free from {first} on; wait for other test runs to end")


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
    """Return a route with the prefix of its own name."""
    targets = (WeightedTarget(service),)
    options = {"timeout_s": 60.0, "target_s": 2.0, "max_attempts": 2, **options}
    return Route(name, HOST, f"/{name}/", RouteKind(kind), targets=targets, **options)


def table(version, **limits):
    """Return a table with a route of each kind."""
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


class ScriptedState(StateSource):
    """A source that knows what a scenario tells it, and may be silent."""

    def __init__(self, first):
        self.snapshot = first
        self.is_silent = False
        self._changes = asyncio.Queue()

    async def read(self):
        if self.is_silent or self.snapshot is None:
            raise PlatformUnavailable("silent")
        return self.snapshot

    async def wait(self, position, max_duration_s):
        if self.is_silent:
            raise PlatformUnavailable("silent")
        change = await self._changes.get()
        if isinstance(change, Exception):
            raise change
        return change

    def fail(self):
        """Raise what nobody expects from a source."""
        self._changes.put_nowait(RuntimeError("a defect in the source"))

    def tell(self, changes):
        self._changes.put_nowait(changes)


class RouterWorld:
    """Starts and stops everything; ``run`` executes a coroutine in the loop."""

    def __init__(self):
        self.loop = new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self.backends = {}
        self.position = 1
        self._life = []

    def run(self, work):
        """Run ``work`` in the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(LIMIT_S)

    def add_backend(self, name, service, role="", slots=4):
        """Start a backend."""

        async def start():
            self.backends[name] = StandInBackend(name, service, role, slots)
            await self.backends[name].start()

        self.run(start())

    def entry(self, name, is_leaving=False):
        """Return a backend's entry as a registry lists it."""
        backend = self.backends[name]
        return BackendEntry(
            name,
            backend.service,
            backend.address,
            slots=backend.slots,
            role=backend.role,
            is_leaving=is_leaving,
        )

    def snapshot(self, version=1, **limits):
        """Return everything that is listed."""
        entries = {name: self.entry(name) for name in self.backends}
        return StateSnapshot(SourcePosition(0, self.position), table(version, **limits), entries)

    def start_router(
        self,
        snapshot,
        seeds=(),
        address="",
        grace_s=8.0,
        sockets=None,
        mechanisms=PAIRS,
        source=None,
        retries=RETRIES,
        is_first_start=True,
    ):
        """Start a router; return it.

        ``sockets`` listen already, callers' first, by address. ``source`` is read in place of one
        that knows ``snapshot``.
        """
        callers = list(sockets or (free_address(), free_address()))
        settings = RouterSettings(
            RouterProcessSettings("router"),
            RouterCallerSettings(*callers),
            FleetSettings(address or free_address(), seeds, is_first_start=is_first_start),
            StateSettings(free_address()),
            retries,
            StopSettings(grace_s),
            RouterLogSettings(),
            mechanisms,
        )

        async def start():
            router_source = source or ScriptedState(snapshot)
            router = Router(settings, router_source, HeaderDialect(), sockets)
            router.source = router_source
            router.stop_event = asyncio.Event()
            router.life = asyncio.create_task(router.run(router.stop_event))
            self._life.append(router)
            while not router.is_listening:
                if router.life.done():
                    router.life.result()
                await asyncio.sleep(0.005)
            return router

        return self.run(start())

    def wait_for(self, check, what):
        """Wait in the loop until ``check`` holds."""

        async def poll():
            async with asyncio.timeout(LIMIT_S):
                while not check():
                    await asyncio.sleep(0.005)

        try:
            self.run(poll())
        except TimeoutError:
            raise AssertionError(f"never: {what}") from None

    def tell(self, router, changed=(), gone=(), new_table=None):
        """Tell a router of changes through its source, and wait until it knows them."""
        self.position += 1
        changes = StateChanges(
            SourcePosition(0, self.position), new_table, tuple(changed), tuple(gone)
        )
        self.loop.call_soon_threadsafe(router.source.tell, changes)
        self.wait_for(lambda: router.position.revision >= self.position, "changes taken over")

    def close(self):
        """End everything."""

        async def end():
            for router in self._life:
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


class RawCaller:
    """A caller that writes bytes and reads answers, so that nothing is hidden."""

    def __init__(self, world, address):
        self._world = world

        async def connect():
            host, _, port = address.rpartition(":")
            return await asyncio.open_connection(host, int(port))

        self._reader, self._writer = world.run(connect())

    def send(self, data):
        """Write bytes."""
        self._world.loop.call_soon_threadsafe(self._writer.write, data)

    def read_answer(self):
        """Return (status, headers, body, is_whole) of one answer."""
        return self._world.run(self._read_answer())

    def read_until(self, mark):
        """Return the bytes up to and with ``mark``."""
        return self._world.run(self._reader.readuntil(mark))

    def read_all(self):
        """Return what comes until the connection ends."""
        return self._world.run(self._reader.read())

    def read_all_of_answer(self):
        """Read on until the answer is whole or cut off."""
        self._world.run(self._read_to_end())

    def leave(self):
        """Close at once."""
        self._world.loop.call_soon_threadsafe(self._writer.transport.abort)

    async def _read_to_end(self):
        try:
            await self._reader.readuntil(b"\r\n0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return

    def close(self):
        """Close in order, from within the loop."""
        self._writer.close()

    def reset(self):
        """Close with a reset, from within the loop."""
        sock = self._writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._writer.transport.abort()

    def end_sending(self):
        """Close the sending side alone, from within the loop."""
        self._writer.write_eof()

    def stop_reading(self):
        """Leave what comes in the kernel's buffers, from within the loop."""
        self._writer.transport.pause_reading()

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
    """Return one request on a route."""
    lines = [f"{method} /{name}/{path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}"]
    lines += [f"{key}: {value}" for key, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
