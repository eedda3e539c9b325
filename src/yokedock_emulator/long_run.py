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
from collections.abc import Awaitable, Callable
from pathlib import Path

from yokedock.base.clock import boot_time_s
from yokedock.platform.headers import PLATFORM_HEADERS
from yokedock.process.router import METRICS_PATH
from yokedock_emulator.deployed_router import DeployedRouter
from yokedock_emulator.long_run_operator import HOST, LongRunOperator
from yokedock_emulator.long_run_report import LongRunReport, LongRunSample
from yokedock_emulator.process_group import processor_s, processor_wait_s, resident_bytes
from yokedock_emulator.raw_exchange import RawExchange, get_page

KINDS = {"once": 0.5, "repeat": 0.2, "chat": 0.15, "idle": 0.1, "unknown": 0.05}
"""Kinds of requests and their shares. No backend serves ``idle``, no route matches ``unknown``."""
EXPECTED = {"once": 200, "repeat": 200, "chat": 200, "idle": 503, "unknown": 404}
LEAVING_SHARE = 0.01
"""Share of requests whose caller leaves before the answer."""
MOST_A_CONNECTION = 40
STARTED_LIMIT_S = 20.0
POLL_S = 0.05
MS_PER_SECOND = 1000
MB = 1_000_000
LINK_MBPS = 1000.0


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


class LongRun:
    """One run; ``run`` is its life."""

    def __init__(self, plan: LongRunPlan, router: DeployedRouter, output: int) -> None:
        """Drive a router that is built already; its logs go to the descriptor ``output``."""
        self._plan = plan
        self._router = router
        self._output = output
        self._operator = LongRunOperator(plan.routes, self._processor_wait_s)
        self._answers: collections.Counter[str] = collections.Counter()
        self._unexpected: list[str] = []
        self._held_ms: list[float] = []
        self._pages = 0
        self._failed_pages = 0
        self._samples: list[LongRunSample] = []
        self._sent = 0
        self._started_s = boot_time_s()
        self._listen = self._ready = self._fleet = ""
        self._process: subprocess.Popen[bytes] | None = None
        self._last_sampled = (0, 0.0)

    async def run(self) -> LongRunReport:
        """Run to the end; raises ``AssertionError`` if the router does not start."""
        try:
            await self._set_up()
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
        await self._operator.start()
        self._start_router()
        async with asyncio.timeout(STARTED_LIMIT_S):
            while not await self._is_ready():
                await asyncio.sleep(POLL_S)

    async def _drive(self) -> None:
        plan = self._plan
        background = [
            asyncio.create_task(self._every(plan.configuration_s, self._operator.publish)),
            asyncio.create_task(self._every(plan.replace_s, self._operator.replace_backend)),
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
        self._operator.stop()

    # --- The router ---

    def _start_router(self) -> None:
        ports = _free_ports(4)
        self._listen, self._ready, self._fleet = (f"127.0.0.1:{port}" for port in ports[:3])
        fields = {
            "nodeName": "router-1",
            "zone": "zone-1",
            "listenAddrs": {"frontend": self._listen, "ready": self._ready},
            "ipAddress": "127.0.0.1",
            "internalPortRange": [ports[2], ports[3]],
            "seedNodes": [],
            "bootstrap": True,
            "platform": {"address": self._operator.store_address},
            "limits": {"linkMbps": LINK_MBPS},
            "bounds": {
                "leaseMs": 3000,
                "retryBudgetRatio": 0.2,
                "retryWindowS": 10,
                "retryAllowance": 54,
                "graceS": 8,
            },
        }
        self._process = self._router.start(fields, self._output)

    def _processor_wait_s(self) -> float:
        """Return the total processor wait of the router and this process so far, seconds."""
        assert self._process is not None
        return processor_wait_s(self._process.pid) + processor_wait_s(os.getpid())

    async def _is_ready(self) -> bool:
        assert self._process is not None
        assert self._process.poll() is None, "the router ended; look at its log"
        try:
            status, _ = await get_page(self._ready, "/readiness")
        except OSError:
            return False
        return status == 200

    async def _every(self, interval_s: float, work: Callable[[], Awaitable[None]]) -> None:
        while True:
            await asyncio.sleep(interval_s)
            await work()

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
        started_s = boot_time_s()
        request_id = f"r{self._sent}"
        exchange.send(self._request(kind, number, request_id))
        if choices.random() < LEAVING_SHARE:
            await asyncio.sleep(0)
            return False
        status, _ = await exchange.read()
        held_ms = (boot_time_s() - started_s) * MS_PER_SECOND
        self._held_ms.append(held_ms)
        self._answers[f"{kind} {status}"] += 1
        if status != EXPECTED[kind]:
            self._note_unexpected(f"{kind} {request_id}: {status} after {held_ms:.0f} ms")
        return True

    def _request(self, kind: str, number: int, request_id: str) -> bytes:
        path = f"/{self._operator.route_in_use(kind, number)}/x"
        names = PLATFORM_HEADERS
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"{names.request_id}: {request_id}",
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
                round(boot_time_s() - self._started_s, 1),
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
        status, body = await get_page(self._fleet, METRICS_PATH)
        if status != 200:
            self._failed_pages += 1
            return {}
        levels = {}
        for line in body.decode().splitlines():
            name, _, value = line.rpartition(" ")
            if "{" not in name:
                levels[name] = float(value)
        return levels


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
