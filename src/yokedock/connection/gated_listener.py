"""A listener that refuses connections while no more can be served.

A refused connection costs the network link two small packets, and its caller tries elsewhere at
once. After a connection was established, the caller sends its request, which uses the link even if
nobody reads it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from yokedock.base.logs import logger

_log = logger("listener")

POLL_S = 0.02
"""Interval at which a paused listener checks whether it can resume."""


class GatedListener:
    """Listens at one address unless paused; ``run`` is its task."""

    def __init__(
        self, listen: Callable[[], Awaitable[asyncio.Server]], may_resume: Callable[[], bool]
    ) -> None:
        """``listen`` binds the address; ``may_resume`` is asked regularly while paused."""
        self._listen = listen
        self._may_resume = may_resume
        self._server: asyncio.Server | None = None
        self._paused = asyncio.Event()
        self._is_closed = False
        self.pauses = 0
        """Number of pauses since the start."""

    async def start(self) -> None:
        """Start listening; raises ``OSError`` if the address cannot be bound."""
        self._server = await self._listen()

    def pause(self) -> None:
        """Refuse connections until ``may_resume``; established ones are not affected."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        self.pauses += 1
        self._paused.set()

    def close(self) -> None:
        """Stop listening for good."""
        self._is_closed = True
        if self._server is not None:
            self._server.close()

    async def run(self) -> None:
        """Resume after each pause, until cancelled."""
        while not self._is_closed:
            await self._paused.wait()
            while not self._may_resume():
                await asyncio.sleep(POLL_S)
            await self._resume()

    async def _resume(self) -> None:
        if self._is_closed:
            return
        try:
            server = await self._listen()
        except OSError as error:
            _log.warning("cannot listen; trying again", reason=repr(error))
            await asyncio.sleep(POLL_S)
            return
        if self._is_closed:
            server.close()
            return
        self._server = server
        self._paused.clear()
