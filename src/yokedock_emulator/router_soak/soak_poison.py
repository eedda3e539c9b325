"""Whether requests that end their backends were kept from them in time."""

from __future__ import annotations

import collections

from yokedock_emulator.router_soak.soak_records import Arrival, SoakHistory

ENDS = 3
"""After so many ends under one request it is known for what it is."""
MOST_LATER = 3
"""Arrivals of it that routers in touch may still send, more than ``BOUND_S`` after that."""


def poison_violations(history: SoakHistory) -> list[tuple[str, str]]:
    """Return the requests that were sent on, each with the id of a try that was too many."""
    found = []
    for target, arrivals in _by_target(history).items():
        ends = [arrival.at_s for arrival in arrivals if has_ended_backend(arrival)]
        if len(ends) < ENDS:
            continue
        third_s = ends[ENDS - 1]
        later = [each for each in arrivals if _is_late(history, each, third_s)]
        if len(later) > MOST_LATER:
            text = f"{target} was sent {len(later)} times more, {len(ends)} backends ended"
            found.append((text, later[MOST_LATER].request_id))
    return found


def most_ends(history: SoakHistory) -> int:
    """Return the most backends that ended under one request."""
    counts = [sum(map(has_ended_backend, each)) for each in _by_target(history).values()]
    return max(counts, default=0)


def has_ended_backend(arrival: Arrival) -> bool:
    """Return whether the backend began to run the request and ended by that."""
    return arrival.has_run and arrival.is_own_end


def _by_target(history: SoakHistory) -> dict[str, list[Arrival]]:
    """Return the arrivals of each such request in order of time."""
    found: dict[str, list[Arrival]] = collections.defaultdict(list)
    for arrival in sorted(history.arrivals, key=lambda each: each.at_s):
        record = history.records.get(arrival.request_id)
        if record is not None and record.is_poison and arrival.outcome != "misdirected":
            found[arrival.target].append(arrival)
    return found


def _is_late(history: SoakHistory, arrival: Arrival, third_s: float) -> bool:
    """Return whether a router in touch sent it later than the bound allows."""
    record = history.records[arrival.request_id]
    life = history.lives[record.router, record.life]
    return history.was_in_touch(life, third_s, arrival.at_s)
