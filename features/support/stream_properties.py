"""Properties of what decides about streams that fell silent, without sockets."""

import asyncio
import math
import re

from hypothesis import strategies as st

from support.search import searched
from yokedock.base.clock import boot_time_s
from yokedock.connection.dialect import GenerationParameters, PromptPart, RequestMetadata
from yokedock.connection.router_state import QueueShare
from yokedock.connection.state_source import BackendEntry
from yokedock.errors import NoDecodeCapacity
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.cache_lookup import CacheLookup
from yokedock.request.capacity_forecast import CapacityForecast, QueueAhead
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.engine_placement import Progress
from yokedock.request.queued_placement import QueuedPlacement
from yokedock.request.routed_call import RoutedCall
from yokedock.request.silence_detector import ENGINE_SILENCE_S, MOVE_SILENCE_S, SilenceDetector
from yokedock.request.stream_duration import StreamDuration
from yokedock.router_errors import BackendUnresponsive
from yokedock.version.route_table import EngineTraits, Route, RouteKind, ServiceSpec, WeightedTarget

TRAITS = EngineTraits(slots=4, memory_tokens=1000, token_bytes=1.0, link_mbps=1000.0)
STEP_S = 0.1


class Clock:
    """A clock that only moves when told."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def registry(*names, clock=boot_time_s):
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
    terms = RequestMetadata(
        "r", deadline_s, generation=GenerationParameters("m", prompt_tokens, 100)
    )
    return RoutedCall(CallStub(arrived_s), None, terms, route, ServiceSpec("llm", engine=TRAITS))


def a_stream_that_broke_late_waits_for_room():
    """Patience counts from the newest event, not from the request's arrival."""

    async def play():
        now_s = boot_time_s()
        ledger = EngineLedger()
        placement = QueuedPlacement(registry("d"), ledger, none_elsewhere)
        taken = ledger.open_stream(StreamDemand("d", 1000, 0, 0))
        asyncio.get_running_loop().call_later(0.05, ledger.close_stream, taken)
        late = Progress(made=10, silent_since_s=now_s - 1.0)
        placed = await placement.place(generation(now_s - 5.0), late)
        assert placed.decode.name == "d"
        try:
            await placement.place(generation(now_s - 5.0), Progress(silent_since_s=now_s - 4.0))
        except NoDecodeCapacity:
            return
        raise AssertionError("waited longer than its caller does")

    asyncio.run(play())


def none_elsewhere(service):
    """Return that nothing waits at other routers."""
    return QueueShare()


def filled(*engines, streams=1, need=1000):
    """Return a ledger in which engines are full, and the promises there."""
    ledger = EngineLedger()
    taken = [
        ledger.open_stream(StreamDemand(name, need // streams, 0, 0))
        for name in engines
        for _ in range(streams)
    ]
    return ledger, taken


def whoever_cannot_be_served_is_refused_at_once():
    """Its turn would come after its caller gives up: it is told so, and when room is predicted."""

    async def play():
        now_s = boot_time_s()
        ledger, _ = filled("d")
        placement = QueuedPlacement(registry("d"), ledger, lambda _: QueueShare(3))
        try:
            async with asyncio.timeout(0.5):
                await placement.place(generation(now_s), Progress())
        except NoDecodeCapacity as error:
            told = re.search(r"room comes only in ([0-9.]+) s", error.message)
            predicted_s = float(told[1])
            assert predicted_s > 3.6, error.message
            # The forecast is told with one digit.
            assert predicted_s - 0.05 <= error.retry_after_s <= 2 * predicted_s + 0.1
        else:
            raise AssertionError("held though its turn came too late")

    asyncio.run(play())


def whoever_can_be_served_late_waits():
    """No caller is sent away who would be served before it gives up, in time or late."""

    async def play():
        now_s = boot_time_s()
        ledger, taken = filled("d", streams=4)
        placement = QueuedPlacement(registry("d"), ledger, none_elsewhere)
        # Four streams of three seconds: room in 0.75 s, after the target of 0.9 s is out of reach.
        fresh = asyncio.create_task(placement.place(generation(now_s), Progress()))
        back = asyncio.create_task(placement.place(generation(now_s, 100, 10.0), Progress()))
        await asyncio.sleep(0.3)
        assert not fresh.done() and not back.done()
        ledger.close_stream(taken[0])
        assert (await back).decode.name == "d"
        assert not fresh.done(), "whoever has the least time left goes first"
        ledger.close_stream(taken[1])
        assert (await fresh).decode.name == "d"

    asyncio.run(play())


def whoever_becomes_hopeless_is_refused_then():
    """It could have been in time; newcomers took its turns, and none will come before its end."""

    async def play():
        now_s = boot_time_s()
        elsewhere = [QueueShare()]
        ledger, _ = filled("d", streams=4)
        placement = QueuedPlacement(registry("d"), ledger, lambda _: elsewhere[0])
        waiting = asyncio.create_task(placement.place(generation(now_s), Progress()))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        elsewhere[0] = QueueShare(9, 30.0)
        try:
            async with asyncio.timeout(2.0):
                await waiting
        except NoDecodeCapacity as error:
            assert boot_time_s() - now_s < 1.5, "refused when its target is out of reach"
            assert error.retry_after_s > 3.0
        else:
            raise AssertionError("room was given that was not there")

    asyncio.run(play())


def a_full_service_holds_up_no_other():
    """Each service has a queue of its own: one without room stops only its own callers."""

    async def play():
        now_s = boot_time_s()
        ledger, _ = filled("d", streams=4)
        backends = registry("d")
        backends.update([BackendEntry("e", "other", "127.0.0.1:1", role="decode")], ())
        placement = QueuedPlacement(backends, ledger, none_elsewhere)
        waiting = asyncio.create_task(placement.place(generation(now_s), Progress()))
        await asyncio.sleep(0)
        other = generation(now_s + 1.0)
        other.service = ServiceSpec("other", engine=TRAITS)
        async with asyncio.timeout(0.5):
            assert (await placement.place(other, Progress())).decode.name == "e"
        assert not waiting.done()
        waiting.cancel()

    asyncio.run(play())


def room_is_forecast_from_how_long_streams_lasted():
    """Twice the streams free room twice as often; what ended at once teaches nothing."""
    turnover = StreamDuration()
    for _ in range(200):
        turnover.note(4.0)
        turnover.note(0.01)
    forecast = CapacityForecast(turnover)
    assert 3.9 < forecast.wait_s(QueueAhead(1, 0)) < 4.1
    assert 0.39 < forecast.wait_s(QueueAhead(20, 1)) < 0.41
    assert forecast.wait_s(QueueAhead(0, 0)) == forecast.wait_s(QueueAhead(1, 0))
    # Newcomers who take four of the five places a second leave one to the late.
    assert 1.9 < forecast.wait_s(QueueAhead(20, 0, 1, 4.0)) < 2.1


@searched(factor=st.floats(0.3, 3.0), waits=st.lists(st.floats(0.1, 3.0), min_size=60))
def the_forecast_learns_how_wrong_it_was(factor, waits):
    """Where waits are always ``factor`` times as long as predicted, the forecast follows."""
    forecast = CapacityForecast(StreamDuration())
    for bare_s in waits:
        forecast.note(bare_s * forecast.correction_factor(), bare_s * factor)
    assert abs(math.log(forecast.correction_factor() / factor)) < 0.05
    assert forecast.correction_factor(is_late=True) == 1.0, "the late are forecast apart"


def an_engine_whose_streams_are_all_silent_is_avoided():
    """One event of any stream shows that the engine lives; all silent, it does not."""

    async def play():
        clock = Clock()
        watch = SilenceDetector(clock)
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
        await let_pass(clock, watch, ENGINE_SILENCE_S)
        assert is_avoided(backends)
        assert awaited[1].done() and not awaited[0].done(), "only what has not begun moves"
        await let_pass(clock, watch, MOVE_SILENCE_S - ENGINE_SILENCE_S)
        assert awaited[0].done()

    asyncio.run(play())


def an_engine_that_goes_on_is_spared_for_one_stream():
    """A stream that stalls midway is its connection's fault if others there go on, else not."""

    async def play(has_begun, others_go_on):
        clock = Clock()
        watch = SilenceDetector(clock)
        backends = registry("d", "e", clock=clock)
        engine = backends.get("d")
        stalled, other = (watch.open(engine, may_move=True) for _ in range(2))
        watch.heard(other)
        if has_begun:
            watch.heard(stalled)
        for _ in range(12):
            clock.now_s += STEP_S
            if others_go_on:
                watch.heard(other)
        try:
            await stalled.within(0.001, asyncio.Event().wait())
        except BackendUnresponsive:
            return is_avoided(backends)

    for has_begun in (True, False):
        for others_go_on in (True, False):
            is_spared = has_begun and others_go_on
            was_avoided = asyncio.run(play(has_begun, others_go_on))
            assert was_avoided is not is_spared, (has_begun, others_go_on)


def a_process_that_stood_still_accuses_no_engine():
    """After a freeze of the process itself, silence is counted anew."""

    async def play():
        clock = Clock()
        watch = SilenceDetector(clock)
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
    except BackendUnresponsive:
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
        terms = GenerationParameters("m", 100, 100, (PromptPart("ab", 100),))
        call.terms = RequestMetadata("r", 14.0, generation=terms)
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
    "whoever cannot be served is refused at once": whoever_cannot_be_served_is_refused_at_once,
    "whoever can be served late waits": whoever_can_be_served_late_waits,
    "whoever becomes hopeless is refused then": whoever_becomes_hopeless_is_refused_then,
    "a full service holds up no other": a_full_service_holds_up_no_other,
    "the forecast learns how wrong it was": the_forecast_learns_how_wrong_it_was,
    "room is forecast from how long streams lasted": room_is_forecast_from_how_long_streams_lasted,
    "a stream that broke late waits for room": a_stream_that_broke_late_waits_for_room,
    "an engine whose streams are all silent is avoided": (
        an_engine_whose_streams_are_all_silent_is_avoided
    ),
    "an engine that goes on is spared for one stream": (
        an_engine_that_goes_on_is_spared_for_one_stream
    ),
    "a process that stood still accuses no engine": a_process_that_stood_still_accuses_no_engine,
}
