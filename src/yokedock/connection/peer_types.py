"""Types shared by the modules that manage a peer: identity, timing and actor messages."""

from __future__ import annotations

import dataclasses
from concurrent.futures import Future, InvalidStateError
from typing import Any, Protocol

from yokedock.errors import YokedockError
from yokedock.messages import AnyMessage, StreamTokens


class StreamSink(Protocol):
    """Receives the tokens of one attempt's stream. Called on the peer's actor thread."""

    def offer(self, part: StreamTokens) -> None:
        """Accept the stream's next tokens."""

    def lost(self, error: YokedockError) -> None:
        """Handle the loss of the stream: it cannot continue over this link without recovery."""


@dataclasses.dataclass(frozen=True)
class PeerIdentity:
    """Identity of this process as presented to its peers."""

    name: str
    incarnation: int
    key: bytes


@dataclasses.dataclass(frozen=True)
class PeerTiming:
    """Heartbeat intervals and lease, in milliseconds.

    ``idle_heartbeat_ms`` applies to peers without held attempts; 0 means ``heartbeat_ms``.
    """

    heartbeat_ms: int
    lease_ms: int
    idle_heartbeat_ms: int = 0

    @property
    def max_heartbeat_interval_ms(self) -> int:
        """Return the maximum interval between heartbeats to one peer."""
        return max(self.heartbeat_ms, self.idle_heartbeat_ms)

    @property
    def receive_timeout_ms(self) -> int:
        """Return how long a link may be idle before it counts as lost."""
        return self.max_heartbeat_interval_ms + self.lease_ms


@dataclasses.dataclass(frozen=True)
class DemandSignal:
    """Demand of this gateway in the last interval: seconds of prefill and slots of decode."""

    prefill: float = 0.0
    decode: float = 0.0


@dataclasses.dataclass(frozen=True)
class SendCall:
    """Send a message; ``reply`` is None if no reply is expected.

    ``attempt`` identifies an attempt to hold from now on; ``sink`` receives its stream.
    """

    message: AnyMessage
    reply: Future[Any] | None = None
    attempt: str = ""
    sink: StreamSink | None = None


@dataclasses.dataclass(frozen=True)
class DropAttempt:
    """Stop holding an attempt and send the agent a release."""

    attempt: str


@dataclasses.dataclass(frozen=True)
class HeartbeatDue:
    """Tick of the ``HeartbeatTicker``: send a heartbeat if one is due."""


@dataclasses.dataclass(frozen=True)
class HeartbeatNow:
    """Send a heartbeat immediately, to announce a new version."""


@dataclasses.dataclass(frozen=True)
class RedialEarly:
    """Redial after a short delay, because a request is waiting for the peer."""


def settle(future: Future[Any], result: Any = None, error: BaseException | None = None) -> None:
    """Set a future's result or error; do nothing if the future is already done."""
    try:
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)
    except InvalidStateError:
        pass
