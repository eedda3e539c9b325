"""Properties of what a router concludes from its list of backends, and of what it has missed."""

import asyncio
import base64
import json

import msgspec
from hypothesis import strategies as st

from support.entry_properties import VALID_ENTRY
from support.search import searched
from support.stream_properties import generation
from support.version_properties import (
    V1,
    V2,
    GossipStub,
    LookupStub,
    PositionSource,
    confirmation,
    entry,
)
from yokedock.base.clock import boot_time_s
from yokedock.connection.source_position import SourcePosition
from yokedock.errors import StreamNotResumable
from yokedock.platform.store import StoredItem, items_to_changes
from yokedock.process.list_confirmation import CATCH_UP_S, SOURCE_TIMEOUT_S, ListConfirmation
from yokedock.process.stream_origin_exchange import OriginReport, StreamOriginExchange
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.software_version import stream_number, unstated_number
from yokedock.request.stream_origins import OriginQuestion
from yokedock.request.version_history import VersionHistory
from yokedock.request.version_pinning import VersionPinning

SLACK_S = 0.2
INSTANCES = ("a", "b")
VERSIONS = ("v1", "v2")
GONE = "gone"


def questions_that_wait_share_a_call():
    """Guards against a call for each of many streams, and against an answer to an earlier one."""

    async def play():
        source = PositionSource(5, delay_s=0.05)
        confirmation = ListConfirmation(source, lambda: SourcePosition(0, 5))
        first = [asyncio.create_task(confirmation.reached_since(boot_time_s())) for _ in range(9)]
        await asyncio.sleep(0.02)
        source.revision = 6
        late_s = boot_time_s()
        late = [asyncio.create_task(confirmation.reached_since(late_s)) for _ in range(9)]
        first[0].cancel()
        found = await asyncio.gather(*first[1:], *late)
        assert source.calls == 2, source.calls
        assert found[-9:] == [None] * 9, "the list is at 5"

    asyncio.run(play())


def a_source_or_list_that_does_not_answer_confirms_nothing():
    """Guards against a conclusion without a source, and against a wait until the deadline."""

    async def play():
        for source, known in (
            (PositionSource(None), 5),
            (PositionSource(5, delay_s=60.0), 5),
            (PositionSource(6), 5),
        ):
            began_s = boot_time_s()
            confirmation = ListConfirmation(source, lambda known=known: SourcePosition(0, known))
            for _ in range(3):
                assert await confirmation.reached_since(began_s) is None
            assert boot_time_s() - began_s < SOURCE_TIMEOUT_S + CATCH_UP_S + SLACK_S
        older = ListConfirmation(PositionSource(3), lambda: SourcePosition(0, 5))
        assert await older.reached_since(boot_time_s()) is None, "its response is older"

    asyncio.run(play())


class ReportedExchange(StreamOriginExchange):
    """The exchange of a router that knows nothing itself; one other router reports ``report``."""

    def __init__(self, history, report, own_revision):
        position = lambda: SourcePosition(0, own_revision)  # noqa: E731
        confirmation = ListConfirmation(PositionSource(own_revision), position)
        gossip = GossipStub(["10.0.0.1"])
        super().__init__(gossip, 1, history, None, None, confirmation, position)
        self._started_s -= 60.0
        self._told = report

    async def _ask(self, address, question):
        return self._told


@searched(revision=st.integers(0, 9), version=st.sampled_from((V1, V2, None)))
def only_a_report_of_the_confirmed_list_tells_the_sole_version(revision, version):
    """Guards against stale routers that confirm one another."""

    async def play():
        history = VersionHistory()
        history.update([entry("d", "v1")])
        report = OriginReport(None, version, SourcePosition(0, revision))
        exchange = ReportedExchange(history, report, own_revision=5)
        found = await exchange.find(OriginQuestion(1, "llm", 28.0))
        assert found == (V1 if revision >= 5 and version == V1 else None), found

    asyncio.run(play())


def stored(number, instance, version):
    """Return the item by which an instance states a version, or is gone."""
    if version == GONE:
        return StoredItem(f"servers/{instance}", revision=number, gone=True)
    document = json.dumps({**VALID_ENTRY, "version": version}).encode()
    return StoredItem(f"servers/{instance}", base64.b64encode(document).decode(), number)


@searched(
    writes=st.lists(
        st.tuples(st.sampled_from(INSTANCES), st.sampled_from((*VERSIONS, GONE))), max_size=6
    )
)
def changes_tell_whether_they_omit_a_version(writes):
    """Guards against a version that joins and leaves within one response of the source."""
    items = tuple(stored(number, *write) for number, write in enumerate(writes, 1))
    changes = items_to_changes(items, SourcePosition(0, len(items)))
    listed = {(found.instance, found.version) for found in changes.changed}
    stated = {(instance, version) for instance, version in writes if version != GONE}
    omitted = {("llm", version) for _, version in stated - listed}
    assert set(changes.omitted) == omitted, (changes, stated)


def a_record_without_a_version_is_heeded():
    """Guards against a stream without a version that is refused, or goes on where one is stated."""

    async def pinned(names, recorded, is_answered=False):
        registry = BackendRegistry("zone")
        registry.update([entry(name, version) for name, version in names], ())
        confirmed = confirmation(is_answered)
        exchange = StreamOriginExchange(GossipStub([]), 1, VersionHistory(), confirmation=confirmed)
        exchange._started_s -= 60.0
        call = generation(boot_time_s())
        call.terms = msgspec.structs.replace(call.terms, last_event_id=3, resumes="first")
        if recorded is not None:
            exchange.record(stream_number("first"), recorded, 60.0)
        try:
            await VersionPinning(registry, exchange, LookupStub(registry)).pin(call)
        except StreamNotResumable:
            return False
        assert call.is_unstated and call.version is None
        return True

    unstated, old, new = unstated_number("llm"), [("d", "")], [("e", "v2")]
    assert asyncio.run(pinned(old, unstated)), "its record is known"
    assert asyncio.run(pinned(old + new, unstated)), "a backend without a version is left"
    assert not asyncio.run(pinned(new, unstated)), "none is left"
    assert not asyncio.run(pinned(old, V2, is_answered=True)), "it began at a version"
    assert not asyncio.run(pinned(old, None)), "the list may lack a version"
    assert asyncio.run(pinned(old, None, is_answered=True))


LIST_CONFIRMATION_PROPERTIES = {
    "a record without a version is heeded": a_record_without_a_version_is_heeded,
    "questions that wait share a call to the source": questions_that_wait_share_a_call,
    "a list that is not confirmed tells nothing": (
        a_source_or_list_that_does_not_answer_confirms_nothing
    ),
    "only a report of the confirmed list counts": (
        only_a_report_of_the_confirmed_list_tells_the_sole_version
    ),
    "changes tell whether they omit a version": changes_tell_whether_they_omit_a_version,
}
