"""Whether the extra arrivals at each service stayed within the fleet's retry budget."""

from __future__ import annotations

import bisect
import collections

from yokedock_emulator.router_soak.soak_fleet import RETRY_ALLOWANCE, RETRY_RATIO, RETRY_WINDOW_S
from yokedock_emulator.router_soak.soak_records import SoakHistory


def budget_violations(history: SoakHistory) -> list[str]:
    """Return the worst window of each service that went over the budget."""
    sent: dict[str, list[float]] = collections.defaultdict(list)
    for record in history.records.values():
        sent[record.route.service].append(record.sent_s)
    found = []
    for service, extras in _extra_arrivals(history).items():
        requests = sorted(sent[service])
        over = [(*_window(extras, requests, end_s), end_s) for end_s in extras]
        count, budget, _ = max(over, key=lambda window: window[0] - window[1])
        if count > budget:
            found.append(f"{service}: {count} extra arrivals in a window, budget {budget:.1f}")
    return found


def most_of_budget(history: SoakHistory) -> float:
    """Return the largest share of the budget that was used in any window of any service."""
    sent: dict[str, list[float]] = collections.defaultdict(list)
    for record in history.records.values():
        sent[record.route.service].append(record.sent_s)
    shares = [0.0]
    for service, extras in _extra_arrivals(history).items():
        for end_s in extras:
            count, budget = _window(extras, sorted(sent[service]), end_s)
            shares.append(count / budget)
    return max(shares)


def _window(extras: list[float], requests: list[float], end_s: float) -> tuple[int, float]:
    """Return the extra arrivals and the budget of the window that ends at ``end_s``.

    Requests are counted in this window, the one before, or the one half a window before.
    """
    count = _between(extras, end_s - RETRY_WINDOW_S, end_s)
    most = max(
        _between(requests, end_s - (back + 1) * RETRY_WINDOW_S, end_s - back * RETRY_WINDOW_S)
        for back in (0.0, 0.5, 1.0)
    )
    return count, RETRY_RATIO * most + RETRY_ALLOWANCE


def _between(times: list[float], start_s: float, end_s: float) -> int:
    return bisect.bisect_right(times, end_s) - bisect.bisect_left(times, start_s)


def _extra_arrivals(history: SoakHistory) -> dict[str, list[float]]:
    """Return when arrivals beyond the first of each request came, by service, in order of time.

    The first call that only has the prompt read is none.
    """
    services = {record.request_id: record.route.service for record in history.records.values()}
    seen: set[tuple[str, bool]] = set()
    extras: dict[str, list[float]] = collections.defaultdict(list)
    for arrival in history.arrivals:
        key = (arrival.request_id, arrival.is_prefill)
        if key in seen:
            extras[services.get(arrival.request_id, arrival.service)].append(arrival.at_s)
        seen.add(key)
    return extras
