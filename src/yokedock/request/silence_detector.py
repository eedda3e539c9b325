"""Detects unresponsive engines by their streams: all streams of such an engine are silent at once.

A single stream may be silent for reasons of its own. An engine generates the tokens of all its
streams in one batched step, so if every stream that has started there is silent, the engine has
stopped.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.ordered_set import OrderedSet
from yokedock.base.read_first_timeout import ReadFirstTimeout
from yokedock.request.backend_incarnation import Backend
from yokedock.router_errors import BackendUnresponsive

_log = logger("streams")

CHECK_S = 0.1
PROCESS_STALL_S = 0.3
"""A check delayed by this much means that this process itself was stalled; silence is then measured
from that check on."""
ENGINE_SILENCE_S = 0.45
"""An engine whose streams are all silent for this long is avoided for a while, and requests that
have not started there are sent to another engine."""
MOVE_SILENCE_S = 0.8
"""After this time of silence, resumable streams are moved to another engine too."""
RECENT_ACTIVITY_SHARE = 0.5
"""If another stream of the engine had data within this last share of a stalled stream's timeout,
only the connection is at fault: the engine is not avoided, but the stall counts in its failure
rate. Without this, every engine would be avoided for 1 s once one connection to each falls silent.
It does not apply to streams that have not started, since engines that lose whole responses show up
that way."""
MAX_COUNTED_WAIT_S = 0.3
"""Time that one wait counts at most once data has ended it: this process may have been stalled."""
Result = TypeVar("Result")


class WatchedStream(msgspec.Struct, eq=False):
    """A stream from one engine."""

    engine: Backend
    may_move: bool
    """Whether the request may be sent to another engine."""
    stalled: Callable[[WatchedStream, float], None]
    """Called with the stream and its timeout (s) when a wait has timed out."""
    prepare_move: Callable[[], bool] = lambda: True
    """Reserves what a move to another engine needs; returns whether that was possible."""
    has_begun: bool = False
    limit: ReadFirstTimeout | None = None
    """Timeout of the current wait, None while nothing is awaited."""
    waited_s: float = 0.0
    """Time spent on the stream without progress since the latest one."""

    async def within(self, patience_s: float, awaited: Awaitable[Result]) -> Result:
        """Wait for ``awaited``; raises ``BackendUnresponsive`` if it takes too long.

        ``patience_s`` counts the waits since the latest progress together. A stream that may move
        waits on for as long as a move is not possible.
        """
        left_s = max(0.0, patience_s - self.waited_s)
        since_s = boot_time_s()
        try:
            async with ReadFirstTimeout(left_s, lambda: self._may_end(patience_s)) as self.limit:
                return await awaited
        except TimeoutError:
            raise self._stall_error(patience_s) from None
        finally:
            self.limit = None
            self._count_wait(since_s)

    def require_progress(self, patience_s: float, received_s: float) -> None:
        """Raise ``BackendUnresponsive`` if data arrives, but no progress for too long.

        Data that is always there leaves no wait that could time out. The time to handle it, since
        ``received_s`` (boot time), counts too.
        """
        self._count_wait(received_s)
        if self.waited_s >= patience_s and self._may_end(patience_s):
            raise self._stall_error(patience_s)

    def _count_wait(self, since_s: float) -> None:
        self.waited_s += min(boot_time_s() - since_s, MAX_COUNTED_WAIT_S)

    def _may_end(self, patience_s: float) -> bool:
        return not self.may_move or self._can_move(patience_s)

    def _stall_error(self, patience_s: float) -> BackendUnresponsive:
        self.stalled(self, patience_s)
        return BackendUnresponsive(f"{self.engine.name}: the stream stalled")

    def _can_move(self, silent_s: float) -> bool:
        if self.prepare_move():
            return True
        if not self.has_begun:
            self.stalled(self, silent_s)
        return False

    def give_up(self) -> None:
        """Abort the current wait if the request may be sent to another engine."""
        if self.may_move and self.limit is not None:
            self.limit.reschedule(asyncio.get_running_loop().time())


class SilenceDetector:
    """Monitors all streams of this process."""

    def __init__(self, clock: Callable[[], float] = boot_time_s, is_used: bool = True) -> None:
        """Initialize without streams; if ``is_used`` is false, checks are never scheduled."""
        self._clock = clock
        self._is_used = is_used
        self._streams: OrderedSet[WatchedStream] = OrderedSet()
        self._heard_s: dict[Backend, float] = {}
        """When each engine last sent data, by incarnation: two may have one name."""
        self._last_check_s = 0.0
        self._is_check_scheduled = False

    def open(self, engine: Backend, may_move: bool) -> WatchedStream:
        """Start to monitor a stream from ``engine``."""
        stream = WatchedStream(engine, may_move, self._on_stall)
        if not self._streams:
            self._last_check_s = self._clock()
        self._streams.add(stream)
        self._schedule_check()
        return stream

    def heard(self, stream: WatchedStream) -> None:
        """Record that a stream, and so its engine, has made progress.

        Bytes alone are no progress: an engine in trouble may send them without end.
        """
        stream.has_begun = True
        stream.waited_s = 0.0
        self._heard_s[stream.engine] = self._clock()

    def close(self, stream: WatchedStream) -> None:
        """Stop monitoring a stream."""
        self._streams.discard(stream)
        if not any(other.engine is stream.engine for other in self._streams):
            self._heard_s.pop(stream.engine, None)

    def check(self) -> None:
        """Mark silent engines as suspect and abort the waits for them."""
        now_s = self._clock()
        if now_s - self._last_check_s > PROCESS_STALL_S:
            self._heard_s = dict.fromkeys(self._heard_s, now_s)
        self._last_check_s = now_s
        for engine in {s.engine for s in self._streams if s.has_begun}:
            silent_s = now_s - self._heard_s[engine]
            if silent_s >= ENGINE_SILENCE_S:
                self._mark_silent(engine, silent_s, now_s)

    def _on_stall(self, stream: WatchedStream, silent_s: float) -> None:
        """Mark the engine of a stalled stream as suspect, unless its other streams had data."""
        engine, now_s = stream.engine, self._clock()
        heard_s = self._heard_s.get(engine, -math.inf)
        if stream.has_begun and now_s - heard_s < RECENT_ACTIVITY_SHARE * silent_s:
            _log.info(
                "stream stalled, but other streams of the engine are active", engine=engine.name
            )
            return
        engine.health.record_silence(now_s)

    def _mark_silent(self, engine: Backend, silent_s: float, now_s: float) -> None:
        if not engine.health.is_suspect(now_s):
            _log.info("engine silent", engine=engine.name, silent_ms=round(silent_s * 1000))
        engine.health.record_silence(now_s)
        for stream in [s for s in self._streams if s.engine is engine]:
            if silent_s >= MOVE_SILENCE_S or not stream.has_begun:
                stream.give_up()

    def _schedule_check(self) -> None:
        if self._is_used and not self._is_check_scheduled:
            self._is_check_scheduled = True
            asyncio.get_running_loop().call_later(CHECK_S, self._run_check)

    def _run_check(self) -> None:
        self._is_check_scheduled = False
        self.check()
        if self._streams:
            self._schedule_check()
