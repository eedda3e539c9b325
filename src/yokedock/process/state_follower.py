"""Follows routes and backends: reads all once, then waits for changes; takes over what is newer."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.router_state import StateNews
from yokedock.connection.state_source import StateChanges, StateSnapshot, StateSource
from yokedock.errors import PlatformUnavailable
from yokedock.process.watch_duty import MS_A_SECOND, NEVER, OWN_WATCH_S, WatchDuty
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
DUTY_CHECK_S = 0.1
"""A router at rest looks so often whether it is to watch the source itself."""
NEWS_S = 0.1
"""News are told for this time: in the datagram that they cause and in those of the next changes.
Whoever misses them all fetches the state."""
MOST_IN_NEWS = 6
"""Backends in one news: 110 bytes each, the datagram must stay below 1,400."""
Answer = TypeVar("Answer")


class StateFollower:
    """Keeps the route table and the registry current. Versions never go back."""

    def __init__(
        self, source: StateSource, registry: BackendRegistry, duty: WatchDuty | None = None
    ) -> None:
        """Follow ``source``; ``duty`` tells when others watch it for this router."""
        self._source = source
        self._registry = registry
        self._duty = duty if source.is_shared else None
        self._has_failed = True
        """Whether the last call to the source failed, or none was made."""
        self._recent_news: list[tuple[float, StateNews]] = []
        self.on_news: Callable[[], None] = lambda: None
        """Called when the source has told something that the other routers may not know."""
        self._random = random.Random()
        self._heard_s = 0.0
        self._read_s = 0.0
        """When everything was read last (boot time, s)."""
        self.reads_not_taken = 0
        """Whole reads since the start whose backends were ignored, as older than ``position``."""
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
        return boot_time_s() - self._heard_s

    def source_age_ms(self) -> int:
        """Return how long ago the source answered, ``NEVER`` if it did not the last time."""
        if self._has_failed:
            return NEVER
        return round(self.silent_s() * MS_A_SECOND)

    def age_s(self) -> float:
        """Return how old what is known may be: since the source answered anyone that is heard."""
        youngest_s = self._duty.youngest_s() if self._duty is not None else None
        return self.silent_s() if youngest_s is None else min(youngest_s, self.silent_s())

    def news(self) -> tuple[StateNews, ...]:
        """Return what the source told a moment ago, for the other routers."""
        oldest_s = boot_time_s() - NEWS_S
        self._recent_news = [told for told in self._recent_news if told[0] >= oldest_s]
        return tuple(news for _, news in self._recent_news)

    def take_news(self, told: tuple[StateNews, ...]) -> None:
        """Take over what another router learned, where this one knows all that came before.

        What is not taken is fetched by the exchange of states, which sees that the other is ahead.
        """
        for news in told:
            follows = news.after <= self.position < news.position
            if follows and news.version <= self.version and self.is_known:
                self.position = news.position
                self._registry.update(news.changed, news.gone)

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
                if boot_time_s() - self._read_s < REREAD_S:
                    await asyncio.sleep(RETRY_S)
            except PlatformUnavailable as error:
                self._has_failed = True
                _log.info("source silent", reason=error.message, position=self.position)
                must_read = must_read or self.index is None
                await asyncio.sleep(wait_s * self._random.uniform(0.5, 1.0))
                wait_s = min(2 * wait_s, LONGEST_RETRY_S)

    async def _read_all(self) -> None:
        snapshot = await self._unless_overtaken(self._source.read())
        if snapshot is not None:
            self._read_s = boot_time_s()
            is_taken = self._take_all(snapshot)
            self.reads_not_taken += not is_taken
            _log.info(
                "state read",
                position=self.position,
                read_position=snapshot.position,
                backends=len(snapshot.backends),
                is_taken=is_taken,
                version=self.version,
            )

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

    async def _until_due(self) -> None:
        """Rest while others watch the source for this router."""
        while self._duty is not None and not self._duty.is_due():
            await asyncio.sleep(DUTY_CHECK_S)

    async def _follow(self) -> bool:
        """Wait for changes and take them over; return whether there were any."""
        await self._until_due()
        longest_s = self._duty.watch_s() if self._duty is not None else OWN_WATCH_S
        before = self.position
        changes = await self._unless_overtaken(self._source.wait(before, longest_s))
        if changes is None:
            return False
        self._note_answer()
        self.undecoded += len(changes.undecoded)
        self._adopt_table(changes.table)
        if changes.position < self.position:
            return False
        self._note_news(before, changes)
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

    def _note_answer(self) -> None:
        self._heard_s = boot_time_s()
        self._has_failed = False

    def _note_news(self, before: int, changes: StateChanges) -> None:
        """Keep what the source told, if it fits into a datagram, and have it sent."""
        if changes.position <= before and changes.table is None:
            return
        if len(changes.changed) + len(changes.gone) <= MOST_IN_NEWS:
            news = StateNews(before, changes.position, self.version, changes.changed, changes.gone)
            self._recent_news.append((boot_time_s(), news))
        self.on_news()

    def _take_all(self, snapshot: StateSnapshot) -> bool:
        """Apply a whole read; return False if it was too old for its backends to be used."""
        self._note_answer()
        self.undecoded += len(snapshot.undecoded)
        self._adopt_table(snapshot.table)
        is_current = snapshot.position >= self.position
        if is_current:
            self.position = snapshot.position
            self._registry.replace_all(snapshot.backends)
        self._note_known()
        return is_current

    def _adopt_table(self, table: RouteTable | None) -> bool:
        """Put a newer table in force; return whether it was newer."""
        if table is None or table.version <= self.version:
            return False
        self.index = RouteIndex(table)
        _log.info("table adopted", version=table.version, routes=len(table.routes))
        self._note_known()
        return True
