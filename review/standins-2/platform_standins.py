"""Stand-ins of the users' platform for review scripts: store, engines, client, router processes.

Python's standard library only. Everything listens on loopback addresses and free ports. Each
stand-in writes what it sent, answered and ran to the record of the case.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
GAP = re.compile(r"\{\{([\w.]+)\}\}")
HEARTBEAT_S = 1.2


class Record:
    """The record of a case: lines with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._began_s

    def write(self, text: str) -> None:
        self._file.write(f"{self.now_s():9.3f} s  {text}\n")
        self._file.flush()


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free on all hosts, for TCP and UDP."""
    found: list[int] = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in found and all(_is_free(host, port) for host in hosts):
            found.append(port)
    return found


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


# --- HTTP/1.1 ---


class Message:
    """A request or a response: its first line, headers (lower-case names) and body."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes = b"") -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def method(self) -> str:
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message with its body, None if the connection ends before that."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
        elif "content-length" in message.headers:
            message.body = await reader.readexactly(int(message.headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return message


def response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return an encoded response with a length."""
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Status'}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# --- The platform's store ---


class Store:
    """Items by key, each change with the next revision; range reads and watches."""

    def __init__(self) -> None:
        self._items: dict[str, dict[str, object]] = {}
        self._events: list[dict[str, object]] = []
        self._revision = 0
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def put(self, key: str, value: object) -> None:
        """Write an item; it is acknowledged on return."""
        self._revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        made = self._items.get(key, {}).get("made", self._revision)
        item = {"privateKey": key, "value": text, "revision": self._revision, "made": made}
        self._items[key] = {**item, "lease": 0}
        self._note(self._items[key])

    def remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note({"privateKey": key, "revision": self._revision, "gone": True})

    def _note(self, event: dict[str, object]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                headers = {"Content-Type": "application/json"}
                writer.write(response(status, json.dumps(body).encode(), headers))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, object]:
        url = urllib.parse.urlsplit(request.target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        prefix = query.get("pathPrefix", "")
        if url.path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
            page = [self._items[key] for key in keys[:500]]
            return 200, {"items": page, "more": len(keys) > 500, "at": self._revision}
        if url.path == "/kv-watch":
            return 200, await self._watch(int(query["after"]), int(query["waitMs"]), prefix)
        return 404, {}

    async def _watch(self, after: int, wait_ms: int, prefix: str) -> object:
        until_s = time.monotonic() + wait_ms / 1000
        while True:
            newer = [
                event
                for event in self._events
                if int(str(event["revision"])) > after
                and str(event["privateKey"]).startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if newer or left_s <= 0:
                return {"events": newer, "at": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


# --- Router processes ---


def fill(template: str, fields: dict[str, object]) -> str:
    """Fill the plain gaps of a settings template, as the platform does."""

    def value(gap: re.Match[str]) -> str:
        found: object = fields
        for name in gap[1].split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]  # type: ignore[index]
        if isinstance(found, bool):
            return str(found).lower()
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    return GAP.sub(value, template)


class Machine:
    """A process of one role of the deploy file, with settings like those of a small deployment."""

    def __init__(
        self,
        role: str,
        name: str,
        host: str,
        zone: str,
        ports: dict[str, int],
        seeds: list[str],
        store: str,
        record: Record,
        folder: Path,
    ) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][role]
        self.name, self.host = name, host
        self.callers = (host, ports.get("frontend", 0))
        self.ready = (host, ports.get("ready", 0))
        self._record, self._folder = record, folder
        self._template = (ROOT / deploy["template"]).read_text()
        self._run = deploy["run"].split(" ")
        self._variables = deploy.get("env", {})
        self.fields: dict[str, object] = {
            "nodeName": name,
            "zone": zone,
            "ipAddress": host,
            "listenAddrs": {
                "frontend": f"{host}:{ports.get('frontend', 0)}",
                "ready": f"{host}:{ports.get('ready', 0)}",
            },
            "internalPortRange": [ports["fleet"], ports["origin"]],
            "seedNodes": seeds,
            "bootstrap": True,
            "limits": {"linkMbps": 1000.0},
            "bounds": {
                "graceS": 8,
                "leaseMs": 3000,
                "retryBudgetRatio": 0.2,
                "retryWindowS": 10,
                "retryAllowance": 56,
            },
            "platform": {"address": store},
        }
        self.process: subprocess.Popen[bytes] | None = None
        self.started_s = 0.0

    def start(self) -> None:
        settings = self._folder / f"{self.name}.ini"
        settings.write_text(fill(self._template, self.fields))
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["YOKEDOCK_SETTINGS"] = str(settings)
        environment |= {name: fill(text, self.fields) for name, text in self._variables.items()}
        run = [sys.executable if self._run[0] == "python3" else self._run[0], *self._run[1:]]
        self.log = (self._folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            run, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )
        self.fields["bootstrap"] = False
        self.started_s = self._record.now_s()
        self._record.write(f"{self.name} ({self.host}) started, process {self.process.pid}")

    def log_text(self) -> str:
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self._record.write(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 1.0)
        except (TimeoutError, OSError):
            return False
        try:
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            return answer is not None and answer.status == 200
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()


async def wait_ready(machines: list[Machine], limit_s: float = 15.0) -> bool:
    """Return whether all machines are ready within the limit."""
    until_s = time.monotonic() + limit_s
    while time.monotonic() < until_s:
        if all(await asyncio.gather(*(machine.is_ready() for machine in machines))):
            return True
        await asyncio.sleep(0.1)
    return False


# --- A partition between two groups of machines ---


class Partition:
    """Relays everything between two groups of machines, which use different fleet ports.

    A machine reaches one of the other group at that one's address and its own group's port. The
    relay listens there and sends on from the sender's address, so that both groups see the
    machines' own addresses. While it is cut, it drops everything without a sign.
    """

    def __init__(
        self, first: list[str], first_port: int, second: list[str], second_port: int
    ) -> None:
        self.is_cut = False
        self._sockets: dict[tuple[str, int], socket.socket] = {}
        self._sides = (
            (first, first_port, second, second_port),
            (second, second_port, first, first_port),
        )
        self.dropped = 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        for _, own_port, others, _ in self._sides:
            for host in others:
                created = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                created.bind((host, own_port))
                created.setblocking(False)
                self._sockets[host, own_port] = created
                loop.add_reader(created, self._relay_datagrams, created, host, own_port)
                await asyncio.start_server(self._relay_stream(host, own_port), host, own_port)

    def _other_port(self, port: int) -> int:
        first, second = self._sides[0][1], self._sides[0][3]
        return second if port == first else first

    def _relay_datagrams(self, source: socket.socket, host: str, port: int) -> None:
        while True:
            try:
                data, (sender, _) = source.recvfrom(65_536)
            except BlockingIOError:
                return
            except OSError:
                continue
            other_port = self._other_port(port)
            if self.is_cut:
                self.dropped += 1
                continue
            out = self._sockets.get((sender, other_port))
            if out is not None:
                with contextlib.suppress(OSError):
                    out.sendto(data, (host, other_port))

    def _relay_stream(self, host: str, port: int):  # type: ignore[no-untyped-def]
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            sender = writer.get_extra_info("peername")[0]
            try:
                if self.is_cut:
                    await asyncio.sleep(30)
                    return
                far_reader, far_writer = await asyncio.open_connection(
                    host, self._other_port(port), local_addr=(sender, 0)
                )
            except OSError:
                return
            finally:
                if self.is_cut:
                    writer.transport.abort()
            await asyncio.gather(self._copy(reader, far_writer), self._copy(far_reader, writer))

        return serve

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65_536):
                while self.is_cut:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


# --- Running a case ---


def run_case(case, folder: Path, limit_s: float = 115.0) -> None:  # type: ignore[no-untyped-def]
    """Run ``case(record, scratch, has_trouble, machines)`` and exit with the code it returns."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    machines: list[Machine] = []

    async def main(scratch: Path) -> None:
        running = asyncio.ensure_future(case(record, scratch, has_trouble, machines))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, running.cancel)
        try:
            code = await asyncio.wait_for(running, limit_s)
        except (Exception, asyncio.CancelledError) as error:  # The case could not run.
            record.write(f"the case could not run: {error!r}")
            code = 2
        for machine in machines:
            machine.end()
        record.write(f"exit code {code}")
        if keep := os.environ.get("KEEP_LOGS"):
            for log in scratch.glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        shutil.rmtree(scratch, ignore_errors=True)
        # The stand-ins' connections need no orderly end.
        os._exit(code)

    asyncio.run(main(Path(tempfile.mkdtemp(prefix="yokedock-review-"))))
