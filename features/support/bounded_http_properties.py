"""Clients of agents and gateways whose server sends bytes without end."""

import asyncio
import contextlib
import threading
import tracemalloc
from unittest import mock

from support.endless_worlds import LATE_S, SHAPES
from support.processor_wait import Stopwatch
from yokedock.connection import configuration_watch, engine_client
from yokedock.connection.configuration_watch import ConfigurationClient
from yokedock.connection.engine_client import HttpEngineClient
from yokedock.connection.engine_protocol import PrefillOrder
from yokedock.connection.service_client import ServiceClient
from yokedock.errors import YokedockError
from yokedock.process import admin_commands
from yokedock.process.admin_commands import print_status
from yokedock_emulator.endless_bytes import (
    CHUNKED,
    FULL_SPEED,
    SLOW,
    EndlessShape,
    answer_head,
    chunk,
    write_without_end,
)

TIMEOUT_S = 0.5
MAX_MB = 60
"""Four copies of a response of the largest size, and the other side's buffers."""


class EndlessServer:
    """Answers each request with one shape of bytes without end, in a thread of its own."""

    def __init__(self, shape, is_slow):
        self._shape, self._is_slow = shape, is_slow
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def __enter__(self):
        self._thread.start()
        start = asyncio.start_server(self._serve, "127.0.0.1", 0)
        server = asyncio.run_coroutine_threadsafe(start, self._loop).result(TIMEOUT_S)
        self._server = server
        return f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def __exit__(self, *error):
        asyncio.run_coroutine_threadsafe(self._end(), self._loop).result(10 * TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            await write_without_end(writer, self._shape, SLOW if self._is_slow else FULL_SPEED)
        writer.close()

    async def _end(self):
        self._server.close()
        others = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


def engine(url):
    return HttpEngineClient(url, 1, TIMEOUT_S, TIMEOUT_S)


REQUESTS = {
    "order to an engine": lambda url: engine(url).prefill(
        PrefillOrder("r", "m", "", "abc"), timeout_s=TIMEOUT_S
    ),
    "report of an engine": lambda url: engine(url).load(),
    "steps of an engine": lambda url: list(engine(url).steps()),
    "call of a service": lambda url: ServiceClient(url, TIMEOUT_S).call(
        "s", b"x", "text/plain", "", TIMEOUT_S
    ),
    "read of the configuration": lambda url: ConfigurationClient(url).read("key"),
    "status of a daemon": lambda url: print_status([url.removeprefix("http://")], json=False),
}
VALID_HERE = "responses to somebody else"
"""Responses of this protocol name no request."""
BODIES_OF_STEPS = {
    "no line": chunk(b"x"),
    "half a step": chunk(b'{"tokens":[' + b"1," * 50),
}


def shapes(name):
    """Return the shapes that are played for one kind of request."""
    found = {
        f"{kind}, {shape}": bytes_
        for kind in ("head", "body")
        for shape, bytes_ in SHAPES[kind]([]).items()
        if shape != VALID_HERE
    }
    if name == "steps of an engine":
        head = answer_head(200, [CHUNKED])
        found |= {text: EndlessShape(head, part) for text, part in BODIES_OF_STEPS.items()}
    return found


def failures_of(name, is_slow):
    """Return what went wrong for each shape: no error, too late, or too much memory."""
    wrong = []
    for text, shape in shapes(name).items():
        with EndlessServer(shape, is_slow) as url:
            tracemalloc.start()
            stopwatch = Stopwatch()
            outcome = _outcome(name, url)
            took_s = stopwatch.elapsed_s()
            peak_mb = tracemalloc.get_traced_memory()[1] / 1e6
            tracemalloc.stop()
        if outcome != "error" or took_s > TIMEOUT_S + LATE_S or peak_mb > MAX_MB:
            wrong.append(f"{text}: {outcome} after {took_s:.1f} s, {peak_mb:.0f} MB")
    return wrong


def _outcome(name, url):
    done = []

    def request():
        try:
            REQUESTS[name](url)
            done.append("answer")
        except YokedockError:
            done.append("error")

    thread = threading.Thread(target=request, daemon=True)
    thread.start()
    thread.join(6 * TIMEOUT_S)
    return done[0] if done else "nothing"


@contextlib.contextmanager
def short_timeouts():
    """Make the fixed time limits of the clients as short as the others."""
    limits = (
        (configuration_watch, "READ_TIMEOUT_S"),
        (engine_client, "STEP_TIMEOUT_S"),
        (admin_commands, "QUERY_TIMEOUT_S"),
    )
    with contextlib.ExitStack() as patches:
        for module, name in limits:
            patches.enter_context(mock.patch.object(module, name, TIMEOUT_S))
        yield
