"""A stand-in of a model engine that makes the tokens of all its streams in common steps."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
from dataclasses import dataclass, field

from model_service import STRIDE
from platform_standins import Message, Record, Store, read_message, response

STEP_S = 0.00341
STEP_PER_SLOT_S = 0.000097
READ_TOKENS_PER_S = 55_555.0
BESIDE_DECODE = 0.5
"""A decode engine reads prompts at half the pace."""


@dataclass
class Work:
    """One request at one engine, with the times of its work there."""

    attempt: str
    engine: str
    tokens_left: int
    prompt_tokens: int
    next_event: int
    first_token_s: float | None = None
    waits_from_s: float | None = None
    working_again_s: float | None = None
    ended_s: float | None = None
    end: str = ""
    made: int = 0
    is_waiting: bool = False
    done: asyncio.Event = field(default_factory=asyncio.Event)
    writer: asyncio.StreamWriter | None = None


class BatchEngine:
    """One engine of the service ``llm``, in the stage ``prefill`` or ``decode``."""

    def __init__(self, host: str, instance: str, stage: str, store: Store, record: Record) -> None:
        """Serve on any free port of ``host``."""
        self.instance, self.stage = instance, stage
        self.slow = 1.0
        """How many times as long its work takes."""
        self.running: list[Work] = []
        self.all: list[Work] = []
        self._host, self._store, self._record = host, store, record
        self._handles = itertools.count(1)
        self._reader = asyncio.Lock()

    async def start(self) -> None:
        """Listen, write the entry and begin to make steps."""
        server = await asyncio.start_server(self._serve, self._host, 0)
        self.address = f"{self._host}:{server.sockets[0].getsockname()[1]}"
        entry = {
            "service": "llm",
            "address": self.address,
            "zone": "one",
            "version": "v1",
            "slotCount": 128,
            "state": "ready",
            "coldRemainingMs": 0,
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 1,
        }
        self._store.put(f"servers/{self.instance}", entry)
        self._steps = asyncio.create_task(self._make_steps())

    def preempt(self, attempt: str, wait_s: float) -> None:
        """Preempt a stream: it gives its memory up, waits for ``wait_s`` and is read anew."""
        work = next(work for work in self.running if work.attempt == attempt)
        work.is_waiting = True
        work.waits_from_s = self._record.now_s()
        self._record.write(f"{self.instance} preempts {attempt} after {work.made} tokens")
        self._preemption = asyncio.create_task(self._read_anew(work, wait_s))

    async def _read_anew(self, work: Work, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        if work.ended_s is not None:
            return
        work.working_again_s = self._record.now_s()
        self._record.write(f"{self.instance} reads {work.attempt} anew")
        await asyncio.sleep(self._read_s(work.prompt_tokens + work.made))
        work.is_waiting = False
        if work.ended_s is None:
            self._record.write(f"{self.instance} goes on with {work.attempt}")

    def _read_s(self, tokens: int) -> float:
        pace = READ_TOKENS_PER_S * (BESIDE_DECODE if self.stage == "decode" else 1.0)
        return tokens / pace * self.slow

    async def _make_steps(self) -> None:
        """Make one token of each running stream in each step."""
        while True:
            await asyncio.sleep((STEP_S + STEP_PER_SLOT_S * len(self.running)) * self.slow)
            for work in list(self.running):
                if not work.is_waiting:
                    self._make_token(work)

    def _make_token(self, work: Work) -> None:
        now_s = self._record.now_s()
        if work.first_token_s is None:
            work.first_token_s = now_s
        work.made += 1
        work.tokens_left -= 1
        is_last = work.tokens_left <= 0
        if work.made % STRIDE and not is_last:
            return
        data = f"id: {work.next_event}\ndata: x\n\n".encode()
        work.next_event += 1
        assert work.writer is not None
        work.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        if is_last:
            work.writer.write(b"0\r\n\r\n")
            self._end(work, "whole")

    def _end(self, work: Work, how: str) -> None:
        if work.ended_s is None:
            work.ended_s, work.end = self._record.now_s(), how
            self.running.remove(work)
            work.done.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if not await self._answer(request, reader, writer):
                    break
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection is still open."""
        attempt = request.headers.get("x-yokedock-attempt-id", "")
        headers = {"X-Yokedock-Attempt-Id": attempt}
        expected = request.headers.get("x-yokedock-expected-instance")
        is_reading = request.headers.get("x-yokedock-serving-stage") == "prefill"
        if expected not in (None, self.instance):
            writer.write(response(421, b"", {"X-Yokedock-Instance-Id": self.instance}))
        elif request.target == "/order":
            writer.write(response(409))
        elif request.method in ("DELETE", "GET"):
            held = json.dumps({"epoch": 1, "nextToken": 1, "held": []}).encode()
            writer.write(response(200, held, {"Content-Type": "application/json"}))
        elif is_reading != (self.stage == "prefill"):
            writer.write(response(421, b"", {**headers, "X-Yokedock-Not-Executed": "1"}))
        elif is_reading:
            tokens = int(request.headers["x-yokedock-token-usage"].split(",")[0])
            async with self._reader:
                await asyncio.sleep(self._read_s(tokens))
            body = {"kvHandle": f"{next(self._handles):012x}", "tokenCount": tokens, "version": 1}
            headers["Content-Type"] = "application/json"
            writer.write(response(200, json.dumps(body).encode(), headers))
        else:
            return await self._stream(request, reader, writer, headers)
        await writer.drain()
        return True

    async def _stream(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
    ) -> bool:
        prompt, most = map(int, request.headers["x-yokedock-token-usage"].split(","))
        attempt = headers["X-Yokedock-Attempt-Id"]
        after = int(request.headers.get("last-event-id", "0"))
        work = Work(attempt, self.instance, most - after * STRIDE, prompt, after + 1)
        self.all.append(work)
        watch = asyncio.create_task(reader.read(1))
        if "x-yokedock-kv-source" not in request.headers:
            await asyncio.wait([watch], timeout=self._read_s(prompt))
        seal = {"X-Yokedock-Response-Seal": f"seal.{attempt}", "Transfer-Encoding": "chunked"}
        head = {**headers, **seal, "Content-Type": "text/event-stream"}
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head.items())]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        work.writer = writer
        self.running.append(work)
        done = asyncio.create_task(work.done.wait())
        await asyncio.wait([watch, done], return_when=asyncio.FIRST_COMPLETED)
        if work.ended_s is None:
            # The connection was closed or reset: the engine drops the request.
            self._end(work, "dropped")
            with contextlib.suppress(OSError):
                watch.result()
            done.cancel()
            return False
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch
        return True
