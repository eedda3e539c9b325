"""Whether routers together kept to the requests a second that backends named."""

from __future__ import annotations

import collections
import dataclasses

from yokedock_emulator.router_soak.soak_notices import is_bound, visits_by_life
from yokedock_emulator.router_soak.soak_records import Arrival, LimitSpan, SoakHistory

WINDOW_S = 4.0
SLACK_SHARE = 1.5
SLACK = 5
TOLD_S = 0.5
BOUND_AFTER_S = 3.0
"""The users' rule: from so long after a backend first named a limit it gets, in any window, at most
one and a half times what that allows and five more, from routers that had passed such an answer on
half a second before."""
NEVER = float("inf")


@dataclasses.dataclass(frozen=True)
class Visits:
    """What one life of a backend got from one life of a router, in order of time."""

    router: tuple[int, int]
    arrivals: list[Arrival]


def limit_violations(history: SoakHistory) -> list[str]:
    """Return the worst window of each backend that got more than it names."""
    visits: dict[int, list[Visits]] = collections.defaultdict(list)
    for (life, router), arrivals in visits_by_life(history).items():
        visits[life].append(Visits(router, arrivals))
    found = []
    for life, spans in history.limits.items():
        windows = [
            window for chain in _chains(spans) for window in _windows(history, visits[life], chain)
        ]
        count, allowed = max(windows, key=lambda each: each[0] - each[1], default=(0, 0.0))
        if count > allowed:
            instance = visits[life][0].arrivals[0].instance
            found.append(f"{instance} got {count} requests in {WINDOW_S} s, allowed {allowed:.1f}")
    return found


def _chains(spans: list[LimitSpan]) -> list[list[LimitSpan]]:
    """Return the spans, those together that follow each other without a pause."""
    chains: list[list[LimitSpan]] = []
    for span in spans:
        if chains and chains[-1][-1].to_s == span.from_s:
            chains[-1].append(span)
        else:
            chains.append([span])
    return chains


def _windows(
    history: SoakHistory, visits: list[Visits], chain: list[LimitSpan]
) -> list[tuple[int, float]]:
    """Return what came in each window that ends with an arrival under a limit, and its bound."""
    first_s, last_s = chain[0].from_s, chain[-1].to_s
    times = sorted(at_s for each in visits for at_s in _told_times(history, each, first_s))
    windows = []
    for end_s in (at_s for at_s in times if first_s + BOUND_AFTER_S <= at_s < last_s):
        count = sum(end_s - WINDOW_S <= at_s <= end_s for at_s in times)
        granted = _granted(chain, end_s - WINDOW_S, end_s)
        windows.append((count, SLACK_SHARE * granted + SLACK))
    return windows


def _granted(chain: list[LimitSpan], from_s: float, to_s: float) -> float:
    """Return what a window allows; what lies before the first span counts as that one."""
    granted = chain[0].per_s * max(0.0, chain[0].from_s - from_s)
    for span in chain:
        granted += span.per_s * max(0.0, min(span.to_s, to_s) - max(span.from_s, from_s))
    return granted


def _told_times(history: SoakHistory, visits: Visits, first_s: float) -> list[float]:
    """Return when requests came from a router that had passed on an answer with the limit."""
    told_s = min((_passed_on_s(history, each, first_s) for each in visits.arrivals), default=NEVER)
    return [
        each.at_s
        for each in visits.arrivals
        if each.at_s > told_s + TOLD_S
        and is_bound(history, visits.router, each.at_s - WINDOW_S, each.at_s)
    ]


def _passed_on_s(history: SoakHistory, arrival: Arrival, first_s: float) -> float:
    """Return when a router had passed on an answer that names a limit, infinity if it has none."""
    record = history.records[arrival.request_id]
    is_whole = arrival.names_limit and arrival.outcome == "whole" and not arrival.is_prefill
    is_told = is_whole and record.outcome == "answered" and arrival.at_s >= first_s
    return record.end_s if is_told else NEVER
