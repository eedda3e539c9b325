"""Follows routes and backends: reads all once, then waits for changes; takes over what is newer."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from yokedock.base.logs import logger
from yokedock.connection.state_source import StateSnapshot, StateSource
from yokedock.errors import PlatformUnavailable
from yokedock.request.backend_registry import BackendRegistry
from yokedock.router_errors import HistoryGone
from yokedock.version.route_table import RouteIndex, RouteTable

_log = logger("state")

RETRY_S = 0.15
LONGEST_RETRY_S = 1.0
"""Pauses after a failed read: the first one, doubled up to the longest, each shortened by up to a
half at random so that routers do not return together."""
GATHER_S = 0.2
"""Pause after a change before the next ones are asked for. Every call to the source is paid for by
the whole fleet at once: changes that follow each other come in one answer."""
FINISHED_SHARE = 0.5
"""A read that has come so far goes on when another router brings a newer table: it may bring a
still newer one, and must not begin again at nothing. It costs at most half a read more."""
REREAD_S = 1.0
"""A source that drops its history again within this time of a whole read is asked after a pause."""
Answer = TypeVar("Answer")


class StateFollower:
    """Keeps the route table and the registry current. Versions never go back."""

    def __init__(self, source: StateSource, registry: BackendRegistry) -> None:
        """Follow ``source``."""
        self._source = source
        self._registry = registry
        self._random = random.Random()
        self._heard_s = 0.0
        self._read_s = 0.0
        """When everything was read last (monotonic s)."""
        self.undecoded = 0
        """Items of the source that were not understood, since the start."""
        self.index: RouteIndex | None = None
        self.position = 0
        self._known = asyncio.Event()
        self._reading: asyncio.Task[Any] | None = None
        """The read of the source that is under way."""
        self._is_overtaken = False
        """Another router has brought what that read would bring."""

    @property
    def version(self) -> int:
        """Return the version in force, 0 if none is known."""
        return self.index.table.version if self.index else 0

    @property
    def is_known(self) -> bool:
        """Return whether routes and backends are known."""
        return self.index is not None and self.position > 0

    async def wait_known(self, timeout_s: float) -> bool:
        """Wait until routes and backends are known; return whether they are."""
        if not self.is_known and timeout_s > 0:
            try:
                async with asyncio.timeout(timeout_s):
                    await self._known.wait()
            except TimeoutError:
                return False
        return self.is_known

    def _note_known(self) -> None:
        if self.is_known:
            self._known.set()

    def silent_s(self) -> float:
        """Return for how long the source has not answered, in seconds."""
        return time.monotonic() - self._heard_s

    def snapshot(self) -> StateSnapshot:
        """Return what is known, for another router."""
        table = self.index.table if self.index else None
        return StateSnapshot(self.position, table, self._registry.entries())

    def adopt(self, snapshot: StateSnapshot) -> None:
        """Take over what another router knows, where it is newer.

        With a newer table, a read of the source that has just begun is given up: it would bring the
        same table over the same link, and hold up what comes after it.
        """
        is_newer = self._adopt_table(snapshot.table)
        has_just_begun = self._source.share_read() < FINISHED_SHARE
        if is_newer and has_just_begun and self._reading is not None:
            self._is_overtaken = True
            self._reading.cancel()
        if snapshot.position > self.position:
            self.position = snapshot.position
            self._registry.replace_all(snapshot.backends)
        self._note_known()

    async def run(self) -> None:
        """Follow the source for ever."""
        wait_s = RETRY_S
        must_read = True
        while True:
            try:
                if must_read:
                    await self._read_all()
                    must_read = False
                if await self._follow():
                    await asyncio.sleep(GATHER_S)
                wait_s = RETRY_S
            except HistoryGone as error:
                _log.info("must read all", reason=error.message, position=self.position)
                must_read = True
                if time.monotonic() - self._read_s < REREAD_S:
                    await asyncio.sleep(RETRY_S)
            except PlatformUnavailable as error:
                _log.info("source silent", reason=error.message, position=self.position)
                must_read = must_read or self.index is None
                await asyncio.sleep(wait_s * self._random.uniform(0.5, 1.0))
                wait_s = min(2 * wait_s, LONGEST_RETRY_S)

    async def _read_all(self) -> None:
        snapshot = await self._unless_overtaken(self._source.read())
        if snapshot is not None:
            self._read_s = time.monotonic()
            self._take_all(snapshot)
            _log.info("state read", position=self.position, version=self.version)

    async def _unless_overtaken(self, read: Coroutine[Any, Any, Answer]) -> Answer | None:
        """Return what the source answers, None once another router has brought it."""
        reading = asyncio.create_task(read)
        self._reading = reading
        self._is_overtaken = False
        try:
            return await reading
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if not self._is_overtaken or (task is not None and task.cancelling()):
                raise
            _log.info("read overtaken", position=self.position, version=self.version)
            return None
        finally:
            self._reading = None

    async def _follow(self) -> bool:
        """Wait for changes and take them over; return whether there were any."""
        changes = await self._unless_overtaken(self._source.wait(self.position))
        if changes is None:
            return False
        self._heard_s = time.monotonic()
        self.undecoded += len(changes.undecoded)
        self._adopt_table(changes.table)
        if changes.position < self.position:
            return False
        self.position = changes.position
        if changes.changed or changes.gone:
            self._registry.update(changes.changed, changes.gone)
            _log.info(
                "backends changed",
                position=self.position,
                changed=[f"{e.instance}:{e.role}:{e.is_leaving}" for e in changes.changed],
                gone=list(changes.gone),
            )
        return changes.table is not None or bool(changes.changed or changes.gone)

    def _take_all(self, snapshot: StateSnapshot) -> None:
        self._heard_s = time.monotonic()
        self.undecoded += len(snapshot.undecoded)
        self._adopt_table(snapshot.table)
        if snapshot.position >= self.position:
            self.position = snapshot.position
            self._registry.replace_all(snapshot.backends, snapshot.undecoded)
        self._note_known()

    def _adopt_table(self, table: RouteTable | None) -> bool:
        """Put a newer table in force; return whether it was newer."""
        if table is None or table.version <= self.version:
            return False
        self.index = RouteIndex(table)
        _log.info("table adopted", version=table.version, routes=len(table.routes))
        self._note_known()
        return True
