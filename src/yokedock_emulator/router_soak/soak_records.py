"""What clients and backends have seen on their sockets, as the judge reads it.

Times are of the steady clock, in seconds. What an answer must be follows from its request alone.
"""

from __future__ import annotations

import bisect
import dataclasses
import math
import zlib

KINDS = ("once", "repeat", "talk", "chat")
"""Kinds of requests: ``talk`` is a stream that may not be resumed, ``chat`` one that may."""
RUN_ONCE = ("once", "talk")
STREAMS = ("talk", "chat")
SERVICES = {"once": ("plain-a", "plain-b"), "repeat": ("plain-a", "plain-b")}
MODEL_SERVICE = "model"
VERSIONS = tuple(f"v{number}" for number in range(1, 13))
"""Software versions of backends, oldest first; what they generate differs."""
LIVES_IN = 3
"""A route stands in the configuration it is named after and in the two behind it."""
ROUTES_A_KIND = 2
POISON_MARK = b"ends whoever runs it "
"""Begins the body of a request that ends each backend which begins to run it."""
JUST_BACK_S = 0.5
"""A router that was frozen or cut off may not have caught up for so long."""
BOUND_S = 3.0
"""A router in touch acts on what the store has confirmed within this time."""


@dataclasses.dataclass(frozen=True)
class SoakRoute:
    """A route; ``version`` counts configurations from 1, without gaps."""

    kind: str
    version: int
    number: int

    @property
    def name(self) -> str:
        """Return its name."""
        return f"{self.kind}-{self.version}-{self.number}"

    @property
    def service(self) -> str:
        """Return the service that its requests go to."""
        if self.kind in STREAMS:
            return MODEL_SERVICE
        return SERVICES[self.kind][(self.version + self.number) % 2]

    def is_in(self, version: int) -> bool:
        """Return whether a configuration has this route."""
        return self.version <= version < self.version + LIVES_IN


@dataclasses.dataclass
class ClientRecord:
    """One client attempt, from the last byte sent to the end of its answer."""

    request_id: str
    route: SoakRoute
    router: int
    life: int
    """Which process of the router's address, counted from 1."""
    body: bytes
    sent_s: float
    last_event_id: int = 0
    """Events that the client has had from an earlier attempt."""
    first_request: str = ""
    """Id of the attempt that had the first event, if an earlier one did."""
    last_part: str = ""
    """The last part of its prompt, which no other part follows; empty: its own."""
    omits_first_request: bool = False
    """The caller resumes a stream without naming ``first_request``."""
    is_broken_off: bool = False
    """The network broke its connection; the outcome is then ``left``."""
    versions: set[str] = dataclasses.field(default_factory=set)
    """Software versions of the engines whose events came."""
    end_s: float = 0.0
    outcome: str = "waiting"
    """``answered``, ``cut``, ``left`` (by the client itself) or ``gave up``."""
    status: int | None = None
    events: int = 0
    """Number of the last event that came."""
    is_first: bool = False
    """The first request on its connection."""
    closes: bool = False
    """The answer announced that the connection ends."""
    is_reset: bool = False
    """Its connection ended with a reset: bytes that were sent have not been read."""
    problems: list[str] = dataclasses.field(default_factory=list)
    """What is wrong with the answer by itself."""
    path: str = ""
    """End of the target, alike for all tries of one request; empty: the request's own id."""

    parts: tuple[str, ...] = ()
    """Parts of its prompt that other requests have too; its own part comes after them."""
    is_refused_as_harmful: bool = False
    """A router refused it because it crashes backends."""

    @property
    def target(self) -> str:
        """Return what is asked for."""
        return f"/{self.route.name}/x?of={self.path or self.request_id}"

    @property
    def is_unanswered_cut(self) -> bool:
        """Return whether its connection was closed before any answer."""
        return self.outcome == "cut" and self.status is None

    @property
    def is_unread(self) -> bool:
        """Return whether it was the first on a connection that was reset before any answer.

        A router that has read a request ends its connection without a reset.
        """
        return self.is_first and self.is_reset and self.is_unanswered_cut

    @property
    def is_poison(self) -> bool:
        """Return whether the request ends the backends that run it."""
        return self.body.startswith(POISON_MARK)


@dataclasses.dataclass
class Arrival:
    """One request at a backend. Calls that belong to no request are not noted."""

    request_id: str
    instance: str
    service: str
    method: str
    target: str
    body: bytes
    at_s: float
    is_prefill: bool
    outcome: str = "working"
    """``whole``, ``refused``, ``misdirected`` (421: another one was meant), ``failed`` (a 500) or
    ``broken`` (the backend ended or was killed, or the connection did) or ``endless`` (bytes
    without end)."""
    is_own_end: bool = False
    """The backend itself broke off."""
    backend_incarnation: int = 0
    """Tells lives of backends apart: one may start anew under its identifier."""
    says_leaving: bool = False
    """The answer says that the backend leaves."""
    rest_s: float = 0.0
    """Seconds of rest that the answer asks for."""
    has_crashed_backend: bool = False
    """The backend ended because of this request."""
    names_limit: bool = False
    """The answer names how many requests a second the backend takes."""

    @property
    def has_run(self) -> bool:
        """Return whether the request was run, at least in part."""
        return not self.is_prefill and self.outcome not in ("refused", "misdirected")


@dataclasses.dataclass
class LimitSpan:
    """A span in which a backend names one limit."""

    from_s: float
    per_s: float
    to_s: float = math.inf


@dataclasses.dataclass(frozen=True)
class ProcessorWait:
    """Total time that a process had waited for a processor since its start, as read at ``at_s``."""

    at_s: float
    total_s: float


@dataclasses.dataclass
class RouterLife:
    """One process of a router."""

    router: int
    number: int
    started_s: float
    ready_s: float | None = None
    terminated_s: float | None = None
    killed_s: float | None = None
    ended_s: float | None = None
    exit_code: int | None = None
    hung_up_unhandled: bool = False
    """Whether SIGHUP came before the program's first line, which ignores it."""
    hang_ups_s: list[float] = dataclasses.field(default_factory=list)
    """When it got SIGHUP."""
    freezes: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    cuts: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    """When it was cut off from the store, the other routers or both."""
    processor_waits: list[ProcessorWait] = dataclasses.field(default_factory=list)
    """Readings in order of time."""

    @property
    def key(self) -> tuple[int, int]:
        """Return what names this life in the clients' records."""
        return self.router, self.number

    def processor_wait_s(self, from_s: float, to_s: float) -> float:
        """Return the wait for a processor between the nearest readings that enclose this span."""
        times = [wait.at_s for wait in self.processor_waits]
        first = max(0, bisect.bisect_right(times, from_s) - 1)
        last = min(len(times) - 1, bisect.bisect_left(times, to_s))
        if last <= first:
            return 0.0
        return self.processor_waits[last].total_s - self.processor_waits[first].total_s

    def excluding_processor_wait_s(self, from_s: float, to_s: float) -> float:
        """Return the length of a span minus the time spent waiting for a processor."""
        return to_s - from_s - self.processor_wait_s(from_s, to_s)


@dataclasses.dataclass
class SoakHistory:
    """Everything that the judge looks at."""

    records: dict[str, ClientRecord] = dataclasses.field(default_factory=dict)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    lives: dict[tuple[int, int], RouterLife] = dataclasses.field(default_factory=dict)
    published_s: dict[int, float] = dataclasses.field(default_factory=dict)
    """When each configuration was confirmed."""
    killed_s: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    """Services whose backend was killed, and when: what it had not read yet is not noted."""
    leaving_s: dict[str, float] = dataclasses.field(default_factory=dict)
    """When each backend was first listed as draining, or gone."""
    engines: dict[str, list[tuple[float, int]]] = dataclasses.field(default_factory=dict)
    """By software version: each time at which the number of decode engines that serve changed, and
    their number from then on."""
    limits: dict[int, list[LimitSpan]] = dataclasses.field(default_factory=dict)
    """What each life of a backend named, in order of time."""
    store_silent_s: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    restored_s: list[tuple[float, float, float]] = dataclasses.field(default_factory=list)
    """When the backup of each restore was taken, the store went offline, and it had recovered."""
    uneven_spans: list[tuple[int, float, float]] = dataclasses.field(default_factory=list)
    """Routers that get most new connections, and from when to when."""
    all_routers_killed_s: list[float] = dataclasses.field(default_factory=list)
    """When all routers were killed at the same moment."""
    unstated_versions: set[str] = dataclasses.field(default_factory=set)
    """Software versions that the entries of their engines do not name."""
    rollouts_s: list[float] = dataclasses.field(default_factory=list)
    """When engines of a new software version began to join."""
    stood_still_s: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    """Spans in which the soak's own process did not run: nothing is known of them."""
    at_end: dict[int, dict[str, float]] = dataclasses.field(default_factory=dict)
    """Levels of each router's metrics page once all callers are gone."""
    story: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    """What was done and when."""

    def was_in_touch(self, life: RouterLife, since_s: float, until_s: float) -> bool:
        """Return whether a router ran undisturbed for longer than the bound between these times.

        The time that it spent waiting for a processor does not count towards the bound.
        """
        cursor_s = max(since_s, until_s if life.ready_s is None else life.ready_s)
        struck = [*life.freezes, *life.cuts, *self.store_silent_s, *self.stood_still_s]
        if life.terminated_s is not None:
            struck.append((life.terminated_s, until_s))
        for start_s, end_s in sorted(struck):
            if life.excluding_processor_wait_s(cursor_s, min(start_s, until_s)) > BOUND_S:
                return True
            cursor_s = max(cursor_s, end_s)
        return life.excluding_processor_wait_s(cursor_s, until_s) > BOUND_S

    def leaving_known_s(self, life: RouterLife, leaving_s: float, at_s: float) -> float:
        """Return since when a router could know by ``at_s`` of a leaving listed at ``leaving_s``.

        A router that started later learns of it only from the list. If a backup lacks it and the
        router was not in touch between its start and the restore, this is once the store has
        recovered.
        """
        if life.ready_s is not None and life.ready_s <= leaving_s:
            return leaving_s
        lost = [
            end_s
            for taken_s, offline_s, end_s in self.restored_s
            if taken_s <= leaving_s < end_s
            and offline_s <= at_s
            and not self.was_in_touch(life, leaving_s, offline_s)
        ]
        return max(lost, default=leaving_s)

    def least_engines(self, version: str, from_s: float, to_s: float) -> int:
        """Return the least number of decode engines of a version that served in a span."""
        steps = self.engines.get(version, [])
        first = bisect.bisect_right(steps, (from_s, math.inf))
        last = bisect.bisect_right(steps, (to_s, math.inf))
        before = steps[first - 1][1] if first else 0
        return min([before, *(count for _, count in steps[first:last])])

    def most_connections_at(self, at_s: float) -> int | None:
        """Return the router that gets most new connections at this time, if one does."""
        return next((r for r, from_s, to_s in self.uneven_spans if from_s <= at_s < to_s), None)

    def out_of_step_at(self, at_s: float) -> int | None:
        """Return the router that is frozen or cut off, or was until a moment ago, if one is."""
        for life in self.lives.values():
            for from_s, until_s in (*life.freezes, *life.cuts):
                if from_s <= at_s < until_s + JUST_BACK_S:
                    return life.router
        return None

    def arrived(self) -> frozenset[str]:
        """Return the ids of all requests that reached a backend."""
        return frozenset(arrival.request_id for arrival in self.arrivals)

    def tell(self, now_s: float, text: str) -> None:
        """Note what was done."""
        self.story.append((now_s, text))


def answer_body(request_id: str, target: str) -> bytes:
    """Return the whole answer of a plain backend."""
    line = f"{request_id} {target}\n".encode()
    return line * (1 + zlib.crc32(line) % 400)


def event_count(body: bytes) -> int:
    """Return how many events the stream for a prompt has."""
    return 4 + zlib.crc32(body) % 70


def event(body: bytes, number: int, version: str) -> bytes:
    """Return one event of the stream for a prompt, as a software version generates it."""
    data = f"{zlib.crc32(body)}.{number}.{version} ".encode() * (1 + number % 5)
    return b"id: %d\ndata: %s\n\n" % (number, data)
