"""Properties of the router's pure parts, tested with deterministically generated cases."""

import base64
import itertools
import json
import random

from hypothesis import strategies as st

from support.search import searched
from yokedock.base.logs import BoundedJsonLinesHandler, LineBudget, logger
from yokedock.connection.event_stream import EventSplitter
from yokedock.connection.router_state import EngineShare
from yokedock.connection.source_position import SourcePosition
from yokedock.platform.documents import backend_entry, route_table
from yokedock.platform.store import items_to_changes
from yokedock.platform.stored_items import StoredItem
from yokedock.process.leadership import Leadership, Vote
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.engine_performance import EnginePerformance
from yokedock.request.retry_allowance import RetryAllowance, RetryBounds
from yokedock.request.role_plan import EngineRole, planned_role_changes, target_prefill_engines
from yokedock.version.route_table import Route, RouteIndex, RouteKind, RouteTable, WeightedTarget

LEASE_S = 3.0
TICK_S = 0.25


class Clock:
    """A clock that only advances when a test sets it."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


@searched(
    seed=st.integers(0, 10_000),
    size=st.integers(1, 6),
    loss=st.floats(0, 0.9),
    cuts=st.integers(0, 6),
)
def two_leaders_are_a_lease_apart(seed, size, loss, cuts):
    """No two routers lead within one lease of each other, despite losses, partitions and stalls."""
    chance = random.Random(seed)
    clock = Clock()
    names = [f"10.0.0.{number}" for number in range(size)]
    routers = {name: Leadership(name, LEASE_S, True, clock) for name in names}
    frozen_until = dict.fromkeys(names, 0.0)
    blocked = {}
    acted = []
    for step in range(240):
        clock.now_s += TICK_S
        if step % 40 == 0 and cuts:
            blocked = {(chance.choice(names), chance.choice(names)): True for _ in range(cuts * 2)}
            frozen_until[chance.choice(names)] = clock.now_s + chance.random() * 8
        if step in (80, 160):
            restarted = chance.choice(names)
            routers[restarted] = Leadership(restarted, LEASE_S, False, clock)
        running_routers = [name for name in names if frozen_until[name] <= clock.now_s]
        votes = {name: routers[name].vote() for name in running_routers}
        for recipient in running_routers:
            for voter in running_routers:
                is_lost = chance.random() < loss or blocked.get((voter, recipient))
                if voter != recipient and not is_lost:
                    routers[recipient].heard(Vote(voter, votes[voter], clock.now_s))
        acted += [(clock.now_s, name) for name in running_routers if routers[name].leads(size)]
    for (before_s, before), (after_s, after) in itertools.pairwise(acted):
        assert before == after or after_s - before_s > LEASE_S, (before_s, before, after_s, after)


def a_fleet_without_faults_soon_has_one_leader():
    """Without faults, one leader is elected within two seconds of a first start."""
    for size in range(1, 7):
        clock = Clock()
        names = [f"10.0.0.{number}" for number in range(size)]
        routers = {name: Leadership(name, LEASE_S, True, clock) for name in names}
        for _ in range(8):
            clock.now_s += TICK_S
            votes = {name: router.vote() for name, router in routers.items()}
            for recipient in names:
                for voter in names:
                    if voter != recipient:
                        routers[recipient].heard(Vote(voter, votes[voter], clock.now_s))
        assert [name for name in names if routers[name].leads(size)] == names[:1]


@searched(seed=st.integers(0, 10_000), routers=st.integers(1, 8), retry_load=st.floats(0.1, 5.0))
def the_fleet_stays_within_the_retry_budget(seed, routers, retry_load):
    """In every window, all routers together stay within the retry budget at any retry load."""
    chance = random.Random(seed)
    clock = Clock()
    bounds = RetryBounds(0.2, 10.0, 50.0)
    fleet = [RetryAllowance(bounds, lambda: routers, True, clock) for _ in range(routers)]
    requests, extras = [], []
    for _ in range(1500):
        clock.now_s += 0.02
        router = chance.choice(fleet)
        requests.append(clock.now_s)
        with router.request("s") as retries:
            while chance.random() < retry_load / (1 + retry_load) and retries.set_aside(1):
                retries.record_arrival()
                extras.append(clock.now_s)
    for start_s in extras:
        end_s = start_s + bounds.window_s
        extra = sum(1 for at_s in extras if start_s <= at_s < end_s)
        asked = sum(1 for at_s in requests if start_s <= at_s < end_s)
        before = sum(1 for at_s in requests if start_s - bounds.window_s <= at_s < start_s)
        assert extra <= bounds.ratio * max(asked, before) + bounds.allowance, (extra, asked)


@searched(
    sizes=st.lists(st.integers(0, 40), min_size=1, max_size=8),
    cuts=st.lists(st.integers(1, 7), min_size=1, max_size=30),
    is_crlf=st.booleans(),
)
def events_are_independent_of_read_boundaries(sizes, cuts, is_crlf):
    """Complete events with their ids are parsed, however the bytes are split into reads."""
    end = b"\r\n" if is_crlf else b"\n"
    events = [
        b"id: %d" % number + end + b"data: " + b"x" * size + end + end
        for number, size in enumerate(sizes)
    ]
    data = b"".join(events)
    splitter, found, position, turn = EventSplitter(), [], 0, 0
    while position < len(data):
        step = cuts[turn % len(cuts)]
        found += list(splitter.feed(data[position : position + step]))
        position, turn = position + step, turn + 1
    assert [event.data for event in found] == events
    assert [event.event_id for event in found] == list(range(len(events)))
    assert splitter.rest == b""


@searched(made=st.integers(0, 2000), expected=st.integers(1, 1800), most=st.integers(1, 1870))
def a_reservation_covers_the_tokens_up_to_the_maximum(made, expected, most):
    """A reservation covers the prompt and the generated tokens, up to the maximum output."""
    made = min(made, most)
    demand = StreamDemand("e", 500, min(expected, most), most, made)
    assert 500 + made <= demand.memory_tokens() <= 500 + most + 1


def reservations_of_a_silent_router_expire():
    """Reservations of a router that stopped sending expire after two seconds."""
    clock = Clock()
    ledger = EngineLedger(clock)
    ledger.heard("other", {"e": EngineShare(700, 2, 30)})
    assert (ledger.memory_tokens("e"), ledger.streams("e")) == (700, 2)
    clock.now_s += 1.9
    assert ledger.prefill_backlog("e") == 30
    clock.now_s += 0.2
    assert (ledger.memory_tokens("e"), ledger.streams("e")) == (0, 0)


def slowness_is_measured_and_decays():
    """An engine with pauses four times as long is rated slow; the rating decays over time."""
    clock = Clock()
    pace = EnginePerformance(clock)
    for _ in range(30):
        for engine in ("a", "b", "c"):
            pace.note_pause(engine, 0.05, False)
        pace.note_pause("slow", 0.2, False)
    assert pace.slowness("a") == 1.0 and pace.slowness("slow") > 3.5
    clock.now_s += 60
    assert 1.0 < pace.slowness("slow") < 1.5
    pace.keep_only({"a", "b", "c"})
    assert pace.slowness("slow") == 1.0


@searched(reading=st.integers(0, 12), making=st.integers(0, 12))
def role_changes_converge_to_the_target(reading, making):
    """Successive changes reach the target number of prefill engines, then none follows."""
    roles = ["prefill"] * reading + ["decode"] * making
    engines = [EngineRole(f"e{number}", role, number) for number, role in enumerate(roles)]
    for _ in range(len(engines) + 1):
        change = next(iter(planned_role_changes(engines, "prefill", "decode", 1)), None)
        if change is None:
            break
        engines = [
            EngineRole(e.name, change.role if e.name == change.name else e.role, e.load)
            for e in engines
        ]
    else:
        raise AssertionError("role changes do not converge")
    if len(engines) >= 2:
        assert sum(e.role == "prefill" for e in engines) == target_prefill_engines(len(engines))


@searched(prefixes=st.lists(st.lists(st.sampled_from("ab"), max_size=3), min_size=1, max_size=6))
def the_longest_prefix_determines_the_route(prefixes):
    """The route with the longest prefix of the path is found, for its own host only."""
    texts = sorted({"/" + "".join(f"{part}/" for part in parts) for parts in prefixes})
    targets = (WeightedTarget("s"),)
    routes = [Route(t, "Hut.example", t, RouteKind.ONCE, 1, 1, targets) for t in texts]
    index = RouteIndex(RouteTable(1, tuple(routes), {}))
    for path in ("/", "/a/", "/a/b/x", "/b/b/b/a", "/ab/"):
        matching_prefixes = [t for t in texts if path.startswith(t)]
        found = index.find("hut.EXAMPLE:8080", path)
        assert (found.name if found else None) == max(matching_prefixes, key=len, default=None)
        assert index.find("other.example", path) is None


def platform_documents_are_decoded():
    """Documents of the platform are decoded, and undecodable ones are reported.

    The backend of an undecodable document is removed; an undecodable route table is ignored.
    """
    configuration = {
        "version": 7,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "pathPrefix": "/p/",
                "routeType": "streaming",
                "timeoutMs": 14000,
                "targetLatencyMs": 900,
                "priority": 1,
                "trafficSplit": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
                "maxAttempts": 2,
                "resumable": True,
                "itlTargetMs": 300,
            }
        ],
        "services": [
            {"name": "a", "maxConnections": 620, "engine": {"slotCount": 128, "kvCapacity": 66897}}
        ],
        "limits": {"maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
    }
    table = route_table(json.dumps(configuration).encode())
    route = table.routes[0]
    assert (route.kind, route.timeout_s, route.target_s) == (RouteKind.STREAM, 14.0, 0.9)
    assert [t.weight for t in route.targets] == [90, 10] and route.may_repeat
    assert table.services["a"].engine.memory_tokens == 66897
    assert table.limits.idle_timeout_s == 15.0
    server = {"service": "a", "address": "10.0.0.1:80", "state": "draining", "stage": "decode"}
    server |= {"zone": "z", "version": "v1", "slotCount": 4, "coldRemainingMs": 0, "sequence": 1}
    entry = backend_entry("i-1", json.dumps(server).encode())
    assert entry.is_leaving and entry.role == "decode"
    good = StoredItem("servers/i-1", base64.b64encode(json.dumps(server).encode()).decode())
    bad = StoredItem("servers/i-2", "!!")
    gone = StoredItem("servers/i-3", gone=True)
    changes = items_to_changes(
        (good, bad, gone, StoredItem("op/config", "!!")), SourcePosition(3, 9)
    )
    assert changes.position == SourcePosition(3, 9) and changes.table is None
    assert changes.undecoded == ("i-2", "op/config")
    assert [entry.instance for entry in changes.changed] == ["i-1"]
    assert set(changes.gone) == {"i-2", "i-3"}


@searched(gaps=st.lists(st.floats(0, 0.5), min_size=1, max_size=200))
def log_lines_stay_within_their_limit(gaps):
    """At most twice the configured lines are written in any second; dropped ones are counted."""
    clock = Clock()
    budget = LineBudget(5.0, clock)
    written, dropped = [], 0
    for gap_s in gaps:
        clock.now_s += gap_s
        if budget.may_write():
            written.append(clock.now_s)
            dropped += budget.take_dropped()
    dropped += budget.take_dropped()
    assert len(written) + dropped == len(gaps)
    for start_s in written:
        assert sum(1 for at_s in written if start_s <= at_s < start_s + 1) <= 10


def the_next_line_reports_dropped_lines():
    """The first line after lines were dropped reports how many; warnings have their own limit."""
    lines = []
    budgets = (LineBudget(2.0, Clock()), LineBudget(2.0, Clock()))
    handler = BoundedJsonLinesHandler(lambda line: lines.append(line) or True, "INFO", *budgets)
    log = logger("test")
    with handler.applicationbound():
        for number in range(5):
            log.info("line", number=number)
        log.warning("look")
    lines = [json.loads(line) for line in lines]
    assert [line.get("number") for line in lines] == [0, 1, None]
    assert lines[-1]["event"] == "look" and lines[-1]["lines_dropped"] == 3


ROUTER_PROPERTIES = {
    "lines stay within their budget": log_lines_stay_within_their_limit,
    "a line tells how many were dropped": the_next_line_reports_dropped_lines,
    "two leaders are a lease apart": two_leaders_are_a_lease_apart,
    "a quiet fleet soon has one leader": a_fleet_without_faults_soon_has_one_leader,
    "the fleet keeps the retry budget": the_fleet_stays_within_the_retry_budget,
    "events are the same however they are cut": events_are_independent_of_read_boundaries,
    "a stream is promised what it has and no more than it may take": (
        a_reservation_covers_the_tokens_up_to_the_maximum
    ),
    "promises of a silent router are dropped": reservations_of_a_silent_router_expire,
    "a slow engine is known and forgiven": slowness_is_measured_and_decays,
    "changes of roles end at the wanted split": role_changes_converge_to_the_target,
    "the longest prefix finds the route": the_longest_prefix_determines_the_route,
    "documents of the platform become routes and backends": (platform_documents_are_decoded),
}
