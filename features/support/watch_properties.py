"""Tests of a fleet in which few routers poll the shared store, in one process without sockets."""

import asyncio

from hypothesis import strategies as st

from support.search import searched
from support.stream_properties import Clock
from yokedock.base.clock import boot_time_s
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import (
    BackendEntry,
    StateChanges,
    StateSnapshot,
    StateSource,
)
from yokedock.errors import PlatformUnavailable
from yokedock.process.interruptible_call import InterruptibleCall
from yokedock.process.state_follower import StateFollower
from yokedock.process.watcher_selection import (
    FRESH_S,
    MAX_WATCHERS,
    NEVER,
    WATCH_S,
    SourceContact,
    WatcherSelection,
)
from yokedock.request.backend_registry import BackendRegistry
from yokedock.router_errors import HistoryUnavailable
from yokedock.version.route_table import RouteTable
from yokedock_emulator.simulation.simulation import run_simulated

ROUTERS = 68
DATAGRAM_DELAY_S = 0.004
INTERVAL_S = 0.3
MIN_SEND_INTERVAL_S = 0.01
STATE_FETCH_DELAY_S = 0.3
"""Time until an outdated router has fetched the state of another router."""
SILENT_S = 1.5
TIMEOUT_SLACK_S = 0.4
"""A long poll without a response fails this long after its requested duration."""


class SharedStore:
    """In-memory substitute for the platform's store. Counts calls and full reads."""

    def __init__(self):
        self.position = SourcePosition(1, 1)
        self.events = []
        self.calls = 0
        self.reads = 0
        self._changed = asyncio.Event()

    def change(self, name, is_leaving=False):
        """Write the entry of one backend and complete pending long polls."""
        self.position = SourcePosition(self.position.era, self.position.revision + 1)
        entry = BackendEntry(name, "llm", "127.0.0.1:1", is_leaving=is_leaving, role="decode")
        self.events.append((self.position, entry))
        self._changed.set()
        self._changed = asyncio.Event()

    def restore(self, lost):
        """Begin a new era without the latest ``lost`` changes, as after a restore from a backup."""
        revision = self.position.revision - lost
        self.position = SourcePosition(self.position.era + 1, revision)
        self.events = [(at, entry) for at, entry in self.events if at.revision <= revision]
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, position, max_duration_s):
        """Return the changes after ``position``, or none after ``max_duration_s``."""
        if position.revision > self.position.revision:
            raise HistoryUnavailable("the revision is newer than the store")
        if position.revision == self.position.revision:
            try:
                await asyncio.wait_for(self._changed.wait(), max_duration_s)
            except TimeoutError:
                return StateChanges(self.position)
        newer = {
            entry.instance: entry for at, entry in self.events if at.revision > position.revision
        }
        return StateChanges(self.position, changed=tuple(newer.values()))


class StoreConnection(StateSource):
    """One router's connection to the store: working, refused at once, or without a response."""

    is_shared = True

    def __init__(self, store):
        self._store = store
        self.state = "sound"

    async def read(self):
        self._store.calls += 1
        if self.state != "sound":
            raise PlatformUnavailable(self.state)
        self._store.reads += 1
        entries = {entry.instance: entry for _, entry in self._store.events}
        return StateSnapshot(self._store.position, RouteTable(1, (), {}), entries)

    async def wait(self, position, max_duration_s):
        self._store.calls += 1
        if self.state == "refused":
            raise PlatformUnavailable("refused")
        asked_s = boot_time_s()
        changes = await self._store.wait(position, max_duration_s)
        if self.state == "silent":
            await asyncio.sleep(asked_s + max_duration_s + TIMEOUT_SLACK_S - boot_time_s())
            raise PlatformUnavailable("silent")
        return changes

    async def current_position(self):
        self._store.calls += 1
        if self.state != "sound":
            raise PlatformUnavailable(self.state)
        return self._store.position


class FleetRouter:
    """One router's state, and the reports that it received from the other routers."""

    def __init__(self, address, store, shares_watch):
        self.address = address
        self.path = StoreConnection(store)
        self.registry = BackendRegistry("zone")
        self.others = []
        self._heard = {}
        watcher_selection = WatcherSelection(address, self._contacts) if shares_watch else None
        self.follower = StateFollower(self.path, self.registry, watcher_selection)
        self.watcher_selection = watcher_selection
        self.follower.on_news = self._schedule_report
        self.is_cut = False
        self._is_report_scheduled = False
        self._is_fetch_scheduled = False

    def _contacts(self):
        oldest_s = boot_time_s() - SILENT_S
        return [contact for contact in self._heard.values() if contact.heard_s >= oldest_s]

    def _schedule_report(self):
        if not self._is_report_scheduled:
            self._is_report_scheduled = True
            asyncio.get_running_loop().call_later(MIN_SEND_INTERVAL_S, self.tell)

    def tell(self):
        """Send all other routers a report on this router's state and its contact with the store."""
        self._is_report_scheduled = False
        if self.is_cut:
            return
        told = (self.follower.source_age_ms(), self.follower.news(), self.follower.position)
        for other in self.others:
            asyncio.get_running_loop().call_later(DATAGRAM_DELAY_S, other.hear, self, *told)

    def hear(self, sender, age_ms, news, position):
        """Apply another router's report; fetch that router's state if it is newer."""
        if self.is_cut:
            return
        self._heard[sender.address] = SourceContact(sender.address, age_ms, boot_time_s())
        self.follower.apply_news(news)
        if position > self.follower.position and not self._is_fetch_scheduled:
            self._is_fetch_scheduled = True
            asyncio.get_running_loop().call_later(STATE_FETCH_DELAY_S, self._fetch, sender)

    def _fetch(self, sender):
        self._is_fetch_scheduled = False
        self.follower.adopt(sender.follower.snapshot())

    async def run(self):
        """Follow the store and send reports at regular intervals."""
        following = asyncio.create_task(self.follower.run())
        try:
            while True:
                self.tell()
                await asyncio.sleep(INTERVAL_S)
        finally:
            following.cancel()


class WatchingFleet:
    """A running fleet of routers with one shared store."""

    def __init__(self, shares_watch=True, size=ROUTERS):
        self.store = SharedStore()
        self.routers = [FleetRouter(f"10.1.0.{n}", self.store, shares_watch) for n in range(size)]
        for router in self.routers:
            router.others = [other for other in self.routers if other is not router]
        self._tasks = []

    async def __aenter__(self):
        self.store.change("first")
        self._tasks = [asyncio.create_task(router.run()) for router in self.routers]
        await asyncio.sleep(2.5)
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def watchers(self):
        """Return the routers that currently poll the store."""
        return [
            router
            for router in self.routers
            if router.watcher_selection is None or router.watcher_selection.is_due()
        ]

    async def propagation_delays_s(self, name, limit_s=8.0):
        """Add a backend; return the seconds until each connected router lists it, sorted."""
        self.store.change(name)
        began_s = boot_time_s()
        waiting = [router for router in self.routers if not router.is_cut]
        took_s = []
        while waiting and boot_time_s() - began_s < limit_s:
            await asyncio.sleep(0.005)
            done = [router for router in waiting if router.registry.get(name) is not None]
            took_s += [boot_time_s() - began_s] * len(done)
            waiting = [router for router in waiting if router not in done]
        assert not waiting, f"{len(waiting)} routers do not list {name} after {limit_s} s"
        return sorted(took_s)


async def _calls_and_propagation_delays(shares_watch):
    """Return the store calls in 3 s without changes, and the sorted propagation delays of five."""
    async with WatchingFleet(shares_watch) as fleet:
        before = fleet.store.calls
        await asyncio.sleep(3.0)
        calls = fleet.store.calls - before
        took_s = []
        for number in range(5):
            took_s += await fleet.propagation_delays_s(f"new-{number}")
            await asyncio.sleep(0.37)
        return calls, sorted(took_s)


def few_routers_watch_the_store():
    """Of 68 routers only six poll the store, once a second, and changes reach all within 0.5 s."""
    calls, took_s = run_simulated(_calls_and_propagation_delays(shares_watch=True))
    assert calls <= 3 * MAX_WATCHERS / WATCH_S + MAX_WATCHERS, calls
    assert took_s[len(took_s) // 2] < 0.1 and took_s[-1] < 0.5, (
        took_s[len(took_s) // 2],
        took_s[-1],
    )


def watchers_that_fell_silent_are_replaced():
    """If all watchers stop receiving responses at once, a change reaches all routers within 3 s."""

    async def play():
        async with WatchingFleet() as fleet:
            for router in fleet.watchers():
                router.path.state = "silent"
            took_s = await fleet.propagation_delays_s("new")
            assert took_s[-1] < FRESH_S + 1.2, took_s[-1]

    run_simulated(play())


def watchers_that_are_turned_away_are_replaced():
    """If the store refuses all watchers and a third of the routers, changes arrive within 1.5 s."""

    async def play():
        async with WatchingFleet() as fleet:
            for router in fleet.watchers() + fleet.routers[: ROUTERS // 3]:
                router.path.state = "refused"
            await asyncio.sleep(WATCH_S)
            took_s = await fleet.propagation_delays_s("new")
            assert took_s[-1] < 1.5, took_s[-1]

    run_simulated(play())


def watchers_that_vanish_are_replaced():
    """If all watchers lose the store and the fleet, a change reaches the others within 3 s."""

    async def play():
        async with WatchingFleet() as fleet:
            for router in fleet.watchers():
                router.path.state, router.is_cut = "silent", True
            took_s = await fleet.propagation_delays_s("new")
            assert took_s[-1] < FRESH_S + 1.2, took_s[-1]

    run_simulated(play())


def a_router_that_hears_nobody_watches_itself():
    """A router that is partitioned from the fleet polls the store itself."""

    async def play():
        async with WatchingFleet(size=12) as fleet:
            alone = next(r for r in fleet.routers if r not in fleet.watchers())
            alone.is_cut = True
            await asyncio.sleep(SILENT_S + 0.2)
            fleet.store.change("new")
            await asyncio.sleep(0.3)
            assert alone.registry.get("new") is not None

    run_simulated(play())


async def _restore(fleet, lost, cut):
    """Restore the store after an outage, which continues for the routers in ``cut``."""
    for number in range(10):
        fleet.store.change(f"old-{number}")
    await asyncio.sleep(0.5)
    for router in fleet.routers:
        router.path.state = "refused"
    fleet.store.restore(lost)
    await asyncio.sleep(1.0)
    for router in fleet.routers:
        router.path.state = "refused" if router in cut else "sound"
    fleet.store.reads = fleet.store.calls = 0


def few_routers_read_everything_after_a_restore():
    """After a restore, most of 68 routers fetch the state from others instead of the store."""

    async def play():
        async with WatchingFleet() as fleet:
            await _restore(fleet, lost=5, cut=())
            took_s = await fleet.propagation_delays_s("new")
            await asyncio.sleep(1.0)
            assert fleet.store.reads <= 2 * MAX_WATCHERS, fleet.store.reads
            assert fleet.store.calls <= 3 * ROUTERS, fleet.store.calls
            assert took_s[-1] < 1.5, took_s[-1]

    run_simulated(play())


def a_restore_is_detected_with_the_initial_readers_cut_off():
    """If the initial readers cannot reach the restored store, other routers read it."""

    async def play():
        async with WatchingFleet() as fleet:
            readers = [
                router for router in fleet.routers if router.watcher_selection.is_initial_reader()
            ]
            assert len(readers) == MAX_WATCHERS
            await _restore(fleet, lost=5, cut=readers)
            took_s = await fleet.propagation_delays_s("new")
            assert took_s[-1] < 3.0, took_s[-1]

    run_simulated(play())


contact = st.tuples(
    st.integers(0, 400), st.sampled_from((NEVER, 0, 900, 1700, 5000)), st.booleans()
)


@searched(told=st.lists(contact, max_size=40), own=st.integers(0, 400))
def enough_routers_watch(told, own):
    """Whoever hears of fewer than six that watch and go before it watches; else it does not.

    So of routers that hear the same, and of which enough are answered, just six watch.
    """
    clock = Clock()
    contacts = {
        number: SourceContact(f"10.0.0.{number}", age_ms, clock(), is_leaving)
        for number, age_ms, is_leaving in told
    }
    sound = [n for n, c in contacts.items() if c.age_ms in (0, 900, 1700) and not c.is_leaving]
    views = {
        number: WatcherSelection(
            f"10.0.0.{number}",
            lambda number=number: [c for n, c in contacts.items() if n != number],
            clock,
        )
        for number in {*contacts, own}
    }
    due = [number for number, watcher_selection in views.items() if watcher_selection.is_due()]
    assert len(set(due) & set(sound)) == min(len(sound), MAX_WATCHERS)
    assert len(due) >= min(len(views), MAX_WATCHERS)


async def _interrupt_call_twice():
    call = InterruptibleCall()
    running = asyncio.create_task(call.run(asyncio.Event().wait()))
    await asyncio.sleep(0)
    assert call.interrupt()
    # The canceled call has finished, but the task that awaits it has not resumed yet.
    await asyncio.sleep(0)
    call.interrupt()
    assert await running is None
    assert not call.interrupt()
    assert await call.run(asyncio.sleep(0, "answer")) == "answer"


def repeated_interrupts_end_only_the_call():
    """Guards against a second interrupt that raises CancelledError in the caller."""
    run_simulated(_interrupt_call_twice())


async def _cancel_caller_after_interrupt():
    call = InterruptibleCall()
    running = asyncio.create_task(call.run(asyncio.Event().wait()))
    await asyncio.sleep(0)
    call.interrupt()
    running.cancel()
    await asyncio.wait([running])
    assert running.cancelled()


def an_interrupt_does_not_suppress_cancellation():
    """Guards against a caller that keeps running when it is canceled after an interrupt."""
    run_simulated(_cancel_caller_after_interrupt())


WATCH_PROPERTIES = {
    "few routers watch the store": few_routers_watch_the_store,
    "watchers that fell silent are replaced": watchers_that_fell_silent_are_replaced,
    "watchers that are turned away are replaced": watchers_that_are_turned_away_are_replaced,
    "watchers that vanish are replaced": watchers_that_vanish_are_replaced,
    "a router that hears nobody watches itself": a_router_that_hears_nobody_watches_itself,
    "enough routers watch": enough_routers_watch,
    "few routers read everything after a restore": few_routers_read_everything_after_a_restore,
    "a restore is detected with the initial readers cut off": (
        a_restore_is_detected_with_the_initial_readers_cut_off
    ),
    "repeated interrupts end only the call": repeated_interrupts_end_only_the_call,
    "an interrupt does not suppress cancellation": an_interrupt_does_not_suppress_cancellation,
}
