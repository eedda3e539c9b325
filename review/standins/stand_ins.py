"""Small stand-ins for the platform's store and the engines, and a launcher of routers.

Standard library only. They follow PROTOCOL.md, SYSTEM.md and DEPLOY.md of the users' pages. The
routers are started with the command and the template of deploy/system.toml.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
BATCH_STEP_MS = 3.41
BATCH_STEP_MS_PER_RUN = 0.097
"""Time of one token: 3.41 ms and 0.097 ms more for each run in the batch, the figures of
sites/jabalrest-om.toml."""
STRIDE = 11
"""Tokens in one event, as in jabalrest-om.toml."""
READ_TOKENS_PER_MS = 55.5556
SLOTS = 128
KV_TOKENS = 66_897
KV_HOLD_S = 0.5
STAGE_SWITCH_S = 6.0
SPOILED_PART_BYTES = 16
PLAIN_SLOTS = 6
PLAIN_WORK_S = 0.06
"""Slots and mean time of the plain services in jabalrest-om.toml."""


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self.start_s = time.monotonic()

    def now(self):
        return time.monotonic() - self.start_s

    def write(self, text):
        self._file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self._file.close()


# --- HTTP ---


class Head:
    """First line and headers of a message."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name):
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)


async def read_head(reader):
    """Return the next head; None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    lines = text.split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return Head(lines[0], headers)


async def read_body(reader, head):
    """Return the body of a message with a length or in chunks."""
    if (head.get("transfer-encoding") or "").lower() == "chunked":
        body = b""
        async for part in chunks(reader):
            body += part
        return body
    length = int(head.get("content-length") or 0)
    return await reader.readexactly(length)


async def chunks(reader):
    """Yield the chunks of a body; raises ``IncompleteReadError`` if it is cut off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        part = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield part[:-2]


def message(first, headers, body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def answer(status, headers, body=b""):
    return message(
        f"HTTP/1.1 {status} {'OK' if status == 200 else 'No'}",
        [*headers, ("Content-Length", str(len(body)))],
        body,
    )


# --- Addresses ---


def free_ports(addresses, count):
    """Return ports, below the range of outgoing connections, free on all addresses."""
    found = []
    while len(found) < count:
        port = random.randint(20_000, 31_000)
        if port not in found and all(_is_free(address, port) for address in addresses):
            found.append(port)
    return found


def _is_free(address, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((address, port))
            except OSError:
                return False
    return True


def new_network():
    """Return a prefix of loopback addresses, so that cases played at once do not meet."""
    return f"127.{random.randint(2, 250)}.{random.randint(0, 250)}."


# --- The platform's store ---


class Store:
    """The platform's store: /kv-key, /kv-range and /kv-watch over HTTP."""

    def __init__(self, address):
        self.address = address
        self._items = {}
        self._events = []
        self._revision = 0
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def put(self, key, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._revision += 1
        made = self._items[key]["made"] if key in self._items else self._revision
        item = {"privateKey": key, "value": value, "revision": self._revision, "made": made}
        self._note({**item, "lease": 0})
        self._items[key] = {**item, "lease": 0}

    def delete(self, key):
        self._revision += 1
        del self._items[key]
        self._note({"privateKey": key, "revision": self._revision, "gone": True})

    def _note(self, event):
        self._events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                target = head.first.split(" ")[1]
                status, document = await self._answer(target)
                body = json.dumps(document).encode()
                writer.write(answer(status, [("Content-Type", "application/json")], body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        path, _, query = target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
        prefix = fields.get("pathPrefix", "")
        if path == "/kv-range":
            after = fields.get("after", "").replace("%2F", "/")
            items = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(prefix) and key > after
            ]
            return 200, {"items": items, "more": False, "at": self._revision}
        if path == "/kv-watch":
            until_s = time.monotonic() + int(fields.get("waitMs", "0")) / 1000
            while True:
                after = int(fields["after"])
                events = [e for e in self._events if e["revision"] > after]
                events = [e for e in events if e["privateKey"].startswith(prefix)]
                left_s = until_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "at": self._revision}
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)
        if path == "/kv-key" and fields.get("privateKey") in self._items:
            return 200, {**self._items[fields["privateKey"]], "at": self._revision}
        return 404, {}


# --- Engines ---


class Engine:
    """A model engine with the role ``prefill`` or ``decode``.

    Tokens come at the pace of the batch; each event holds ``STRIDE`` of them.
    """

    def __init__(self, record, service, address, stage, zone):
        self.record = record
        self.service, self.address, self.stage, self.zone = service, address, stage, zone
        self.instance = f"i-{random.getrandbits(40):010x}"
        self.running = 0
        self.runs = {}
        """By attempt id: events made and how the run ended."""
        self.orders = []
        """When an order arrived, its holder, fencing token and the status answered."""
        self.on_change = lambda: None
        """Called when the engine's entry in the store changes."""
        self.spoils = lambda: False
        """Whether the engine spoils the answer that it begins: see ``_spoil``."""
        self.spoiled_bytes = 0
        """How many bytes that are no events it sends then."""
        self._handles = set()
        self._highest_token = 0
        self._is_switching = False
        self._server = None
        self._connections = set()

    async def start(self):
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def crash(self):
        """Reset all connections and take no new ones."""
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slotCount": SLOTS,
            "state": "ready",
            "coldRemainingMs": 0,
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 1,
        }

    def _step_s(self):
        return (BATCH_STEP_MS + BATCH_STEP_MS_PER_RUN * self.running) / 1000

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                work = asyncio.create_task(self._one(head, body, writer))
                watch = (
                    asyncio.create_task(reader.read(1))
                    if head.get("X-Yokedock-Token-Usage")
                    else None
                )
                if watch is None:
                    await work
                    continue
                done, _ = await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
                if work not in done:
                    # The caller has closed the connection: the run is dropped.
                    watch.exception()
                    work.cancel()
                    await asyncio.wait({work})
                    break
                watch.cancel()
                await asyncio.wait({watch})
                if not watch.cancelled():
                    watch.exception()
                if work.exception() is not None:
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _one(self, head, body, writer):
        target = head.first.split(" ")[1]
        identity = head.get("X-Yokedock-Attempt-Id")
        if target.startswith("/kv-handle/"):
            self._handles.discard(target.rpartition("/")[2])
            writer.write(answer(200, []))
            return
        if target == "/kv-list":
            document = {"epoch": 1, "nextToken": 0, "held": []}
            writer.write(
                answer(200, [("Content-Type", "application/json")], json.dumps(document).encode())
            )
            return
        if target == "/order":
            writer.write(answer(self._take_order(head, json.loads(body)), []))
            return
        own = [("X-Yokedock-Attempt-Id", identity)]
        expected = head.get("X-Yokedock-Expected-Instance")
        if expected is not None and expected != self.instance:
            writer.write(answer(421, [*own, ("X-Yokedock-Instance-Id", self.instance)]))
            return
        prompt, most = (int(number) for number in head.get("X-Yokedock-Token-Usage").split(","))
        is_prefill = head.get("X-Yokedock-Serving-Stage") == "prefill"
        if is_prefill != (self.stage == "prefill"):
            writer.write(answer(421, [*own, ("X-Yokedock-Instance-Id", self.instance)]))
            return
        if self._is_switching:
            writer.write(answer(503, [*own, ("X-Yokedock-Not-Executed", "1")]))
            return
        if is_prefill:
            await asyncio.sleep(prompt / READ_TOKENS_PER_MS / 1000 + 0.008)
            handle = f"{random.getrandbits(48):012x}"
            self._handles.add(handle)
            asyncio.get_running_loop().call_later(KV_HOLD_S, self._handles.discard, handle)
            document = {"kvHandle": handle, "tokenCount": prompt, "version": 1}
            writer.write(
                answer(
                    200, [*own, ("Content-Type", "application/json")], json.dumps(document).encode()
                )
            )
            return
        if self.running >= SLOTS:
            writer.write(answer(503, [*own, ("X-Yokedock-Not-Executed", "1")]))
            return
        await self._run(head, identity, prompt, most, own, writer)

    def _take_order(self, head, order):
        """Return the status: the engine checks fencing tokens, and makes one change at a time."""
        holder, token = order["holder"], order["fencingToken"]
        if head.get("X-Yokedock-Expected-Instance") not in (None, self.instance):
            status = 421
        elif token < self._highest_token:
            status = 412
        elif self._is_switching:
            status = 409
        elif order["stage"] == self.stage:
            status = 200
        else:
            status = 202
            self._is_switching = True
            asyncio.get_running_loop().call_later(STAGE_SWITCH_S, self._switch, order["stage"])
        if status != 421:
            self._highest_token = max(self._highest_token, token)
            self.orders.append((self.record.now(), holder, token, status))
        text = f"order at {self.address}: {order['stage']}, holder {holder}, token {token}"
        self.record.write(f"{text}, answered {status}")
        return status

    def _switch(self, stage):
        self.stage, self._is_switching = stage, False
        self.on_change()

    async def _run(self, head, identity, prompt, most, own, writer):
        """Run a generation whose length is the most that the client allows."""
        first = int(head.get("Last-Event-Id") or 0)
        events = -(-most // STRIDE)
        is_spoiled = self.spoils()
        self.running += 1
        run = self.runs[identity] = {"engine": self.address, "made": first, "end": "cut off"}
        self.record.write(f"run begins: {identity} at {self.address}, running {self.running}")
        try:
            if head.get("X-Yokedock-Kv-Source") is None:
                await asyncio.sleep(2 * prompt / READ_TOKENS_PER_MS / 1000)
            headers = [
                *own,
                ("X-Yokedock-Response-Seal", f"seal.{identity}"),
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked"),
            ]
            writer.write(message("HTTP/1.1 200 OK", headers))
            for number in range(first + 1, events + 1):
                await asyncio.sleep(STRIDE * self._step_s())
                event = f"id: {number}\ndata: {identity} {number} of {events}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                run["made"] = number
                if is_spoiled and number == first + 3:
                    await self._spoil(identity, writer)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            run["end"] = "complete"
        finally:
            self.running -= 1
            run["ended_s"] = self.record.now()
            self.record.write(
                f"run ends: {identity}, {run['made']} of {events} events, {run['end']}"
            )

    async def _spoil(self, identity, writer):
        """Send bytes that are not an answer, and break off."""
        self.record.write(f"spoiled: {identity} at {self.address}, {self.spoiled_bytes} bytes")
        part = b"%x\r\n%s\r\n" % (SPOILED_PART_BYTES, b"x" * SPOILED_PART_BYTES)
        writer.write(part * (self.spoiled_bytes // SPOILED_PART_BYTES))
        await writer.drain()
        raise ConnectionAbortedError


class PlainEngine:
    """An engine of a plain service: runs ``PLAIN_SLOTS`` requests at once and queues a few."""

    def __init__(self, record, service, address, zone):
        self.record, self.service, self.address, self.zone = record, service, address, zone
        self.instance = f"i-{random.getrandbits(40):010x}"
        self.runs = {}
        """How often each request was run, by attempt id."""
        self._running = asyncio.Semaphore(PLAIN_SLOTS)

    async def start(self):
        host, port = self.address.split(":")
        await asyncio.start_server(self._serve, host, int(port))

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slotCount": PLAIN_SLOTS,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head)
                identity = head.get("X-Yokedock-Attempt-Id")
                own = [("X-Yokedock-Attempt-Id", identity)]
                if head.get("X-Yokedock-Expected-Instance") not in (None, self.instance):
                    writer.write(answer(421, [*own, ("X-Yokedock-Instance-Id", self.instance)]))
                    continue
                async with self._running:
                    self.runs[identity] = self.runs.get(identity, 0) + 1
                    await asyncio.sleep(PLAIN_WORK_S)
                own.append(("X-Yokedock-Response-Seal", f"seal.{identity}"))
                writer.write(answer(200, own, b"y" * 800))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# --- Routers ---


class Routers:
    """Starts routers as deploy/system.toml tells; ends those it started, by process id."""

    def __init__(self, record, store_address, zone, addresses, grace_s=8.0):
        self.record, self.zone, self.addresses = record, zone, addresses
        self.seeds = addresses[:3]
        self.grace_s = grace_s
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.frontend, self.ready, self.control, self.internal = free_ports(addresses, 4)
        self._store = store_address
        role = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]["router"]
        self._run_line = role["run"].split(" ")
        self._template = (REPOSITORY / role["template"]).read_text()
        self._libraries = _libraries()
        self.processes = {}
        self.stopped_s = {}
        """When SIGTERM was sent, by address."""

    def start(self, address, is_first_start=True):
        """Write the settings of a machine and start its router."""
        self.write_settings(address, is_first_start)
        environment = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        settings = str(self._settings(address))
        environment |= {"PYTHONPATH": self._libraries, "YOKEDOCK_SETTINGS": settings}
        log = open(self._folder / f"{address}.log", "ab")  # noqa: SIM115
        self.processes[address] = subprocess.Popen(
            self._run_line, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
        )
        self.record.write(f"router started: {address}, pid {self.processes[address].pid}")

    def node_name(self, address):
        return f"edge-{self.zone}-{self.addresses.index(address) + 1}"

    def _settings(self, address):
        return self._folder / f"{address}.ini"

    def write_settings(self, address, is_first_start):
        fields = {
            "nodeName": self.node_name(address),
            "zone": self.zone,
            "ipAddress": address,
            "listenAddrs": {
                "frontend": f"{address}:{self.frontend}",
                "ready": f"{address}:{self.ready}",
            },
            "internalPortRange": [self.internal, self.internal + 15],
            "seedNodes": [f"{seed}:{self.control}" for seed in self.seeds],
            "bootstrap": is_first_start,
            "platform": {"address": self._store},
            "bounds": {
                "leaseMs": 3000,
                "graceS": self.grace_s,
                "retryBudgetRatio": 0.2,
                "retryWindowS": 10,
                "retryAllowance": 56,
            },
        }
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda gap: _text(fields, gap[1]), self._template)
        self._settings(address).write_text(text)

    def signal(self, address, number):
        if number == signal.SIGTERM:
            self.stopped_s[address] = self.record.now()
        self.record.write(f"signal to {address}: {signal.Signals(number).name}")
        self.processes[address].send_signal(number)

    def require_running(self, addresses):
        """Raise unless the routers of these machines have run on: a crash is another case."""
        ended = [address for address in addresses if self.processes[address].poll() is not None]
        if ended:
            raise CannotRun(f"routers have ended by themselves: {ended}")

    async def wait_ready(self, limit_s=20.0):
        """Wait until all machines with a running router are ready."""
        until_s = time.monotonic() + limit_s
        while True:
            running = [a for a, process in self.processes.items() if process.poll() is None]
            states = [await self.is_ready(address) for address in running]
            if all(states):
                return
            if time.monotonic() > until_s:
                raise CannotRun(f"routers are not ready; their logs are in {self._folder}")
            await asyncio.sleep(0.1)

    async def is_ready(self, address):
        """Ask for readiness as the platform does."""
        try:
            async with asyncio.timeout(0.8):
                reader, writer = await asyncio.open_connection(address, self.ready)
                try:
                    writer.write(
                        message(
                            "GET /readiness HTTP/1.1", [("Host", address), ("Connection", "close")]
                        )
                    )
                    head = await read_head(reader)
                    return head is not None and " 200 " in head.first
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    def end(self):
        """End all routers that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)


def _libraries():
    """Return the folder of the libraries of the build line, or else of the virtual environment."""
    folders = [REPOSITORY / "target" / "deps"]
    folders += sorted((REPOSITORY / ".venv" / "lib").glob("python3*/site-packages"))
    for folder in folders:
        if (folder / "h11").is_dir():
            return str(folder)
    raise CannotRun("no libraries: run the build line of deploy/system.toml first")


def _text(fields, path):
    for name in path.split("."):
        fields = fields[int(name)] if isinstance(fields, list) else fields[name]
    if isinstance(fields, bool):
        return str(fields).lower()
    return ",".join(fields) if isinstance(fields, list) else str(fields)


def configuration(version, routes, services):
    """Return the operator's configuration, as it lies under op/config."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def model_service(name):
    engine = {
        "slotCount": SLOTS,
        "kvCapacity": KV_TOKENS,
        "kvTokenBytes": 18432,
        "linkMbps": 350000.0,
        "stride": STRIDE,
        "kvHoldS": KV_HOLD_S,
        "stageSwitchS": STAGE_SWITCH_S,
        "holdMs": 2000.0,
        "models": [{"name": "m"}],
    }
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 620,
        "protocol": "h1",
        "tlsEnabled": False,
        "engine": engine,
    }


def plain_service(name):
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 110,
        "protocol": "h1",
        "tlsEnabled": False,
    }


def repeatable_route(name, host, prefix, service, timeout_ms):
    return {
        "name": name,
        "host": host,
        "pathPrefix": prefix,
        "routeType": "idempotent",
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 300,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
    }


def stream_route(name, host, prefix, service, resumable=False):
    return {
        "name": name,
        "host": host,
        "pathPrefix": prefix,
        "routeType": "streaming",
        "timeoutMs": 14000,
        "targetLatencyMs": 900,
        "priority": 1,
        "service": service,
        "maxAttempts": 2 if resumable else 1,
        "sessionAffinity": True,
        "resumable": resumable,
        "itlTargetMs": 300,
    }


def main(case, folder):
    """Run ``case(record, has_trouble)``, which returns the broken rules, and exit accordingly."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")

    async def play():
        # Connections that are still open at the end of the case are dropped; that is no error.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(case(record, has_trouble), 110)

    # A script that is told to end, too, ends the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        broken = asyncio.run(play())
    except (Exception, KeyboardInterrupt) as error:
        # Anything unexpected is no broken rule.
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    finally:
        record.close()
    print("\n".join(broken) or "no rule was broken", flush=True)
    sys.exit(1 if broken else 0)
