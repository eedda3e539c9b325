"""Prompt parts that crash the engines which begin to write an answer on them: their judgement."""

from __future__ import annotations

import collections
import math

from yokedock_emulator.router_soak.soak_records import (
    BOUND_S,
    STREAMS,
    Arrival,
    ClientRecord,
    SoakHistory,
)

CRASHING_PREFIX = "crashing-"
"""Begins the names of parts that crash engines."""
FIRST_PARTS = ("first-0", "first-1", "first-2")
MIDDLE_PARTS = ("middle-0", "middle-1")
KNOWN_CRASHES = 5
"""After so many crashes under one part, it is known for what it is."""
MOST_LATER = 3
"""Requests with it that routers in touch may still send, more than ``BOUND_S`` after that."""
LEAST_HARMLESS = 20
"""Harmless requests that are compared, at least, during the time and outside of it."""
LEAST_SHARE = 0.5
"""Least share of them that must begin, of the share outside of it."""
QUARANTINED = b"request_quarantined"


def crashing_part(parts: tuple[str, ...]) -> str | None:
    """Return the part that crashes engines, if there is one."""
    return next((part for part in parts if part.startswith(CRASHING_PREFIX)), None)


def part_violations(history: SoakHistory) -> list[tuple[str, str, str]]:
    """Return broken rules: the rule, what was seen, and the id of a request that shows it."""
    found = []
    for part, arrivals in _by_part(history).items():
        crashes_s = crash_times_s(arrivals)
        if len(crashes_s) >= KNOWN_CRASHES:
            known_s = crashes_s[KNOWN_CRASHES - 1]
            later = [each for each in arrivals if _is_late(history, each, known_s)]
            if len(later) > MOST_LATER:
                text = f"{part} was sent {len(later)} times more, {len(crashes_s)} engines ended"
                found.append(("BUDGET", text, later[MOST_LATER].request_id))
        found += [("LOST", text, "") for text in _harmless_refused(history, part, crashes_s)]
    return found


def most_part_crashes(history: SoakHistory) -> int:
    """Return the most engines that ended under one part."""
    counts = [len(crash_times_s(arrivals)) for arrivals in _by_part(history).values()]
    return max(counts, default=0)


def blamed_harmless(history: SoakHistory) -> int:
    """Return how many harmless requests were refused as if they crashed backends."""
    return sum(
        each.is_refused_as_harmful and crashing_part(each.parts) is None and not each.is_poison
        for each in history.records.values()
    )


def crash_times_s(arrivals: list[Arrival]) -> list[float]:
    """Return when engines ended under these requests, each engine once."""
    crashes: dict[int, float] = {}
    for arrival in arrivals:
        if arrival.has_run and arrival.is_own_end and arrival.has_crashed_backend:
            crashes.setdefault(arrival.backend_incarnation, arrival.at_s)
    return sorted(crashes.values())


def _by_part(history: SoakHistory) -> dict[str, list[Arrival]]:
    """Return the arrivals of requests with each crashing part in order of time."""
    found: dict[str, list[Arrival]] = collections.defaultdict(list)
    for arrival in sorted(history.arrivals, key=lambda each: each.at_s):
        record = history.records.get(arrival.request_id)
        part = None if record is None else crashing_part(record.parts)
        if part is not None and arrival.outcome != "misdirected":
            found[part].append(arrival)
    return found


def _is_late(history: SoakHistory, arrival: Arrival, known_s: float) -> bool:
    """Return whether a router in touch sent it later than the bound allows."""
    record = history.records[arrival.request_id]
    life = history.lives[record.router, record.life]
    return history.was_in_touch(life, known_s, arrival.at_s)


def _harmless_refused(history: SoakHistory, part: str, crashes_s: list[float]) -> list[str]:
    """Return what is wrong if harmless requests with the same first part seldom begin."""
    harmful = [each for each in history.records.values() if part in each.parts]
    firsts = {each.parts[0] for each in harmful}
    if not crashes_s:
        return []
    from_s = crashes_s[:KNOWN_CRASHES][-1] + 2 * BOUND_S
    until_s = max(each.sent_s for each in harmful)
    harmless = [each for each in history.records.values() if _is_compared(history, each, firsts)]
    during = [each for each in harmless if from_s <= each.sent_s <= until_s]
    first_s = min(each.sent_s for each in harmful)
    outside = [each for each in harmless if each.sent_s < first_s]
    if min(len(during), len(outside)) < LEAST_HARMLESS:
        return []
    if _begun_share(during) >= LEAST_SHARE * _begun_share(outside):
        return []
    return [f"{_begun_share(during):.2f} of harmless requests began while {part} came"]


def _is_compared(history: SoakHistory, record: ClientRecord, firsts: set[str]) -> bool:
    if record.route.kind not in STREAMS or not record.parts or record.parts[0] not in firsts:
        return False
    if record.is_poison or crashing_part(record.parts) or record.last_event_id:
        return False
    life = history.lives[record.router, record.life]
    return history.was_in_touch(life, -math.inf, record.sent_s)


def _begun_share(records: list[ClientRecord]) -> float:
    return sum(each.status == 200 for each in records) / len(records)
