"""Tests of the state kept of a backend that restarts with the same identifier."""

from unittest import mock

from support.stream_properties import Clock
from yokedock.connection.state_source import BackendEntry
from yokedock.request.backend_gossip import BackendGossip
from yokedock.request.backend_registry import BackendRegistry


def entry(instance, born_ms, role="decode", **fields):
    """Return an entry of one incarnation of a backend."""
    return BackendEntry(instance, "llm", "127.0.0.1:1", role=role, born_ms=born_ms, **fields)


def registry_of(*entries, clock=None):
    """Return a registry that lists ``entries``."""
    registry = BackendRegistry("", clock or Clock())
    registry.update(entries, ())
    return registry


def only(registry, instance):
    """Return the only usable incarnation of a backend."""
    (found,) = [b for b in registry.usable("llm") if b.entry.instance == instance]
    return found


def a_later_start_ends_what_was_believed():
    """A restart resets health, connections and reports for that backend and for no other."""
    clock = Clock()
    registry = registry_of(entry("a", 10), entry("b", 10), clock=clock)
    ended = []
    registry.on_restart = ended.append
    before, other = only(registry, "a"), only(registry, "b")
    clock.now_s += 100.0
    for backend in (before, other):
        backend.health.record_silence(clock.now_s)
    old, new = mock.Mock(opened_ms=9_000), mock.Mock(opened_ms=10_100)
    before.connections |= {old, new}
    registry.update([entry("a", 10_000, role="prefill")], ())
    after = registry.get("a@10000")
    assert ended == [before] and before.has_ended and not other.has_ended
    old.abort_after_reading.assert_called_once()
    new.abort_after_reading.assert_not_called()
    new.abort.assert_not_called()
    assert not after.health.is_suspect(clock.now_s) and after.health.failure_rate(clock.now_s) == 0
    assert other.health.is_suspect(clock.now_s)
    assert after.entry.role == "prefill" and after.life != before.life
    BackendGossip(registry).apply_remote_broken({before.name: 90})
    assert after.health.failure_rate(clock.now_s) == 0, (
        "the report is about the previous incarnation"
    )
    assert registry.entries().keys() == {"a", "b"}


def an_earlier_start_that_is_heard_late_changes_nothing():
    """An entry with an earlier start time, or without one, does not end the latest incarnation."""
    registry = registry_of(entry("a", 20))
    newest = only(registry, "a")
    registry.update([entry("a", 10, is_leaving=True)], ())
    assert only(registry, "a") is newest and newest.leaving_since_s is None
    registry.update([entry("a", 0, slots=7)], ())
    assert only(registry, "a") is newest and newest.entry.slots == 7
    assert newest.entry.born_ms == 20


def lives_that_ended_are_dropped():
    """The number of records stays bounded while a backend restarts every 5 s for an hour."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    for number in range(1, 700):
        registry.update([entry("a", number)], ())
        clock.now_s += 5.0
        registry.drop_expired_backends()
        assert len(registry.names()) <= 4, registry.names()


def a_crash_loop_is_used_with_growing_care():
    """The failure rate rises with each quick restart, and falls soon once the engine stays up."""
    clock = Clock()
    registry = registry_of(entry("a", 1), clock=clock)
    shares = []
    for number in range(2, 8):
        clock.now_s += 4.0
        registry.update([entry("a", number)], ())
        shares.append(only(registry, "a").health.failure_rate(clock.now_s))
    assert shares[0] == 0.5 and shares == sorted(shares) and shares[-1] > 0.95
    clock.now_s += 12.0
    assert only(registry, "a").health.failure_rate(clock.now_s) < 0.13
    clock.now_s += 30.0
    registry.update([entry("a", 99)], ())
    assert only(registry, "a").health.failure_rate(clock.now_s) == 0, (
        "a single restart is no crash loop"
    )


def a_restart_of_all_empties_no_fleet():
    """60 engines that restart together several times stay usable, with equal failure rates."""
    clock = Clock()
    names = [f"e{number}" for number in range(60)]
    registry = registry_of(*(entry(name, 1) for name in names), clock=clock)
    for born_ms in (2, 3, 4):
        clock.now_s += 4.0
        registry.update([entry(name, born_ms) for name in names], ())
        usable = registry.usable("llm")
        assert sorted(b.entry.instance for b in usable) == sorted(names)
        assert len({b.health.failure_rate(clock.now_s) for b in usable}) == 1


def what_is_said_anew_is_not_a_new_life():
    """A change of an entry without a restart, such as a new role, keeps the incarnation."""
    registry = registry_of(entry("a", 5))
    backend = only(registry, "a")
    for changed in (entry("a", 5, role="prefill"), entry("a", 5, is_leaving=True), entry("a", 5)):
        registry.update([changed], ())
        assert registry.get("a@5") is backend and not backend.has_ended
    registry.update((), ["a"])
    registry.update([entry("a", 5)], ())
    assert registry.get("a@5") is backend, "an entry that expired and reappeared"


def one_that_is_first_heard_of_as_it_leaves_is_no_last_resort():
    """Guards against a new router that uses a leaving backend as a last resort, seen 5.9 s late.

    The list that routers send each other omits leaving backends. A new router therefore learned of
    the backend only when it read the source itself, and dated the leaving state to that moment.
    """
    clock = Clock()
    known = registry_of(entry("a", 10), clock=clock)
    known.update([entry("a", 10, is_leaving=True)], ())
    assert [b.name for b in known.usable("llm")] == ["a@10"], (
        "known before it was leaving: usable as a last resort"
    )
    newcomer = registry_of(clock=clock)
    newcomer.replace_all({"a": entry("a", 10, is_leaving=True)})
    assert not newcomer.usable("llm")
    newcomer.update([entry("a", 20, is_leaving=True)], ())
    assert not newcomer.usable("llm"), "nor is a later incarnation usable"


LIFE_PROPERTIES = {
    "one that is first heard of as it leaves is no last resort": (
        one_that_is_first_heard_of_as_it_leaves_is_no_last_resort
    ),
    "a later start ends what was believed": a_later_start_ends_what_was_believed,
    "an earlier start that is heard late changes nothing": (
        an_earlier_start_that_is_heard_late_changes_nothing
    ),
    "lives that ended are dropped": lives_that_ended_are_dropped,
    "a crash loop is used with growing care": a_crash_loop_is_used_with_growing_care,
    "a restart of all empties no fleet": a_restart_of_all_empties_no_fleet,
    "what is said anew is not a new life": what_is_said_anew_is_not_a_new_life,
}
