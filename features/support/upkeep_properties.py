"""What a router keeps depends on what lives now; what describes its work never harms it."""

import asyncio
import io
import json
import os
import re

from support.router_properties import Clock
from yokedock.base.logs import BoundedJsonLinesHandler, LineBudget, LineWriter, logger
from yokedock.base.telemetry import TelemetryGuard
from yokedock.connection.caller_connection import CallerConnection
from yokedock.connection.response_writer import ResponseWriter
from yokedock.connection.state_source import BackendEntry
from yokedock.errors import YokedockError
from yokedock.process.leadership import Leadership, Vote
from yokedock.process.router_metrics import MAX_KEPT, MAX_ROUTES, REMOVED_ROUTES, RouterMetrics
from yokedock.request.backend_list import BACKEND_RETENTION_S
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.retry_allowance import RetryAllowance, RetryBounds


def backends_that_left_are_dropped():
    """A backend is forgotten after a while, but not while work is under way there."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    for number in range(200):
        registry.update([BackendEntry(f"b{number}", "s", "127.0.0.1:1")], [f"b{number - 1}"])
        clock.now_s += 1
        registry.drop_expired_backends()
        assert len(registry.names()) <= BACKEND_RETENTION_S + 2, registry.names()
    busy = registry.get("b199")
    busy.outstanding = 1
    registry.update([], ["b199"])
    clock.now_s += 2 * BACKEND_RETENTION_S
    registry.drop_expired_backends()
    assert registry.names() == {"b199"}
    busy.outstanding = 0
    registry.drop_expired_backends()
    assert registry.names() == set()


def a_listed_backend_that_leaves_slowly_is_kept():
    """One that says for long that it is leaving stays known as long as it is listed."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    registry.update([BackendEntry("b", "s", "127.0.0.1:1", is_leaving=True)], [])
    clock.now_s += 10 * BACKEND_RETENTION_S
    registry.drop_expired_backends()
    assert registry.names() == {"b"}


def the_retry_window_holds_no_more_than_the_window():
    """Requests of a service that never retries are forgotten behind the window too."""
    clock = Clock()
    allowance = RetryAllowance(RetryBounds(0.2, 10.0, 50.0), lambda: 1, clock=clock)
    for number in range(2000):
        with allowance.request(f"service-{number // 500}"):
            pass
        clock.now_s += 0.1
        allowance.drop_old()
        assert allowance.size() <= 101, allowance.size()
    clock.now_s += 11
    allowance.drop_old()
    assert allowance.size() == 0 and not allowance._services


def votes_of_routers_that_left_are_dropped():
    """Each life of a router may come from another address."""
    clock = Clock()
    leadership = Leadership("10.0.0.1", 3.0, True, clock)
    for number in range(500):
        leadership.heard(Vote(f"10.0.1.{number}", "10.0.0.1", clock.now_s))
        clock.now_s += 0.5
        leadership.drop_old_votes()
        assert leadership.size() <= 4


def engines_whose_change_ended_are_not_kept():
    """A router that orders no changes takes no room in the registry."""
    registry = BackendRegistry("")
    for number in range(100):
        registry.set_changing(f"10.0.0.{number}", ("engine",))
        assert registry.is_changing("engine")
        registry.set_changing(f"10.0.0.{number}", ())
    assert not registry.is_changing("engine") and not registry._changing


def metrics_are_bounded():
    """Routes come and go by the thousand; values wait in bounded number; nothing is lost unsaid."""
    metrics = RouterMetrics()
    for number in range(3 * MAX_ROUTES):
        metrics.count(f"r{number}", "answered")
        metrics.record(f"r{number}", "held", 0.01)
        metrics.count_late("llm", f"r{number}", "hall")
    while metrics.fold_some():
        pass
    assert metrics.sizes()["outcome_routes"] <= MAX_ROUTES + 1, metrics.sizes()
    assert metrics.sizes()["histograms"] <= MAX_ROUTES + 1
    assert metrics.sizes()["late_rows"] <= MAX_ROUTES + 1
    for _ in range(MAX_KEPT + 7):
        metrics.record("r1", "held", 0.01)
    metrics.keep_only({"r1"})
    text = asyncio.run(metrics.text({"active": 3})).decode()
    assert "router_active 3\n" in text
    assert "router_values_dropped 7\n" in text
    assert f'route="{REMOVED_ROUTES}",outcome="answered"}} {MAX_ROUTES - 1}\n' in text
    told = re.search(r'router_ms{route="r1",measure="held",quantile="0.95"} (\S+)\n', text)
    assert 9.8 <= float(told[1]) <= 10.2, told[1]
    assert 'route="r2"' not in text
    late = f'router_late{{service="{REMOVED_ROUTES}",route="{REMOVED_ROUTES}",zone="hall"}}'
    assert f"{late} {MAX_ROUTES - 1}\n" in text
    assert 'router_late{service="llm",route="r1",zone="hall"} 1\n' in text
    left = {"outcome_routes": 3, "histograms": 2, "late_rows": 3}
    assert metrics.sizes() == left, metrics.sizes()


def a_failure_of_telemetry_is_counted_and_logged_once():
    """Whatever fails in describing the work ends there."""
    lines = []
    guard = TelemetryGuard()
    handler = BoundedJsonLinesHandler(
        lambda line: lines.append(line) or True, "INFO", LineBudget(100), LineBudget(100)
    )

    def fail():
        raise ImportError("no such library")

    with handler.applicationbound():
        for _ in range(5):
            guard.run("fold", fail)
    assert guard.failures == {"fold": 5}
    assert [json.loads(line)["kind"] for line in lines] == ["fold"]


def lines_to_a_full_pipe_never_wait():
    """Nobody reads: lines are refused, none is cut, and later ones tell how many were lost."""
    reading, writing = os.pipe()
    budgets = [LineBudget(1e6), LineBudget(1e6)]
    handler = BoundedJsonLinesHandler(LineWriter(writing).write, "INFO", *budgets)
    log = logger("test")
    with handler.applicationbound():
        for number in range(3000):
            log.info("line", number=number, filler="x" * (number % 9000))
        first = drain(reading)
        log.warning("look")
        second = drain(reading)
    os.close(writing)
    os.close(reading)
    lines = [json.loads(line) for line in (first + second).splitlines()]
    told = sum(line.get("lines_dropped", 0) for line in lines)
    assert 10 < len(lines) < 3000
    assert lines[-1]["event"] == "look"
    assert len(lines) + told == 3001, (len(lines), told)


def drain(descriptor):
    """Return what a pipe holds now."""
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            data += os.read(descriptor, 65536)
        except BlockingIOError:
            return data


def warnings_are_bounded_and_not_crowded_out():
    """A storm of warnings is bounded like other lines; ordinary lines leave room for them."""
    lines = []
    clock = Clock()
    budgets = [LineBudget(5.0, clock), LineBudget(5.0, clock)]
    handler = BoundedJsonLinesHandler(lambda line: lines.append(line) or True, "INFO", *budgets)
    log = logger("test")
    with handler.applicationbound():
        for _ in range(100):
            log.info("ordinary")
        for _ in range(100):
            log.warning("urgent")
        clock.now_s += 1
        log.info("ordinary")
    events = [json.loads(line)["event"] for line in lines]
    assert events == ["ordinary"] * 5 + ["urgent"] * 5 + ["ordinary"]
    told = sum(json.loads(line).get("lines_dropped", 0) for line in lines)
    assert told == 190, told


class SilentTransport:
    """Stands for a caller's connection; notes whether it was cut."""

    def __init__(self):
        self.was_cut = False
        self.transport = self
        self.data = io.BytesIO()

    def get_extra_info(self, name):
        return self

    def setsockopt(self, *_):
        return

    def write(self, data):
        self.data.write(data)

    async def drain(self):
        return

    def abort(self):
        self.was_cut = True


def an_error_behind_a_whole_answer_does_not_harm_it():
    """The caller has its answer: a fault in what comes after is logged and cuts nothing."""
    for error in (RuntimeError("a defect"), YokedockError("a typed error")):
        cut, data = asyncio.run(answered_then(error))
        assert not cut
        assert data.endswith(b"whole"), data


async def answered_then(error):
    """Run a handler that fails behind its answer; return (was cut, bytes sent)."""
    import h11

    from yokedock.connection.http_heads import complete_response
    from yokedock.version.route_table import CallerLimits

    async def handle(request, answer):
        await answer.whole(*complete_response(200, b"whole"))
        raise error

    transport = SilentTransport()
    connection = CallerConnection(None, transport, handle, CallerLimits)
    connection._parser.receive_data(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    while not isinstance(connection._parser.next_event(), h11.EndOfMessage):
        pass

    class Request:
        class head:
            path = "/"

    await connection._run_handler(Request, ResponseWriter(connection))
    return transport.was_cut, transport.data.getvalue()


UPKEEP_PROPERTIES = {
    "backends that left are dropped": backends_that_left_are_dropped,
    "a listed backend that leaves slowly is kept": a_listed_backend_that_leaves_slowly_is_kept,
    "the retry window holds no more than the window": (
        the_retry_window_holds_no_more_than_the_window
    ),
    "votes of routers that left are dropped": votes_of_routers_that_left_are_dropped,
    "engines whose change ended are not kept": engines_whose_change_ended_are_not_kept,
    "metrics are bounded": metrics_are_bounded,
    "a failure of telemetry is counted and logged once": (
        a_failure_of_telemetry_is_counted_and_logged_once
    ),
    "lines to a full pipe never wait": lines_to_a_full_pipe_never_wait,
    "warnings are bounded and not crowded out": warnings_are_bounded_and_not_crowded_out,
    "an error behind a whole answer does not harm it": (
        an_error_behind_a_whole_answer_does_not_harm_it
    ),
}
