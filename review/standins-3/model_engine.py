"""A stand-in of a model engine: reads prompts, makes short streams, and leaves as planned."""

from __future__ import annotations

import asyncio
import itertools
import json

from platform_standins import Message, Record, Store, read_message, response

READ_TOKENS_PER_S = 55_555.0
EVENT_S = 0.06
EVENTS = 5
STRIDE = 11
SWITCH_S = 6.0


def configuration(version: int, idle_timeout_ms: int = 15000) -> dict[str, object]:
    """Return the operator's configuration: one resumable route to the service ``llm``."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r",
                "host": "a.example",
                "pathPrefix": "/s/",
                "routeType": "streaming",
                "timeoutMs": 14000,
                "targetLatencyMs": 900,
                "priority": 1,
                "service": "llm",
                "maxAttempts": 2,
                "sessionAffinity": True,
                "resumable": True,
                "itlTargetMs": 300,
            }
        ],
        "services": [
            {
                "name": "llm",
                "healthPath": "/health",
                "maxConnections": 620,
                "protocol": "h1",
                "tlsEnabled": False,
                "engine": {
                    "slotCount": 128,
                    "kvCapacity": 66897,
                    "kvTokenBytes": 18432,
                    "linkMbps": 350000.0,
                    "moves": True,
                    "backups": True,
                    "stride": STRIDE,
                    "most": 12,
                    "kvHoldS": 0.5,
                    "stageSwitchS": 6.0,
                    "pinMs": 4000.0,
                    "holdMs": 2000.0,
                    "models": [{"name": "m"}],
                },
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": idle_timeout_ms,
        },
    }


class ModelEngine:
    """One engine of the service ``llm``; ``arrivals_s`` are the times at which requests came."""

    def __init__(self, host: str, instance: str, stage: str, store: Store, record: Record) -> None:
        """Serve on any free port of ``host``."""
        self.instance, self.stage = instance, stage
        self.arrivals_s: list[float] = []
        self._host, self._store, self._record = host, store, record
        self._sequence = 0
        self._handles = itertools.count(1)
        self._is_draining = False

    async def start(self) -> None:
        """Listen and write the entry."""
        server = await asyncio.start_server(self._serve, self._host, 0)
        self.address = f"{self._host}:{server.sockets[0].getsockname()[1]}"
        self._write("ready")

    def say_draining(self) -> None:
        """Write that it leaves; it goes on serving."""
        self._is_draining = True
        self._write("draining")
        self._record.write(f"{self.instance} ({self.stage}) says draining, acknowledged")

    def _write(self, state: str) -> None:
        self._sequence += 1
        self._store.put(
            f"servers/{self.instance}",
            {
                "service": "llm",
                "address": self.address,
                "zone": "one",
                "version": "v1",
                "slotCount": 128,
                "state": state,
                "coldRemainingMs": 0,
                "stage": self.stage,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self._sequence,
            },
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                await self._answer(request, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        attempt = request.headers.get("x-yokedock-attempt-id", "")
        headers = {"X-Yokedock-Attempt-Id": attempt, "X-Yokedock-Instance-Load": "1,0,128"}
        if self._is_draining:
            headers["Connection"] = "close"
        expected = request.headers.get("x-yokedock-expected-instance")
        if expected not in (None, self.instance):
            writer.write(response(421, b"", {"X-Yokedock-Instance-Id": self.instance}))
        elif request.target == "/order":
            self._order(json.loads(request.body), writer)
        elif request.method in ("DELETE", "GET"):
            held = json.dumps({"epoch": 1, "nextToken": 1, "held": []}).encode()
            writer.write(response(200, held, {"Content-Type": "application/json"}))
        elif request.headers.get("x-yokedock-serving-stage") == "prefill":
            await self._read(request, writer, headers)
        elif self.stage != "decode":
            writer.write(response(421, b"", {**headers, "X-Yokedock-Not-Executed": "1"}))
        else:
            await self._stream(request, writer, headers)

    def _order(self, order: dict[str, str], writer: asyncio.StreamWriter) -> None:
        self._record.write(f"{self.instance} gets an order: {order}")
        writer.write(response(202))
        asyncio.get_running_loop().call_later(SWITCH_S, self._switch, order["stage"])

    def _switch(self, stage: str) -> None:
        self.stage = stage
        self._write("draining" if self._is_draining else "ready")

    async def _read(
        self, request: Message, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        self._note(request, "reads")
        if self.stage != "prefill":
            writer.write(response(421, b"", {**headers, "X-Yokedock-Not-Executed": "1"}))
            return
        tokens = int(request.headers["x-yokedock-token-usage"].split(",")[0])
        await asyncio.sleep(tokens / READ_TOKENS_PER_S)
        body = {"kvHandle": f"{next(self._handles):012x}", "tokenCount": tokens, "version": 1}
        headers = {**headers, "Content-Type": "application/json"}
        writer.write(response(200, json.dumps(body).encode(), headers))

    async def _stream(
        self, request: Message, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> None:
        self._note(request, "runs")
        if "x-yokedock-kv-source" not in request.headers:
            tokens = int(request.headers["x-yokedock-token-usage"].split(",")[0])
            await asyncio.sleep(2 * tokens / READ_TOKENS_PER_S)
        seal = {"X-Yokedock-Response-Seal": f"seal.{request.headers['x-yokedock-attempt-id']}"}
        head = {**headers, **seal, "Content-Type": "text/event-stream"}
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head.items())]
        lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for event_id in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            data = f"id: {event_id}\ndata: x\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def _note(self, request: Message, what: str) -> None:
        now_s = self._record.now_s()
        self.arrivals_s.append(now_s)
        attempt = request.headers.get("x-yokedock-attempt-id", "")
        self._record.write(f"{self.instance} ({self.stage}) {what} {attempt}")
