"""What an emulated model engine holds: its profile, prefill jobs, kept caches and streams."""

from __future__ import annotations

import dataclasses
import queue
import threading

from yokedock.connection.engine_protocol import (
    DecodeOrder,
    PrefillOrder,
    PrefillResult,
    PullResult,
)
from yokedock.errors import YokedockError
from yokedock_emulator.tokens import TokenSource


class OrderRefused(YokedockError):
    """The engine does not take the order."""

    code = "order_refused"
    http_status = 409


class Gone(YokedockError):
    """The named request or cache is not (or no longer) here."""

    code = "gone"
    http_status = 410


@dataclasses.dataclass(frozen=True)
class EngineProfile:
    """Sizes and speeds of an emulated engine."""

    role: str = "decode"
    slots: int = 32
    step_base_ms: float = 15.0
    step_per_stream_ms: float = 0.2
    prefill_tokens_per_s: float = 8000.0
    kv_bytes_per_token: int = 131_072
    link_bytes_per_s: float = 2e9
    kept_ms: int = 3000
    cache_tokens: int = 200_000
    cache_event_lag_ms: float = 300.0
    cache_event_gap_share: float = 0.02
    load_lag_ms: float = 500.0
    checks_fencing: bool = True
    clock_tokens: bool = False
    """Make each token's text the time at which it was made, for measuring what it goes through."""


class PrefillJob:
    """One prefill job."""

    def __init__(self, order: PrefillOrder) -> None:
        """Start as wanted; ``finished`` gets the result or the error."""
        self.order = order
        self.wanted = threading.Event()
        self.wanted.set()
        self.finished: queue.SimpleQueue[PrefillResult | YokedockError] = queue.SimpleQueue()


@dataclasses.dataclass
class KeptCache:
    """A computed KV cache that is kept for a few seconds."""

    request: str
    handle: str
    tokens: int
    computed_tokens: int
    expires_s: float
    wanted: threading.Event
    is_pulling: bool = False


class RunningStream:
    """One running or finished generation."""

    def __init__(self, order: DecodeOrder, imported: PullResult) -> None:
        """Start after the order's text, from an imported cache."""
        self.order = order
        self.imported = imported
        self.source = TokenSource(order.text)
        self.tokens: list[str] = []
        self.finish = ""
        self.finished_s = 0.0

    def next_token(self) -> str:
        """Return the next token; what goes before a stop sequence in it ends the stream."""
        token = self.source.next_token()
        done = "".join(self.tokens)
        found = [at for stop in self.order.sampling.stop if (at := (done + token).find(stop)) >= 0]
        if not found:
            return token
        self.finish = "stop"
        return (done + token)[len(done) : min(found)]
