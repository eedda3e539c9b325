"""Properties of the rule for what a stopping router accepts, over generated loads."""

import asyncio
import dataclasses
import math

from hypothesis import strategies as st

from support.search import searched
from yokedock.base.clock import boot_time_s
from yokedock.base.ordered_set import OrderedSet
from yokedock.connection.dialect import GenerationParameters
from yokedock.process.graceful_stop import GracefulStop
from yokedock.request.engine_performance import EnginePerformance
from yokedock.request.recent_maximum import RecentMaximum
from yokedock.request.routed_call import RoutedCall
from yokedock.request.stop_admission import SILENCE_ALLOWANCE_S, StopAdmission, StopState
from yokedock.version.route_table import EngineTraits, ServiceSpec

TOKENS_PER_EVENT = 11
CLOCK_SLACK_S = 0.05
GRACE_S = 1.0
ENGINE_TRAITS = EngineTraits(
    slots=4,
    memory_tokens=1000,
    token_bytes=1.0,
    link_mbps=1000.0,
    tokens_per_event=TOKENS_PER_EVENT,
)


@dataclasses.dataclass
class Latencies:
    """Stands for the registry of backends."""

    latency_s: float
    slowest_s: float = 0.0

    def typical_latency_s(self, service):
        return self.latency_s

    def slowest_latency_s(self, service):
        return self.slowest_s


@dataclasses.dataclass
class Terms:
    generation: GenerationParameters | None
    last_event_id: int | None = None


@dataclasses.dataclass
class Call:
    """Stands for a routed call that has just arrived."""

    terms: Terms
    service: ServiceSpec
    arrived_s: float
    deadline_s: float = math.inf

    tokens_per_event = RoutedCall.tokens_per_event


def admission(left_s, stopping_for_s, latency_s=0.1, pause_s=0.0, slowest_s=0.0):
    """Return the rule of a router that stops in ``left_s``."""
    now_s = boot_time_s()
    stop = StopState(True, now_s - stopping_for_s, False, now_s + left_s)
    pace = EnginePerformance()
    if pause_s:
        pace.note_pause("engine", pause_s, is_reading=False)
    return StopAdmission(stop, Latencies(latency_s, slowest_s), pace)


def plain_call():
    return Call(Terms(None), ServiceSpec("plain"), boot_time_s())


def stream(max_tokens, hint=None):
    terms = GenerationParameters("m", 200, max_tokens, (), hint)
    return Call(Terms(terms), ServiceSpec("llm", engine=ENGINE_TRAITS), boot_time_s())


@searched(
    left_s=st.floats(0.0, 8.0), latency_s=st.floats(0.001, 2.0), slowest_s=st.floats(0.0, 3.0)
)
def a_stopping_router_takes_no_call_that_it_cannot_answer(left_s, latency_s, slowest_s):
    """Guards against calls that a stopping router takes and cuts off.

    An accepted call ends in time although its backend is silent for a second first, and although
    it takes as long as the slowest recent one.
    """
    is_accepted = admission(left_s, 4.0, latency_s, 0.0, slowest_s).has_time(plain_call())
    if is_accepted:
        assert left_s + CLOCK_SLACK_S >= SILENCE_ALLOWANCE_S + max(latency_s, slowest_s)
    elif left_s >= SILENCE_ALLOWANCE_S + max(4 * latency_s, slowest_s) + CLOCK_SLACK_S:
        raise AssertionError("refused, although there was time enough")


@searched(steps=st.lists(st.tuples(st.floats(0.0, 40.0), st.floats(0.0, 9.0)), max_size=40))
def a_recent_maximum_covers_its_window(steps):
    """Values of the last window count, values older than two windows do not."""
    window_s = 30.0
    maximum, now_s, noted = RecentMaximum(window_s), 0.0, []
    for step_s, value in steps:
        now_s += step_s
        maximum.note(value, now_s)
        noted.append((now_s, value))
        most = max(v for at_s, v in noted if at_s > now_s - 2 * window_s)
        least = max(v for at_s, v in noted if at_s > now_s - window_s)
        assert least <= maximum.value(now_s) <= most


@searched(left_s=st.floats(0.0, 8.0), tokens=st.integers(1, 3000), pause_s=st.floats(0.001, 0.5))
def a_stopping_router_takes_no_stream_that_it_cannot_finish(left_s, tokens, pause_s):
    """Guards against streams that a stopping router takes by a fixed pace and cuts off.

    An accepted stream ends in time at the measured pace, after a second of silence.
    """
    is_accepted = admission(left_s, 4.0, pause_s=pause_s).has_time(stream(tokens, hint=1))
    needed_s = SILENCE_ALLOWANCE_S + tokens / TOKENS_PER_EVENT * pause_s
    if is_accepted:
        assert left_s + CLOCK_SLACK_S >= needed_s
    elif left_s >= 2 * needed_s + CLOCK_SLACK_S:
        raise AssertionError("refused, although there was time enough")


def what_ends_before_the_router_is_accepted():
    """Guards against refusals, by a long estimate, of requests that end before the router does."""
    rule, refused = admission(2.0, 4.0, slowest_s=9.0), plain_call()
    assert not rule.has_time(refused)
    assert rule.has_time(dataclasses.replace(refused, deadline_s=boot_time_s() + 1.5))
    resumed = stream(1100)
    resumed.terms.last_event_id = 99
    rule = admission(3.0, 4.0, pause_s=0.05)
    assert rule.has_time(resumed) and not rule.has_time(stream(1100))


@searched(left_s=st.floats(0.0, 0.9))
def the_kind_of_request_decides_when_to_come_back(left_s):
    """A refused request was not run, and its caller is told when to come back."""
    for call in (plain_call(), stream(100)):
        refusal = admission(left_s, 4.0).refusal(call)
        assert (refusal.http_status, refusal.outcome) == (503, "not_run")
        assert refusal.retry_after_s > 0


class FailingHandler:
    """Stands for a request handler that cannot tell which calls are late."""

    active = 0

    def refuse_late_calls(self):
        raise ZeroDivisionError


def a_stop_goes_on_after_an_error():
    """Guards against a router that ends at once, with all its requests, by an error of its own."""
    stop = StopState()
    graceful_stop = GracefulStop(stop, FailingHandler(), OrderedSet())

    async def play():
        graceful_stop.begin(GRACE_S)
        await graceful_stop.run()

    asyncio.run(play())
    assert stop.is_ending and boot_time_s() >= stop.final_answers_s


STOP_ADMISSION_PROPERTIES = {
    "a stop goes on after an error": a_stop_goes_on_after_an_error,
    "a stopping router takes no call that it cannot answer": (
        a_stopping_router_takes_no_call_that_it_cannot_answer
    ),
    "what ends before the router is accepted": what_ends_before_the_router_is_accepted,
    "a recent maximum covers its window": a_recent_maximum_covers_its_window,
    "a stopping router takes no stream that it cannot finish": (
        a_stopping_router_takes_no_stream_that_it_cannot_finish
    ),
    "who is refused by a stopping router is told when to come back": (
        the_kind_of_request_decides_when_to_come_back
    ),
}
