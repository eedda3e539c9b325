"""Types of the state that each router sends to the others."""

from __future__ import annotations

import msgspec

from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import BackendEntry


class EngineShare(msgspec.Struct, array_like=True):
    """Work that one router has at one engine."""

    memory_tokens: int = 0
    streams: int = 0
    prefill_tokens: int = 0
    pause_ms: int = 0
    """Recently measured interval between a stream's events, 0 if not measured."""
    read_tokens_per_ms: int = 0
    """Recently measured prefill rate, 0 if not measured."""


class QueueShare(msgspec.Struct, array_like=True):
    """Requests queued at one router for the engines of one service."""

    in_time: int = 0
    """Queued generations that can still meet their latency target."""
    arrivals_per_s: float = 0.0
    next_in_ms: int = 0
    """Time left for the next generation in the queue, negative if it is already late; 0 if none is
    queued or the router has an older version."""
    awaited_versions: tuple[int, ...] = ()
    """Software versions that streams wait for which have to go on there (``version_number``)."""


class LimitShare(msgspec.Struct, array_like=True):
    """What one router knows about a backend's rate limit, and its use of permits."""

    per_s: float
    """Requests per second the backend accepts from all routers; negative if no longer limited."""
    age_ms: int
    """Time since the newest response that stated the limit, received here or reported by others."""
    taken: int
    """Number of permits that this router has taken."""
    waiting: int = 0
    """Number of requests waiting for a permit."""
    waited_ms: int = 0
    """How long the first of them has waited."""


class SuspectRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request during which backends terminated."""

    digest: int
    """Digest that is the same for all attempts of the request."""
    lives: tuple[int, ...] = ()
    """Numbers of the backend instances that terminated."""
    quick_lives: tuple[int, ...] = ()
    """Numbers of the instances that terminated immediately on receiving the request."""
    age_s: float = 0.0
    """Time since the most recent termination."""


class PartCrash(msgspec.Struct, array_like=True, frozen=True):
    """A backend that terminated before it answered requests with a certain prompt part."""

    life: int
    """Number of the backend instance."""
    requests: tuple[int, ...] = ()
    """Numbers of these requests."""
    age_ms: int = 0
    """Time since the termination."""


class SuspectPart(msgspec.Struct, array_like=True, frozen=True):
    """A prompt part of requests during which backends terminated."""

    part: int
    """Number of the part that is the same on every router."""
    crashes: tuple[PartCrash, ...] = ()


class CrashReport(msgspec.Struct, frozen=True):
    """What a router tells one that has just started about crashes of backends."""

    requests: tuple[SuspectRequest, ...] = ()
    parts: tuple[SuspectPart, ...] = ()


class StateNews(msgspec.Struct, array_like=True, frozen=True):
    """Recent changes read from the state source: all changes between two positions."""

    after: int
    position: int
    version: int
    """Version of the route table at ``position``; routers with an older one must fetch it."""
    changed: tuple[BackendEntry, ...] = ()
    gone: tuple[str, ...] = ()
    era: int = 0
    """Era of the source at both positions; 0 if the sender does not report one."""

    def start_position(self) -> SourcePosition:
        """Return the position a router must have reached before it can apply the changes."""
        return SourcePosition(self.era, self.after)

    def end_position(self) -> SourcePosition:
        """Return the position after the changes are applied."""
        return SourcePosition(self.era, self.position)


class RouterState(msgspec.Struct, array_like=True):
    """The whole state that one router sends to the others."""

    name: str
    incarnation: int
    sequence: int
    table_version: int
    position: int
    is_leaving: bool
    waiting: int
    """Queued generations of all services that can still meet their latency target."""
    shares: dict[str, EngineShare]
    leader: str
    """Address of the router that it votes for as leader, empty if none."""
    token: int
    """Highest fencing token known to this router."""
    changing: tuple[str, ...]
    """Engines whose role this router is changing."""
    routers: tuple[str, ...]
    """IP addresses of some of the routers it hears; not in every datagram."""
    queues: dict[str, QueueShare] = {}
    """By service; empty from routers of an older version."""
    source_age_ms: int = -1
    """Time since the state source last responded to this router directly, -1 if it never did."""
    news: tuple[StateNews, ...] = ()
    """Recent changes that it read from the state source."""
    broken: dict[str, int] = {}
    """Backends that recently aborted a response, with their failure rate in percent."""
    suspects: tuple[SuspectRequest, ...] = ()
    """Requests during which backends recently terminated."""
    leaving: tuple[str, ...] = ()
    """Backends whose responses recently announced that they are leaving."""
    limits: dict[str, LimitShare] = {}
    """Backends that state a rate limit, or recently did."""
    is_asking: bool = False
    """Whether this router resumed after a stall and requests the others' states immediately."""
    era: int = 0
    """Era of the source at ``position``; 0 if the sender does not report one."""
    suspect_parts: tuple[SuspectPart, ...] = ()
    """Prompt parts of requests during which backends recently terminated."""
    sound_parts: tuple[int, ...] = ()
    """Prompt parts that another router suspects, and on which this one saw answers."""
    term: int = 0
    """Fencing token with which it may give orders to engines, or recently could; 0 if none."""
    is_overloaded: bool = False
    """Whether it has just refused many connections, and others should get the new ones."""

    def source_position(self) -> SourcePosition:
        """Return the position up to which the router knows the source's history."""
        return SourcePosition(self.era, self.position)
