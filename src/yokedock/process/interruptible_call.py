"""Runs an asynchronous call that can be interrupted when its result is no longer needed."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

Answer = TypeVar("Answer")


class InterruptibleCall:
    """Runs one call at a time, until it completes or is interrupted."""

    def __init__(self) -> None:
        """Create a runner with no call in progress."""
        self._task: asyncio.Task[Any] | None = None
        self._is_interrupted = False

    def interrupt(self) -> bool:
        """Cancel the call in progress; return whether cancellation was requested.

        Returns False if no call is in progress or its task is already done.
        """
        if self._task is None:
            return False
        is_requested = self._task.cancel()
        self._is_interrupted = self._is_interrupted or is_requested
        return is_requested

    async def run(self, call: Coroutine[Any, Any, Answer]) -> Answer | None:
        """Return the result of ``call``, or None if it was interrupted.

        Cancellation of the calling task is propagated.
        """
        task: asyncio.Task[Answer] = asyncio.create_task(call)
        self._task = task
        self._is_interrupted = False
        try:
            return await task
        except asyncio.CancelledError:
            caller = asyncio.current_task()
            if not self._is_interrupted or (caller is not None and caller.cancelling()):
                raise
            return None
        finally:
            self._task = None
