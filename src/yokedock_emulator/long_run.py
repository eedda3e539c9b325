"""A long run of one deployed router: what it holds, and what a request costs, must stay flat.

The router runs as the deploy file builds it. Backends, the store of routes and all callers live in
this process. Backends are replaced under new names, every configuration renames all routes, callers
come and go, and the metrics page is read all the while.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import os
import random
import socket
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from yokedock.platform.documents import (
    ONCE_KIND,
    REPEATABLE_KIND,
    STREAM_KIND,
    StoredConfiguration,
    StoredEngine,
    StoredRoute,
    StoredServer,
    StoredService,
)
from yokedock.platform.headers import PLATFORM_HEADERS
from yokedock.process.router import METRICS_PATH
from yokedock.request.engine_placement import DECODE_ROLE, PREFILL_ROLE
from yokedock_emulator.deployed_router import DeployedRouter
from yokedock_emulator.header_backend import HeaderBackend
from yokedock_emulator.process_group import processor_s, resident_bytes
from yokedock_emulator.state_store import StateStore

HOST = "long.example"
TARGET_MS = 10.0
KINDS = {"once": 0.5, "repeat": 0.2, "chat": 0.15, "idle": 0.1, "unknown": 0.05}
"""Kinds of requests and their shares. No backend serves ``idle``, no route matches ``unknown``."""
EXPECTED = {"once": 200, "repeat": 200, "chat": 200, "idle": 503, "unknown": 404}
SERVICES = {"once": "plain", "repeat": "plain", "chat": "model", "idle": "nobody"}
STORED_KINDS = {
    "once": ONCE_KIND,
    "idle": ONCE_KIND,
    "repeat": REPEATABLE_KIND,
    "chat": STREAM_KIND,
}
LEAVING_SHARE = 0.01
"""Share of requests whose caller leaves before the answer."""
MOST_A_CONNECTION = 40
KEPT_VERSIONS = 3
"""Versions of the configuration whose routes stand in each."""
STARTED_LIMIT_S = 20.0
POLL_S = 0.05
OLD_BACKEND_S = 1.5
"""A replaced backend goes on serving for this long after its entry went."""
MS_A_SECOND = 1000
MB = 1_000_000


@dataclasses.dataclass(frozen=True)
class LongRunPlan:
    """How long and how hard. The run ends with ``requests`` or after ``duration_s``."""

    requests: int = 1_000_000
    duration_s: float = 600.0
    callers: int = 24
    routes: int = 200
    """Routes of each kind in one configuration."""
    configuration_s: float = 2.0
    """A new configuration, with new names for all routes, is published this often."""
    replace_s: float = 0.5
    """A backend is replaced this often."""
    sample_s: float = 10.0
    seed: int = 1


class LongRunSample(msgspec.Struct, frozen=True):
    """What was seen at one moment. ``tables`` holds the router's own counts of what it keeps."""

    at_s: float
    """Seconds since the beginning."""
    requests: int
    resident_mb: float
    descriptors: int
    processor_us_a_request: float
    median_ms: float
    tables: dict[str, float]


class LongRunReport(msgspec.Struct, frozen=True):
    """The whole run."""

    answers: dict[str, int]
    """Answers by kind and status."""
    unexpected: list[str]
    """The first answers that were not as they should be."""
    metrics_pages: int
    failed_metrics_pages: int
    samples: list[LongRunSample]


class RawExchange:
    """One connection of a caller; sends a request and reads the whole answer."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap an open connection; use ``connect``."""
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, address: str) -> RawExchange:
        """Open a connection to ``address`` (IP:port)."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, data: bytes) -> None:
        """Send the bytes of one request."""
        self._writer.write(data)

    async def read(self) -> tuple[int, bytes]:
        """Return status and body of one answer."""
        head = (await self._reader.readuntil(b"\r\n\r\n")).lower()
        status = int(head[9:12])
        length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
        if length:
            return status, await self._reader.readexactly(int(length))
        body = b""
        while size := int(await self._reader.readuntil(b"\r\n"), 16):
            body += await self._reader.readexactly(size)
            await self._reader.readexactly(2)
        await self._reader.readexactly(2)
        return status, body

    def leave(self) -> None:
        """Close at once."""
        self._writer.transport.abort()


class LongRun:
    """One run; ``run`` is its life."""

    def __init__(self, plan: LongRunPlan, router: DeployedRouter, output: int) -> None:
        """Drive a router that is built already; its logs go to the descriptor ``output``."""
        self._plan = plan
        self._router = router
        self._output = output
        self._random = random.Random(plan.seed)
        self._store = StateStore()
        self._backends: dict[str, HeaderBackend] = {}
        self._version = 0
        self._next_backend = 0
        self._answers: collections.Counter[str] = collections.Counter()
        self._unexpected: list[str] = []
        self._held_ms: list[float] = []
        self._pages = 0
        self._failed_pages = 0
        self._samples: list[LongRunSample] = []
        self._sent = 0
        self._started_s = time.monotonic()
        self._listen = self._ready = self._fleet = ""
        self._process: subprocess.Popen[bytes] | None = None
        self._last_sampled = (0, 0.0)

    async def run(self) -> LongRunReport:
        """Run to the end; raises ``AssertionError`` if the router does not start."""
        await self._set_up()
        try:
            await self._drive()
        finally:
            await self._tear_down()
        return LongRunReport(
            dict(sorted(self._answers.items())),
            self._unexpected,
            self._pages,
            self._failed_pages,
            self._samples,
        )

    async def _set_up(self) -> None:
        await self._store.start()
        for _ in range(4):
            await self._add_backend("plain", "")
        await self._add_backend("model", PREFILL_ROLE)
        for _ in range(3):
            await self._add_backend("model", DECODE_ROLE)
        self._publish()
        self._publish()
        self._start_router()
        async with asyncio.timeout(STARTED_LIMIT_S):
            while not await self._is_ready():
                await asyncio.sleep(POLL_S)

    async def _drive(self) -> None:
        plan = self._plan
        background = [
            asyncio.create_task(self._every(plan.configuration_s, self._republish)),
            asyncio.create_task(self._every(plan.replace_s, self._replace_backend)),
            asyncio.create_task(self._every(plan.sample_s, self._sample)),
        ]
        callers = [asyncio.create_task(self._call(number)) for number in range(plan.callers)]
        try:
            async with asyncio.timeout(plan.duration_s):
                await asyncio.gather(*callers)
        except TimeoutError:
            pass
        finally:
            for task in [*background, *callers]:
                task.cancel()
            await asyncio.gather(*background, *callers, return_exceptions=True)
        await self._sample()

    async def _tear_down(self) -> None:
        if self._process is not None:
            self._process.terminate()
            await asyncio.to_thread(self._process.wait)
        for backend in self._backends.values():
            backend.stop()
        self._store.stop()

    # --- What the operator and the platform do ---

    def _start_router(self) -> None:
        ports = _free_ports(3)
        self._listen, self._ready, self._fleet = (f"127.0.0.1:{port}" for port in ports)
        fields = {
            "nodeName": "router-1",
            "zone": "zone-1",
            "listenAddrs": {"frontend": self._listen, "ready": self._ready},
            "ipAddress": "127.0.0.1",
            "internalPortRange": [ports[2], ports[2]],
            "seedNodes": [],
            "bootstrap": True,
            "platform": {"address": self._store.address},
            "bounds": {
                "leaseMs": 3000,
                "retryBudgetRatio": 0.2,
                "retryWindowS": 10,
                "retryAllowance": 54,
                "graceS": 8,
            },
        }
        self._process = self._router.start(fields, self._output)

    async def _is_ready(self) -> bool:
        assert self._process is not None
        assert self._process.poll() is None, "the router ended; look at its log"
        try:
            status, _ = await _get(self._ready, "/readiness")
        except OSError:
            return False
        return status == 200

    async def _every(self, interval_s: float, work: Callable[[], Awaitable[None]]) -> None:
        while True:
            await asyncio.sleep(interval_s)
            await work()

    async def _add_backend(self, service: str, role: str) -> str:
        self._next_backend += 1
        instance = f"i-{self._next_backend}"
        backend = HeaderBackend(instance, PLATFORM_HEADERS, role)
        await backend.start()
        self._backends[instance] = backend
        server = StoredServer(service, backend.address, "zone-1", 64, "ready", role)
        self._store.put_server(instance, server)
        return instance

    async def _replace_backend(self) -> None:
        """Replace the oldest backend that is no prefill engine by one of another name."""
        instance, old = next(
            (name, backend)
            for name, backend in self._backends.items()
            if backend.role != PREFILL_ROLE
        )
        await self._add_backend("model" if old.role else "plain", old.role)
        del self._backends[instance]
        self._store.remove_server(instance)
        asyncio.get_running_loop().call_later(OLD_BACKEND_S, old.stop)

    async def _republish(self) -> None:
        self._publish()

    def _publish(self) -> None:
        """Publish a configuration with the routes of this version and of those before.

        Callers use the routes of the version before the newest, which stand in the configuration
        before, in this one and in the next: a request on its way when one of them comes into force
        still finds its route.
        """
        self._version += 1
        versions = range(self._version - KEPT_VERSIONS + 1, self._version + 1)
        routes = [route for version in versions for route in self._routes(version)]
        engine = StoredEngine(slot_count=64, kv_capacity=1_000_000, kv_token_bytes=1.0)
        services = (
            StoredService("plain"),
            StoredService("model", engine=engine),
            StoredService("nobody"),
        )
        self._store.publish(StoredConfiguration(self._version, tuple(routes), services))

    def _routes(self, version: int) -> list[StoredRoute]:
        return [
            StoredRoute(
                name=_route_name(kind, version, number),
                host=HOST,
                path_prefix=f"/{_route_name(kind, version, number)}/",
                route_type=STORED_KINDS[kind],
                timeout_ms=10_000.0,
                target_latency_ms=TARGET_MS,
                service=service,
                max_attempts=2,
                resumable=kind == "chat",
            )
            for kind, service in SERVICES.items()
            for number in range(self._plan.routes)
        ]

    # --- What callers do ---

    async def _call(self, number: int) -> None:
        choices = random.Random(f"{self._plan.seed}-{number}")
        while self._sent < self._plan.requests:
            exchange = await RawExchange.connect(self._listen)
            try:
                for _ in range(choices.randint(1, MOST_A_CONNECTION)):
                    if not await self._one_request(exchange, choices):
                        break
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                self._note_unexpected(f"connection: {error!r}")
            finally:
                exchange.leave()

    async def _one_request(self, exchange: RawExchange, choices: random.Random) -> bool:
        """Send one request; return False when the caller has left."""
        kind = choices.choices(list(KINDS), list(KINDS.values()))[0]
        number = choices.randrange(self._plan.routes)
        self._sent += 1
        started_s = time.monotonic()
        exchange.send(self._request(kind, number))
        if choices.random() < LEAVING_SHARE:
            await asyncio.sleep(0)
            return False
        status, _ = await exchange.read()
        self._held_ms.append((time.monotonic() - started_s) * MS_A_SECOND)
        self._answers[f"{kind} {status}"] += 1
        if status != EXPECTED[kind]:
            self._note_unexpected(f"{kind}: {status}")
        return True

    def _request(self, kind: str, number: int) -> bytes:
        path = f"/{_route_name(kind, self._version - 1, number)}/x"
        names = PLATFORM_HEADERS
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"{names.request_id}: r{self._sent}",
            f"{names.deadline_ms}: 4000",
            "Content-Length: 3",
        ]
        if kind == "chat":
            part = f"{self._sent:x}:90"
            lines += [f"{names.model}: m", f"{names.tokens}: 90,40", f"{names.parts}: {part}"]
        return ("\r\n".join(lines) + "\r\n\r\nabc").encode()

    def _note_unexpected(self, text: str) -> None:
        if len(self._unexpected) < 50:
            self._unexpected.append(text)

    # --- What is measured ---

    async def _sample(self) -> None:
        levels = await self._metrics_levels()
        assert self._process is not None
        pid = self._process.pid
        used_s = processor_s(pid)
        sent_before, used_before_s = self._last_sampled
        done = max(1, self._sent - sent_before)
        held_ms = sorted(self._held_ms) or [0.0]
        self._samples.append(
            LongRunSample(
                round(time.monotonic() - self._started_s, 1),
                self._sent,
                round(resident_bytes(pid) / MB, 2),
                len(os.listdir(f"/proc/{pid}/fd")),
                round((used_s - used_before_s) / done * MB, 1),
                round(held_ms[len(held_ms) // 2], 3),
                levels,
            )
        )
        self._last_sampled = (self._sent, used_s)
        self._held_ms.clear()

    async def _metrics_levels(self) -> dict[str, float]:
        """Read the metrics page; return the router's own levels, by name."""
        self._pages += 1
        status, body = await _get(self._fleet, METRICS_PATH)
        if status != 200:
            self._failed_pages += 1
            return {}
        levels = {}
        for line in body.decode().splitlines():
            name, _, value = line.rpartition(" ")
            if "{" not in name:
                levels[name] = float(value)
        return levels


async def _get(address: str, path: str) -> tuple[int, bytes]:
    """Read one page on a connection of its own; return status and body."""
    exchange = await RawExchange.connect(address)
    exchange.send(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
    try:
        return await exchange.read()
    finally:
        exchange.leave()


def _route_name(kind: str, version: int, number: int) -> str:
    return f"{kind}-{version}-{number}"


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def run_long(plan: LongRunPlan, repository: Path, log: Path) -> LongRunReport:
    """Build the router in a scratch folder, run it, and return the report; logs go to ``log``."""
    with tempfile.TemporaryDirectory() as folder, log.open("wb") as output:
        router = DeployedRouter(repository, Path(folder))
        router.build()
        return asyncio.run(LongRun(plan, router, output.fileno()).run())


TABLES = ("backends", "pace", "promises", "resting_connections", "retry_times", "histograms")
"""The tables that are printed; the report has all."""


def print_report(report: LongRunReport) -> None:
    """Print the answers and one line a sample."""
    print(f"answers: {report.answers}")
    print(f"not as they should be: {report.unexpected or 'none'}")
    print(f"metrics pages: {report.metrics_pages}, failed {report.failed_metrics_pages}")
    header = ("s", "requests", "MB", "descriptors", "us/request", "median ms", *TABLES)
    print("  ".join(f"{name:>12}" for name in header))
    for sample in report.samples:
        sizes = [sample.tables.get(f"router_table_{name}", 0.0) for name in TABLES]
        row = (
            sample.at_s,
            sample.requests,
            sample.resident_mb,
            sample.descriptors,
            sample.processor_us_a_request,
            sample.median_ms,
            *sizes,
        )
        print("  ".join(f"{value:>12g}" for value in row))
