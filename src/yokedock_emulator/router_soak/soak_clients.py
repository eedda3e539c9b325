"""Callers of the soak: they keep connections until the process is gone, and note what they see."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from yokedock.base.clock import boot_time_s
from yokedock.base.ordered_set import OrderedSet
from yokedock.platform.headers import PLATFORM_HEADERS as NAMES
from yokedock_emulator.router_soak.soak_connection import SoakAnswer, SoakConnection
from yokedock_emulator.router_soak.soak_fleet import SoakFleet
from yokedock_emulator.router_soak.soak_operator import HOST, SoakOperator
from yokedock_emulator.router_soak.soak_parts import (
    CRASHING_PREFIX,
    FIRST_PARTS,
    MIDDLE_PARTS,
    QUARANTINED,
)
from yokedock_emulator.router_soak.soak_plan import DEFAULT_OPTIONS, ROUTERS, SoakOptions
from yokedock_emulator.router_soak.soak_records import (
    KINDS,
    LIVES_IN,
    POISON_MARK,
    ROUTES_A_KIND,
    STREAMS,
    VERSIONS,
    ClientRecord,
    SoakHistory,
    SoakRoute,
    answer_body,
    event,
    event_count,
)

CALLERS = 64
KEPT_SHARE = 0.75
"""Share of callers that keep a connection for as long as it lasts; others send a few requests."""
FEW = (1, 6)
THINK_S = (0.0, 0.15)
STOP_CALLERS = 24
"""Callers that open connections to routers which are stopping, if asked for."""
STOP_REQUESTS = (1, 3)
"""Requests on each of these connections."""
STOP_PAUSE_S = (0.02, 0.3)
LEAVING_SHARE = 0.03
LEAVES_AFTER_S = (0.0, 0.3)
OTHER_ROUTE_SHARE = 0.15
"""Share of requests on a route of the newest configuration, or of one that is gone."""
DEADLINE_MS = 8000
PATIENCE_S = 10.0
"""Longer than the deadline: a caller sees also what comes late."""
CONNECT_LIMIT_S = 1.0
UNEVEN_CALLS_PER_S = 90.0
"""Rate at which further callers come while the balancer is uneven, whether they are served or
not; before, at a third of it."""
UNEVEN_TRIES = 2
UNEVEN_SHARE = 0.9
"""Share of new connections at one router while the balancer is uneven."""
LEAVES_WHEN_UNEVEN_SHARE = 0.3
"""Share of answers after which a caller opens another connection while the balancer is uneven."""
GOES_ON_SHARE = 0.8
"""Share of broken streams that may be resumed whose callers take them up again."""
RESUMES_AFTER_S = (0.0, 8.0)
"""Where all routers are killed, callers resume broken streams after so long: some at routers that
have just started, others at routers that are in touch again."""
RESUMES_SOON_S = (0.0, 0.6)
"""Where versions are rolled out, callers resume broken streams after so long."""
BROKEN_SHARE = 0.7
"""Share of the streams that lose their connection when connections break."""
OUT_OF_STEP_SHARE = 0.7
"""Share of new connections at a router that is out of step, while one is."""
OMITS_FIRST_SHARE = 0.2
"""Share of resumptions in which callers do not name the request that had the first event."""
KIND_WEIGHTS = (0.4, 0.3, 0.1, 0.2)
ROLLOUT_KIND_WEIGHTS = (0.15, 0.15, 0.1, 0.6)
"""Weights of ``KINDS``, and those where versions are rolled out: more streams may be resumed."""
SESSIONS = tuple(f"session-{number}" for number in range(20))
"""Last parts of prompts that come again, and so are kept by engines of several versions."""
SESSION_SHARE = 0.5
END_OF_EVENT = b"\n\n"
MOST_BODY_BYTES = 3000
POISON_KINDS = ("repeat", "chat")
POISON_COPIES = (1, 1, 1, 3)
"""How many come at once, at routers drawn anew: one in four times several."""
POISON_PAUSE_S = (0.1, 0.6)
CRASHING_PART_S = (6.0, 14.0)
"""How long requests with one crashing part come, until others come with the next."""
CRASHING_PAUSE_S = (0.1, 0.5)


@dataclasses.dataclass(frozen=True)
class ConnectionUse:
    """How the use of one connection has ended."""

    broken: ClientRecord | None = None
    """A stream that broke and shall be resumed."""
    is_unread: bool = False
    """The router closed the connection without an answer."""


class SoakClients:
    """All callers; ``run`` ends when ``stop`` was called and each has its last answer."""

    def __init__(
        self,
        seed: int,
        fleet: SoakFleet,
        operator: SoakOperator,
        history: SoakHistory,
        options: SoakOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Call the routers of ``fleet`` on the routes that ``operator`` has published."""
        self._seed = seed
        self._fleet = fleet
        self._operator = operator
        self._history = history
        self._options = options
        self._is_stopping = False
        self._resume_choices = random.Random(f"{seed}-resume")
        self._break_choices = random.Random(f"{seed}-break")
        self._under_way: dict[SoakConnection, tuple[ClientRecord, SoakAnswer]] = {}
        """Requests without a complete answer."""
        self._sent = 0

    def stop(self) -> None:
        """Send nothing more."""
        self._is_stopping = True

    def break_streams(self, spared_router: int) -> int:
        """Break connections of streams that have begun at other routers; return their number."""
        broken = 0
        for connection, (record, answer) in list(self._under_way.items()):
            has_begun = END_OF_EVENT in answer.body and record.route.kind == "chat"
            if record.router == spared_router or not has_begun:
                continue
            if self._break_choices.random() < BROKEN_SHARE:
                record.is_broken_off = True
                connection.leave()
                broken += 1
        return broken

    async def run(self) -> None:
        """Call until stopped."""
        callers = [self._call(number) for number in range(CALLERS)]
        callers.append(self._call_with_poison())
        if self._options.has_crashing_parts:
            callers.append(self._call_with_crashing_parts())
        if self._options.has_stops_in_turn:
            callers += [self._call_stopping(number) for number in range(STOP_CALLERS)]
        if self._options.has_uneven_balancing:
            callers.append(self._call_steadily())
        await asyncio.gather(*callers)

    async def _call(self, number: int) -> None:
        choices = random.Random(f"{self._seed}-{number}")
        keeps = number < CALLERS * KEPT_SHARE
        broken: ClientRecord | None = None
        avoided: int | None = None
        while not self._is_stopping:
            router = self._router_for(choices, avoided)
            connection = await self._connect(router)
            if connection is None:
                await asyncio.sleep(0.02)
                continue
            most = 1_000_000 if keeps else choices.randint(*FEW)
            use = await self._use(connection, router, most, choices, broken)
            broken, avoided = use.broken, router if use.is_unread else None
            connection.leave()
            if broken is not None and self._options.has_all_routers_killed:
                await asyncio.sleep(self._resume_choices.uniform(*RESUMES_AFTER_S))
            elif broken is not None and self._options.has_version_rollouts:
                await asyncio.sleep(self._resume_choices.uniform(*RESUMES_SOON_S))

    async def _call_steadily(self) -> None:
        """Let callers come at a steady rate, each with one request on a connection of its own."""
        choices = random.Random(f"{self._seed}-steady")
        calls: OrderedSet[asyncio.Task[None]] = OrderedSet()
        while not self._is_stopping:
            rate = UNEVEN_CALLS_PER_S if self._is_uneven() else UNEVEN_CALLS_PER_S / 3
            await asyncio.sleep(choices.expovariate(rate))
            call = asyncio.create_task(self._call_once(random.Random(choices.random())))
            calls.add(call)
            call.add_done_callback(calls.discard)
        await asyncio.gather(*calls)

    async def _call_once(self, choices: random.Random) -> None:
        """Send one request, and try another router if it is not read."""
        avoided: int | None = None
        for _ in range(UNEVEN_TRIES):
            router = self._router_for(choices, avoided)
            connection = await self._connect(router)
            if connection is not None:
                use = await self._use(connection, router, 1, choices, None)
                connection.leave()
                if not use.is_unread:
                    return
            avoided = router

    def _router_for(self, choices: random.Random, avoided: int | None) -> int:
        """Return the router that the balancer chooses; a retry meets another than ``avoided``."""
        router = choices.randrange(ROUTERS)
        preferred = self._history.most_connections_at(boot_time_s())
        if preferred is not None and choices.random() < UNEVEN_SHARE:
            router = preferred
        if self._options.has_version_rollouts:
            out_of_step = self._history.out_of_step_at(boot_time_s())
            if out_of_step is not None and choices.random() < OUT_OF_STEP_SHARE:
                router = out_of_step
        if router == avoided:
            router = (router + choices.randrange(1, ROUTERS)) % ROUTERS
        return router

    async def _call_stopping(self, number: int) -> None:
        """Open connections to routers that are stopping, until they exit."""
        choices = random.Random(f"{self._seed}-stopping-{number}")
        while not self._is_stopping:
            await asyncio.sleep(choices.uniform(*STOP_PAUSE_S))
            routers = self._fleet.stopping()
            if not routers:
                continue
            router = choices.choice(routers)
            connection = await self._connect(router)
            if connection is not None:
                most = choices.randint(*STOP_REQUESTS)
                await self._use(connection, router, most, choices, None)
                connection.leave()

    async def _call_with_poison(self) -> None:
        """Send one request that ends its backends again and again, while its route is there."""
        choices = random.Random(f"{self._seed}-poison")
        number = 0
        while not self._is_stopping:
            number += 1
            kind = choices.choice(POISON_KINDS)
            route = SoakRoute(kind, max(1, self._operator.version - 1), 0)
            while route.is_in(self._operator.version) and not self._is_stopping:
                copies = choices.choice(POISON_COPIES)
                body = POISON_MARK + str(number).encode()
                path = f"poison-{number}"
                await asyncio.gather(
                    *(self._send_harmful(route, choices, body, path) for _ in range(copies))
                )
                await asyncio.sleep(choices.uniform(*POISON_PAUSE_S))

    async def _send_harmful(
        self,
        route: SoakRoute,
        choices: random.Random,
        body: bytes = b"",
        path: str = "",
        parts: tuple[str, ...] = (),
    ) -> None:
        """Send one request that ends backends to a router drawn anew; its own id is its body."""
        router = choices.randrange(ROUTERS)
        connection = await self._connect(router)
        if connection is None:
            return
        self._sent += 1
        record = ClientRecord(
            f"r{self._seed}-{self._sent}",
            route,
            router,
            self._fleet.life(router),
            body or f"r{self._seed}-{self._sent}".encode(),
            boot_time_s(),
            path=path,
            parts=parts,
        )
        connection.send(_request(record))
        self._history.records[record.request_id] = record
        await self._answer(connection, record, choices)
        record.end_s = boot_time_s()
        connection.leave()

    async def _call_with_crashing_parts(self) -> None:
        """Send requests that share one part which ends engines, no two alike; then another part."""
        choices = random.Random(f"{self._seed}-crashing-parts")
        number = 0
        while not self._is_stopping:
            number += 1
            first = choices.choice(FIRST_PARTS)
            parts = [first, choices.choice(MIDDLE_PARTS)]
            parts.insert(choices.randrange(3), f"{CRASHING_PREFIX}{self._seed}-{number}")
            until_s = boot_time_s() + choices.uniform(*CRASHING_PART_S)
            while boot_time_s() < until_s and not self._is_stopping:
                copies = choices.choice(POISON_COPIES)
                version = max(1, self._operator.version - 1)
                number_of_route = choices.randrange(ROUTES_A_KIND)
                route = SoakRoute(choices.choice(STREAMS), version, number_of_route)
                await asyncio.gather(
                    *(self._send_harmful(route, choices, parts=tuple(parts)) for _ in range(copies))
                )
                await asyncio.sleep(choices.uniform(*CRASHING_PAUSE_S))

    def _shared_parts(self, route: SoakRoute, choices: random.Random) -> tuple[str, ...]:
        """Return the parts that a harmless prompt shares with others."""
        if not self._options.has_crashing_parts or route.kind not in STREAMS:
            return ()
        parts = (choices.choice(FIRST_PARTS), choices.choice(MIDDLE_PARTS))
        return parts[: choices.choice((1, 2))]

    async def _connect(self, router: int) -> SoakConnection | None:
        if not self._fleet.takes_new(router):
            return None
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                return await SoakConnection.connect(self._fleet.callers_address(router))
        except (OSError, TimeoutError):
            return None

    async def _use(
        self,
        connection: SoakConnection,
        router: int,
        most: int,
        choices: random.Random,
        broken: ClientRecord | None,
    ) -> ConnectionUse:
        """Send requests on one connection."""
        life = self._fleet.life(router)
        for number in range(most):
            if self._is_stopping:
                return ConnectionUse()
            record = self._next_record(router, life, choices, broken)
            record.is_first = number == 0
            connection.send(_request(record))
            self._history.records[record.request_id] = record
            await self._answer(connection, record, choices)
            record.end_s = boot_time_s()
            if record.outcome != "answered" or record.closes:
                is_broken = record.outcome == "cut" or record.is_broken_off
                goes_on = is_broken and record.events and record.route.kind == "chat"
                is_resumed = goes_on and choices.random() < GOES_ON_SHARE
                return ConnectionUse(record if is_resumed else None, record.is_unread)
            broken = None
            stray = await connection.rest(choices.uniform(*THINK_S))
            if stray is None:
                return ConnectionUse()
            if stray:
                record.problems.append(f"bytes behind the answer: {stray[:60]!r}")
                return ConnectionUse()
            if self._is_uneven() and choices.random() < LEAVES_WHEN_UNEVEN_SHARE:
                return ConnectionUse()
        return ConnectionUse()

    def _is_uneven(self) -> bool:
        return self._history.most_connections_at(boot_time_s()) is not None

    def _next_record(
        self, router: int, life: int, choices: random.Random, broken: ClientRecord | None
    ) -> ClientRecord:
        self._sent += 1
        request_id = f"r{self._seed}-{self._sent}"
        route = self._route(choices)
        now_s = boot_time_s()
        if broken is not None:
            route = SoakRoute("chat", self._operator.version - 1, route.number)
            return ClientRecord(
                request_id,
                route,
                router,
                life,
                broken.body,
                now_s,
                broken.events,
                broken.first_request or broken.request_id,
                parts=broken.parts,
                omits_first_request=self._omits_first_request(),
                last_part=broken.last_part,
            )
        body = f"{request_id} ".encode()
        body += b"x" * choices.randrange(MOST_BODY_BYTES)
        parts = self._shared_parts(route, choices)
        record = ClientRecord(request_id, route, router, life, body, now_s, parts=parts)
        if self._options.has_version_rollouts:
            is_of_session = choices.random() < SESSION_SHARE
            record.last_part = choices.choice(SESSIONS) if is_of_session else request_id
        return record

    def _omits_first_request(self) -> bool:
        if not self._options.has_version_rollouts:
            return False
        return self._resume_choices.random() < OMITS_FIRST_SHARE

    def _route(self, choices: random.Random) -> SoakRoute:
        """Return a route of the configuration before the newest: any that may be in force has it.

        At times, one that shows which configuration is in force.
        """
        newest = self._operator.version
        version = newest - 1
        if choices.random() < OTHER_ROUTE_SHARE:
            version = choices.choice((newest, newest - LIVES_IN, newest - LIVES_IN - 1))
        has_rollouts = self._options.has_version_rollouts
        kind = choices.choices(KINDS, ROLLOUT_KIND_WEIGHTS if has_rollouts else KIND_WEIGHTS)[0]
        return SoakRoute(kind, max(1, version), choices.randrange(ROUTES_A_KIND))

    async def _answer(
        self, connection: SoakConnection, record: ClientRecord, choices: random.Random
    ) -> None:
        leaves = choices.random() < LEAVING_SHARE
        patience_s = choices.uniform(*LEAVES_AFTER_S) if leaves else PATIENCE_S
        answer = SoakAnswer()
        self._under_way[connection] = record, answer
        try:
            async with asyncio.timeout(patience_s):
                await connection.read(answer)
            record.outcome = "answered"
        except TimeoutError:
            record.outcome = "left" if leaves else "gave up"
        except (OSError, EOFError) as error:
            record.outcome = "cut"
            record.is_reset = isinstance(error, ConnectionResetError)
        except ValueError as error:
            record.outcome = "cut"
            record.problems.append(str(error))
        finally:
            del self._under_way[connection]
        if record.is_broken_off and record.outcome == "cut":
            record.outcome = "left"
        _note(record, answer)


def _request(record: ClientRecord) -> bytes:
    lines = [
        f"POST {record.target} HTTP/1.1",
        f"Host: {HOST}",
        f"{NAMES.request_id}: {record.request_id}",
        f"{NAMES.deadline_ms}: {DEADLINE_MS}",
        f"Content-Length: {len(record.body)}",
    ]
    if record.route.kind in STREAMS:
        own = f"{(record.last_part or record.request_id).encode().hex()}:90"
        parts = ",".join([*(f"{part}:30" for part in record.parts), own])
        lines += [f"{NAMES.model}: m", f"{NAMES.tokens}: 90,40", f"{NAMES.parts}: {parts}"]
    if record.last_event_id:
        lines.append(f"{NAMES.last_event_id}: {record.last_event_id}")
        if not record.omits_first_request:
            lines.append(f"{NAMES.resumes}: {record.first_request}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + record.body


def _note(record: ClientRecord, answer: SoakAnswer) -> None:
    """Note the answer, and what is wrong with it by itself."""
    record.status = answer.status
    record.is_refused_as_harmful = answer.status == 503 and QUARANTINED in answer.body
    record.closes = answer.headers.get("connection", "").lower() == "close"
    if answer.status is None:
        return
    seal = answer.headers.get(NAMES.signature.lower(), "")
    named = answer.headers.get(NAMES.request_id.lower(), record.request_id)
    if named != record.request_id or (seal and seal.rpartition(".")[2] != record.request_id):
        record.problems.append(f"the answer of another request: {named} {seal}")
    if answer.status >= 300:
        return
    if not seal:
        record.problems.append("a success without a signature")
    if record.route.kind in STREAMS:
        _note_stream(record, answer)
    elif answer.is_whole and bytes(answer.body) != answer_body(record.request_id, record.target):
        record.problems.append("the body is not the backend's")


def _note_stream(record: ClientRecord, answer: SoakAnswer) -> None:
    """Compare the events that came with those of the prompt, in order."""
    last, rest = event_count(record.body), bytes(answer.body)
    number = record.last_event_id
    while number < last and (version := _version_of(record.body, number + 1, rest)):
        number += 1
        record.versions.add(version)
        rest = rest[len(event(record.body, number, version)) :]
    record.events = number
    nexts = [event(record.body, number + 1, version) for version in VERSIONS]
    is_part = number < last and any(each.startswith(rest) for each in nexts)
    if rest and (not is_part or answer.is_whole):
        record.problems.append(f"behind event {number} comes {rest[:60]!r}")
    if answer.is_whole and number < last:
        record.problems.append(f"the stream ends as whole at event {number} of {last}")


def _version_of(body: bytes, number: int, data: bytes) -> str:
    """Return the version that generated the event at the start of ``data``, empty if none did."""
    for version in VERSIONS:
        if data.startswith(event(body, number, version)):
            return version
    return ""
