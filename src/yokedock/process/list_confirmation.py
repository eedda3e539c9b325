"""Confirms with the state source that the list of backends known here is current.

A router that is cut off, or was suspended, does not hear of changes, and cannot tell that from a
source without changes. Whoever concludes something from what is not listed needs a position of the
source from after the question, and a list that has reached it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import StateSource
from yokedock.errors import PlatformUnavailable

_log = logger("state")

SOURCE_TIMEOUT_S = 0.25
"""Time limit for the source's response: callers that cannot be served are told soon."""
CATCH_UP_S = 0.3
"""Time for the changes up to the confirmed position to arrive: they are batched for 0.2 s."""
CHECK_S = 0.01


class Confirmation(msgspec.Struct, frozen=True):
    """The result of one call to the source."""

    began_s: float
    """When the call was made (boot time, s)."""
    position: SourcePosition | None
    """The position of the source at some time after that, None if it is not known."""
    ended_s: float = float("-inf")
    """When the source responded (boot time, s)."""


class ListConfirmation:
    """Asks the source for its position; questions that wait at the same time share a call."""

    def __init__(self, source: StateSource, position: Callable[[], SourcePosition]) -> None:
        """``position`` returns the position of the list known here."""
        self._source = source
        self._position = position
        self._latest = Confirmation(float("-inf"), None)
        self._call: asyncio.Task[Confirmation] | None = None

    async def reached_since(self, asked_s: float) -> SourcePosition | None:
        """Return a position that the source had at a time after ``asked_s``, once it is known here.

        Returns None if the source does not respond, or its changes do not arrive. ``asked_s`` is in
        boot time, not in the future.
        """
        confirmation = await self._confirmation_since(asked_s)
        if confirmation.position is None:
            return None
        latest_s = confirmation.ended_s + CATCH_UP_S
        while self._position() < confirmation.position:
            if boot_time_s() > latest_s:
                _log.info(
                    "list is behind its source",
                    position=self._position().revision,
                    source_position=confirmation.position.revision,
                )
                return None
            await asyncio.sleep(CHECK_S)
        return confirmation.position

    async def _confirmation_since(self, asked_s: float) -> Confirmation:
        """Return the result of a call that was made after ``asked_s``."""
        while self._latest.began_s < asked_s:
            if self._call is None:
                self._call = asyncio.create_task(self._ask())
            # Others wait for the same call: it must not end with the first who gives up.
            self._latest = await asyncio.shield(self._call)
        return self._latest

    async def _ask(self) -> Confirmation:
        began_s, before = boot_time_s(), self._position()
        try:
            async with asyncio.timeout(SOURCE_TIMEOUT_S):
                reported = await self._source.current_position()
        except (PlatformUnavailable, TimeoutError) as error:
            _log.info("position of the source not known", reason=str(error))
            return Confirmation(began_s, None)
        finally:
            self._call = None
        position = before.position_of_read(reported)
        # A source that reports an earlier position does not speak for now.
        is_current = position >= before
        return Confirmation(began_s, position if is_current else None, boot_time_s())
