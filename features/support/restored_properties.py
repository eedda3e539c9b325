"""Tests of state followers whose source is restored from backups, with generated histories."""

import asyncio

import msgspec
from hypothesis import strategies as st

from support.search import searched
from support.stream_properties import Clock
from yokedock.base.clock import wall_clock_ms
from yokedock.connection.http_heads import ResponseHead
from yokedock.connection.router_state import RouterState, StateNews
from yokedock.connection.short_call import ShortAnswer
from yokedock.connection.source_position import NO_ERA, SourcePosition
from yokedock.connection.state_source import (
    BackendEntry,
    StateChanges,
    StateSnapshot,
    StateSource,
)
from yokedock.errors import PlatformUnavailable
from yokedock.platform.store import PlatformStore, RangePage
from yokedock.platform.stored_items import StoredItem, encode_items
from yokedock.process.state_exchange import PackedState, unpack
from yokedock.process.state_follower import StateFollower
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.list_restoration import (
    MISSING_GRACE_S,
    REMOVED_HOLD_S,
    WITHDRAWAL_RETENTION_S,
)
from yokedock.router_errors import HistoryUnavailable
from yokedock.version.route_table import RouteTable

TABLE = RouteTable(1, (), {})
NAMES = ("a", "b", "c")
READY, LEAVING, GONE = "ready", "leaving", "gone"


def entry(name, revision, state=READY):
    """Return an entry of a plain backend."""
    is_leaving = state == LEAVING
    address = f"127.0.0.1:{NAMES.index(name) + 1}"
    return BackendEntry(name, "plain", address, is_leaving=is_leaving, revision=revision)


def usable(registry):
    """Return the identifiers of the backends that are not leaving or removed."""
    return {b.entry.instance for b in registry.members("plain") if b.leaving_since_s is None}


def entry_of_life(name, born_ms, revision):
    """Return a ready entry of a plain backend with the start time of its life."""
    return msgspec.structs.replace(entry(name, revision), born_ms=born_ms)


def snapshot_of(position, entries):
    """Return a snapshot that lists exactly these entries."""
    return StateSnapshot(position, TABLE, {found.instance: found for found in entries})


class StandInSource(StateSource):
    """Raises on every call: the test passes snapshots to the follower itself."""

    async def read(self):
        raise NotImplementedError

    async def wait(self, position, max_duration_s):
        raise NotImplementedError

    async def current_position(self):
        raise NotImplementedError


class RestorableSource(StateSource):
    """A source that loses history in restores. Records the actual states separately."""

    def __init__(self):
        self.position = SourcePosition(1, 0)
        self.events = []
        self.actual = {}
        for name in NAMES:
            self.write(name, READY)

    def write(self, name, state):
        """Record the state of one backend under a new revision."""
        self.actual[name] = state
        self.position = SourcePosition(self.position.era, self.position.revision + 1)
        self.events.append((self.position.revision, name, state))

    def items(self):
        """Return the entries that are listed."""
        listed = {}
        for revision, name, state in self.events:
            listed[name] = entry(name, revision, state) if state != GONE else None
        return {name: found for name, found in listed.items() if found is not None}

    def restore(self, lost):
        """Begin a new era that lacks the newest ``lost`` revisions."""
        revision = max(0, self.position.revision - lost)
        self.position = SourcePosition(self.position.era + 1, revision)
        self.events = [event for event in self.events if event[0] <= revision]

    def rewrite_outdated(self):
        """Write the actual state of each backend whose listed state differs."""
        listed = self.items()
        for name, state in self.actual.items():
            found = listed.get(name)
            listed_state = GONE if found is None else LEAVING if found.is_leaving else READY
            if listed_state != state:
                self.write(name, state)

    def snapshot(self):
        """Return a snapshot of the current position and entries."""
        return StateSnapshot(self.position, TABLE, self.items())

    def changes(self, after):
        """Return the changes after a revision, in the form that routers send each other."""
        newer = [event for event in self.events if event[0] > after]
        changed = tuple(entry(n, r, s) for r, n, s in newer if s != GONE)
        gone = tuple(n for _, n, s in newer if s == GONE)
        era, revision = self.position.era, self.position.revision
        return StateNews(after, revision, 1, changed, gone, era)

    async def read(self):
        return self.snapshot()

    async def wait(self, position, max_duration_s):
        return StateChanges(self.position)

    async def current_position(self):
        return self.position


writes = st.tuples(
    st.just("write"), st.sampled_from(NAMES), st.sampled_from((READY, LEAVING, GONE))
)
restores = st.tuples(st.just("restore"), st.integers(0, 6), st.booleans())
responses = st.tuples(st.just("answer"), st.sampled_from(("read", "news")), st.integers(0, 4))
arrivals = st.tuples(st.just("arrive"), st.integers(0, 20), st.integers(0, 3000))


READ_NOW = (("answer", "read", 0), ("arrive", 0, 0))
READ_3_S_LATER = (("answer", "read", 0), ("arrive", 0, 3000))
REMOVED_DURING_HOLD = [
    ("write", "a", GONE),
    *READ_NOW,
    ("restore", 1, False),
    *READ_NOW,
    ("restore", 0, True),
    *READ_NOW,
    *READ_3_S_LATER,
    *READ_3_S_LATER,
    ("restore", 1, False),
    *READ_NOW,
]


@searched(
    known_case={"steps": REMOVED_DURING_HOLD},
    steps=st.lists(st.one_of(writes, restores, responses, arrivals), max_size=40),
)
def responses_from_any_era_in_any_order_converge(steps):
    """Late and reordered responses never move the position back or undo a withdrawal."""

    async def play():
        clock, source = Clock(), RestorableSource()
        removed, restored_s = set(), clock.now_s
        registry = BackendRegistry("", clock)
        follower = StateFollower(source, registry)
        follower.adopt(source.snapshot())
        in_flight, leaving = [], set()
        for kind, first, second in steps:
            before = follower.position
            if kind == "write" and source.actual[first] == READY:
                source.write(first, second)
            elif kind == "restore":
                source.restore(first)
                if second:
                    source.rewrite_outdated()
            elif kind == "answer" and first == "read":
                in_flight.append(source.snapshot())
            elif kind == "answer":
                in_flight.append(source.changes(max(0, source.position.revision - second)))
            elif kind == "arrive" and in_flight:
                clock.now_s += second / 1000
                answer = in_flight.pop(first % len(in_flight))
                is_unreported = isinstance(answer, StateNews)
                follower.apply_news((answer,)) if is_unreported else follower.adopt(answer)
                registry.apply_restoration_timeouts()
            assert follower.position >= before
            leaving |= {n for n, found in registry.entries().items() if found.is_leaving}
            assert not leaving & usable(registry), "a leaving backend became ready"
            if follower.position.era > before.era:
                restored_s = clock.now_s
            if clock.now_s - restored_s >= REMOVED_HOLD_S:
                removed -= usable(registry)
            assert not removed & usable(registry), "a removed backend became ready"
            unlisted = set(NAMES) - usable(registry) - registry.entries().keys()
            removed |= {n for n in unlisted if source.actual[n] == GONE}
        source.rewrite_outdated()
        follower.adopt(source.snapshot())
        clock.now_s += max(REMOVED_HOLD_S, MISSING_GRACE_S)
        registry.apply_restoration_timeouts()
        ready = {name for name, state in source.actual.items() if state == READY}
        assert follower.position == source.position
        assert usable(registry) == ready, (usable(registry), ready)
        assert registry.entries().keys() == source.items().keys()

    asyncio.run(play())


def restored_registry(clock, *, withdrawn, backup, revision=5):
    """Return a registry of a, b and c after the given withdrawals and a restore of ``backup``."""
    registry = BackendRegistry("", clock)
    registry.replace_all({name: entry(name, revision) for name in NAMES})
    for name, state in withdrawn.items():
        if state == LEAVING:
            registry.update([entry(name, revision + 3, state)], ())
        else:
            registry.update((), [name])
    registry.restore_all({name: entry(name, revision) for name in backup})
    return registry


def backends_missing_from_a_backup_have_a_grace_period():
    """A backend that the backup lacks stays usable for the grace period, and no longer."""
    clock = Clock()
    registry = restored_registry(clock, withdrawn={}, backup="a")
    clock.now_s += MISSING_GRACE_S - 0.1
    registry.apply_restoration_timeouts()
    registry.replace_all({"a": entry("a", 5)})
    assert usable(registry) == {"a", "b", "c"}
    assert registry.entries().keys() == {"a"}, "missing backends are not passed on to other routers"
    registry.update([entry("b", 6)], ())
    clock.now_s += 0.2
    registry.apply_restoration_timeouts()
    assert usable(registry) == {"a", "b"}
    assert registry.entries().keys() == {"a", "b"}


def a_removal_after_a_restore_takes_effect_at_once():
    """A missing backend that the source removes is unusable without a grace period."""
    registry = restored_registry(Clock(), withdrawn={}, backup="a")
    registry.update((), ["b"])
    assert usable(registry) == {"a", "c"}


def a_leaving_backend_becomes_ready_only_by_a_newer_entry():
    """An entry from the backup never makes a leaving backend ready; a newer entry does."""
    clock = Clock()
    registry = restored_registry(clock, withdrawn={"a": LEAVING}, backup=NAMES)
    for _ in range(30):
        clock.now_s += 1.0
        registry.drop_expired_backends()
        registry.replace_all({name: entry(name, 5) for name in NAMES})
        assert usable(registry) == {"b", "c"}
    assert registry.entries()["a"].is_leaving
    registry.replace_all({"a": entry("a", 9), "b": entry("b", 5), "c": entry("c", 5)})
    assert usable(registry) == {"a", "b", "c"}


def a_removed_backend_is_used_once_its_entry_outlives_expiry():
    """A restored entry of a removed backend counts only if it does not expire."""
    clock = Clock()
    registry = restored_registry(clock, withdrawn={"a": GONE}, backup=NAMES)
    clock.now_s += REMOVED_HOLD_S - 0.1
    registry.apply_restoration_timeouts()
    assert usable(registry) == {"b", "c"}
    assert registry.entries().keys() == set(NAMES), "held backends are passed on to other routers"
    clock.now_s += 0.2
    registry.apply_restoration_timeouts()
    assert usable(registry) == {"a", "b", "c"}


def a_held_backend_that_is_removed_stays_removed():
    """A removal, or a new life, during the hold prevents the held life from being used again."""
    for end_hold in (
        lambda registry: registry.update((), ["a"]),
        lambda registry: registry.update(
            [BackendEntry("a", "other", "127.0.0.1:9", born_ms=7)], ()
        ),
    ):
        clock = Clock()
        registry = restored_registry(clock, withdrawn={"a": GONE}, backup=NAMES)
        end_hold(registry)
        clock.now_s += REMOVED_HOLD_S + 0.2
        registry.apply_restoration_timeouts()
        assert usable(registry) == {"b", "c"}


def a_removal_is_kept_through_several_restores():
    """A second restore does not undo a removal, whether or not it was reported again before."""
    for is_removed_again in (True, False):
        clock = Clock()
        registry = restored_registry(clock, withdrawn={"a": GONE}, backup=NAMES)
        if is_removed_again:
            registry.update((), ["a"])
        clock.now_s += REMOVED_HOLD_S - 0.1
        registry.drop_expired_backends()
        clock.now_s += 0.2 if is_removed_again else 0.0
        registry.drop_expired_backends()
        registry.restore_all({name: entry(name, 5) for name in NAMES})
        clock.now_s += REMOVED_HOLD_S - 0.1
        registry.drop_expired_backends()
        assert usable(registry) == {"b", "c"}, is_removed_again


def a_withdrawal_outlives_the_record_of_its_backend():
    """A restored entry makes no backend usable whose record was dropped after its removal."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    registry.replace_all({name: entry(name, 5) for name in NAMES})
    registry.update((), ["a"])
    clock.now_s += 20.0
    registry.drop_expired_backends()
    assert registry.get("a") is None
    registry.restore_all({name: entry(name, 5) for name in NAMES})
    assert usable(registry) == {"b", "c"}


def removals_of_lives_that_were_never_listed_are_kept():
    """A life that was removed before the router received its entry is held after a restore."""

    async def play(restored, *, applied_revision):
        clock = Clock()
        registry = BackendRegistry("", clock)
        follower = StateFollower(StandInSource(), registry)
        earlier_ms = wall_clock_ms() - 10_000
        initial = [entry_of_life("a", earlier_ms, 3), entry_of_life("b", earlier_ms, 4)]
        follower.adopt(snapshot_of(SourcePosition(1, 4), initial))
        follower.adopt(snapshot_of(SourcePosition(1, applied_revision), initial[1:]))
        follower.adopt(snapshot_of(SourcePosition(2, 9), [initial[1], restored]))
        at_once = usable(registry)
        clock.now_s += REMOVED_HOLD_S + 0.2
        registry.apply_restoration_timeouts()
        return at_once, usable(registry)

    now_ms = wall_clock_ms()
    for name in ("a", "c"):
        restarted = entry_of_life(name, now_ms - 5000, 7)
        found = asyncio.run(play(restarted, applied_revision=10))
        assert found == ({"b"}, {"b", name}), "not held: written and removed by revision 10"
        found = asyncio.run(play(restarted, applied_revision=6))
        assert found[0] == {"b", name}, "held: written after the applied revision"
        later = entry_of_life(name, now_ms + 60_000, 7)
        found = asyncio.run(play(later, applied_revision=10))
        assert found[0] == {"b", name}, "held: started later, so its revision was assigned again"


def old_withdrawals_are_dropped():
    """The number of withdrawals is bounded by those of the last minute."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    for number in range(500):
        registry.update([BackendEntry(f"i-{number}", "plain", "127.0.0.1:1")], ())
        registry.update((), [f"i-{number}"])
        clock.now_s += 1.0
        registry.drop_expired_backends()
    assert registry.withdrawal_count() <= WITHDRAWAL_RETENTION_S + 2


def a_restore_is_detected_without_an_era_header():
    """Without an era header, a lower revision begins a new era and a higher one does not."""
    known = SourcePosition(3, 20)
    of_read, of_changes = known.position_of_read, known.position_of_changes
    assert of_read(SourcePosition(NO_ERA, 19)) == SourcePosition(4, 19)
    assert of_read(SourcePosition(NO_ERA, 20)) == known
    assert of_read(SourcePosition(2, 50)) < known < of_read(SourcePosition(4, 1))
    assert of_changes(SourcePosition(NO_ERA, 21)) == SourcePosition(3, 21)
    assert of_changes(SourcePosition(3, 0)) == known
    for reported, error in (((NO_ERA, 19), HistoryUnavailable), ((4, 30), HistoryUnavailable)):
        assert _raised(of_changes, reported) is error, reported
    assert _raised(of_changes, (2, 30)) is PlatformUnavailable


def _raised(call, reported):
    try:
        call(SourcePosition(*reported))
    except PlatformUnavailable as error:
        return type(error)
    return None


class StandInGetter:
    """Answers a full read with the given pages."""

    def __init__(self, *pages):
        self._pages = list(pages)

    async def get(self, target, head_timeout_s, max_bytes=0):
        era, at = self._pages.pop(0)
        item = StoredItem(f"servers/i-{len(self._pages)}", gone=True)
        page = RangePage(encode_items((item,)), more=bool(self._pages), at=at)
        headers = ((b"Store-Era", str(era).encode()),) if era else ()
        head = ResponseHead(headers, 200, b"OK")
        return ShortAnswer(200, msgspec.json.encode(page), head, 0, 0)


async def _read_pages(*pages):
    store = PlatformStore("127.0.0.1:1")
    store._getter = StandInGetter(*pages)
    return (await store.read()).position


def a_read_with_pages_from_two_eras_is_rejected():
    """A read that spans a restore raises ``HistoryUnavailable``; one within an era does not."""
    assert asyncio.run(_read_pages((1, 20), (1, 22))) == SourcePosition(1, 20)
    assert asyncio.run(_read_pages((0, 20), (0, 22))) == SourcePosition(NO_ERA, 20)
    for pages in (((1, 20), (2, 22)), ((0, 20), (0, 19)), ((1, 20), (0, 22))):
        try:
            asyncio.run(_read_pages(*pages))
        except HistoryUnavailable:
            continue
        raise AssertionError(f"{pages} were accepted as one read")


class PreviousPackedState(msgspec.Struct, array_like=True):
    """``PackedState`` of the previous version, without an era."""

    position: int
    backends: dict[str, BackendEntry]
    packed_table: bytes = b""


def messages_are_compatible_with_the_previous_version():
    """Messages with an era are decoded without it; those without are in era 0."""
    older = msgspec.msgpack.encode(PreviousPackedState(7, {"a": entry("a", 0)}))
    assert unpack(older).position == SourcePosition(0, 7)
    newer = msgspec.msgpack.encode(PackedState(7, {"a": entry("a", 3)}, b"", 4))
    assert msgspec.msgpack.decode(newer, type=PreviousPackedState).position == 7
    assert unpack(newer).position == SourcePosition(4, 7)
    told = msgspec.msgpack.encode(["peer", 1, 1, 2, 7, False, 0, {}, "", 0, [], []])
    state = msgspec.msgpack.decode(told, type=RouterState)
    assert state.source_position() == SourcePosition(0, 7)


RESTORED_PROPERTIES = {
    check.__name__.replace("_", " "): check
    for check in (
        responses_from_any_era_in_any_order_converge,
        backends_missing_from_a_backup_have_a_grace_period,
        a_removal_after_a_restore_takes_effect_at_once,
        a_leaving_backend_becomes_ready_only_by_a_newer_entry,
        a_removed_backend_is_used_once_its_entry_outlives_expiry,
        a_held_backend_that_is_removed_stays_removed,
        a_removal_is_kept_through_several_restores,
        a_withdrawal_outlives_the_record_of_its_backend,
        removals_of_lives_that_were_never_listed_are_kept,
        old_withdrawals_are_dropped,
        a_restore_is_detected_without_an_era_header,
        a_read_with_pages_from_two_eras_is_rejected,
        messages_are_compatible_with_the_previous_version,
    )
}
