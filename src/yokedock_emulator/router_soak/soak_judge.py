"""Judges a soak from what clients and backends have seen, rule by rule.

Where a rule has a time bound, it binds a router that was in touch for so long: neither frozen nor
starting, with a store that answers, while the soak's own process ran.
"""

from __future__ import annotations

import collections
import dataclasses
import signal

from yokedock_emulator.router_soak.soak_budget import budget_violations
from yokedock_emulator.router_soak.soak_limits import limit_violations
from yokedock_emulator.router_soak.soak_losses import (
    DEADLINE_S,
    GRACE_S,
    SLACK_S,
    ends_in_last_sixth,
    is_backends_fault,
    planned_losses,
)
from yokedock_emulator.router_soak.soak_notices import leaving_violations, rest_violations
from yokedock_emulator.router_soak.soak_parts import crashing_part, part_violations
from yokedock_emulator.router_soak.soak_poison import poison_violations
from yokedock_emulator.router_soak.soak_records import (
    BOUND_S,
    RUN_ONCE,
    STREAMS,
    Arrival,
    ClientRecord,
    RouterLife,
    SoakHistory,
)
from yokedock_emulator.router_soak.soak_streams import (
    all_killed_violations,
    lost_stream_violations,
    order_violations,
    rollout_violations,
)
from yokedock_emulator.router_soak.soak_uneven import uneven_violations
from yokedock_emulator.router_soak.soak_versions import version_violations

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""A promise that the request has not run and never will."""
UNANSWERED_STATUSES = (502, 504)
OWN_FAILURES = (429, 502, 503, 504)
"""Statuses with which a router may end a proper request by itself; 404 is judged by versions."""
PROMISE_LEVELS = (
    "router_promises_own",
    "router_promises_heard",
    "router_promises_heard_age_s",
)
"""They tell whose the promises are that a router still holds."""


@dataclasses.dataclass(frozen=True)
class Violation:
    """One broken rule."""

    rule: str
    text: str
    request_id: str = ""


@dataclasses.dataclass(frozen=True)
class Case:
    """One request with everything that bears on it."""

    record: ClientRecord
    life: RouterLife
    arrivals: list[Arrival]
    met_kill: bool
    """A backend of its service was killed while it was under way."""
    stood_still: bool
    """All backends were silent for a moment: the soak's own process did not run."""
    lost_beside: str = ""
    """The planned work beside which it was lost, empty if it was not."""

    def runs(self) -> list[Arrival]:
        """Return the arrivals that ran."""
        return [arrival for arrival in self.arrivals if arrival.has_run]


def judge(history: SoakHistory) -> list[Violation]:
    """Return every broken rule."""
    found: list[Violation] = []
    for case in _cases(history):
        found += _one(case)
    found += _unasked(history)
    found += [Violation("DRAIN", *each) for each in _late_arrivals(history)]
    found += [Violation("CONFIG", *each) for each in version_violations(history)]
    found += [Violation("BUDGET", text) for text in budget_violations(history)]
    found += [Violation("BUDGET", *each) for each in poison_violations(history)]
    found += [Violation(*each) for each in part_violations(history)]
    found += [Violation("DRAIN", *each) for each in leaving_violations(history)]
    found += [Violation("BUDGET", *each) for each in rest_violations(history)]
    found += [Violation("ORDER", *each) for each in order_violations(history)]
    found += [Violation("LOST", text) for text in lost_stream_violations(history)]
    found += [Violation("LOST", text) for text in all_killed_violations(history)]
    found += [Violation("LOST", text) for text in rollout_violations(history)]
    found += [Violation("LIMIT", text) for text in limit_violations(history)]
    found += [Violation("RECOVER", text) for text in uneven_violations(history)]
    found += _processes(history)
    return found


def given_up(history: SoakHistory) -> list[str]:
    """Return the requests that a stopping router took and gave up though all was sound."""
    return [
        case.record.request_id
        for case in _cases(history)
        if case.record.status in UNANSWERED_STATUSES
        and case.record.outcome == "answered"
        and case.life.terminated_s is not None
        and case.record.sent_s >= case.life.terminated_s
        and not _is_harmful(case.record)
        and not _met_harm(case)
    ]


def _cases(history: SoakHistory) -> list[Case]:
    by_id: dict[str, list[Arrival]] = collections.defaultdict(list)
    for arrival in history.arrivals:
        by_id[arrival.request_id].append(arrival)
    lost = planned_losses(history, by_id)
    return [
        dataclasses.replace(
            _case(history, record, by_id[record.request_id]),
            lost_beside=lost.get(record.request_id, ""),
        )
        for record in history.records.values()
    ]


def _is_harmful(record: ClientRecord) -> bool:
    return record.is_poison or crashing_part(record.parts) is not None


def _case(history: SoakHistory, record: ClientRecord, arrivals: list[Arrival]) -> Case:
    met_kill = any(
        service == record.route.service and record.sent_s - SLACK_S <= at_s <= record.end_s
        for service, at_s in history.killed_s
    )
    stood_still = any(
        start_s <= record.end_s and end_s >= record.sent_s
        for start_s, end_s in history.stood_still_s
    )
    life = history.lives[record.router, record.life]
    return Case(record, life, arrivals, met_kill, stood_still)


def _one(case: Case) -> list[Violation]:
    record = case.record
    name = record.request_id
    found = [Violation("MIXED", problem, name) for problem in record.problems]
    if _is_harmful(record):
        return found
    runs = case.runs()
    if record.route.kind in RUN_ONCE and len(runs) > 1:
        places = [run.instance for run in runs]
        found.append(Violation("TWICE", f"{record.route.kind} ran at {places}", name))
    if record.status in NOT_RUN_STATUSES and runs:
        found.append(Violation("REFUSED", f"told {record.status}, yet it ran", name))
    if record.outcome == "cut" and (case.lost_beside or not _may_be_cut(case)):
        found.append(Violation("LOST", _describe_cut(case), name))
    if record.outcome == "gave up" and not _was_frozen(case):
        found.append(Violation("LOST", "no answer by its deadline", name))
    if record.outcome == "answered":
        found += [Violation("ANSWER", text, name) for text in _wrong_status(case)]
    return found


def _describe_cut(case: Case) -> str:
    record = case.record
    took_s = record.end_s - record.sent_s
    text = f"{record.route.kind} cut after {took_s:.3f} s, status {record.status}, "
    beside = f", beside {case.lost_beside}" if case.lost_beside else ""
    return f"{text}{len(case.arrivals)} arrivals{beside}"


def _may_be_cut(case: Case) -> bool:
    record, life = case.record, case.life
    if life.killed_s is not None and life.killed_s <= record.end_s:
        return True
    if not case.arrivals and (record.is_unread or record.end_s - record.sent_s <= SLACK_S):
        return True
    if record.end_s - record.sent_s >= DEADLINE_S or _was_frozen(case):
        return True
    has_begun = record.route.kind in STREAMS and record.status == 200
    is_harmed = case.stood_still or any(is_backends_fault(each) for each in case.arrivals)
    return has_begun and is_harmed


def _was_frozen(case: Case) -> bool:
    """Return whether its router was frozen while the request was under way, or shortly before."""
    record = case.record
    return any(
        start_s <= record.end_s and end_s + BOUND_S >= record.sent_s
        for start_s, end_s in case.life.freezes
    )


def _wrong_status(case: Case) -> list[str]:
    status = case.record.status
    if status == 500:
        is_backends = any(arrival.outcome == "failed" for arrival in case.arrivals)
        return [] if is_backends else ["500 though no backend answered so"]
    if status in UNANSWERED_STATUSES and not _may_be_unanswered(case):
        outcomes = [(arrival.instance, arrival.outcome) for arrival in case.arrivals]
        return [f"{status} though nothing harmed it: {outcomes}{_describe_stop(case)}"]
    if status not in (200, 404, *OWN_FAILURES):
        return [f"status {status} for a proper request"]
    return []


def _describe_stop(case: Case) -> str:
    terminated_s = case.life.terminated_s
    if terminated_s is None or case.record.end_s < terminated_s:
        return ""
    return f", taken {case.record.sent_s - terminated_s:.1f} s after SIGTERM"


def _may_be_unanswered(case: Case) -> bool:
    """Return whether a request that may have run may be told just that."""
    return _met_harm(case) or ends_in_last_sixth(case.life, case.record)


def _met_harm(case: Case) -> bool:
    """Return whether something other than the stop of its router explains that it was given up."""
    record = case.record
    if record.end_s - record.sent_s >= DEADLINE_S or _was_frozen(case):
        return True
    if case.met_kill or case.stood_still:
        return True
    return any(is_backends_fault(arrival) for arrival in case.arrivals)


def _unasked(history: SoakHistory) -> list[Violation]:
    found = []
    for arrival in history.arrivals:
        record = history.records.get(arrival.request_id)
        if record is None:
            found.append(Violation("UNASKED", f"nobody sent {arrival.request_id!r}"))
            continue
        if (arrival.method, arrival.target, arrival.body) != ("POST", record.target, record.body):
            text = f"changed to {arrival.method} {arrival.target}"
            found.append(Violation("UNASKED", text, record.request_id))
        is_taken = arrival.outcome != "misdirected"
        if is_taken and arrival.service != record.route.service:
            text = f"came to {arrival.service}, not {record.route.service}"
            found.append(Violation("ROUTE", text, record.request_id))
    return found


def _late_arrivals(history: SoakHistory) -> list[tuple[str, str]]:
    """Return requests that reached a backend which had been leaving for too long."""
    found = []
    for arrival in history.arrivals:
        leaving_s = history.leaving_s.get(arrival.instance)
        record = history.records.get(arrival.request_id)
        if leaving_s is None or record is None or arrival.at_s < leaving_s:
            continue
        if arrival.outcome == "misdirected":
            continue
        life = history.lives[record.router, record.life]
        known_s = history.leaving_known_s(life, leaving_s, arrival.at_s)
        if history.was_in_touch(life, known_s, arrival.at_s):
            late_s = arrival.at_s - leaving_s
            text = f"reached {arrival.instance} {late_s:.2f} s after it was listed as leaving"
            found.append((text, record.request_id))
    return found


def _stopped_at_start(life: RouterLife) -> bool:
    """Return whether SIGTERM came before the program could take signals: nothing was read then."""
    return life.ready_s is None and life.exit_code == -signal.SIGTERM


def _struck_before_first_line(life: RouterLife) -> bool:
    """Return whether SIGHUP came before the first line: nothing can take signals then."""
    return life.exit_code == -signal.SIGHUP and life.hung_up_unhandled


def _processes(history: SoakHistory) -> list[Violation]:
    found = []
    for life in history.lives.values():
        name = f"router {life.router} life {life.number}"
        if life.ended_s is not None and life.killed_s is None:
            if life.terminated_s is None and not _struck_before_first_line(life):
                found.append(Violation("ENDED", f"{name} ended by itself: {life.exit_code}"))
            elif (
                life.terminated_s is not None
                and life.exit_code != 0
                and not _stopped_at_start(life)
            ):
                found.append(Violation("ENDED", f"{name}: status {life.exit_code} at its end"))
        if life.terminated_s is not None and life.killed_s is not None and not life.freezes:
            held_s = life.killed_s - life.terminated_s
            if held_s >= GRACE_S:
                found.append(Violation("ENDED", f"{name} did not stop in its grace"))
    for router, levels in history.at_end.items():
        held = {name: levels.get(name, -1.0) for name in ("router_active", "router_table_promises")}
        if any(held.values()):
            promises = {name: levels.get(name) for name in PROMISE_LEVELS}
            text = f"router {router} holds {held} at the end, {promises}"
            found.append(Violation("HELD", text))
    return found
