"""What one router tells the others of itself."""

from __future__ import annotations

import msgspec

from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import BackendEntry


class EngineShare(msgspec.Struct, array_like=True):
    """What one router has at one engine."""

    memory_tokens: int = 0
    streams: int = 0
    prefill_tokens: int = 0
    pause_ms: int = 0
    """Pause between events there as measured a moment ago, 0 if it was not."""
    read_tokens_per_ms: int = 0
    """Pace of reading prompts there as measured a moment ago, 0 if it was not."""


class QueueShare(msgspec.Struct, array_like=True):
    """What waits for the engines of one service at one router."""

    in_time: int = 0
    """Generations waiting that can still meet their target."""
    arrivals_per_s: float = 0.0
    next_in_ms: int = 0
    """Time left of the generation whose turn is next, negative if it is late already, 0 if none
    waits or the router is of an older version."""


class LimitShare(msgspec.Struct, array_like=True):
    """What one router knows of a backend's limit, and what it has of the permits."""

    per_s: float
    """Requests a second that the backend takes from all routers together, below 0 if no more."""
    age_ms: int
    """Time since this router last had an answer, or heard of one, that says so."""
    taken: int
    """Permits that this router has taken."""
    waiting: int = 0
    """Requests that wait for a permit."""
    waited_ms: int = 0
    """For how long the first of them has waited."""


class SuspectRequest(msgspec.Struct, array_like=True, frozen=True):
    """A request under which backends ended."""

    digest: int
    """What is alike for all attempts of the request."""
    lives: tuple[int, ...] = ()
    """Numbers of the lives of backends that ended."""
    quick_lives: tuple[int, ...] = ()
    """Those of them that ended as soon as they got the request."""
    age_s: float = 0.0
    """Time since the newest of these ends."""


class StateNews(msgspec.Struct, array_like=True, frozen=True):
    """What a router has just learned from the source: all that changed between two positions."""

    after: int
    position: int
    version: int
    """Of the route table in force there: whoever has an older one must fetch it."""
    changed: tuple[BackendEntry, ...] = ()
    gone: tuple[str, ...] = ()
    era: int = 0
    """Of the source, at both positions; 0 from a router that sends no era."""

    def start_position(self) -> SourcePosition:
        """Return the position that a router must have reached to apply the changes."""
        return SourcePosition(self.era, self.after)

    def end_position(self) -> SourcePosition:
        """Return the position that the changes lead to."""
        return SourcePosition(self.era, self.position)


class RouterState(msgspec.Struct, array_like=True):
    """What one router tells the others."""

    name: str
    incarnation: int
    sequence: int
    table_version: int
    position: int
    is_leaving: bool
    waiting: int
    """Generations of all services that wait and can still be in time."""
    shares: dict[str, EngineShare]
    leader: str
    """Address of the router that it names as leader, empty if none."""
    token: int
    """Highest fencing token that it knows of."""
    changing: tuple[str, ...]
    """Engines whose role it is changing."""
    routers: tuple[str, ...]
    """Addresses (IP) of some routers that it hears; named now and then."""
    queues: dict[str, QueueShare] = {}
    """By service; a router of an older version tells none."""
    source_age_ms: int = -1
    """Time since the source of state answered this router itself, -1 if it did not."""
    news: tuple[StateNews, ...] = ()
    """What it learned from the source a moment ago."""
    broken: dict[str, int] = {}
    """Backends that broke an answer off a moment ago, with the share of failures in percent."""
    suspects: tuple[SuspectRequest, ...] = ()
    """Requests under which backends ended a moment ago."""
    leaving: tuple[str, ...] = ()
    """Backends whose answers said a moment ago that they leave."""
    limits: dict[str, LimitShare] = {}
    """Backends that name a limit, or did a moment ago."""
    is_asking: bool = False
    """Whether this router stood still, and wants to be told the others' states at once."""
    era: int = 0
    """Of the source, at ``position``; 0 from a router that sends no era."""

    def source_position(self) -> SourcePosition:
        """Return the position up to which the router knows the source."""
        return SourcePosition(self.era, self.position)
