"""Finds engines that went dark from the streams they make: all that run there are silent at once.

One stream may be silent for long for its own reasons; an engine makes the tokens of all its streams
in one step, so when every stream that has begun there is silent the engine is.
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
from yokedock.base.patience import Patience
from yokedock.request.backend_life import Backend
from yokedock.router_errors import BackendSilent

_log = logger("streams")

CHECK_S = 0.1
LATE_CHECK_S = 0.3
"""After a check that came so late this process itself stood still: silence is counted anew."""
DARK_S = 0.45
"""An engine whose streams are all silent for this long gets no new work for a while, and what has
not begun there goes elsewhere."""
LOST_S = 0.8
"""After this time of silence the streams that may be resumed go elsewhere too."""
LATER_HALF = 0.5
"""Share of a stalled stream's wait: an engine heard later than that on other streams has outlived
the silence, and only the connection is at fault. The engine is not avoided for it, but its share of
failures counts it. Without this, every engine is avoided for 1 s once one connection to each falls
silent. One that has not begun spares nobody: engines that lose whole answers look like that."""
Result = TypeVar("Result")


class WatchedStream(msgspec.Struct, eq=False):
    """One stream at one engine."""

    engine: Backend
    may_move: bool
    """Whether the request may be sent to another engine."""
    stalled: Callable[[WatchedStream, float], None]
    """Called when the stream was silent for so many seconds."""
    has_begun: bool = False
    limit: Patience | None = None
    """Patience with what is awaited now."""

    async def within(self, patience_s: float, awaited: Awaitable[Result]) -> Result:
        """Wait for ``awaited``; raises ``BackendSilent`` if it does not come in time."""
        try:
            async with Patience(patience_s) as self.limit:
                return await awaited
        except TimeoutError:
            self.stalled(self, patience_s)
            raise BackendSilent(f"{self.engine.name}: the stream stalled") from None
        finally:
            self.limit = None

    def give_up(self) -> None:
        """End the wait for what the engine owes, where another engine may be asked."""
        if self.may_move and self.limit is not None:
            self.limit.reschedule(asyncio.get_running_loop().time())


class StreamWatch:
    """Watches all streams of this process."""

    def __init__(self, clock: Callable[[], float] = boot_time_s, is_used: bool = True) -> None:
        """Start with no stream; without ``is_used`` no engine is ever taken for silent."""
        self._clock = clock
        self._is_used = is_used
        self._streams: OrderedSet[WatchedStream] = OrderedSet()
        self._heard_s: dict[str, float] = {}
        self._checked_s = 0.0
        self._is_check_due = False

    def open(self, engine: Backend, may_move: bool) -> WatchedStream:
        """Watch a stream that was sent to ``engine``."""
        stream = WatchedStream(engine, may_move, self._note_stalled)
        if not self._streams:
            self._checked_s = self._clock()
        self._streams.add(stream)
        self._check_later()
        return stream

    def heard(self, stream: WatchedStream) -> None:
        """Note that something came from the stream's engine."""
        stream.has_begun = True
        self._heard_s[stream.engine.name] = self._clock()

    def close(self, stream: WatchedStream) -> None:
        """End watching."""
        self._streams.discard(stream)
        if not any(other.engine is stream.engine for other in self._streams):
            self._heard_s.pop(stream.engine.name, None)

    def check(self) -> None:
        """Avoid engines that are silent and give up what waits there."""
        now_s = self._clock()
        if now_s - self._checked_s > LATE_CHECK_S:
            self._heard_s = dict.fromkeys(self._heard_s, now_s)
        self._checked_s = now_s
        for engine in {s.engine for s in self._streams if s.has_begun}:
            silent_s = now_s - self._heard_s[engine.name]
            if silent_s >= DARK_S:
                self._avoid(engine, silent_s, now_s)

    def _note_stalled(self, stream: WatchedStream, silent_s: float) -> None:
        """Avoid the engine of a stream that stalled, unless its other streams went on."""
        engine, now_s = stream.engine, self._clock()
        heard_s = self._heard_s.get(engine.name, -math.inf)
        if stream.has_begun and now_s - heard_s < LATER_HALF * silent_s:
            _log.info("connection silent, its engine goes on", engine=engine.name)
            return
        engine.health.note_silence(now_s)

    def _avoid(self, engine: Backend, silent_s: float, now_s: float) -> None:
        if not engine.health.is_suspect(now_s):
            _log.info("engine silent", engine=engine.name, silent_ms=round(silent_s * 1000))
        engine.health.note_silence(now_s)
        for stream in [s for s in self._streams if s.engine is engine]:
            if silent_s >= LOST_S or not stream.has_begun:
                stream.give_up()

    def _check_later(self) -> None:
        if self._is_used and not self._is_check_due:
            self._is_check_due = True
            asyncio.get_running_loop().call_later(CHECK_S, self._check_now)

    def _check_now(self) -> None:
        self._is_check_due = False
        self.check()
        if self._streams:
            self._check_later()
