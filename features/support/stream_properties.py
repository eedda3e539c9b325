"""Properties of what decides about streams that fell silent, without sockets."""

import asyncio
import time

from yokedock.connection.dialect import CallTerms, GenerationTerms, PromptPart
from yokedock.connection.state_source import BackendEntry
from yokedock.errors import NoDecodeRoom
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.cache_lookup import CacheLookup
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.engine_placement import Progress
from yokedock.request.placement_queue import QueuedPlacement
from yokedock.request.routed_call import RoutedCall
from yokedock.request.stream_turnover import StreamTurnover
from yokedock.request.stream_watch import DARK_S, LOST_S, StreamWatch
from yokedock.router_errors import BackendSilent
from yokedock.version.route_table import EngineTraits, Route, RouteKind, ServiceSpec, WeightedTarget

TRAITS = EngineTraits(slots=4, memory_tokens=1000, token_bytes=1.0, link_mbps=1000.0)
STEP_S = 0.1


class Clock:
    """A clock that only moves when told."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def registry(*names, clock=time.monotonic):
    """Return a registry of decode engines."""
    found = BackendRegistry("zone", clock)
    found.update([BackendEntry(name, "llm", "127.0.0.1:1", role="decode") for name in names], ())
    return found


class CallStub:
    """The little of a caller's request that placement looks at."""

    def __init__(self, arrived_s):
        self.arrived_s = arrived_s


def generation(arrived_s, prompt_tokens=100, deadline_s=14.0):
    """Return a call for a generation that arrived then; its callers wait 3.6 s for an event."""
    route = Route(
        "chat", "h", "/", RouteKind.STREAM, 14.0, 0.9, (WeightedTarget("llm"),), gap_target_s=0.3
    )
    terms = CallTerms("r", deadline_s, generation=GenerationTerms("m", prompt_tokens, 100))
    return RoutedCall(CallStub(arrived_s), None, terms, route, ServiceSpec("llm", engine=TRAITS))


def a_stream_that_broke_late_waits_for_room():
    """Patience counts from the newest event, not from the request's arrival."""

    async def play():
        now_s = time.monotonic()
        ledger = EngineLedger()
        placement = QueuedPlacement(registry("d"), ledger, lambda: 0)
        taken = ledger.open_stream(StreamDemand("d", 1000, 0, 0))
        asyncio.get_running_loop().call_later(0.05, ledger.close_stream, taken)
        late = Progress(made=10, silent_since_s=now_s - 1.0)
        placed = await placement.place(generation(now_s - 5.0), late)
        assert placed.decode.name == "d"
        try:
            await placement.place(generation(now_s - 5.0), Progress(silent_since_s=now_s - 4.0))
        except NoDecodeRoom:
            return
        raise AssertionError("waited longer than its caller does")

    asyncio.run(play())


def whoever_waits_too_long_is_told_early():
    """Fresh callers get a time to come back; those that came back wait and go first."""

    async def play():
        now_s = time.monotonic()
        ledger = EngineLedger()
        placement = QueuedPlacement(registry("d"), ledger, lambda: 3)
        taken = ledger.open_stream(StreamDemand("d", 1000, 0, 0))
        fresh = asyncio.create_task(placement.place(generation(now_s), Progress()))
        back = asyncio.create_task(
            placement.place(generation(now_s + 0.001, 800, deadline_s=10.0), Progress())
        )
        try:
            await fresh
        except NoDecodeRoom as error:
            assert "has room only in" in error.message, error.message
            assert 2.0 <= error.retry_after_s <= 4.5, error.retry_after_s
        else:
            raise AssertionError("held though its turn came too late")
        later = asyncio.create_task(placement.place(generation(now_s, 800), Progress(made=1)))
        await asyncio.sleep(0)
        assert not back.done()
        ledger.close_stream(taken)
        assert (await back).decode.name == "d"
        assert not later.done()
        later.cancel()

    asyncio.run(play())


def room_is_forecast_from_how_long_streams_lasted():
    """Twice the streams free room twice as often; what ended at once teaches nothing."""
    turnover = StreamTurnover()
    for _ in range(200):
        turnover.note(4.0)
        turnover.note(0.01)
    assert 3.9 < turnover.wait_s(1, 0) < 4.1
    assert 0.39 < turnover.wait_s(20, 1) < 0.41
    assert turnover.wait_s(0, 0) == turnover.wait_s(1, 0)


def an_engine_whose_streams_are_all_silent_is_avoided():
    """One event of any stream shows that the engine lives; all silent, it does not."""

    async def play():
        clock = Clock()
        watch = StreamWatch(clock)
        backends = registry("d", "e", clock=clock)
        engine = backends.get("d")
        begun, other, waiting = (watch.open(engine, may_move=True) for _ in range(3))
        for stream in (begun, other):
            watch.heard(stream)
        awaited = [asyncio.create_task(wait_on(stream)) for stream in (begun, waiting)]
        await asyncio.sleep(0)
        for _ in range(20):
            clock.now_s += STEP_S
            watch.heard(other)
            watch.check()
        await asyncio.sleep(0)
        assert not any(task.done() for task in awaited) and not is_avoided(backends)
        await let_pass(clock, watch, DARK_S)
        assert is_avoided(backends)
        assert awaited[1].done() and not awaited[0].done(), "only what has not begun moves"
        await let_pass(clock, watch, LOST_S - DARK_S)
        assert awaited[0].done()

    asyncio.run(play())


def a_process_that_stood_still_accuses_no_engine():
    """After a freeze of the process itself, silence is counted anew."""

    async def play():
        clock = Clock()
        watch = StreamWatch(clock)
        backends = registry("d", "e", clock=clock)
        watch.heard(watch.open(backends.get("d"), may_move=True))
        clock.now_s += 5.0
        watch.check()
        assert not is_avoided(backends)

    asyncio.run(play())


async def wait_on(stream):
    """Wait on a stream for long; return whether it was given up as silent."""
    try:
        await stream.within(60.0, asyncio.Event().wait())
    except BackendSilent:
        return True
    return False


async def let_pass(clock, watch, seconds):
    """Let time pass in the steps of the checks, and whoever was woken run."""
    for _ in range(round(seconds / STEP_S) + 1):
        clock.now_s += STEP_S
        watch.check()
    for _ in range(5):
        await asyncio.sleep(0.001)


def is_avoided(backends):
    """Return whether new work goes to the other engine only."""
    return [backend.name for backend in backends.usable("llm", "decode")] == ["e"]


class HeldLookup(CacheLookup):
    """A look-up whose engines answer when told."""

    def __init__(self):
        super().__init__(registry("d"), None, None)
        self.may_answer = asyncio.Event()

    async def _ask(self, engine):
        await self.may_answer.wait()
        return {"ab": 100}


def a_caller_who_leaves_spoils_no_other_look_up():
    """One list serves several requests: the end of one must not end it for the others."""

    async def play():
        lookup = HeldLookup()
        call = generation(0.0)
        terms = GenerationTerms("m", 100, 100, (PromptPart("ab", 100),))
        call.terms = CallTerms("r", 14.0, generation=terms)
        first = asyncio.create_task(lookup.engines_with_prompt(call))
        second = asyncio.create_task(lookup.engines_with_prompt(call))
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.sleep(0)
        lookup.may_answer.set()
        assert await second == {"d"}

    asyncio.run(play())


STREAM_PROPERTIES = {
    "a caller who leaves spoils no other look-up": a_caller_who_leaves_spoils_no_other_look_up,
    "whoever waits too long is told early": whoever_waits_too_long_is_told_early,
    "room is forecast from how long streams lasted": room_is_forecast_from_how_long_streams_lasted,
    "a stream that broke late waits for room": a_stream_that_broke_late_waits_for_room,
    "an engine whose streams are all silent is avoided": (
        an_engine_whose_streams_are_all_silent_is_avoided
    ),
    "a process that stood still accuses no engine": a_process_that_stood_still_accuses_no_engine,
}
