"""Whether routers kept to what backends said of themselves in their answers.

The time bounds exclude the time that a router spent waiting for a processor.
"""

from __future__ import annotations

import collections

from yokedock_emulator.router_soak.soak_records import Arrival, RouterLife, SoakHistory

DRAIN_S = 2.0
"""A request that comes so much later than an answer which said that its backend leaves may not
reach that backend through the same router (the users' rule)."""
IN_FLIGHT_S = 0.5
"""What was under way as a backend asked for rest may reach it for so long (the users' rule)."""
MAX_IN_BACKOFF = 2
"""Requests that a router may send into a rest (the users' rule)."""
Visits = dict[tuple[int, tuple[int, int]], list[Arrival]]
"""Arrivals in order of time, by the life of the backend and that of the router."""


def leaving_violations(history: SoakHistory) -> list[tuple[str, str]]:
    """Return the requests that reached a backend whose leaving their router had passed on."""
    found = []
    for (_, router), arrivals in visits_by_life(history).items():
        life = history.lives[router]
        told_s = min((_passed_on_s(history, each) for each in arrivals), default=float("inf"))
        for arrival in arrivals:
            sent_s = history.records[arrival.request_id].sent_s
            if sent_s <= told_s or life.excluding_processor_wait_s(told_s, sent_s) <= DRAIN_S:
                continue
            if is_bound(history, router, told_s, arrival.at_s):
                text = f"sent to {arrival.instance} {sent_s - told_s:.2f} s after it said it leaves"
                found.append((text, arrival.request_id))
    return found


def rest_violations(history: SoakHistory) -> list[tuple[str, str]]:
    """Return the rests into which a router sent too much, each with a request that was too many."""
    found = []
    for (_, router), arrivals in visits_by_life(history).items():
        life = history.lives[router]
        for asked in (arrival for arrival in arrivals if arrival.rest_s):
            until_s = asked.at_s + asked.rest_s
            within = [
                each
                for each in arrivals
                if asked.at_s < each.at_s < until_s
                and life.excluding_processor_wait_s(asked.at_s, each.at_s) > IN_FLIGHT_S
            ]
            is_held = is_bound(history, router, asked.at_s, until_s)
            if len(within) > MAX_IN_BACKOFF and is_held:
                text = f"{asked.instance} wanted {asked.rest_s:.2f} s of rest and got {len(within)}"
                found.append((text, within[MAX_IN_BACKOFF].request_id))
    return found


def visits_by_life(history: SoakHistory) -> Visits:
    """Return what arrived at each life of a backend from each life of a router."""
    visits: Visits = collections.defaultdict(list)
    for arrival in sorted(history.arrivals, key=lambda each: each.at_s):
        record = history.records.get(arrival.request_id)
        if record is not None and arrival.outcome != "misdirected":
            visits[arrival.backend_incarnation, (record.router, record.life)].append(arrival)
    return visits


def _passed_on_s(history: SoakHistory, arrival: Arrival) -> float:
    """Return when a router had passed on an answer that says so, infinity if it has none."""
    record = history.records[arrival.request_id]
    is_whole = arrival.says_leaving and arrival.outcome == "whole" and not arrival.is_prefill
    return record.end_s if is_whole and record.outcome == "answered" else float("inf")


def is_bound(history: SoakHistory, router: tuple[int, int], from_s: float, to_s: float) -> bool:
    """Return whether nothing excuses a router: a restart begins a new life, a freeze is noted."""
    life: RouterLife = history.lives[router]
    struck = [*life.freezes, *history.stood_still_s]
    return not any(start_s <= to_s and end_s >= from_s for start_s, end_s in struck)
