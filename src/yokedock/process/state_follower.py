"""Follows routes and backends: reads all once, then waits for changes; takes over what is newer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from yokedock.base.clock import boot_time_s, wall_clock_ms
from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.connection.router_state import StateNews
from yokedock.connection.source_position import NO_ERA, SourcePosition
from yokedock.connection.state_source import BackendEntry, StateSnapshot, StateSource
from yokedock.errors import PlatformUnavailable
from yokedock.process.interruptible_call import InterruptibleCall
from yokedock.process.state_news import RecentNews
from yokedock.process.watch_duty import MS_PER_SECOND, NEVER, OWN_WATCH_S, WatchDuty
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.list_restoration import MISSING_GRACE_S, AppliedHistory
from yokedock.router_errors import HistoryUnavailable
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
RECONNECT_WATCH_S = 0.01
"""Longest rest of the first watch after a failed call. A source that was restored to exactly the
watched revision has no changes to report, and names its new era only when the watch ends."""
TIMER_SLACK_S = 0.02
"""How much a timer of the event loop may fire early by the clock of the registry."""


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
        self._is_reconnecting = False
        """Whether no call has been answered since a call failed."""
        self._recent_news = RecentNews()
        self.on_news: Callable[[], None] = lambda: None
        """Called when the source has told something that the other routers may not know."""
        self._random = new_random()
        self._heard_s = 0.0
        self._read_s = 0.0
        """When everything was read last (boot time, s)."""
        self.reads_not_taken = 0
        """Whole reads since the start whose backends were ignored, as older than ``position``."""
        self.undecoded = 0
        """Items of the source that were not understood, since the start."""
        self.index: RouteIndex | None = None
        self.position = SourcePosition()
        self._applied_ms = 0
        """When ``position`` was reached (wall clock)."""
        self._last_watch_position = SourcePosition()
        """Start position of the last watch."""
        self._reports_era = True
        """Whether the last full read named an era."""
        self._known = asyncio.Event()
        self._reading = InterruptibleCall()
        """Runs calls to the source, so that ``adopt`` can interrupt them."""

    @property
    def version(self) -> int:
        """Return the version in force, 0 if none is known."""
        return self.index.table.version if self.index else 0

    @property
    def is_known(self) -> bool:
        """Return whether routes and backends are known."""
        return self.index is not None and self.position > SourcePosition()

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
        return round(self.silent_s() * MS_PER_SECOND)

    def age_s(self) -> float:
        """Return how old what is known may be: since the source answered anyone that is heard."""
        youngest_s = self._duty.youngest_s() if self._duty is not None else None
        return self.silent_s() if youngest_s is None else min(youngest_s, self.silent_s())

    def news(self) -> tuple[StateNews, ...]:
        """Return what the source told a moment ago, for the other routers."""
        return self._recent_news.unexpired()

    def take_news(self, told: tuple[StateNews, ...]) -> None:
        """Take over what another router learned, where this one knows all that came before.

        What is not taken is fetched by the exchange of states, which sees that the other is ahead.
        """
        for news in told:
            follows = news.start_position() <= self.position < news.end_position()
            if follows and news.version <= self.version and self.is_known:
                self._advance(news.end_position())
                self._registry.update(news.changed, news.gone)

    def snapshot(self) -> StateSnapshot:
        """Return what is known, for another router."""
        table = self.index.table if self.index else None
        return StateSnapshot(self.position, table, self._registry.entries())

    def adopt(self, snapshot: StateSnapshot) -> None:
        """Take over what another router knows, where it is newer.

        With a newer table, a read of the source that has just begun is given up: it would bring the
        same table over the same link, and hold up what comes after it. With a later era, so is a
        watch from a position in the previous one: it may omit changes that this router lacks.
        """
        is_newer = self._adopt_table(snapshot.table)
        is_newer = is_newer or snapshot.position.era > self.position.era
        has_just_begun = self._source.received_fraction() < FINISHED_SHARE
        if is_newer and has_just_begun:
            self._reading.interrupt()
        if snapshot.position > self.position:
            self._replace_backends(snapshot.position, snapshot.backends)
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
            except HistoryUnavailable as error:
                self._is_reconnecting = False
                _log.info("must read all", reason=error.message, **self._position_fields())
                if boot_time_s() - self._read_s < REREAD_S:
                    await asyncio.sleep(RETRY_S)
                must_read = must_read or not await self._wait_for_peer_state(
                    self._last_watch_position
                )
            except PlatformUnavailable as error:
                self._has_failed = self._is_reconnecting = True
                _log.info("source silent", reason=error.message, **self._position_fields())
                # Without an era, a restore during the outage cannot be detected from changes.
                must_read = must_read or self.index is None or not self._reports_era
                await asyncio.sleep(wait_s * self._random.uniform(0.5, 1.0))
                wait_s = min(2 * wait_s, LONGEST_RETRY_S)

    def _position_fields(self) -> dict[str, int]:
        """Return the log fields of the current position."""
        return {"era": self.position.era, "position": self.position.revision}

    async def _wait_for_peer_state(self, start: SourcePosition) -> bool:
        """Return whether state after ``start`` was taken over from another router.

        All but the initial readers wait for it.
        """
        delay_s = 0.0
        if self._duty is not None:
            delay_s = self._random.uniform(*self._duty.read_delay_range_s())
        latest_s = boot_time_s() + delay_s
        while self.position == start and boot_time_s() < latest_s:
            await asyncio.sleep(DUTY_CHECK_S)
        return self.position > start

    async def _read_all(self) -> None:
        before = self.position
        snapshot = await self._reading.run(self._source.read())
        if snapshot is None:
            self._log_interruption()
            return
        self._read_s = boot_time_s()
        self._reports_era = snapshot.position.era != NO_ERA
        read_at = before.position_of_read(snapshot.position)
        is_taken = self._take_all(snapshot, read_at)
        self.reads_not_taken += not is_taken
        _log.info(
            "state read",
            **self._position_fields(),
            read_era=read_at.era,
            read_position=read_at.revision,
            backends=len(snapshot.backends),
            is_taken=is_taken,
            version=self.version,
        )

    def _log_interruption(self) -> None:
        _log.info("read overtaken", **self._position_fields(), version=self.version)

    async def _until_due(self) -> None:
        """Rest while others watch the source for this router."""
        while self._duty is not None and not self._duty.is_due():
            await asyncio.sleep(DUTY_CHECK_S)

    async def _follow(self) -> bool:
        """Wait for changes and take them over; return whether there were any."""
        await self._until_due()
        before = self._last_watch_position = self.position
        changes = await self._reading.run(self._source.wait(before, self._watch_s()))
        if changes is None:
            self._log_interruption()
            return False
        if self.position.era > before.era:
            return False
        position = before.position_of_changes(changes.position)
        self._note_answer()
        self.undecoded += len(changes.undecoded)
        self._adopt_table(changes.table)
        if position < self.position:
            return False
        self._advance(position)
        if position > before or changes.table is not None:
            self._recent_news.add(before, position, self.version, changes)
            self.on_news()
        if changes.changed or changes.gone:
            self._registry.update(changes.changed, changes.gone)
            _log.info(
                "backends changed",
                **self._position_fields(),
                changed=[f"{e.instance}:{e.role}:{e.is_leaving}" for e in changes.changed],
                gone=list(changes.gone),
            )
        return changes.table is not None or bool(changes.changed or changes.gone)

    def _watch_s(self) -> float:
        """Return how long the next watch may rest."""
        if self._is_reconnecting:
            return RECONNECT_WATCH_S
        return self._duty.watch_s() if self._duty is not None else OWN_WATCH_S

    def _note_answer(self) -> None:
        self._heard_s = boot_time_s()
        self._has_failed = self._is_reconnecting = False

    def _take_all(self, snapshot: StateSnapshot, read_at: SourcePosition) -> bool:
        """Apply a whole read; return False if it was too old for its backends to be used."""
        self._note_answer()
        self.undecoded += len(snapshot.undecoded)
        self._adopt_table(snapshot.table)
        is_current = read_at >= self.position
        if is_current and self._replace_backends(read_at, snapshot.backends):
            self.on_news()
        self._note_known()
        return is_current

    def _advance(self, position: SourcePosition) -> None:
        """Set the position, and record the time if it is higher than before."""
        if position > self.position:
            self._applied_ms = wall_clock_ms()
        self.position = position

    def _replace_backends(
        self, position: SourcePosition, backends: dict[str, BackendEntry]
    ) -> bool:
        """Replace all backends by those at ``position``; return whether the source was restored."""
        is_restored = self.position > SourcePosition() and position.era > self.position.era
        applied = AppliedHistory(self.position.revision, self._applied_ms)
        self._advance(position)
        if is_restored:
            self._registry.restore_all(backends, applied)
            delay_s = MISSING_GRACE_S + TIMER_SLACK_S
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._registry.apply_restoration_timeouts)
            _log.info("source restored from a backup", **self._position_fields())
        else:
            self._registry.replace_all(backends)
        return is_restored

    def _adopt_table(self, table: RouteTable | None) -> bool:
        """Put a newer table in force; return whether it was newer."""
        if table is None or table.version <= self.version:
            return False
        self.index = RouteIndex(table)
        _log.info("table adopted", version=table.version, routes=len(table.routes))
        self._note_known()
        return True
