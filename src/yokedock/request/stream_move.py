"""Moves a stream to another engine while the response of its silent engine stays open.

The stream has left its engine only once the other one has begun. If the silent engine goes on
before that, or no other engine takes the stream, it stays where it is: nothing is lost, and no
further retry budget is needed.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Coroutine
from typing import Any

from yokedock.base.logs import logger
from yokedock.router_errors import BackendResponseLost, BackendUnresponsive

_log = logger("streams")


class MoveOutcome(enum.Enum):
    """How a move ended for the engine that was to be left."""

    LEFT = "the stream has left"
    WENT_ON = "the silent engine went on"
    NO_OTHER = "no other engine took the stream"


class StreamMove:
    """The continuation of one stream on other engines, run as a task."""

    def __init__(self, continuation: Coroutine[Any, Any, None]) -> None:
        """Start ``continuation``, which serves the rest of the stream."""
        self._continuation = asyncio.create_task(continuation)
        self._has_begun = asyncio.get_running_loop().create_future()

    def begin(self) -> None:
        """Record that another engine has begun: from now on the stream is there."""
        if not self._has_begun.done():
            self._has_begun.set_result(None)

    async def outcome(self, read: asyncio.Future[bytes | None]) -> MoveOutcome:
        """Wait until it is known which engine has the stream; ``read`` awaits the silent one.

        The stream has left too if the silent engine breaks off: nothing can come from it. Raises
        what ended the continuation, unless that only means that no other engine was found.
        """
        try:
            await asyncio.wait(
                {self._continuation, self._has_begun, read}, return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            await self._cancel()
            raise
        if self._has_begun.done():
            return MoveOutcome.LEFT
        if self._continuation.done():
            return self._outcome_of_end()
        if read.cancelled() or read.exception() is not None:
            return MoveOutcome.LEFT
        await self._cancel()
        return MoveOutcome.WENT_ON

    async def finish(self) -> None:
        """Wait for the end of the stream; raises what ended it early."""
        await self._continuation

    def _outcome_of_end(self) -> MoveOutcome:
        try:
            self._continuation.result()
        except BackendResponseLost as error:
            _log.info("no other engine took the stream", reason=error.message)
            return MoveOutcome.NO_OTHER
        return MoveOutcome.LEFT

    async def _cancel(self) -> None:
        self._continuation.cancel()
        await asyncio.wait({self._continuation})
        if not self._continuation.cancelled() and (error := self._continuation.exception()):
            _log.info("move ended with an error", reason=str(error))


class StreamMoved(BackendUnresponsive):
    """The engine was silent, and the stream has moved to another one."""

    def __init__(self, message: str, move: StreamMove) -> None:
        """``move`` serves the rest of the stream."""
        super().__init__(message)
        self.move = move
