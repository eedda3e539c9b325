"""Stand-ins of the platform for these scripts: store, plain servers, clients, launcher.

They follow PROTOCOL.md and DEPLOY.md and use only the standard library. The routers are started as
separate processes with the commands of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
GAP = re.compile(r"\{\{([\w.]+)\}\}")
ATTEMPT_ID = "x-yokedock-attempt-id"
SEAL = "X-Yokedock-Response-Seal"
NOT_EXECUTED = "X-Yokedock-Not-Executed"


def trouble() -> bool:
    """Return whether the disruption is to happen: not with ``TROUBLE=0``."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int, hosts: tuple[str, ...] = (HOST,)) -> list[int]:
    """Return ports that are free for TCP and UDP on all ``hosts``."""
    found: list[int] = []
    held: list[socket.socket] = []
    try:
        while len(found) < count:
            first = socket.socket()
            held.append(first)
            first.bind((hosts[0], 0))
            port = first.getsockname()[1]
            try:
                for host in hosts:
                    datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    held.append(datagram)
                    datagram.bind((host, port))
                    if host != hosts[0]:
                        stream = socket.socket()
                        held.append(stream)
                        stream.bind((host, port))
            except OSError:
                continue
            found.append(port)
    finally:
        for sock in held:
            sock.close()
    return found


class Record:
    """Writes ``record.txt``: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_s

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s():8.3f}  {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line and print it."""
        self.write(text)
        print(text, flush=True)


# --- HTTP ---


@dataclasses.dataclass
class Message:
    """The head and the body of one request or answer; header names are in lower case."""

    first: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split(" ")[1])

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head, None if the connection has ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the connection ended inside a head") from None
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message with its whole body, None if the connection has ended before it."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if "chunked" in message.headers.get("transfer-encoding", ""):
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    break
                parts.append(part[:-2])
            message.body = b"".join(parts)
        else:
            message.body = await reader.readexactly(int(message.headers.get("content-length", 0)))
    except asyncio.IncompleteReadError:
        raise ConnectionError("the connection ended inside a body") from None
    return message


def answer_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an answer with its length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


# --- The platform's store ---


class Store:
    """The reading calls of the store, and writes by the operator and by servers."""

    def __init__(self) -> None:
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 0
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def put(self, key: str, document: dict[str, Any]) -> int:
        """Write an item and return its revision."""
        self._revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        made = self._items.get(key, {}).get("made", self._revision)
        item = {
            "privateKey": key,
            "value": value,
            "revision": self._revision,
            "made": made,
            "lease": 0,
        }
        self._items[key] = item
        self._note(item)
        return self._revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note({"privateKey": key, "revision": self._revision, "gone": True})

    def _note(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                status, document = await self._answer(request)
                body = json.dumps(document).encode()
                writer.write(answer_bytes(status, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict[str, Any]]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix = query.get("pathPrefix", "")
        if url.path == "/kv-key":
            item = self._items.get(query["privateKey"])
            return (404, {}) if item is None else (200, {**item, "at": self._revision})
        if url.path == "/kv-range":
            found = sorted(key for key in self._items if key.startswith(prefix))
            after = query.get("after", "")
            items = [self._items[key] for key in found if key > after]
            return 200, {"items": items[:500], "more": len(items) > 500, "at": self._revision}
        if url.path == "/kv-watch":
            after = int(query["after"])
            until_s = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                events = [
                    event
                    for event in self._events
                    if event["revision"] > after and event["privateKey"].startswith(prefix)
                ]
                left_s = until_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "at": self._revision}
                try:
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()
                except TimeoutError:
                    continue
        return 404, {}


# --- Servers of a plain service ---

_numbers = itertools.count(1)


class Server:
    """A server of a plain service: slots, a short queue, and its own entry in the store."""

    def __init__(
        self,
        store: Store,
        record: Record,
        service: str,
        slots: int = 6,
        queue: int = 24,
        work_s: Callable[[Message], float] = lambda request: 0.09,
    ) -> None:
        self.instance = ""
        self.runs: list[tuple[str, str]] = []
        """Attempt id and target of each request that began to run."""
        self.ended: set[str] = set()
        """Attempt ids of the runs that came to their end."""
        self._store, self._record, self._service = store, record, service
        self._slots, self._queue, self._work_s = slots, queue, work_s
        self.padding = 0
        """Bytes added to the answers to targets that end in ``large``."""
        self._port = 0
        self._running = self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._holder: socket.socket | None = None
        self._sequence = 0

    @property
    def address(self) -> str:
        """Return IP:port."""
        return f"{HOST}:{self._port}"

    @property
    def is_up(self) -> bool:
        """Return whether it listens."""
        return self._server is not None

    async def start(self) -> None:
        """Begin a new incarnation: listen, at the same port as before, and write the entry."""
        if self._holder is not None:
            self._holder.close()
            self._holder = None
        self.instance = f"i-{os.getpid():x}{next(_numbers):04x}"
        self._running = self._waiting = 0
        self._free = asyncio.Semaphore(self._slots)
        self._server = await asyncio.start_server(
            self._accept, HOST, self._port, reuse_address=True, limit=1 << 20
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.write_entry()
        self._record.write(f"server {self.instance} ({self._service}) starts at {self.address}")

    def write_entry(self, state: str = "ready") -> None:
        """Write the entry in the store."""
        self._sequence += 1
        self._store.put(
            f"servers/{self.instance}",
            {
                "service": self._service,
                "address": self.address,
                "zone": "zone-a",
                "version": "v1",
                "slotCount": self._slots,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": self._sequence,
            },
        )

    async def crash(self) -> None:
        """End at once, as a killed process does; nothing is said. The port stays reserved."""
        assert self._server is not None
        self._server.close()
        self._server = None
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            reset(writer)
        self._holder = socket.socket()
        self._holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._holder.bind((HOST, self._port))
        self._record.write(f"server {self.instance} crashes with {self._running} requests at work")

    def reset_some(self, share: float, chosen: random.Random) -> int:
        """Reset a share of its connections, as the network does, and return their number."""
        writers = [writer for writer in self._writers if chosen.random() < share]
        for writer in writers:
            reset(writer)
        return len(writers)

    def forget_entry(self) -> None:
        """Have the entry go, as it does after three heartbeats of silence."""
        self._store.remove(f"servers/{self.instance}")

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request, reader))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _headers(self, attempt: str) -> dict[str, str]:
        load = f"{self._running},{self._waiting},{self._slots}"
        headers = {"X-Yokedock-Instance-Load": load, "X-Yokedock-Instance-Id": self.instance}
        if attempt:
            headers["X-Yokedock-Attempt-Id"] = attempt
        return headers

    async def _answer(self, request: Message, reader: asyncio.StreamReader) -> bytes:
        attempt = request.headers.get(ATTEMPT_ID, "")
        headers = self._headers(attempt)
        if request.headers.get("x-yokedock-expected-instance", self.instance) != self.instance:
            return answer_bytes(421, headers, b"")
        if not attempt:
            return answer_bytes(400, {**headers, NOT_EXECUTED: "1"}, b"")
        if self._running >= self._slots and self._waiting >= self._queue:
            return answer_bytes(503, {**headers, NOT_EXECUTED: "1"}, b"")
        self._waiting += 1
        try:
            await self._while_connected(self._free.acquire(), reader)
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            self.runs.append((attempt, request.target))
            self._record.write(
                f"server {self.instance} runs {attempt} {request.first.split(' ')[0]}"
                f" {request.target} with {len(request.body)} bytes"
            )
            await self._while_connected(asyncio.sleep(self._work_s(request)), reader)
            self.ended.add(attempt)
        except ConnectionError:
            self._record.write(f"server {self.instance} drops {attempt}: its connection is closed")
            raise
        finally:
            self._running -= 1
            self._free.release()
        body = f"{attempt} by {self.instance}\n".encode()
        body += b"." * (self.padding if request.target.endswith("large") else 0)
        return answer_bytes(200, {**self._headers(attempt), SEAL: f"s.{attempt}"}, body)

    async def _while_connected(self, work: Awaitable[Any], reader: asyncio.StreamReader) -> None:
        """Wait for ``work``; raises ``ConnectionError`` if the connection closes meanwhile."""
        task = asyncio.ensure_future(work)
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=0.02)
                if reader.at_eof() or reader.exception() is not None:
                    raise ConnectionError("closed")
        finally:
            if not task.done():
                task.cancel()


# --- The routers ---


class Router:
    """One router process, started as the deploy file says."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        name: str,
        host: str,
        ports: list[int],
        store: str,
        seeds: list[str],
        memory_mb: int = 150,
    ) -> None:
        """``ports``: frontend, ready, control and the first of the internal range."""
        self.name, self.host = name, host
        self.frontend = f"{host}:{ports[0]}"
        self.ready = f"{host}:{ports[1]}"
        self.process: subprocess.Popen[bytes] | None = None
        self._record, self._folder = record, folder
        self._fields: dict[str, Any] = {
            "nodeName": name,
            "zone": "zone-a",
            "ipAddress": host,
            "listenAddrs": {
                "frontend": self.frontend,
                "ready": self.ready,
                "controlPlane": f"{host}:{ports[2]}",
            },
            "internalPortRange": [ports[3], ports[4]],
            "seedNodes": seeds,
            "bootstrap": True,
            "limits": {"memoryMb": memory_mb, "linkMbps": 1000.0},
            "bounds": {
                "graceS": 8,
                "retryBudgetRatio": 0.2,
                "retryWindowS": 10,
                "retryAllowance": 56,
                "leaseMs": 3000,
            },
            "platform": {"address": store},
        }

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["router"]
        settings = self._folder / f"{self.name}.ini"
        settings.write_text(self._fill((REPOSITORY / role["template"]).read_text()))
        variables = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "YOKEDOCK_SETTINGS": str(settings),
        }
        variables |= {name: self._fill(text) for name, text in role["env"].items()}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(" "),
                cwd=REPOSITORY,
                env=variables,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._fields["bootstrap"] = False
        self._record.write(f"router {self.name} starts as process {self.process.pid}")

    def kill(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def memory_bytes(self) -> int:
        """Return the memory that the process has for itself, 0 if it has ended."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"RssAnon:\s+(\d+) kB", status)
        return int(found[1]) * 1024 if found else 0

    async def wait_ready(self, limit_s: float = 15.0) -> bool:
        """Wait until it answers its readiness question with 200."""
        until_s = time.monotonic() + limit_s
        host, _, port = self.ready.rpartition(":")
        while time.monotonic() < until_s:
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                    answer = await read_message(reader)
                    writer.close()
                if answer is not None and answer.status == 200:
                    self._record.write(f"router {self.name} is ready")
                    return True
            except (OSError, ConnectionError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    def _fill(self, template: str) -> str:
        def text(gap: re.Match[str]) -> str:
            value: Any = self._fields
            for name in gap[1].split("."):
                value = value[int(name)] if isinstance(value, list) else value[name]
            if isinstance(value, bool):
                return str(value).lower()
            return ",".join(value) if isinstance(value, list) else str(value)

        return GAP.sub(text, template)


# --- Clients ---


@dataclasses.dataclass
class Outcome:
    """How one client attempt ended."""

    attempt: str
    sent_s: float
    status: int | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    ended_s: float = 0.0
    error: str = ""


class Client:
    """A client with one kept connection, which it opens anew where needed."""

    def __init__(self, record: Record, frontend: str) -> None:
        self._record = record
        self._host, _, port = frontend.rpartition(":")
        self._port = int(port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        host: str,
        target: str,
        body: bytes = b"",
        deadline_ms: int = 4000,
        bytes_per_s: float = 0.0,
        extra: dict[str, str] | None = None,
    ) -> Outcome:
        """Send one request and return its outcome; ``bytes_per_s`` is the rate of its link."""
        attempt = os.urandom(8).hex()
        outcome = Outcome(attempt, self._record.now_s())
        headers = {
            "Host": host,
            "X-Yokedock-Attempt-Id": attempt,
            "X-Yokedock-Deadline-Ms": str(deadline_ms),
            **(extra or {}),
        }
        if body:
            headers["Content-Length"] = str(len(body))
        head = f"{method} {target} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in headers.items()) + "\r\n"
        self._record.write(f"client sends {attempt} {method} {target} with {len(body)} bytes")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                if self._writer is None or self._writer.is_closing() or self._is_ended():
                    self._reader, self._writer = await asyncio.open_connection(
                        self._host, self._port
                    )
                assert self._reader is not None
                sending = asyncio.create_task(self._write(head.encode(), body, bytes_per_s))
                try:
                    answer = await read_message(self._reader)
                finally:
                    sending.cancel()
            if answer is None:
                raise ConnectionError("closed with no answer")
            outcome.status, outcome.headers, outcome.body = (
                answer.status,
                answer.headers,
                answer.body,
            )
            if "close" in answer.headers.get("connection", "") or not sending.done():
                self.close()
        except (OSError, ConnectionError, TimeoutError) as error:
            outcome.error = str(error) or type(error).__name__
            self.close()
        outcome.ended_s = self._record.now_s()
        told = outcome.status if outcome.status is not None else outcome.error
        self._record.write(f"client gets {attempt}: {told}")
        return outcome

    def _is_ended(self) -> bool:
        return self._reader is None or self._reader.at_eof()

    async def _write(self, head: bytes, body: bytes, bytes_per_s: float) -> None:
        writer = self._writer
        assert writer is not None
        try:
            writer.write(head)
            part = len(body) if not bytes_per_s else max(1, int(bytes_per_s * 0.05))
            for first in range(0, len(body), max(1, part)):
                writer.write(body[first : first + part])
                await writer.drain()
                if bytes_per_s:
                    await asyncio.sleep(0.05)
        except (OSError, ConnectionError):
            return

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": "shop.example",
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 1,
        "resumable": False,
        **more,
    }


def configuration(version: int, routes: list[dict[str, Any]], **limits: int) -> dict[str, Any]:
    """Return the operator's configuration with one plain service."""
    services = sorted({each["service"] for each in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 110,
                "protocol": "h1",
                "tlsEnabled": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            **limits,
        },
    }


def run_case(folder: Path, case: Callable[[Record, Path, list[Router]], Awaitable[int]]) -> int:
    """Run a case in a temporary folder, end all processes, and return its exit status.

    0: the rule held, 1: it was broken, 2: the case could not run.
    """
    record = Record(folder)
    scratch = Path(tempfile.mkdtemp(prefix="review-"))
    routers: list[Router] = []
    status = 2
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        status = asyncio.run(asyncio.wait_for(case(record, scratch, routers), 115))
    except Exception as error:
        record.say(f"the case could not run: {error!r}")
    finally:
        for router in routers:
            router.kill()
            if router.process is not None:
                router.process.wait()
        if os.environ.get("KEEP"):
            print(scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    record.say(f"exit status {status}")
    return status
