"""The users' rule on routers that get most new connections.

From the bound on, requests that the router has read are served at least three quarters as often as
in the seconds before, and it goes on to take new connections.
"""

from __future__ import annotations

import collections
import itertools

from yokedock_emulator.router_soak.soak_records import BOUND_S, ClientRecord, SoakHistory

BEFORE_S = 5.0
"""Time before a span that it is compared with."""
LEAST_SHARE = 0.75
LEAST_REQUESTS = 20
"""With fewer requests nothing is judged."""
LEAST_TRIES = 7
"""Tries to open a connection that a router must not all leave."""
SERVED_STATUSES = (200, 404, 500)
"""A backend's own failure, and the truth about a route that is gone, count as served."""


def uneven_violations(history: SoakHistory) -> list[str]:
    """Return a description of each violation."""
    found = []
    arrived = history.arrived()
    for router, from_s, to_s in history.uneven_spans:
        records = [each for each in history.records.values() if each.router == router]
        found += _served_less_often(arrived, records, from_s, to_s)
        found += _takes_nothing(arrived, records, from_s, to_s)
    return found


def _served_less_often(
    arrived: frozenset[str], records: list[ClientRecord], from_s: float, to_s: float
) -> list[str]:
    before = _read(arrived, records, from_s - BEFORE_S, from_s)
    during = _read(arrived, records, from_s + BOUND_S, to_s)
    if min(len(before), len(during)) < LEAST_REQUESTS:
        return []
    before_share, share = _served_share(before), _served_share(during)
    if share >= LEAST_SHARE * before_share:
        return []
    answers = collections.Counter(str(each.status or each.outcome) for each in during)
    return [
        f"router {records[0].router} served {share:.2f} of {len(during)} requests that it read "
        f"while it got most connections, {before_share:.2f} of {len(before)} before: "
        f"{dict(answers)}"
    ]


def _takes_nothing(
    arrived: frozenset[str], records: list[ClientRecord], from_s: float, to_s: float
) -> list[str]:
    """Return the spans of the bound's length in which all of several new connections were left."""
    opened = [each for each in records if each.is_first and from_s <= each.sent_s < to_s]
    taken_s = [each.sent_s for each in opened if not _is_unread(arrived, each)]
    ends = [from_s, *sorted(taken_s), to_s]
    found = []
    for last_s, next_s in itertools.pairwise(ends):
        tries = sum(last_s < each.sent_s < next_s for each in opened)
        if next_s - last_s > BOUND_S and tries >= LEAST_TRIES:
            found.append(f"router {records[0].router} left {tries} new connections in a row")
    return found


def _read(
    arrived: frozenset[str], records: list[ClientRecord], from_s: float, to_s: float
) -> list[ClientRecord]:
    """Return the requests sent in a span that the router has read and the caller waited for."""
    return [
        each
        for each in records
        if from_s <= each.sent_s < to_s
        and each.outcome != "left"
        and not each.is_poison
        and not _is_unread(arrived, each)
    ]


def _is_unread(arrived: frozenset[str], record: ClientRecord) -> bool:
    return record.is_unread and record.request_id not in arrived


def _served_share(records: list[ClientRecord]) -> float:
    served = sum(each.outcome == "answered" and each.status in SERVED_STATUSES for each in records)
    return served / len(records)
