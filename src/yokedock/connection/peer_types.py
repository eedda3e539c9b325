"""What the parts of a peer's task share: who speaks, how often, and the messages of its inbox."""

from __future__ import annotations

import dataclasses
from concurrent.futures import Future, InvalidStateError
from typing import Any, Protocol

from yokedock.errors import YokedockError
from yokedock.messages import AnyMessage, StreamTokens


class StreamSink(Protocol):
    """Receives what one attempt's stream brings. Called from the peer's task."""

    def offer(self, part: StreamTokens) -> None:
        """Take the stream's next tokens."""

    def lost(self, error: YokedockError) -> None:
        """The stream cannot go on over this link as it is."""


@dataclasses.dataclass(frozen=True)
class PeerIdentity:
    """Who this process is, towards its peers."""

    name: str
    incarnation: int
    key: bytes


@dataclasses.dataclass(frozen=True)
class PeerTiming:
    """Heartbeat intervals and lease, in milliseconds.

    ``idle_heartbeat_ms`` holds for peers at which nothing is held; 0 stands for ``heartbeat_ms``.
    """

    heartbeat_ms: int
    lease_ms: int
    idle_heartbeat_ms: int = 0

    @property
    def longest_heartbeat_ms(self) -> int:
        """Return the longest time between two heartbeats to one peer."""
        return max(self.heartbeat_ms, self.idle_heartbeat_ms)

    @property
    def silence_ms(self) -> int:
        """Return how long a link may be silent while nothing is held over it."""
        return self.longest_heartbeat_ms + self.lease_ms


@dataclasses.dataclass(frozen=True)
class DemandSignal:
    """What this gateway asked for in the last interval: seconds of prefill, slots of decode."""

    prefill: float = 0.0
    decode: float = 0.0


@dataclasses.dataclass(frozen=True)
class SendCall:
    """Send a message; ``reply`` is None where no reply is wanted.

    ``attempt`` names an attempt to hold from now on, ``sink`` receives its stream.
    """

    message: AnyMessage
    reply: Future[Any] | None = None
    attempt: str = ""
    sink: StreamSink | None = None


@dataclasses.dataclass(frozen=True)
class DropAttempt:
    """The attempt is over here: stop holding it and tell the agent."""

    attempt: str


@dataclasses.dataclass(frozen=True)
class HeartbeatDue:
    """The process's ticker passes by: send a heartbeat if it is time for one."""


@dataclasses.dataclass(frozen=True)
class HeartbeatNow:
    """Send a heartbeat at once: there is a new version to tell of."""


@dataclasses.dataclass(frozen=True)
class RedialEarly:
    """Redial after a short pause: a request is waiting for the peer."""


def settle(future: Future[Any], result: Any = None, error: BaseException | None = None) -> None:
    """Give a future its result or error; do nothing if it has one already."""
    try:
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)
    except InvalidStateError:
        pass
