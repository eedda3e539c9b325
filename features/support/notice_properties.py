"""Tests of notices in responses of backends, with generated responses, lists and loads."""

import math
import random

from hypothesis import strategies as st

from support.search import searched
from support.stream_properties import Clock
from yokedock.connection.dialect import ResponseMetadata
from yokedock.connection.header_dialect import HeaderDialect
from yokedock.connection.http_heads import RequestHead, ResponseHead
from yokedock.connection.state_source import BackendEntry
from yokedock.errors import BadRequest
from yokedock.request.backend_gossip import BackendGossip
from yokedock.request.backend_notices import NOTICE_RETENTION_S
from yokedock.request.backend_registry import BackendRegistry

SERVICE = "plain"
IN_FLIGHT_S = 0.5
"""The users' bound: requests in flight when a backend asks for back-off may arrive this late."""
DRAIN_S = 2.0
"""The users' bound: a backend may receive requests this long after its leaving notice arrived."""
STEP_S = 0.01
SPAN_S = 30.0
RESPONSE_DELAY_S = 0.006
"""Time from sending a request until a refusal is read, as on the users' links."""
MAX_IN_BACKOFF = 2
"""The users' bound on the requests that a backend receives from one router during back-off."""


def entry(name, is_leaving=False):
    """Return an entry of a plain backend."""
    return BackendEntry(name, SERVICE, "127.0.0.1:1", is_leaving=is_leaving)


def notes(**said):
    """Return the metadata of a response with these notices."""
    return ResponseMetadata("r", is_not_run=False, is_signed=True, **said)


def head(status, *headers):
    """Return the head of a response."""
    return ResponseHead(tuple((n.encode(), v.encode()) for n, v in headers), status)


def times_to_rest_are_read_strictly():
    """Retry-After takes decimal seconds up to one day; any other value is counted and ignored."""
    told = {"3": 3.0, " 2.5 ": 2.5, "0": 0.0, "1e2": 100.0, "99999999": 86_400.0}
    none = ("", "-1", "nan", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "3;4", "0x10")
    none += ("inf", "Infinity", "9" * 400, "1e999", "1_0", "\u0663")
    dialect = HeaderDialect()
    for text, rest_s in told.items():
        said = dialect.response_metadata(head(503, ("Retry-After", text)))
        assert said.rest_s == rest_s, (text, said)
        assert dialect.response_metadata(head(200, ("Retry-After", text))).rest_s is None
    for text in none:
        assert dialect.response_metadata(head(503, ("retry-after", text))).rest_s is None, text
    assert dialect.invalid_values == len(none), dialect.invalid_values
    for text, is_leaving in {"1": True, "0": False, "": False, "true": False}.items():
        for status in (200, 421, 500, 503):
            said = dialect.response_metadata(head(status, ("x-backend-leaving", text)))
            assert said.is_leaving is is_leaving, (text, said)


def numbers_of_any_length_are_read_or_refused():
    """A header value with thousands of digits is rejected like any other invalid value."""
    dialect = HeaderDialect()
    many = "9" * 5_000
    for text in (many, f"1,{many},4", "1,2,3,4", "-1,0,4", "1,,4", "x"):
        assert dialect.response_metadata(head(200, ("X-Backend-Load", text))).load is None, text[
            :20
        ]
    assert dialect.response_metadata(head(200, ("X-Backend-Load", "1, 0,4"))).load is not None
    for name, text in (("X-Tokens", f"{many},1"), ("X-Deadline-Ms", many), ("X-Tokens", "1,x")):
        request = RequestHead(((name.encode(), text.encode()),), b"POST", b"/")
        try:
            dialect.request_metadata(request)
        except BadRequest:
            continue
        raise AssertionError(f"{name} with a value of {len(text)} characters was accepted")


class SaidFleet:
    """Backends that ask for back-off and announce leaving at generated times, and a router."""

    def __init__(self, seed, size):
        self.chance = random.Random(seed)
        self.clock = Clock()
        self.registry = BackendRegistry("", self.clock)
        self.names = [f"b{number}" for number in range(size)]
        self.registry.update([entry(name) for name in self.names], ())
        self.leaving_notice_s = {}
        self.rests = {name: [] for name in self.names}
        """By backend: start and end of each back-off that it asked for."""
        self.arrivals = {name: [] for name in self.names}
        self._answers = []

    def play(self, arrivals_per_s, rest_share, leaving):
        """Send requests for ``SPAN_S``; ``leaving`` backends announce it after a generated time."""
        start_s = self.clock.now_s
        ends_s = {n: start_s + self.chance.uniform(0, SPAN_S) for n in self.names[:leaving]}
        while self.clock.now_s < start_s + SPAN_S:
            self.clock.now_s += STEP_S
            self._apply_responses()
            self._apply_random_list_change()
            if self.chance.random() < arrivals_per_s * STEP_S:
                self._handle_arrival(ends_s, rest_share)

    def _apply_random_list_change(self):
        """Occasionally list a backend as ready, or first as removed, whatever its state is."""
        if self.chance.random() < 0.02:
            name = self.chance.choice(self.names)
            if self.chance.random() < 0.3:
                self.registry.update((), [name])
            self.registry.update([entry(name)], ())
            self.registry.drop_expired_backends()

    def _handle_arrival(self, ends_s, rest_share):
        backend = self.registry.cheapest(SERVICE)
        if backend is None:
            return
        now_s = self.clock.now_s
        self.arrivals[backend.name].append(now_s)
        said = {"is_leaving": now_s >= ends_s.get(backend.name, math.inf)}
        if self.chance.random() < rest_share:
            said["rest_s"] = self.chance.choice((0.0, 0.5, 1.0, 3.0, 5.0))
            self.rests[backend.name].append((now_s, now_s + said["rest_s"]))
        self._answers.append((now_s + RESPONSE_DELAY_S, backend, notes(**said)))

    def _apply_responses(self):
        now_s = self.clock.now_s
        for due_s, backend, said in self._answers:
            if due_s <= now_s:
                backend.apply_notices(said, now_s)
                if said.is_leaving:
                    self.leaving_notice_s.setdefault(backend.name, now_s)
        self._answers = [answer for answer in self._answers if answer[0] > now_s]

    def require_kept(self):
        """Check both of the users' bounds against the requests that the backends received."""
        for name, since_s in self.leaving_notice_s.items():
            late = [at_s for at_s in self.arrivals[name] if at_s > since_s + DRAIN_S]
            assert not late, (
                f"{name} announced its leaving at {since_s} and received requests at {late}"
            )
        for name, rests in self.rests.items():
            for from_s, until_s in rests:
                within = [a for a in self.arrivals[name] if from_s + IN_FLIGHT_S < a < until_s]
                assert len(within) <= MAX_IN_BACKOFF, (
                    f"{name} backed off from {from_s} to {until_s} and received {within}"
                )


@searched(
    seed=st.integers(0, 10_000),
    size=st.integers(1, 6),
    arrivals_per_s=st.floats(1, 80),
    rest_share=st.floats(0, 0.6),
    leaving=st.integers(0, 3),
)
def what_backends_say_is_kept_to_under_any_load(seed, size, arrivals_per_s, rest_share, leaving):
    """Whatever the list says, and whoever is left: neither bound is broken."""
    fleet = SaidFleet(seed, size)
    fleet.play(arrivals_per_s, rest_share, leaving)
    fleet.require_kept()


def a_rest_ends_and_the_backend_is_used_again():
    """A backend is excluded exactly for its back-off, which a later, shorter one does not cut."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    registry.update([entry("a"), entry("b")], ())
    backend = registry.get("a")
    backend.apply_notices(notes(rest_s=3.0), clock.now_s)
    backend.apply_notices(notes(rest_s=0.5), clock.now_s + 1.0)
    backend.health.record_answer(clock.now_s + 1.0, 0.01, is_failure=False)
    for later_s, is_used in ((0.0, False), (2.9, False), (3.0, True)):
        clock.now_s = 100.0 + later_s
        found = {b.name for b in registry.usable(SERVICE)}
        assert ("a" in found) is is_used and "b" in found, (later_s, found)


def a_rest_of_all_ends_when_the_first_does():
    """The wait is 0 if a backend is usable, else the shortest back-off of those not leaving."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    registry.update([entry(name) for name in "abc"], ())
    for name, rest_s in (("a", 4.0), ("b", 2.0)):
        registry.get(name).apply_notices(notes(rest_s=rest_s), clock.now_s)
    assert registry.unavailable_for_s(SERVICE) == 0.0
    registry.get("c").apply_notices(notes(rest_s=1.0, is_leaving=True), clock.now_s)
    assert registry.unavailable_for_s(SERVICE) == 2.0
    assert registry.cheapest(SERVICE) is None
    assert {b.name for b in registry.present(SERVICE)} == {"a", "b"}
    clock.now_s += 2.0
    assert registry.cheapest(SERVICE).name == "b" and registry.unavailable_for_s(SERVICE) == 0.0


def an_entry_that_lapses_and_comes_back_forgets_nothing():
    """Notices outlive the entry of their backend for the retention time and no longer."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    registry.update([entry("a"), entry("b"), entry("c")], ())
    registry.get("a").apply_notices(notes(is_leaving=True), clock.now_s)
    registry.get("b").apply_notices(notes(rest_s=30.0), clock.now_s)
    registry.update((), ["a", "b", "c"])
    clock.now_s += 20.0
    registry.drop_expired_backends()
    assert registry.names() == {"a", "b"}
    registry.update([entry("a"), entry("b"), entry("c")], ())
    assert {b.name for b in registry.usable(SERVICE)} == {"c"}
    registry.update((), ["a", "b", "c"])
    clock.now_s += NOTICE_RETENTION_S + 1.0
    registry.drop_expired_backends()
    assert not registry.names()


def what_was_said_by_who_is_gone_is_dropped():
    """Notices of removed backends accumulate for at most a minute, however many leave."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    for number in range(1, 400):
        names = (f"b{number}", "a")
        registry.update(
            [BackendEntry(name, SERVICE, "127.0.0.1:1", born_ms=number) for name in names], ()
        )
        for name in names:
            said = notes(is_leaving=True, rest_s=86_400.0)
            registry.get(f"{name}@{number}").apply_notices(said, clock.now_s)
        registry.update((), [f"b{number}"])
        clock.now_s += 5.0
        registry.drop_expired_backends()
        assert len(registry.names()) <= 20, len(registry.names())


def a_later_life_has_said_nothing():
    """A restarted backend with the same identifier is neither leaving nor in back-off."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    first = BackendEntry("a", SERVICE, "127.0.0.1:1", born_ms=10)
    registry.update([first], ())
    registry.get("a@10").apply_notices(notes(rest_s=9.0, is_leaving=True), clock.now_s)
    registry.update([BackendEntry("a", SERVICE, "127.0.0.1:1", born_ms=20)], ())
    assert [b.name for b in registry.usable(SERVICE)] == ["a@20"]


def a_life_that_spoke_before_it_was_heard_of_is_believed():
    """A notice on a connection opened after the next incarnation started is attributed to that one.

    Clocks may differ by 250 ms. Within this margin a back-off is applied, because it ends by
    itself, and a leaving notice is not.
    """
    born_ms, now_s = 1_000_000, 100.0
    cases = {-5_000: (False, False), -200: (True, False), 30: (True, False), 2_000: (True, True)}
    for opened_ms, (rests, leaves) in (
        (born_ms + late_ms, kept) for late_ms, kept in cases.items()
    ):
        registry = BackendRegistry("", Clock())
        registry.update([BackendEntry("a", SERVICE, "127.0.0.1:1", born_ms=10)], ())
        registry.get("a@10").apply_notices(notes(rest_s=9.0, is_leaving=True), now_s, opened_ms)
        registry.update([BackendEntry("a", SERVICE, "127.0.0.1:1", born_ms=born_ms)], ())
        after = registry.get(f"a@{born_ms}")
        assert after.notices.is_backing_off(now_s) is rests, opened_ms
        assert (after.leaving_since_s is not None) is leaves, opened_ms
        assert bool(registry.usable(SERVICE)) is not rests, opened_ms


def a_life_that_spoke_under_the_name_before_is_believed():
    """Guards against a lost back-off whose request was sent to the previous incarnation's name.

    Its response arrives after the next incarnation became known. The same margins apply as to
    responses that arrive before that.
    """
    born_ms, now_s = 1_000_000, 100.0
    cases = {-5_000: (False, False), -200: (True, False), 30: (True, False), 2_000: (True, True)}
    for late_ms, (rests, leaves) in cases.items():
        registry = BackendRegistry("", Clock())
        registry.update([BackendEntry("a", SERVICE, "127.0.0.1:1", born_ms=10)], ())
        before = registry.get("a@10")
        registry.update([BackendEntry("a", SERVICE, "127.0.0.1:1", born_ms=born_ms)], ())
        said = notes(rest_s=9.0, is_leaving=True, limit_per_s=2.0)
        before.apply_notices(said, now_s, born_ms + late_ms, now_s - 0.1)
        after = registry.get(f"a@{born_ms}")
        assert after.notices.is_backing_off(now_s) is rests, late_ms
        assert (after.leaving_since_s is not None) is leaves, late_ms
        assert (after.limit.per_s == 2.0) is rests, late_ms
        assert bool(registry.usable(SERVICE)) is not rests, late_ms


def what_the_list_gives_others_is_the_list_alone():
    """Notices do not change the backend list sent to other routers; they are sent separately."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    registry.update([entry("a"), entry("b")], ())
    registry.get("a").apply_notices(notes(is_leaving=True), clock.now_s)
    assert registry.entries().keys() == {"a", "b"}
    assert BackendGossip(registry).recently_leaving() == ("a",)
    other = BackendRegistry("", clock)
    other.update([entry("a"), entry("b")], ())
    BackendGossip(other).apply_remote_leaving(("a", "unknown"))
    assert {b.name for b in other.usable(SERVICE)} == {"b"}
    assert BackendGossip(other).recently_leaving() == (), (
        "reports received from other routers are not forwarded"
    )
    clock.now_s += 2.0
    assert BackendGossip(registry).recently_leaving() == ()


NOTICE_PROPERTIES = {
    "times to rest are read strictly": times_to_rest_are_read_strictly,
    "numbers of any length are read or refused": numbers_of_any_length_are_read_or_refused,
    "what backends say is kept to under any load": what_backends_say_is_kept_to_under_any_load,
    "a rest ends and the backend is used again": a_rest_ends_and_the_backend_is_used_again,
    "a rest of all ends when the first does": a_rest_of_all_ends_when_the_first_does,
    "an entry that lapses and comes back forgets nothing": (
        an_entry_that_lapses_and_comes_back_forgets_nothing
    ),
    "what was said by who is gone is dropped": what_was_said_by_who_is_gone_is_dropped,
    "a later life has said nothing": a_later_life_has_said_nothing,
    "a life that spoke under the name before is believed": (
        a_life_that_spoke_under_the_name_before_is_believed
    ),
    "a life that spoke before it was heard of is believed": (
        a_life_that_spoke_before_it_was_heard_of_is_believed
    ),
    "what the list gives others is the list alone": what_the_list_gives_others_is_the_list_alone,
}
