"""Tests of rate limits that all routers share, with fleets of 1 to 370 routers and no network.

The users' bound is 1.5 times the requests that the limit allows in any 4 s, plus five. At least
95 % of the granted rate must be used, wherever in the fleet the demand is.
"""

import itertools

from support.limit_fleet import SETTLED_S, TOLD_S, WINDOW_S, LimitFleet
from support.stream_properties import Clock
from yokedock.connection.dialect import ResponseMetadata
from yokedock.connection.header_dialect import HeaderDialect
from yokedock.connection.http_heads import ResponseHead
from yokedock.connection.router_state import LimitShare
from yokedock.connection.state_source import BackendEntry
from yokedock.request.backend_gossip import BackendGossip
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.connection_shares import ConnectionShares
from yokedock.request.shared_rate import MIN_RATE_PER_S, SharedRate
from yokedock.version.route_table import ServiceSpec

MIN_USED_SHARE = 0.95
FLEET_SIZES = (1, 4, 8, 30)
LIMITS = (0.5, 1.3, 5.0, 20.0)


def allowed(limit_per_s):
    return 1.5 * WINDOW_S * limit_per_s + 5


def require_kept(fleet, limit_per_s, case, since_s=None):
    most = fleet.max_in_window(since_s)
    assert most <= allowed(limit_per_s), (case, most, allowed(limit_per_s))


def require_used(fleet, limit_per_s, span_s, case):
    """Check that the granted rate was used, except for one permit that may be in flight."""
    used = fleet.used(fleet.now_s - span_s, fleet.now_s)
    assert used + 1 >= MIN_USED_SHARE * limit_per_s * span_s, (case, used, limit_per_s * span_s)


def a_limit_is_kept_and_used_wherever_the_demand_is():
    """Demand of three times the granted rate arrives at one router, at half of them or at all."""
    for size in FLEET_SIZES:
        for limit_per_s in LIMITS:
            for share in (0.0, 0.5, 1.0):
                fleet = LimitFleet(size, limit_per_s, seed=size)
                fleet.demand(max(3 * limit_per_s, 2.0), share)
                fleet.play(20.0)
                case = (size, limit_per_s, share)
                require_kept(fleet, limit_per_s, case)
                require_used(fleet, limit_per_s, 20.0 - SETTLED_S, case)


def a_limit_is_kept_and_used_by_68_and_370_routers():
    """Large fleets share 1.3 requests/s without overloading the backend or wasting permits."""
    for size, share in itertools.product((68, 370), (0.0, 0.5, 1.0)):
        fleet = LimitFleet(size, 1.3, heartbeat_interval_s=2.0)
        fleet.demand(6.0, share)
        fleet.play(12.0)
        require_kept(fleet, 1.3, (size, share))
        require_used(fleet, 1.3, 12.0 - SETTLED_S, (size, share))


def many_that_could_take_the_same_permit_do_not():
    """With other backends available no request waits, and all routers see a free permit at once."""
    for size, per_s in ((8, 400.0), (68, 2000.0), (370, 9400.0)):
        fleet = LimitFleet(size, 1.3, heartbeat_interval_s=1.0)
        fleet.demand(per_s, may_wait=False)
        fleet.play(10.0)
        require_kept(fleet, 1.3, size)
        require_kept(fleet, 1.3, size, since_s=100.0 + TOLD_S)


def a_limit_is_kept_with_lost_datagrams():
    """The limit is kept although 20 % of the datagrams are lost."""
    for size in (4, 8, 30):
        for limit_per_s in (1.3, 5.0):
            fleet = LimitFleet(size, limit_per_s, loss=0.2)
            fleet.demand(3 * limit_per_s)
            fleet.play(20.0)
            require_kept(fleet, limit_per_s, (size, limit_per_s))


def a_limit_is_kept_while_routers_start_anew():
    """The limit is kept while routers are killed and restarted in turn, without stored state."""
    for size in (1, 4, 8, 30):
        for seed in range(3):
            fleet = LimitFleet(size, 2.0, seed)
            fleet.demand(8.0)
            for number in range(20):
                fleet.play(1.0)
                fleet.restart(number % size)
            require_kept(fleet, 2.0, (size, seed))


def a_limit_is_kept_while_routers_stand_still():
    """Routers freeze for 2.5 s and send a request before they read the datagrams received since."""
    for size in (4, 8, 30):
        for seed in range(3):
            fleet = LimitFleet(size, 2.0, seed)
            fleet.demand(8.0)
            fleet.play(2.0)
            for number in range(12):
                fleet.routers[number % size].freeze(2.5)
                fleet.play(1.0)
            require_kept(fleet, 2.0, (size, seed))


def a_router_that_was_not_told_itself_keeps_to_the_limit():
    """The other routers report the limit to it before its first response."""
    fleet = LimitFleet(8, 2.0)
    fleet.demand(20.0, share=0.5)
    fleet.play(2.0)
    newcomer = fleet.routers[7]
    assert newcomer.rate.per_s == 2.0 and newcomer.told_s > fleet.now_s
    for _ in range(30):
        newcomer.ask(may_wait=False)
        fleet.play(0.01)
    assert sum(router is newcomer for _, router in fleet.arrivals) <= 2


def limits_that_change_are_kept():
    """The limit drops to a twentieth, is restored, and then changes twice a second."""
    fleet = LimitFleet(8, 20.0)
    fleet.demand(60.0)
    fleet.play(6.0)
    fleet.limit_per_s = 1.0
    lowered_s = fleet.now_s
    fleet.play(16.0)
    require_kept(fleet, 1.0, "fell", since_s=lowered_s + 1.0)
    require_used(fleet, 1.0, 14.0, "fell")
    fleet.limit_per_s = 20.0
    fleet.play(8.0)
    require_kept(fleet, 20.0, "rose")
    require_used(fleet, 20.0, 5.0, "rose")
    for number in range(40):
        fleet.limit_per_s = (2.0, 6.0)[number % 2]
        fleet.play(0.5)
    require_kept(fleet, 6.0, "changing", since_s=fleet.now_s - 18.0)
    require_used(fleet, 2.0, 18.0, "changing")


def a_limit_that_ends_holds_no_more():
    """After a limit has ended, no router applies it and requests are no longer held back."""
    fleet = LimitFleet(8, 2.0)
    fleet.demand(40.0)
    fleet.play(6.0)
    fleet.limit_per_s = None
    fleet.play(3.0)
    assert all(router.rate.per_s is None for router in fleet.routers)
    assert fleet.used(fleet.now_s - 1.0, fleet.now_s) >= 20


def a_limit_of_nothing_is_asked_now_and_then():
    """A backend with limit 0 gets few requests, or no response would report the limit's end."""
    fleet = LimitFleet(4, 0.0)
    fleet.demand(5.0)
    fleet.play(60.0)
    used = fleet.used(100.0 + SETTLED_S, fleet.now_s)
    assert 3 <= used <= 60 * MIN_RATE_PER_S + 1, used


def whoever_waits_longest_goes_first():
    """A new request is placed behind all that wait; both routers resolve ties the same way."""
    rate = SharedRate("10.0.0.2", 100.0)
    rate.record_answer(1.0, 99.0, 100.0)
    now_s = 102.0
    assert rate.wait_s(now_s, 101.0, 4) == 0.0
    rate.heard("10.0.0.1", LimitShare(1.0, 100, 0, waiting=2, waited_ms=1500), now_s)
    assert rate.wait_s(101.001, 100.9, 4) > 0.0, "another request has waited longer"
    assert rate.wait_s(101.001, 100.2, 4) == 0.0
    assert rate.wait_s(101.0, 100.495, 4) > 0.0 and rate.wait_s(101.0, 100.505, 4) > 0.0, "tied"
    first = SharedRate("10.0.0.1", 100.0)
    first.record_answer(1.0, 99.0, 100.0)
    first.heard("10.0.0.2", LimitShare(1.0, 100, 0, waiting=2, waited_ms=1500), now_s)
    assert first.wait_s(101.0, 100.505, 4) == 0.0
    rate.forget("10.0.0.1")
    assert rate.wait_s(101.001, 100.9, 4) == 0.0


def answers_that_overtake_each_other_are_put_in_order():
    """Only responses to requests sent after the latest statement arrived can relax a limit."""
    rate = SharedRate("a", 100.0)
    assert rate.record_answer(2.0, 99.9, 100.0)
    assert not rate.record_answer(None, 99.95, 100.1), "sent before the limit became known"
    assert rate.record_answer(1.0, 99.95, 100.1), (
        "a stricter limit applies whenever its request was sent"
    )
    assert not rate.record_answer(5.0, 100.05, 100.2)
    assert rate.record_answer(5.0, 100.15, 100.3) and rate.per_s == 5.0
    assert rate.record_answer(None, 100.4, 100.5) and rate.per_s is None
    older = LimitShare(5.0, age_ms=300, taken=0)
    assert not rate.heard("b", older, 100.6), "the other router heard of that limit before it ended"
    assert rate.heard("b", LimitShare(4.0, age_ms=10, taken=0), 100.6) and rate.per_s == 4.0


def head(status, *headers):
    return ResponseHead(tuple((n.encode(), v.encode()) for n, v in headers), status)


def limits_are_read_strictly():
    """A finite, non-negative number is a limit for any status; any other value is invalid."""
    dialect = HeaderDialect()
    told = {"1.3": 1.3, " 2 ": 2.0, "0": 0.0, "0.004": 0.004, "1e2": 100.0}
    none = ("", "-1", "nan", "inf", "-inf", "9" * 400, "soon", "1,5", "0x10", "1.3/s")
    for text, per_s in told.items():
        for status in (200, 421, 500, 503):
            notes = dialect.response_metadata(head(status, ("x-backend-limit", text)))
            assert notes.limit_per_s == per_s, (text, notes)
    for text in none:
        said = dialect.response_metadata(head(200, ("X-Backend-Limit", text)))
        assert said.limit_per_s is None and said.is_limit_invalid, text
    said = dialect.response_metadata(head(200))
    assert said.limit_per_s is None and not said.is_limit_invalid


SERVICE = "plain"


def entry(name, born_ms=0):
    return BackendEntry(name, SERVICE, "127.0.0.1:1", born_ms=born_ms)


def notes(limit_per_s, **said):
    return ResponseMetadata("r", is_not_run=False, is_signed=True, limit_per_s=limit_per_s, **said)


def a_limit_belongs_to_one_life():
    """A new incarnation starts unlimited, unless it stated a limit before it became known."""
    for opened_ms, is_limited in ((5, False), (1_000_100, True)):
        registry = BackendRegistry("", Clock())
        registry.update([entry("a", born_ms=10)], ())
        registry.get("a@10").apply_notices(notes(1.0), 100.0, opened_ms, 99.0)
        registry.update([entry("a", born_ms=1_000_000)], ())
        limit = registry.get("a@1000000").limit
        assert (limit.per_s is not None) is is_limited, opened_ms
    registry.get("a@1000000").apply_notices(notes(None, is_misdirected=True), 200.0, 0, 199.0)
    assert limit.per_s == 1.0, "a misdirected response must not change the limit of this backend"


def an_odd_word_ends_no_limit():
    """An invalid limit header is ignored: it neither sets a limit nor ends one."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    registry.update([entry("a")], ())
    backend = registry.get("a")
    backend.apply_notices(notes(None, is_limit_invalid=True), clock.now_s, 0, clock.now_s)
    assert backend.limit.rate is None
    backend.apply_notices(notes(2.0), clock.now_s, 0, clock.now_s)
    clock.now_s += 1.0
    backend.apply_notices(notes(None, is_limit_invalid=True), clock.now_s, 0, clock.now_s)
    assert backend.limit.per_s == 2.0
    backend.apply_notices(notes(None), clock.now_s, 0, clock.now_s)
    assert backend.limit.per_s is None


def a_limited_backend_is_left_out_only_while_it_has_no_permit():
    """Other backends are used meanwhile; without any, the wait for the next permit is known."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    registry.update([entry("a"), entry("b")], ())
    backend = registry.get("a")
    backend.apply_notices(notes(2.0), clock.now_s, 0, clock.now_s)
    assert {b.name for b in registry.usable(SERVICE)} == {"b"}
    assert registry.unavailable_for_s(SERVICE) == 0.0 and registry.granted_per_s(SERVICE) is None
    clock.now_s += 0.6
    assert {b.name for b in registry.usable(SERVICE)} == {"a", "b"}
    backend.take_permit(clock.now_s)
    assert {b.name for b in registry.usable(SERVICE)} == {"b"}
    registry.update((), ["b"])
    clock.now_s += 3.0
    registry.get("b").limit.record_answer(1.0, clock.now_s, clock.now_s)
    backend.take_permit(clock.now_s)
    assert abs(registry.unavailable_for_s(SERVICE) - 0.5) < 0.01
    assert registry.granted_per_s(SERVICE) == 2.0
    assert registry.levels()["backends_limited"] == 2


def an_end_that_all_were_told_of_is_not_taken_back():
    """An outdated report from a router that was silent does not restore a limit that ended."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    registry.update([entry("a")], ())
    backend = registry.get("a")
    backend.apply_notices(notes(2.0), clock.now_s, 0, clock.now_s)
    assert BackendGossip(registry).limits()["a"].per_s == 2.0
    clock.now_s += 1.0
    backend.apply_notices(notes(None), clock.now_s, 0, clock.now_s)
    assert BackendGossip(registry).limits()["a"].per_s < 0
    clock.now_s += 2.0
    registry.drop_expired_backends()
    assert BackendGossip(registry).limits() == {} and backend.limit.rate is None
    BackendGossip(registry).apply_remote_limits(
        "10.0.0.9", {"a": LimitShare(2.0, age_ms=2500, taken=1)}
    )
    assert backend.limit.rate is None
    BackendGossip(registry).apply_remote_limits(
        "10.0.0.9", {"a": LimitShare(2.0, age_ms=100, taken=1)}
    )
    assert backend.limit.per_s == 2.0


def shares_of_connections_never_exceed_what_a_backend_takes():
    """Shares add up to at most ``max_connections``, except that each router has at least one."""
    for routers in (1, 4, 8, 30, 68, 185, 370):
        for count in (6, 96, 100, 470, 760):
            most = ConnectionShares(lambda n=routers: n).most(
                ServiceSpec("s", max_connections=count)
            )
            assert most >= 1
            assert routers * most <= max(count, routers), (routers, count, most)


LIMIT_PROPERTIES = {
    "shares of connections never exceed what a backend takes": (
        shares_of_connections_never_exceed_what_a_backend_takes
    ),
    "a limit is kept and used wherever the demand is": (
        a_limit_is_kept_and_used_wherever_the_demand_is
    ),
    "a limit is kept and used by 68 and 370 routers": (
        a_limit_is_kept_and_used_by_68_and_370_routers
    ),
    "many that could take the same permit do not": many_that_could_take_the_same_permit_do_not,
    "a limit is kept with lost datagrams": a_limit_is_kept_with_lost_datagrams,
    "a limit is kept while routers start anew": a_limit_is_kept_while_routers_start_anew,
    "a limit is kept while routers stand still": a_limit_is_kept_while_routers_stand_still,
    "a router that was not told itself keeps to the limit": (
        a_router_that_was_not_told_itself_keeps_to_the_limit
    ),
    "limits that change are kept": limits_that_change_are_kept,
    "a limit that ends holds no more": a_limit_that_ends_holds_no_more,
    "a limit of nothing is asked now and then": a_limit_of_nothing_is_asked_now_and_then,
    "whoever waits longest goes first": whoever_waits_longest_goes_first,
    "answers that overtake each other are put in order": (
        answers_that_overtake_each_other_are_put_in_order
    ),
    "limits are read strictly": limits_are_read_strictly,
    "a limit belongs to one life": a_limit_belongs_to_one_life,
    "an odd word ends no limit": an_odd_word_ends_no_limit,
    "a limited backend is left out only while it has no permit": (
        a_limited_backend_is_left_out_only_while_it_has_no_permit
    ),
    "an end that all were told of is not taken back": (
        an_end_that_all_were_told_of_is_not_taken_back
    ),
}
