"""Properties of silence detection, queued placement and cache lookups, without sockets."""

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
from yokedock.request.stream_move import MoveOutcome, StreamMove
from yokedock.router_errors import BackendResponseLost, BackendUnresponsive
from yokedock.version.route_table import EngineTraits, Route, RouteKind, ServiceSpec, WeightedTarget
from yokedock_emulator.simulation.simulation import run_simulated

TRAITS = EngineTraits(slots=4, memory_tokens=1000, token_bytes=1.0, link_mbps=1000.0)
STEP_S = 0.1


class Clock:
    """A clock that only advances when a test sets it."""

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
    """The only field of a caller's request that placement reads."""

    def __init__(self, arrived_s):
        self.arrived_s = arrived_s


def generation(arrived_s, prompt_tokens=100, deadline_s=14.0):
    """Return a generation that arrived at ``arrived_s``; its caller times out after 3.6 s."""
    route = Route(
        "chat", "h", "/", RouteKind.STREAM, 14.0, 0.9, (WeightedTarget("llm"),), gap_target_s=0.3
    )
    terms = RequestMetadata(
        "r", deadline_s, generation=GenerationParameters("m", prompt_tokens, 100)
    )
    return RoutedCall(CallStub(arrived_s), None, terms, route, ServiceSpec("llm", engine=TRAITS))


def caller_timeout_counts_from_the_latest_event():
    """The caller timeout counts from the latest event, not from the arrival of the request."""

    async def play():
        now_s = boot_time_s()
        ledger = EngineLedger()
        placement = QueuedPlacement(registry("d"), ledger, no_remote_queue)
        taken = ledger.open_stream(StreamDemand("d", 1000, 0, 0))
        asyncio.get_running_loop().call_later(0.05, ledger.close_stream, taken)
        late = Progress(made=10, silent_since_s=now_s - 1.0)
        placed = await placement.place(generation(now_s - 5.0), late)
        assert placed.decode.name == "d"
        try:
            await placement.place(generation(now_s - 5.0), Progress(silent_since_s=now_s - 4.0))
        except NoDecodeCapacity:
            return
        raise AssertionError("the request stayed queued after the timeout of its caller")

    asyncio.run(play())


def no_remote_queue(service):
    """Return an empty queue for all other routers."""
    return QueueShare()


def filled(*engines, streams=1, need=1000):
    """Return a ledger in which ``engines`` are full, and the reservations that fill them."""
    ledger = EngineLedger()
    taken = [
        ledger.open_stream(StreamDemand(name, need // streams, 0, 0))
        for name in engines
        for _ in range(streams)
    ]
    return ledger, taken


def an_unservable_request_is_refused_on_arrival():
    """A request whose turn would come after its caller times out is refused on arrival.

    The refusal states when capacity is predicted to become free.
    """

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
            # The message rounds the forecast to one decimal.
            assert predicted_s - 0.05 <= error.retry_after_s <= 2 * predicted_s + 0.1
        else:
            raise AssertionError("queued although its turn would come after the caller timeout")

    run_simulated(play())


def a_late_but_servable_request_is_queued():
    """A request that can be placed before its caller times out is queued, even if it is late."""

    async def play():
        now_s = boot_time_s()
        ledger, taken = filled("d", streams=4)
        placement = QueuedPlacement(registry("d"), ledger, no_remote_queue)
        # Four streams of three seconds: capacity is free in 0.75 s, too late for the target of
        # 0.9 s.
        fresh = asyncio.create_task(placement.place(generation(now_s), Progress()))
        back = asyncio.create_task(placement.place(generation(now_s, 100, 10.0), Progress()))
        await asyncio.sleep(0.3)
        assert not fresh.done() and not back.done()
        ledger.close_stream(taken[0])
        assert (await back).decode.name == "d"
        assert not fresh.done(), "the request with the earliest deadline must be placed first"
        ledger.close_stream(taken[1])
        assert (await fresh).decode.name == "d"

    run_simulated(play())


def a_queued_request_is_refused_once_unservable():
    """A queued request is refused as soon as it can no longer be placed before its timeout.

    It could be served on arrival, but requests at other routers have gone ahead of it since.
    """

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
            assert boot_time_s() - now_s < 1.5, "not refused as soon as its target could not be met"
            assert error.retry_after_s > 3.0
        else:
            raise AssertionError("placed although no capacity was free")

    run_simulated(play())


def a_full_service_delays_no_other_service():
    """Each service has its own queue: one without capacity delays only its own requests."""

    async def play():
        now_s = boot_time_s()
        ledger, _ = filled("d", streams=4)
        backends = registry("d")
        backends.update([BackendEntry("e", "other", "127.0.0.1:1", role="decode")], ())
        placement = QueuedPlacement(backends, ledger, no_remote_queue)
        waiting = asyncio.create_task(placement.place(generation(now_s), Progress()))
        await asyncio.sleep(0)
        other = generation(now_s + 1.0)
        other.service = ServiceSpec("other", engine=TRAITS)
        async with asyncio.timeout(0.5):
            assert (await placement.place(other, Progress())).decode.name == "e"
        assert not waiting.done()
        waiting.cancel()

    asyncio.run(play())


def capacity_is_forecast_from_stream_durations():
    """Capacity frees in proportion to the active streams; streams that end at once are ignored."""
    turnover = StreamDuration()
    for _ in range(200):
        turnover.note(4.0)
        turnover.note(0.01)
    forecast = CapacityForecast(turnover)
    assert 3.9 < forecast.wait_s(QueueAhead(1, 0)) < 4.1
    assert 0.39 < forecast.wait_s(QueueAhead(20, 1)) < 0.41
    assert forecast.wait_s(QueueAhead(0, 0)) == forecast.wait_s(QueueAhead(1, 0))
    # New arrivals that take four of five freed slots per second leave one to late requests.
    assert 1.9 < forecast.wait_s(QueueAhead(20, 0, 1, 4.0)) < 2.1


@searched(factor=st.floats(0.3, 3.0), waits=st.lists(st.floats(0.1, 3.0), min_size=60))
def the_forecast_learns_its_error_factor(factor, waits):
    """The correction converges if waits are always ``factor`` times as long as predicted."""
    forecast = CapacityForecast(StreamDuration())
    for uncorrected_s in waits:
        forecast.note(uncorrected_s * forecast.correction_factor(), uncorrected_s * factor)
    assert abs(math.log(forecast.correction_factor() / factor)) < 0.05
    assert forecast.correction_factor(is_late=True) == 1.0, (
        "late requests must have a separate correction"
    )


def an_engine_with_only_silent_streams_is_avoided():
    """An event on any stream shows that the engine is alive; if all are silent, it is avoided."""

    async def play():
        clock = Clock()
        watch = SilenceDetector(clock)
        backends = registry("d", "e", clock=clock)
        engine = backends.get("d")
        begun, other, waiting = (watch.open(engine, may_move=True) for _ in range(3))
        for stream in (begun, other):
            watch.heard(stream)
        awaited = [asyncio.create_task(is_wait_aborted(stream)) for stream in (begun, waiting)]
        await asyncio.sleep(0)
        for _ in range(20):
            clock.now_s += STEP_S
            watch.heard(other)
            watch.check()
        await asyncio.sleep(0)
        assert not any(task.done() for task in awaited) and not is_avoided(backends)
        await advance_clock(clock, watch, ENGINE_SILENCE_S)
        assert is_avoided(backends)
        assert awaited[1].done() and not awaited[0].done(), (
            "only streams that have not started may be moved"
        )
        await advance_clock(clock, watch, MOVE_SILENCE_S - ENGINE_SILENCE_S)
        assert awaited[0].done()

    asyncio.run(play())


def an_active_engine_is_not_avoided_for_one_stalled_stream():
    """A stall after the first event is blamed on the connection if other streams are active.

    In all other cases the engine is avoided.
    """

    async def play(has_begun, are_others_active):
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
            if are_others_active:
                watch.heard(other)
        try:
            await stalled.within(0.001, asyncio.Event().wait())
        except BackendUnresponsive:
            return is_avoided(backends)

    for has_begun in (True, False):
        for are_others_active in (True, False):
            is_engine_kept = has_begun and are_others_active
            was_avoided = asyncio.run(play(has_begun, are_others_active))
            assert was_avoided is not is_engine_kept, (has_begun, are_others_active)


def a_stall_of_the_process_is_no_engine_silence():
    """After a stall of the process itself, silence is measured from the next check on."""

    async def play():
        clock = Clock()
        watch = SilenceDetector(clock)
        backends = registry("d", "e", clock=clock)
        watch.heard(watch.open(backends.get("d"), may_move=True))
        clock.now_s += 5.0
        watch.check()
        assert not is_avoided(backends)

    asyncio.run(play())


def streams_of_two_lives_of_an_engine_are_watched_apart():
    """Guards against a detector that fails, and watches no stream any more, after a restart.

    For a while, streams of the engine's life before and of its new one have the same name.
    """

    async def play():
        clock = Clock()
        watch = SilenceDetector(clock)
        before, after = (registry("d", "e", clock=clock) for _ in range(2))
        streams = [watch.open(backends.get("d"), may_move=True) for backends in (before, after)]
        for stream in streams:
            watch.heard(stream)
        watch.close(streams[0])
        await advance_clock(clock, watch, ENGINE_SILENCE_S)
        assert is_avoided(after) and not is_avoided(before)

    asyncio.run(play())


def a_silent_engine_keeps_its_stream_until_a_move_is_possible():
    """Guards against streams that are cut when their engine pauses while no retry is possible."""

    async def play(moves_from_s, data_after_s):
        clock = Clock()
        watch = SilenceDetector(clock)
        stream = watch.open(registry("d", "e", clock=clock).get("d"), may_move=True)
        watch.heard(stream)
        loop = asyncio.get_running_loop()
        moves_from_s += loop.time()
        stream.prepare_move = lambda: loop.time() >= moves_from_s
        data = loop.create_future()
        loop.call_later(data_after_s, data.set_result, b"data")
        try:
            return await stream.within(1.2, data)
        except BackendUnresponsive:
            return None

    assert run_simulated(play(math.inf, 3.0)) == b"data"
    assert run_simulated(play(0.0, 3.0)) is None
    assert run_simulated(play(2.0, 3.0)) is None


def a_stream_leaves_its_silent_engine_only_for_one_that_begins():
    """Guards against streams that are cut because the engine they moved to fails."""

    async def play(begins_after_s, fails_after_s, data_after_s):
        loop = asyncio.get_running_loop()

        async def serve_elsewhere():
            loop.call_later(begins_after_s, lambda: move.begin())
            await asyncio.sleep(fails_after_s)
            raise BackendResponseLost("lost")

        move = StreamMove(serve_elsewhere())
        outcome = await move.outcome(asyncio.ensure_future(asyncio.sleep(data_after_s, b"data")))
        return outcome, move._continuation.done()

    assert run_simulated(play(1.0, 9.0, 2.0)) == (MoveOutcome.LEFT, False)
    assert run_simulated(play(9.0, 1.0, 2.0)) == (MoveOutcome.NO_OTHER, True)
    assert run_simulated(play(9.0, 9.0, 2.0)) == (MoveOutcome.WENT_ON, True)


async def is_wait_aborted(stream):
    """Wait on a stream; return whether the wait was aborted because the stream is silent."""
    try:
        await stream.within(60.0, asyncio.Event().wait())
    except BackendUnresponsive:
        return True
    return False


async def advance_clock(clock, watch, seconds):
    """Advance the clock in steps with a check after each, then let woken tasks run."""
    for _ in range(round(seconds / STEP_S) + 1):
        clock.now_s += STEP_S
        watch.check()
    for _ in range(5):
        await asyncio.sleep(0.001)


def is_avoided(backends):
    """Return whether engine ``d`` gets no new requests, so that only ``e`` is usable."""
    return [backend.name for backend in backends.usable("llm", "decode")] == ["e"]


class BlockedCacheLookup(CacheLookup):
    """A cache lookup whose engines respond only after the event is set."""

    def __init__(self):
        super().__init__(registry("d"), None, None)
        self.may_respond = asyncio.Event()

    async def _ask(self, engine):
        await self.may_respond.wait()
        return {"ab": 100}


def a_cancelled_request_does_not_cancel_a_shared_lookup():
    """Concurrent requests share a lookup: cancelling one must not cancel it for the others."""

    async def play():
        lookup = BlockedCacheLookup()
        call = generation(0.0)
        terms = GenerationParameters("m", 100, 100, (PromptPart("ab", 100),))
        call.terms = RequestMetadata("r", 14.0, generation=terms)
        first = asyncio.create_task(lookup.engines_with_prompt(call))
        second = asyncio.create_task(lookup.engines_with_prompt(call))
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.sleep(0)
        lookup.may_respond.set()
        assert await second == {"d"}

    asyncio.run(play())


STREAM_PROPERTIES = {
    "a caller who leaves spoils no other look-up": (
        a_cancelled_request_does_not_cancel_a_shared_lookup
    ),
    "whoever cannot be served is refused at once": an_unservable_request_is_refused_on_arrival,
    "whoever can be served late waits": a_late_but_servable_request_is_queued,
    "whoever becomes hopeless is refused then": a_queued_request_is_refused_once_unservable,
    "a full service holds up no other": a_full_service_delays_no_other_service,
    "the forecast learns how wrong it was": the_forecast_learns_its_error_factor,
    "room is forecast from how long streams lasted": capacity_is_forecast_from_stream_durations,
    "a stream that broke late waits for room": caller_timeout_counts_from_the_latest_event,
    "a stream leaves its silent engine only for one that begins": (
        a_stream_leaves_its_silent_engine_only_for_one_that_begins
    ),
    "a silent engine keeps its stream until a move is possible": (
        a_silent_engine_keeps_its_stream_until_a_move_is_possible
    ),
    "streams of two lives of an engine are watched apart": (
        streams_of_two_lives_of_an_engine_are_watched_apart
    ),
    "an engine whose streams are all silent is avoided": (
        an_engine_with_only_silent_streams_is_avoided
    ),
    "an engine that goes on is spared for one stream": (
        an_active_engine_is_not_avoided_for_one_stalled_stream
    ),
    "a process that stood still accuses no engine": a_stall_of_the_process_is_no_engine_silence,
}
