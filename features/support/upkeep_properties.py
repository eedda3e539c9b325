"""Bounds on what a router keeps in memory, and isolation of requests from telemetry faults."""

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
    """A removed backend is dropped after its retention period, but not while it has requests."""
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
    """A backend that announces its leaving for long is kept for as long as it is listed."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    registry.update([BackendEntry("b", "s", "127.0.0.1:1", is_leaving=True)], [])
    clock.now_s += 10 * BACKEND_RETENTION_S
    registry.drop_expired_backends()
    assert registry.names() == {"b"}


def retry_counts_older_than_the_window_are_dropped():
    """Requests older than the window are dropped also for a service that never retries."""
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
    """Old votes are dropped, since every restart of a router may have a new address."""
    clock = Clock()
    leadership = Leadership("10.0.0.1", 3.0, True, clock)
    for number in range(500):
        leadership.heard(Vote(f"10.0.1.{number}", "10.0.0.1", clock.now_s))
        clock.now_s += 0.5
        leadership.drop_old_votes()
        assert leadership.size() <= 4


def engines_with_completed_changes_are_dropped():
    """A router without pending role changes has no entry in the registry."""
    registry = BackendRegistry("")
    for number in range(100):
        registry.set_changing(f"10.0.0.{number}", ("engine",))
        assert registry.is_changing("engine")
        registry.set_changing(f"10.0.0.{number}", ())
    assert not registry.is_changing("engine") and not registry._changing


def metrics_are_bounded():
    """Metrics and queued values are bounded with thousands of routes, and losses are counted."""
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
    reported = re.search(r'router_ms{route="r1",measure="held",quantile="0.95"} (\S+)\n', text)
    assert 9.8 <= float(reported[1]) <= 10.2, reported[1]
    assert 'route="r2"' not in text
    late = f'router_late{{service="{REMOVED_ROUTES}",route="{REMOVED_ROUTES}",zone="hall"}}'
    assert f"{late} {MAX_ROUTES - 1}\n" in text
    assert 'router_late{service="llm",route="r1",zone="hall"} 1\n' in text
    left = {"outcome_routes": 3, "histograms": 2, "late_rows": 3}
    assert metrics.sizes() == left, metrics.sizes()


def a_failure_of_telemetry_is_counted_and_logged_once():
    """A failure in telemetry does not reach its caller."""
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


def lines_to_a_full_pipe_do_not_block():
    """Without a reader, whole lines are dropped, and a later line reports how many."""
    read_end, write_end = os.pipe()
    budgets = [LineBudget(1e6), LineBudget(1e6)]
    handler = BoundedJsonLinesHandler(LineWriter(write_end).write, "INFO", *budgets)
    log = logger("test")
    with handler.applicationbound():
        for number in range(3000):
            log.info("line", number=number, filler="x" * (number % 9000))
        first = drain(read_end)
        log.warning("look")
        second = drain(read_end)
    os.close(write_end)
    os.close(read_end)
    lines = [json.loads(line) for line in (first + second).splitlines()]
    reported = sum(line.get("lines_dropped", 0) for line in lines)
    assert 10 < len(lines) < 3000
    assert lines[-1]["event"] == "look"
    assert len(lines) + reported == 3001, (len(lines), reported)


def drain(descriptor):
    """Return the bytes that are in a pipe now."""
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            data += os.read(descriptor, 65536)
        except BlockingIOError:
            return data


def warnings_have_their_own_budget():
    """Warnings are bounded by a budget of their own, which other lines cannot use up."""
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
    reported = sum(json.loads(line).get("lines_dropped", 0) for line in lines)
    assert reported == 190, reported


class FakeTransport:
    """Fake transport of a caller's connection; records whether it was aborted."""

    def __init__(self):
        self.was_aborted = False
        self.transport = self
        self.data = io.BytesIO()

    def get_extra_info(self, name):
        return self

    def setsockopt(self, *_):
        return

    def write(self, data):
        self.data.write(data)

    def get_write_buffer_size(self):
        return 0

    async def drain(self):
        return

    def abort(self):
        self.was_aborted = True


def an_error_after_a_complete_response_is_ignored():
    """An error after a complete response is logged and does not abort the connection."""
    for error in (RuntimeError("a defect"), YokedockError("a typed error")):
        is_aborted, data = asyncio.run(response_then_error(error))
        assert not is_aborted
        assert data.endswith(b"whole"), data


async def response_then_error(error):
    """Run a handler that fails after its response; return (was aborted, bytes sent)."""
    import h11

    from yokedock.connection.http_heads import complete_response
    from yokedock.version.route_table import CallerLimits

    async def handle(request, answer):
        await answer.whole(*complete_response(200, b"whole"))
        raise error

    transport = FakeTransport()
    connection = CallerConnection(None, transport, handle, CallerLimits)
    connection._parser.receive_data(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    while not isinstance(connection._parser.next_event(), h11.EndOfMessage):
        pass

    class Request:
        class head:
            path = "/"

    await connection._run_handler(Request, ResponseWriter(connection))
    return transport.was_aborted, transport.data.getvalue()


UPKEEP_PROPERTIES = {
    "backends that left are dropped": backends_that_left_are_dropped,
    "a listed backend that leaves slowly is kept": a_listed_backend_that_leaves_slowly_is_kept,
    "the retry window holds no more than the window": (
        retry_counts_older_than_the_window_are_dropped
    ),
    "votes of routers that left are dropped": votes_of_routers_that_left_are_dropped,
    "engines whose change ended are not kept": engines_with_completed_changes_are_dropped,
    "metrics are bounded": metrics_are_bounded,
    "a failure of telemetry is counted and logged once": (
        a_failure_of_telemetry_is_counted_and_logged_once
    ),
    "lines to a full pipe never wait": lines_to_a_full_pipe_do_not_block,
    "warnings are bounded and not crowded out": warnings_have_their_own_budget,
    "an error behind a whole answer does not harm it": (
        an_error_after_a_complete_response_is_ignored
    ),
}
