"""Keeps routes and backends current: reads all once, then watches the source for changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from yokedock.base.clock import boot_time_s, wall_clock_ms
from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.connection.router_state import StateNews
from yokedock.connection.source_position import NO_ERA, SourcePosition
from yokedock.connection.state_source import (
    BackendEntry,
    StateChanges,
    StateSnapshot,
    StateSource,
)
from yokedock.errors import PlatformUnavailable
from yokedock.process.interruptible_call import InterruptibleCall
from yokedock.process.state_news import RecentNews
from yokedock.process.watcher_selection import (
    MS_PER_SECOND,
    NEVER,
    UNSHARED_WATCH_S,
    WatcherSelection,
)
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.list_restoration import MISSING_GRACE_S, AppliedHistory
from yokedock.router_errors import HistoryUnavailable
from yokedock.version.route_table import RouteIndex, RouteTable

_log = logger("state")

RETRY_S = 0.15
MAX_RETRY_S = 1.0
"""First and longest delay after a failed read. The delay doubles with each failure, and is
shortened at random by up to a half so that routers do not retry simultaneously."""
CHANGE_BATCHING_S = 0.2
"""Delay after a change before the next changes are requested. Each change causes a call from every
router of the fleet at once: with the delay, successive changes arrive in one response."""
FINISH_READ_FRACTION = 0.5
"""Received fraction from which a read is completed although another router sent a newer table: it
may contain a still newer one, and would have to start over. This costs at most half a read."""
REREAD_S = 1.0
"""Time after a full read in which the source is called again only after a delay if it has dropped
its history once more."""
WATCH_CHECK_S = 0.1
"""Interval at which a router that does not watch the source checks whether it should."""
RECONNECT_WATCH_S = 0.01
"""Maximum duration of the first watch after a failed call. A source that was restored to exactly
the watched revision has no changes to report, and names its new era only when the watch ends."""
TIMER_SLACK_S = 0.02
"""How early a timer of the event loop may fire, measured by the clock of the registry."""


class StateFollower:
    """Keeps the route table and the registry current. The table version never decreases."""

    def __init__(
        self,
        source: StateSource,
        registry: BackendRegistry,
        watcher_selection: WatcherSelection | None = None,
    ) -> None:
        """Follow ``source``; ``watcher_selection`` decides who watches it if it is shared."""
        self._source = source
        self._registry = registry
        self._watcher_selection = watcher_selection if source.is_shared else None
        self._has_failed = True
        """Whether the last call to the source failed, or none was made."""
        self._is_reconnecting = False
        """Whether no call has succeeded since a call failed."""
        self._recent_news = RecentNews()
        self.on_news: Callable[[], None] = lambda: None
        """Called after a change reported by the source that the other routers may not know."""
        self.on_gap: Callable[[], None] = lambda: None
        """Called when changes were missed: the list has been replaced, or backends of some software
        version were listed only in between."""
        self._random = new_random()
        self._last_answer_s = 0.0
        self._last_read_s = 0.0
        """Time of the last full read (boot time, s)."""
        self.reads_ignored = 0
        """Full reads since the start whose backends were ignored as older than ``position``."""
        self.undecoded = 0
        """Undecodable items received from the source since the start."""
        self.index: RouteIndex | None = None
        self.position = SourcePosition()
        self._applied_ms = 0
        """When ``position`` was reached (wall clock, ms)."""
        self._last_watch_position = SourcePosition()
        """Start position of the last watch."""
        self._reports_era = True
        """Whether the last full read named an era."""
        self._known = asyncio.Event()
        self._source_call = InterruptibleCall()
        """Runs calls to the source, so that ``adopt`` can interrupt them."""

    @property
    def version(self) -> int:
        """Return the version of the current route table, 0 if none is known."""
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

    def _signal_known(self) -> None:
        if self.is_known:
            self._known.set()

    def silent_s(self) -> float:
        """Return the time since the last response of the source, in seconds."""
        return boot_time_s() - self._last_answer_s

    def source_age_ms(self) -> int:
        """Return the age of the source's last response, ``NEVER`` if the last call failed."""
        if self._has_failed:
            return NEVER
        return round(self.silent_s() * MS_PER_SECOND)

    def age_s(self) -> float:
        """Return the maximum age of the known state, in seconds.

        It counts from the last response of the source to this router or to any live one.
        """
        min_source_age_s = (
            self._watcher_selection.min_source_age_s()
            if self._watcher_selection is not None
            else None
        )
        return (
            self.silent_s() if min_source_age_s is None else min(min_source_age_s, self.silent_s())
        )

    def news(self) -> tuple[StateNews, ...]:
        """Return recent changes reported by the source, for the other routers."""
        return self._recent_news.unexpired()

    def apply_news(self, changes: tuple[StateNews, ...]) -> None:
        """Apply changes that another router received, if this one has applied all earlier ones.

        Otherwise the state exchange detects that the other router is ahead, and fetches its state.
        """
        for news in changes:
            follows = news.start_position() <= self.position < news.end_position()
            if follows and news.version <= self.version and self.is_known:
                self._advance(news.end_position())
                self._registry.update(news.changed, news.gone)

    def snapshot(self) -> StateSnapshot:
        """Return the known state, for another router."""
        table = self.index.table if self.index else None
        return StateSnapshot(self.position, table, self._registry.entries())

    def adopt(self, snapshot: StateSnapshot) -> None:
        """Apply the parts of another router's state that are newer.

        With a newer table, a read of the source that has just begun is interrupted: it would fetch
        the same table over the same link, and delay later calls. With a later era, so is a watch
        from a position in the previous one: it may omit changes that this router lacks.
        """
        is_newer = self._adopt_table(snapshot.table)
        is_newer = is_newer or snapshot.position.era > self.position.era
        has_just_begun = self._source.received_fraction() < FINISH_READ_FRACTION
        if is_newer and has_just_begun:
            self._source_call.interrupt()
        if snapshot.position > self.position:
            self._replace_backends(snapshot.position, snapshot.backends)
        self._signal_known()

    async def run(self) -> None:
        """Follow the source until cancelled."""
        wait_s = RETRY_S
        must_read = True
        while True:
            try:
                if must_read:
                    await self._read_all()
                    must_read = False
                if await self._follow():
                    await asyncio.sleep(CHANGE_BATCHING_S)
                wait_s = RETRY_S
            except HistoryUnavailable as error:
                self._is_reconnecting = False
                _log.info("full read required", reason=error.message, **self._position_fields())
                if boot_time_s() - self._last_read_s < REREAD_S:
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
                wait_s = min(2 * wait_s, MAX_RETRY_S)

    def _position_fields(self) -> dict[str, int]:
        """Return the log fields of the current position."""
        return {"era": self.position.era, "position": self.position.revision}

    async def _wait_for_peer_state(self, start: SourcePosition) -> bool:
        """Return whether state after ``start`` was adopted from another router.

        All routers except the initial readers wait for it.
        """
        delay_s = 0.0
        if self._watcher_selection is not None:
            delay_s = self._random.uniform(*self._watcher_selection.read_delay_range_s())
        latest_s = boot_time_s() + delay_s
        while self.position == start and boot_time_s() < latest_s:
            await asyncio.sleep(WATCH_CHECK_S)
        return self.position > start

    async def _read_all(self) -> None:
        before = self.position
        snapshot = await self._source_call.run(self._source.read())
        if snapshot is None:
            self._log_interruption()
            return
        self._last_read_s = boot_time_s()
        self._reports_era = snapshot.position.era != NO_ERA
        read_at = before.position_of_read(snapshot.position)
        is_taken = self._apply_full_read(snapshot, read_at)
        self.reads_ignored += not is_taken
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
        _log.info(
            "call to the source superseded by another router's state",
            **self._position_fields(),
            version=self.version,
        )

    async def _wait_until_due(self) -> None:
        """Wait while other routers watch the source for this one."""
        while self._watcher_selection is not None and not self._watcher_selection.is_due():
            await asyncio.sleep(WATCH_CHECK_S)

    async def _follow(self) -> bool:
        """Wait for changes and apply them; return whether there were any."""
        await self._wait_until_due()
        before = self._last_watch_position = self.position
        changes = await self._source_call.run(self._source.wait(before, self._watch_s()))
        if changes is None:
            self._log_interruption()
            return False
        if self.position.era > before.era:
            return False
        position = before.position_of_changes(changes.position)
        self._record_answer()
        self.undecoded += len(changes.undecoded)
        self._adopt_table(changes.table)
        if position < self.position:
            return False
        self._advance(position)
        if self._has_missed_versions(changes):
            # The other routers notice that they are behind, and fetch the list.
            self.on_gap()
        elif position > before or changes.table is not None:
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

    def _has_missed_versions(self, changes: StateChanges) -> bool:
        """Return whether some software version was listed only in between."""
        if not changes.omitted:
            return False
        entries = [*self._registry.entries().values(), *changes.changed]
        return not {(e.service, e.version) for e in entries}.issuperset(changes.omitted)

    def _watch_s(self) -> float:
        """Return the maximum duration of the next watch."""
        if self._is_reconnecting:
            return RECONNECT_WATCH_S
        return (
            self._watcher_selection.watch_s()
            if self._watcher_selection is not None
            else UNSHARED_WATCH_S
        )

    def _record_answer(self) -> None:
        self._last_answer_s = boot_time_s()
        self._has_failed = self._is_reconnecting = False

    def _apply_full_read(self, snapshot: StateSnapshot, read_at: SourcePosition) -> bool:
        """Apply a full read; return False if its backends were ignored as too old."""
        self._record_answer()
        self.undecoded += len(snapshot.undecoded)
        self._adopt_table(snapshot.table)
        is_current = read_at >= self.position
        if is_current and self._replace_backends(read_at, snapshot.backends):
            self.on_news()
        self._signal_known()
        return is_current

    def _advance(self, position: SourcePosition) -> None:
        """Set the position, and record the time if it increased."""
        if position > self.position:
            self._applied_ms = wall_clock_ms()
        self.position = position

    def _replace_backends(
        self, position: SourcePosition, backends: dict[str, BackendEntry]
    ) -> bool:
        """Replace all backends; return whether the source was restored from a backup."""
        if self.position > SourcePosition() and position != self.position:
            self.on_gap()
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
        """Adopt a table if it is newer; return whether it was."""
        if table is None or table.version <= self.version:
            return False
        self.index = RouteIndex(table)
        _log.info("table adopted", version=table.version, routes=len(table.routes))
        self._signal_known()
        return True
