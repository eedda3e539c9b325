"""Properties of streams that are bound to one software version, without sockets."""

import asyncio

import msgspec
from hypothesis import strategies as st

from support.search import searched
from support.stream_properties import Clock, filled, generation, no_remote_queue
from yokedock.base.clock import boot_time_s
from yokedock.connection.router_gossip import OtherRouter
from yokedock.connection.router_state import QueueShare
from yokedock.connection.source_position import SourcePosition
from yokedock.connection.state_source import BackendEntry
from yokedock.errors import BadRequest, NoDecodeCapacity, PlatformUnavailable, StreamNotResumable
from yokedock.process.list_confirmation import ListConfirmation
from yokedock.process.stream_origin_exchange import (
    MAX_ASKED,
    MAX_PER_DATAGRAM,
    REPLICAS,
    OriginReport,
    StreamOriginExchange,
)
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.engine_placement import Progress
from yokedock.request.mechanisms import Mechanisms
from yokedock.request.queued_placement import QueuedPlacement
from yokedock.request.role_plan import EngineRole, planned_role_changes
from yokedock.request.software_version import UNKNOWN_VERSION, stream_number, version_number
from yokedock.request.stream_origins import OriginQuestion, StreamOrigin, StreamOrigins
from yokedock.request.version_history import (
    MAX_FIRST_LIST_S,
    RETENTION_S,
    VersionHistory,
)
from yokedock.request.version_pinning import VersionPinning

V1, V2 = (version_number("llm", version) for version in ("v1", "v2"))
AT_ONCE_S = 0.1
LATEST_REFUSAL_S = 0.5
TTL_MS = 60_000


def entry(name, version, role="decode"):
    return BackendEntry(name, "llm", "127.0.0.1:1", role=role, version=version)


def two_versions():
    """Return a registry with decode engine "d" of v1 and "e" of v2."""
    registry = BackendRegistry("zone")
    registry.update([entry("d", "v1"), entry("e", "v2")], ())
    return registry


async def place_soon(placement, progress):
    async with asyncio.timeout(AT_ONCE_S):
        return await placement.place(generation(boot_time_s()), progress)


def a_stream_that_waits_for_its_version_holds_up_no_other():
    """Guards against a resumed stream at the head of the queue that blocks another version."""

    async def play():
        ledger, (taken,) = filled("d")
        placement = QueuedPlacement(two_versions(), ledger, no_remote_queue)
        resumed = asyncio.create_task(
            placement.place(generation(boot_time_s(), deadline_s=5.0), Progress(5, version=V1))
        )
        await asyncio.sleep(0.02)
        assert (await place_soon(placement, Progress())).decode.name == "e"
        ledger.close_stream(taken)
        assert (await resumed).decode.name == "d"

    asyncio.run(play())


def freed_capacity_goes_to_the_stream_of_its_version():
    """Guards against newcomers that take the capacity a resumed stream ahead of them waits for."""

    async def play():
        ledger, taken = filled("d", "e", streams=4)
        placement = QueuedPlacement(
            two_versions(), ledger, no_remote_queue, Mechanisms(refuse_hopeless=False)
        )
        resumed = asyncio.create_task(
            placement.place(generation(boot_time_s(), 800, 5.0), Progress(5, version=V1))
        )
        await asyncio.sleep(0.02)
        newcomer = asyncio.create_task(placement.place(generation(boot_time_s()), Progress()))
        ledger.close_stream(taken[0])
        await asyncio.sleep(0.02)
        assert not newcomer.done(), "it fits there, and the resumed stream does not yet"
        for reservation in taken[1:4]:
            ledger.close_stream(reservation)
        assert (await resumed).decode.name == "d"
        ledger.close_stream(taken[4])
        assert await newcomer

    asyncio.run(play())


def capacity_that_is_awaited_elsewhere_is_taken_last():
    """Guards against routers that take from each other the last capacity of a version."""

    async def play():
        ledger, _ = filled()
        elsewhere = QueueShare(awaited_versions=(V1,))
        placement = QueuedPlacement(two_versions(), ledger, lambda _: elsewhere)
        names = [(await place_soon(placement, Progress())).decode.name for _ in range(4)]
        assert names == ["e"] * 4
        assert (await place_soon(placement, Progress())).decode.name == "d"

    asyncio.run(play())


def a_stream_without_an_engine_of_its_version_is_refused():
    """Guards against a stream that is held for a version which has no engine left."""

    async def play():
        ledger, _ = filled("d")
        registry = two_versions()
        placement = QueuedPlacement(registry, ledger, no_remote_queue)
        registry.on_change = lambda: ledger.on_capacity_freed()
        waiting = asyncio.create_task(
            placement.place(generation(boot_time_s()), Progress(5, version=V1))
        )
        await asyncio.sleep(0.02)
        registry.get("d").record_gone(boot_time_s())
        registry.update((), ["d"])
        for progress in (Progress(version=V1), Progress(version=UNKNOWN_VERSION)):
            try:
                await place_soon(placement, progress)
            except StreamNotResumable:
                continue
            raise AssertionError(f"not refused: {progress}")
        (error,) = await asyncio.gather(waiting, return_exceptions=True)
        assert isinstance(error, StreamNotResumable), error

    asyncio.run(play())


def a_stream_that_its_engines_refuse_may_come_back():
    """Guards against a caller who is told that its version is gone though its engine is full."""

    async def play():
        ledger, _ = filled()
        placement = QueuedPlacement(two_versions(), ledger, no_remote_queue)
        refused = Progress(avoid=frozenset({"d"}), version=V1)
        try:
            await place_soon(placement, refused)
        except NoDecodeCapacity as error:
            assert error.retry_after_s > 0
        else:
            raise AssertionError("placed at an engine that has refused it")

    asyncio.run(play())


def the_forecast_counts_engines_of_the_version():
    """Guards against a refusal that counts on the turnover of engines of another version."""

    async def play():
        now_s = boot_time_s()
        ledger, _ = filled("d", "e", streams=4)
        placement = QueuedPlacement(two_versions(), ledger, no_remote_queue)
        ahead = [
            placement._ahead(placement._waiter(generation(now_s), Progress(version=version)))
            for version in (V1, V2, None)
        ]
        assert [each.streams for each in ahead] == [4, 4, 8]
        bound = generation(now_s)
        bound.version = V1
        try:
            await placement.place(bound, Progress(version=V1, silent_since_s=now_s - 9.0))
        except NoDecodeCapacity as error:
            assert error.retry_after_s > 0
        else:
            raise AssertionError("placed although its version has no capacity")

    asyncio.run(play())


@searched(
    records=st.lists(
        st.tuples(st.integers(0, 9), st.sampled_from((V1, V2, V1))), min_size=1, max_size=60
    )
)
def records_are_bounded_and_conflicts_are_unknown(records):
    """An id that was used at two versions tells none, and the table keeps the newest records."""
    origins = StreamOrigins(max_records=5)
    seen = {}
    for stream, version in records:
        if origins.version_of(stream) is None:
            seen[stream] = set()
        seen[stream].add(version)
        origins.record(StreamOrigin(stream, version, TTL_MS))
        known = next(iter(seen[stream])) if len(seen[stream]) == 1 else UNKNOWN_VERSION
        assert origins.version_of(stream) == known
    assert origins.size() <= 5
    assert origins.version_of(records[-1][0]) is not None


def only_an_uninterrupted_list_tells_the_sole_version():
    """The only listed version counts once it was alone for as long as a stream may last."""
    clock = Clock()
    history = VersionHistory(clock)
    assert history.sole_version("llm", 10.0) is None, "nothing was observed"
    history.begin(is_first_start=False)
    history.update([entry("d", "v1")])
    clock.now_s += 9.0
    assert history.sole_version("llm", 10.0) is None, "not observed for long enough"
    clock.now_s += 2.0
    assert history.sole_version("llm", 10.0) == V1
    history.update([entry("d", "v1"), entry("e", "v2")])
    assert history.sole_version("llm", 10.0) is None
    history.update([entry("e", "v2")])
    clock.now_s += 9.0
    assert history.sole_version("llm", 10.0) is None, "v1 was listed 9 s ago"
    clock.now_s += 2.0
    assert history.sole_version("llm", 10.0) == V2
    history.interrupt()
    assert history.sole_version("llm", 10.0) is None, "others may have been listed meanwhile"
    clock.now_s += 11.0
    assert history.sole_version("llm", 10.0) == V2
    history.update([entry("e", "")])
    clock.now_s += 11.0
    assert history.sole_version("llm", 10.0) is None, "it states no version"
    clock.now_s += 2 * RETENTION_S
    history.update([entry("e", "v1")])
    history.update([entry("e", "v2")])
    clock.now_s += RETENTION_S + 1.0
    history.drop_expired()
    assert history.sole_version("llm", RETENTION_S) == V2
    assert history.sole_version("llm", 2 * RETENTION_S) is None, "v1 has been dropped, not absent"
    first = VersionHistory(clock)
    first.begin(is_first_start=True)
    first.update([entry("d", "v1")])
    assert first.sole_version("llm", 1e9) == V1, "no stream is older than the first start"
    late = VersionHistory(clock)
    clock.now_s += MAX_FIRST_LIST_S + 1.0
    late.begin(is_first_start=True)
    late.update([entry("d", "v1")])
    assert late.sole_version("llm", 10.0) is None, "others have had lists before"


class GossipStub:
    """The live routers, and the records that were sent to them."""

    def __init__(self, addresses, silent=0):
        self._others = [OtherRouter(address) for address in addresses]
        self._silent = silent
        self.sent = []

    def alive(self):
        return self._others

    def fleet_size(self):
        return 1 + len(self._others)

    def has_heard_all(self):
        return bool(self._others) and not self._silent

    def send_stream_origins(self, address, data):
        self.sent.append((address, data))


@searched(streams=st.sets(st.integers(0, 2**64 - 1), min_size=1, max_size=120))
def a_started_router_gets_the_records_of_which_it_is_a_replica(streams):
    """Guards against a series of kills that ends all replicas, each at another time."""

    async def play():
        addresses = [f"10.0.0.{number}" for number in range(9)]
        gossip = GossipStub(addresses)
        holder = StreamOriginExchange(gossip, 1, VersionHistory())
        for stream in streams:
            holder.record(stream, V1, 60.0)
        replicas = {address for address, _ in gossip.sent}
        assert len(gossip.sent) == REPLICAS * len(streams)
        gossip.sent.clear()
        for address in replicas:
            holder.replicate_to(OtherRouter(address))
        await asyncio.gather(*holder._tasks)
        assert all(len(data) < 1200 for _, data in gossip.sent), MAX_PER_DATAGRAM
        found = {address: StreamOriginExchange(gossip, 1, VersionHistory()) for address in replicas}
        for address, data in gossip.sent:
            found[address].receive(data, "10.0.0.9")
        assert sum(started.size() for started in found.values()) == REPLICAS * len(streams)

    asyncio.run(play())


@searched(data=st.binary(max_size=60), query=st.text("age_msr=&0123456789-xé%", max_size=40))
def what_others_send_ends_no_router(data, query):
    """Records and questions of other routers that cannot be decoded change nothing."""
    exchange = StreamOriginExchange(GossipStub([]), 1, VersionHistory())
    exchange.receive(data, "10.0.0.1")
    try:
        exchange.answer(query)
    except BadRequest:
        return


def a_router_that_hears_of_no_other_knows_only_its_own():
    """A stream is unknown without a record; very long ids are as good as any."""

    async def play():
        exchange = StreamOriginExchange(GossipStub([]), 1, VersionHistory())
        exchange._started_s -= 60.0
        stream = stream_number("x" * 100_000)
        question = OriginQuestion(stream, "llm", 28.0)
        assert await exchange.find(question) is None
        exchange.record(stream, V2, 60.0)
        assert await exchange.find(question) == V2

    asyncio.run(play())


class PositionSource:
    """A state source that only tells its position, after a delay; None if it refuses to."""

    def __init__(self, revision, delay_s=0.0):
        self.revision = revision
        self._delay_s = delay_s
        self.calls = 0

    async def current_position(self):
        self.calls += 1
        await asyncio.sleep(self._delay_s)
        if self.revision is None:
            raise PlatformUnavailable("refused")
        return SourcePosition(0, self.revision)


def confirmation(is_answered):
    """Return the confirmation of a list that has reached its source, if that answers."""
    return ListConfirmation(PositionSource(0 if is_answered else None), SourcePosition)


class StartedExchange(StreamOriginExchange):
    """The exchange of a router that has just started; its questions are answered as told."""

    def __init__(self, gossip, answers):
        """``answers`` takes the number of earlier questions and returns a report or None."""
        super().__init__(gossip, 1, VersionHistory())
        self._answers = answers
        self.asked = 0

    async def _ask(self, address, question):
        self.asked += 1
        return self._answers(self.asked - 1)

    async def search(self):
        """Return the version that was found, and how long it took."""
        began_s = boot_time_s()
        found = await self.find(OriginQuestion(1, "llm", 28.0))
        return found, boot_time_s() - began_s


def a_started_router_that_has_asked_all_waits_no_longer():
    """Guards against a refusal that comes late because the router has just started."""

    async def play():
        nothing, record = OriginReport(), OriginReport(V1)
        all_heard = StartedExchange(GossipStub(["10.0.0.1", "10.0.0.2"]), lambda _: nothing)
        found, took_s = await all_heard.search()
        assert found is None and all_heard.asked == 2 and took_s < AT_ONCE_S, took_s
        late = lambda asked: record if asked == 4 else nothing  # noqa: E731
        one_silent = StartedExchange(GossipStub(["10.0.0.1"], silent=1), late)
        assert (await one_silent.search())[0] == V1, "one was not heard yet"
        slow = lambda asked: record if asked == 4 else None  # noqa: E731
        no_answer = StartedExchange(GossipStub(["10.0.0.1"]), slow)
        assert (await no_answer.search())[0] == V1, "one had not answered"
        many = GossipStub([f"10.0.0.{number}" for number in range(1 + MAX_ASKED)])
        not_all_asked = StartedExchange(many, lambda asked: record if asked == 20 else nothing)
        assert (await not_all_asked.search())[0] == V1, "one was not asked"
        unknown = StartedExchange(GossipStub(["10.0.0.1"], silent=1), lambda _: nothing)
        found, took_s = await unknown.search()
        assert found is None and took_s < LATEST_REFUSAL_S, took_s

    asyncio.run(play())


def a_resumed_stream_needs_a_listed_backend():
    """Guards against a resumed stream that waits for the first backend, of whatever version."""

    async def play():
        registry = BackendRegistry("zone")
        exchange = StreamOriginExchange(GossipStub([]), 1, VersionHistory())
        exchange._started_s -= 60.0
        pinning = VersionPinning(registry, exchange, None)
        call = generation(boot_time_s())
        assert await pinning.pin(call) is None, "it resumes nothing"
        call.terms = msgspec.structs.replace(call.terms, last_event_id=3, resumes="first")
        for entries in ([], [entry("d", "v1"), entry("e", "v2")]):
            registry.update(entries, ())
            try:
                await pinning.pin(call)
            except StreamNotResumable:
                continue
            raise AssertionError(f"not refused with {entries}")
        exchange.record(stream_number("first"), V2, 60.0)
        assert (await pinning.pin(call), call.version) == ("llm", V2)
        unversioned = BackendRegistry("zone")
        unversioned.update([entry("d", "")], ())
        try:
            await VersionPinning(unversioned, exchange, None).pin(call)
        except StreamNotResumable:
            return
        raise AssertionError("a list without versions outweighs the record of one")

    asyncio.run(play())


class LookupStub:
    """Names the engines that have cached the last part of any prompt."""

    def __init__(self, registry, *names):
        self._engines = [registry.get(name) for name in names]

    async def engines_with_last_part(self, call):
        return self._engines


def engines_show_a_version_only_if_it_was_alone():
    """Guards against a guess after the loss of all routers, when no record is left."""

    async def play(entries, cached, gone=(), is_answered=True):
        registry = BackendRegistry("zone")
        registry.update(entries, ())
        registry.update((), gone)
        exchange = StreamOriginExchange(
            GossipStub([]), 1, VersionHistory(), confirmation=confirmation(is_answered)
        )
        exchange._started_s -= 60.0
        call = generation(boot_time_s())
        call.terms = msgspec.structs.replace(call.terms, last_event_id=3, resumes="first")
        try:
            await VersionPinning(registry, exchange, LookupStub(registry, *cached)).pin(call)
        except StreamNotResumable:
            return None
        return call.version

    p, d, e = entry("p", "v1", "prefill"), entry("d", "v1"), entry("e", "v2")
    assert asyncio.run(play([p, d], ["d"])) == V1
    assert asyncio.run(play([p, d], ["p"])) is None, "it may have been read for another version"
    assert asyncio.run(play([p, d], [])) is None, "the prompt is evicted"
    assert asyncio.run(play([p, d, e], ["d"])) is None, "two versions are listed"
    assert asyncio.run(play([p, d, e], ["d"], ["e"])) is None, "another has just left"
    assert asyncio.run(play([p, d], ["d"], is_answered=False)) is None, "another may have joined"


@searched(
    versions=st.lists(st.integers(0, 3), min_size=1, max_size=12),
    making=st.lists(st.booleans(), min_size=12, max_size=12),
)
def each_version_keeps_a_decode_engine(versions, making):
    """Guards against a leader that makes the last decode engine of a version a prefill engine."""
    engines = [
        EngineRole(f"e{number}", "decode" if making[number] else "prefill", number, version)
        for number, version in enumerate(versions)
    ]
    before = {e.version for e in engines if e.role == "decode"}
    for _ in range(len(engines) + 1):
        changes = planned_role_changes(engines, "prefill", "decode", 16)
        roles = {change.name: change.role for change in changes}
        engines = [
            EngineRole(e.name, roles.get(e.name, e.role), e.load, e.version) for e in engines
        ]
    assert before <= {e.version for e in engines if e.role == "decode"}
    assert not planned_role_changes(engines, "prefill", "decode", 16)


VERSION_PROPERTIES = {
    "a waiting stream holds up no other version": (
        a_stream_that_waits_for_its_version_holds_up_no_other
    ),
    "freed capacity goes to the stream of its version": (
        freed_capacity_goes_to_the_stream_of_its_version
    ),
    "capacity awaited elsewhere is taken last": capacity_that_is_awaited_elsewhere_is_taken_last,
    "a stream without an engine of its version is refused": (
        a_stream_without_an_engine_of_its_version_is_refused
    ),
    "a stream that its engines refuse may come back": (
        a_stream_that_its_engines_refuse_may_come_back
    ),
    "the forecast counts engines of the version": the_forecast_counts_engines_of_the_version,
    "records are bounded and conflicts are unknown": records_are_bounded_and_conflicts_are_unknown,
    "only an uninterrupted list tells the sole version": (
        only_an_uninterrupted_list_tells_the_sole_version
    ),
    "a started router gets its replicas": (
        a_started_router_gets_the_records_of_which_it_is_a_replica
    ),
    "undecodable records and questions change nothing": what_others_send_ends_no_router,
    "a lone router knows only its own records": a_router_that_hears_of_no_other_knows_only_its_own,
    "a started router that has asked all waits no longer": (
        a_started_router_that_has_asked_all_waits_no_longer
    ),
    "a resumed stream needs a listed backend": a_resumed_stream_needs_a_listed_backend,
    "engines show a version only if it was alone": engines_show_a_version_only_if_it_was_alone,
    "each version keeps a decode engine": each_version_keeps_a_decode_engine,
}
