"""Requests that a router lost around planned work, by the users' rule.

Planned work is a stop, SIGHUP or a configuration. Only what the rule excuses is excused: the
silence of a sound backend, a slow store or a full retry budget excuse nothing.
"""

from __future__ import annotations

import dataclasses

from yokedock_emulator.router_soak.soak_parts import crashing_part
from yokedock_emulator.router_soak.soak_records import (
    BOUND_S,
    Arrival,
    ClientRecord,
    RouterLife,
    SoakHistory,
)

GRACE_S = 8.0
"""Time from SIGTERM to SIGKILL."""
AFTER_GRACE_S = 1.0
LAST_SIXTH_S = GRACE_S / 6
TAKEN_EARLY_S = 3.0
"""A request sent so soon after SIGTERM may be ended in the last sixth of the grace time."""
APPLY_S = 2.0
"""A router applies a configuration, or settings after SIGHUP, within this time."""
SLACK_S = 0.2
"""A request that is not passed on may cross the close of its connection within this time."""
DEADLINE_S = 7.9
"""From here on the deadline explains whatever came of a request."""
MOSTLY_USED_S = 0.7 * 8.0
"""Beside a configuration, a request that has used so much of its time is not counted."""
CONFIGURATION_RATIO = 3.0
"""Losses beside configurations count if they are over so many times as frequent as at others."""
Span = tuple[float, float]


@dataclasses.dataclass(frozen=True)
class Machine:
    """What was done to all processes of one router."""

    terminated_s: list[float]
    hang_ups_s: list[float]
    unplanned: list[Span]


def planned_losses(history: SoakHistory, arrivals: dict[str, list[Arrival]]) -> dict[str, str]:
    """Return the ids of the requests lost around planned work, each with that work."""
    found: dict[str, str] = {}
    routers = {router for router, _ in history.lives}
    for router in sorted(routers):
        machine = _machine(history, router)
        records = [each for each in history.records.values() if each.router == router]
        lost = [each for each in records if _is_lost(machine, each, arrivals[each.request_id])]
        found |= {each.request_id: "SIGTERM" for each in lost if _is_at_stop(machine, each)}
        for each in lost:
            if _is_at_hang_up(machine, each):
                found.setdefault(each.request_id, "SIGHUP")
        for each in _lost_at_configurations(history, records, lost):
            found.setdefault(each.request_id, "a configuration")
    return found


def ends_in_last_sixth(life: RouterLife, record: ClientRecord) -> bool:
    """Return whether a stop may have ended a request: one taken before it or early in it."""
    terminated_s = life.terminated_s
    if terminated_s is None or record.sent_s > terminated_s + TAKEN_EARLY_S:
        return False
    return record.end_s >= terminated_s + GRACE_S - LAST_SIXTH_S


def is_backends_fault(arrival: Arrival) -> bool:
    """Return whether the backend did not do its work for a request that reached it."""
    faults = ("failed", "refused", "misdirected", "endless")
    return arrival.outcome in faults or arrival.is_own_end


def _machine(history: SoakHistory, router: int) -> Machine:
    lives = [life for life in history.lives.values() if life.router == router]
    unplanned = [*history.stood_still_s]
    for life in lives:
        unplanned += life.freezes
        if life.killed_s is None:
            continue
        # A process that outlasts its grace time is killed too: that is part of its stop.
        if life.terminated_s is None or life.killed_s < life.terminated_s + GRACE_S:
            ready_s = [each.ready_s for each in lives if each.number > life.number]
            back_s = min((each for each in ready_s if each is not None), default=float("inf"))
            unplanned.append((life.killed_s, back_s))
    return Machine(
        [life.terminated_s for life in lives if life.terminated_s is not None],
        [at_s for life in lives for at_s in life.hang_ups_s],
        unplanned,
    )


def _is_lost(machine: Machine, record: ClientRecord, arrivals: list[Arrival]) -> bool:
    """Return whether a request that was read has ended without a complete answer or an excuse."""
    took_s = record.end_s - record.sent_s
    if record.outcome != "cut" or record.is_poison or crashing_part(record.parts):
        return False
    if took_s >= DEADLINE_S or not (arrivals or took_s > SLACK_S):
        return False
    if record.is_unread and not arrivals:
        return False
    span = record.sent_s - BOUND_S, record.end_s
    if any(_overlap(span, each) for each in machine.unplanned):
        return False
    return not (_broke_off(arrivals) or _is_stopped_late(machine, record, arrivals))


def _broke_off(arrivals: list[Arrival]) -> bool:
    """Return whether the last backend that worked on a request broke off by itself."""
    worked = [each for each in arrivals if each.has_run and each.outcome != "failed"]
    return bool(worked) and max(worked, key=lambda each: each.at_s).is_own_end


def _is_stopped_late(machine: Machine, record: ClientRecord, arrivals: list[Arrival]) -> bool:
    """Return whether a backend still worked on it in the last sixth of the grace time.

    This excuses requests that were sent before SIGTERM or soon after it.
    """
    is_at_work = any(each.has_run and each.outcome in ("working", "broken") for each in arrivals)
    return is_at_work and any(
        record.sent_s <= at_s + TAKEN_EARLY_S
        and at_s + GRACE_S - LAST_SIXTH_S <= record.end_s <= at_s + GRACE_S + AFTER_GRACE_S
        for at_s in machine.terminated_s
    )


def _is_at_stop(machine: Machine, record: ClientRecord) -> bool:
    span = record.sent_s, record.end_s
    work = [(at_s, at_s + GRACE_S + AFTER_GRACE_S) for at_s in machine.terminated_s]
    return any(_overlap(span, each) for each in work)


def _is_at_hang_up(machine: Machine, record: ClientRecord) -> bool:
    span = record.sent_s, record.end_s
    return any(_overlap(span, (at_s, at_s + APPLY_S)) for at_s in machine.hang_ups_s)


def _lost_at_configurations(
    history: SoakHistory, records: list[ClientRecord], lost: list[ClientRecord]
) -> list[ClientRecord]:
    """Return the losses beside configurations if they are far more frequent than others."""
    beside = [each for each in records if _is_at_configuration(history, each)]
    names = {each.request_id for each in beside}
    lost_beside = [
        each
        for each in lost
        if each.request_id in names and each.end_s - each.sent_s < MOSTLY_USED_S
    ]
    others = len(records) - len(beside)
    lost_others = sum(each.request_id not in names for each in lost)
    usual = CONFIGURATION_RATIO * len(beside) * lost_others
    return lost_beside if not lost_others or len(lost_beside) * others > usual else []


def _is_at_configuration(history: SoakHistory, record: ClientRecord) -> bool:
    span = record.sent_s, record.end_s
    work = [(at_s, at_s + APPLY_S + 1.0) for at_s in history.published_s.values()]
    return any(_overlap(span, each) for each in work)


def _overlap(one: Span, other: Span) -> bool:
    return one[0] <= other[1] and other[0] <= one[1]
