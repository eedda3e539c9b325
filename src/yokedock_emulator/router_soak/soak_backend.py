"""A backend of the soak: plain service or model engine, with a ledger and with faults."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections.abc import Callable

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.connection.dialect import CachedPart
from yokedock.platform.headers import PLATFORM_HEADERS as NAMES
from yokedock.request.engine_placement import PREFILL_ROLE
from yokedock_emulator.endless_bytes import (
    FAST,
    SLOW,
    EndlessShape,
    body_shapes,
    head_shapes,
    stream_shapes,
    write_without_end,
)
from yokedock_emulator.plain_http import (
    PlainRequest,
    answer_head,
    chunk,
    complete_response,
    read_request,
)
from yokedock_emulator.router_soak.soak_parts import crashing_part
from yokedock_emulator.router_soak.soak_records import (
    POISON_MARK,
    VERSIONS,
    Arrival,
    LimitSpan,
    SoakHistory,
    answer_body,
    event,
    event_count,
)

LONG_SHARE = 0.08
"""Share of plain requests that take ``LONG_S`` instead of ``SHORT_S``."""
SHORT_S = (0.001, 0.08)
LONG_S = (0.3, 2.5)
PREFILL_S = (0.003, 0.03)
STEP_S = (0.008, 0.04)
"""Pause before each event of a stream."""
REST_S = (0.3, 1.0, 2.5)
"""Rests that a backend asks for as it turns requests away."""
LIMITS = ("1.3", "4", "15", "0.5", "nan", "40", "-1")
ODD_LIMITS = ("nan", "-1")
"""Limits that a backend names, and those of them that mean nothing."""
OWN_CALLS = ("GET", "DELETE")
ENDLESS_SHARE = 0.5
"""Share of the requests that a backend in trouble answers with bytes without end."""
BETWEEN_SILENCES_S = 1.0
"""A backend is not silent again so soon: two silences would be one that lasts longer than meant."""
Headers = list[tuple[str, str]]
_lives = itertools.count(1)


class SoakBackend:
    """One incarnation.

    ``mode`` is ``normal``, ``errors``, ``refusals``, ``rest`` or ``endless``.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        role: str,
        history: SoakHistory,
        version: str = VERSIONS[0],
        lists_parts: bool = False,
    ) -> None:
        """Prepare; ``start`` listens. What arrives is noted in ``history``.

        With ``lists_parts`` it lists the parts of the prompts that it has answered.
        """
        self._lists_parts = lists_parts
        self._cached_parts: dict[str, int] = {}
        """Their tokens."""
        self.version = version
        self.instance = instance
        self.service = service
        self.role = role
        self.mode = "normal"
        self.is_leaving = False
        self._limit = ""
        """What its answers name as the requests a second that it takes, empty for none."""
        self.is_dead = False
        self._silent_until_s = -math.inf
        self.address = ""
        self.on_crash: Callable[[SoakBackend], None] = lambda backend: None
        """Called when a request has ended it."""
        self.life = next(_lives)
        self._history = history
        self._choices = random.Random(instance)
        self._server: asyncio.Server | None = None
        self._working: dict[asyncio.StreamWriter, Arrival | None] = {}

    @property
    def takes_all(self) -> bool:
        """Return whether it turns no request away and names no limit."""
        return self.mode == "normal" and not self._limit and not self.is_dead

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen at ``address``."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def name_limit(self, text: str) -> None:
        """Name a limit from now on, or none if ``text`` is empty; an odd one is none."""
        self._limit = text
        spans = self._history.limits.setdefault(self.life, [])
        now_s = boot_time_s()
        if spans and math.isinf(spans[-1].to_s):
            spans[-1].to_s = now_s
        if text and text not in ODD_LIMITS:
            spans.append(LimitSpan(now_s, float(text)))

    def fall_silent(self, length_s: float) -> bool:
        """Send nothing for a while on any connection; nothing of it is lost.

        Return False if it has been silent so recently that this would make one long silence.
        """
        now_s = boot_time_s()
        if now_s < self._silent_until_s + BETWEEN_SILENCES_S:
            return False
        self._silent_until_s = now_s + length_s
        return True

    def kill(self) -> None:
        """End at once: what is under way is broken off."""
        self.is_dead = True
        if self._server is not None:
            self._server.close()
        for writer, arrival in list(self._working.items()):
            if arrival is not None and arrival.outcome == "working":
                arrival.outcome, arrival.is_own_end = "broken", True
            writer.transport.abort()

    async def end(self, patience_s: float) -> None:
        """End in order: take no more connections, and let what is under way end."""
        if self._server is not None:
            self._server.close()
        until_s = boot_time_s() + patience_s
        while any(self._working.values()) and boot_time_s() < until_s:
            await asyncio.sleep(0.02)
        self.kill()

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Send bytes, after the silence if there is one."""
        while self._is_silent():
            await asyncio.sleep(self._silent_until_s - boot_time_s())
        writer.write(data)

    def _is_silent(self) -> bool:
        return boot_time_s() < self._silent_until_s

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._working[writer] = None
        try:
            while (request := await read_request(reader)) is not None and not self.is_dead:
                await self._one(request, writer)
                self._working[writer] = None
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            arrival = self._working[writer]
            if arrival is not None and arrival.outcome == "working":
                arrival.outcome = "broken"
        finally:
            del self._working[writer]
            writer.close()

    async def _one(self, request: PlainRequest, writer: asyncio.StreamWriter) -> None:
        headers = request.headers
        request_id = headers.get(NAMES.request_id.lower(), "")
        head: Headers = [(NAMES.request_id, request_id)] if request_id else []
        if self.is_leaving:
            head += [("Connection", "close"), (NAMES.leaving, "1")]
        if self._limit:
            head.append((NAMES.limit, self._limit))
        is_meant = headers.get(NAMES.instance.lower(), self.instance) == self.instance
        if is_meant and (request.method in OWN_CALLS or request.target == NAMES.order_path):
            await self._send(writer, complete_response(200, head, self._own_answer(request)))
            return
        is_prefill = headers.get(NAMES.stage.lower()) == NAMES.prefill_stage
        arrival = Arrival(
            request_id,
            self.instance,
            self.service,
            request.method,
            request.target,
            request.body,
            boot_time_s(),
            is_prefill,
            backend_incarnation=self.life,
            says_leaving=self.is_leaving,
            names_limit=bool(self._limit) and self._limit not in ODD_LIMITS,
        )
        self._working[writer] = arrival
        if request_id:
            self._history.arrivals.append(arrival)
        if not is_meant:
            arrival.outcome = "misdirected"
            await self._send(writer, complete_response(421, [*head, (NAMES.not_run, "1")], b""))
            return
        await self._answer(request, arrival, head, writer)
        await writer.drain()
        if arrival.outcome == "working":
            arrival.outcome = "whole"

    def _own_answer(self, request: PlainRequest) -> bytes:
        """Return the answer to a call that belongs to no request."""
        if not self._lists_parts or request.target != NAMES.cache_list_path:
            return b'{"held":[]}'
        parts = [CachedPart("", part, tokens) for part, tokens in self._cached_parts.items()]
        return msgspec.json.encode({NAMES.cache_list_field: parts})

    def _cache_parts(self, request: PlainRequest) -> None:
        for part in request.headers.get(NAMES.parts.lower(), "").split(","):
            name, _, tokens = part.rpartition(":")
            if name:
                self._cached_parts[name] = int(tokens)

    async def _answer(
        self, request: PlainRequest, arrival: Arrival, head: Headers, writer: asyncio.StreamWriter
    ) -> None:
        signed = [*head, (NAMES.signature, f"{self.instance}.{arrival.request_id}")]
        is_wrong_stage = self.role == PREFILL_ROLE and not arrival.is_prefill
        if self._is_harmful(request) and not (is_wrong_stage or arrival.is_prefill):
            await asyncio.sleep(self._choices.uniform(*STEP_S))
            if self.is_dead:
                return
            arrival.has_crashed_backend = True
            self.kill()
            self.on_crash(self)
        elif self.mode == "rest" and not is_wrong_stage:
            arrival.outcome = "refused"
            rest_s = self._choices.choice(REST_S)
            asked = [(NAMES.not_run, "1"), ("Retry-After", f"{rest_s:g}")]
            is_late = self._is_silent()
            await self._send(writer, complete_response(503, [*head, *asked], b""))
            # A late answer may not reach the router, which may wait for it no longer.
            arrival.rest_s = 0.0 if is_late else rest_s
        elif self.mode == "endless" and not is_wrong_stage and self._is_endless_now():
            arrival.outcome, arrival.is_own_end = "endless", True
            shape = self._endless_shape(head if arrival.is_prefill else signed, arrival)
            await write_without_end(writer, shape, self._choices.choice((SLOW, FAST)))
        elif is_wrong_stage or (self.mode == "refusals" and self._choices.random() < 0.5):
            arrival.outcome = "refused"
            status = 421 if is_wrong_stage else 503
            await self._send(writer, complete_response(status, [*head, (NAMES.not_run, "1")], b""))
        elif self.mode == "errors" and self._choices.random() < 0.7:
            arrival.outcome = "failed"
            await self._send(writer, complete_response(500, signed, b"failed"))
        elif arrival.is_prefill:
            await asyncio.sleep(self._choices.uniform(*PREFILL_S))
            result = {NAMES.handle_field: f"h-{arrival.request_id}", NAMES.tokens_field: 100}
            await self._send(writer, complete_response(200, head, msgspec.json.encode(result)))
        elif self.role:
            self._cache_parts(request)
            first = int(request.headers.get(NAMES.last_event_id.lower(), "0")) + 1
            await self._stream(request.body, first, signed, writer)
        else:
            await self._whole(answer_body(arrival.request_id, request.target), signed, writer)

    def _is_endless_now(self) -> bool:
        return self._choices.random() < ENDLESS_SHARE

    def _endless_shape(self, headers: Headers, arrival: Arrival) -> EndlessShape:
        """Return one of all shapes of bytes without end that fit the request."""
        bodies = body_shapes(headers, self._choices.choice((200, 500)))
        # Such a body would be complete when the backend ends.
        del bodies["end of the connection"]
        shapes = [*head_shapes(headers).values(), *bodies.values()]
        if self.role and not arrival.is_prefill:
            shapes += stream_shapes(headers).values()
        return self._choices.choice(shapes)

    def _is_harmful(self, request: PlainRequest) -> bool:
        """Return whether the request ends each backend that begins to run it."""
        parts = request.headers.get(NAMES.parts.lower(), "").split(",")[:-1]
        has_crashing_part = crashing_part(tuple(part.partition(":")[0] for part in parts))
        return request.body.startswith(POISON_MARK) or has_crashing_part is not None

    async def _whole(self, body: bytes, head: Headers, writer: asyncio.StreamWriter) -> None:
        is_long = self._choices.random() < LONG_SHARE
        pause_s = self._choices.uniform(*(LONG_S if is_long else SHORT_S))
        answer = complete_response(200, head, body)
        cut = self._choices.randrange(len(answer))
        await asyncio.sleep(pause_s * 0.7)
        await self._send(writer, answer[:cut])
        await asyncio.sleep(pause_s * 0.3)
        await self._send(writer, answer[cut:])

    async def _stream(
        self, prompt: bytes, first: int, head: Headers, writer: asyncio.StreamWriter
    ) -> None:
        await self._send(writer, answer_head(200, [*head, ("Transfer-Encoding", "chunked")]))
        for number in range(first, event_count(prompt) + 1):
            await asyncio.sleep(self._choices.uniform(*STEP_S))
            data = event(prompt, number, self.version)
            cut = self._choices.randrange(1, len(data))
            await self._send(writer, chunk(data[:cut]))
            await writer.drain()
            await self._send(writer, chunk(data[cut:]))
        await self._send(writer, chunk(b""))
