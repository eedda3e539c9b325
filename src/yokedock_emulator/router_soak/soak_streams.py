"""Judges streams that callers resume: at which software version, and how many go on."""

from __future__ import annotations

import collections
import dataclasses
import math

import msgspec

from yokedock_emulator.router_soak.soak_parts import crashing_part
from yokedock_emulator.router_soak.soak_records import (
    BOUND_S,
    STREAMS,
    ClientRecord,
    SoakHistory,
)

MIN_RESUMED = 12
"""Resumed streams from which their share is judged."""
MIN_SHARE = 0.5
"""Least share of resumed streams that go on, as a part of the share of new ones that begin."""
MIN_SHARE_AFTER_ALL_KILLED = 0.9
"""Least share of those resumed after all routers were killed, of all that are judged."""
MIN_RESUMED_AFTER_ALL_KILLED = 10
"""Such streams from which their share is judged."""
MIN_SHARE_AT_ROLLOUTS = 0.9
"""Least share of those resumed where versions are rolled out, of all that are judged."""
MIN_RESUMED_AT_ROLLOUTS = 10
"""Such streams from which their share is judged."""
MIN_ENGINES = 2
"""Engines of their version that serve, so that a resumed stream counts."""
HTTP_OK = 200
IN_TOUCH_S = BOUND_S + 0.1


def order_violations(history: SoakHistory) -> list[tuple[str, str]]:
    """Return streams that hold events of several software versions, over all of their requests."""
    versions: dict[str, set[str]] = collections.defaultdict(set)
    for record in history.records.values():
        versions[record.first_request or record.request_id] |= record.versions
    return [
        (f"the stream holds events of {sorted(found)}", stream)
        for stream, found in versions.items()
        if len(found) > 1
    ]


def lost_stream_violations(history: SoakHistory) -> list[str]:
    """Return that too few of the resumed streams went on, if so."""
    resumed, fresh = [], []
    for record in history.records.values():
        if not _is_judged(history, record, record.sent_s - IN_TOUCH_S):
            continue
        if not record.last_event_id:
            fresh.append(record.events > 0)
        elif _has_engines(history, record):
            resumed.append(_went_on(record))
    if len(resumed) < MIN_RESUMED or not fresh:
        return []
    went_on, began = sum(resumed) / len(resumed), sum(fresh) / len(fresh)
    if went_on >= MIN_SHARE * began:
        return []
    return [f"{went_on:.2f} of {len(resumed)} resumed streams went on, {began:.2f} of new ones"]


@dataclasses.dataclass
class ResumedAfterKill:
    """Counts of streams that were resumed for the first time after a kill of all routers."""

    resumed: int = 0
    went_on: int = 0
    judged: int = 0
    """Those at a router that was in touch again, while engines of their version served."""
    judged_went_on: int = 0


def all_killed_violations(history: SoakHistory) -> list[str]:
    """Return that too few of the streams resumed after a kill of all routers went on, if so."""
    counts = resumed_after_all_killed(history)
    least = MIN_SHARE_AFTER_ALL_KILLED * counts.judged
    if counts.judged < MIN_RESUMED_AFTER_ALL_KILLED or counts.judged_went_on >= least:
        return []
    return [
        f"{counts.judged_went_on} of {counts.judged} streams went on "
        "that were resumed after all routers were killed"
    ]


def resumed_after_all_killed(history: SoakHistory) -> ResumedAfterKill:
    """Count the streams all of whose earlier attempts were sent before a kill of all routers."""
    last_sent_s: dict[str, float] = {}
    counts = ResumedAfterKill()
    for record in sorted(history.records.values(), key=lambda record: record.sent_s):
        stream = record.first_request or record.request_id
        before_s = last_sent_s.get(stream, record.sent_s)
        last_sent_s[stream] = record.sent_s
        kills_s = [s for s in history.all_routers_killed_s if before_s < s <= record.sent_s]
        # A killed process may take connections until it has ended.
        if not kills_s or history.lives[record.router, record.life].started_s < kills_s[-1]:
            continue
        counts.resumed += 1
        counts.went_on += _went_on(record)
        if _is_judged(history, record, kills_s[-1]) and _has_engines(history, record):
            counts.judged += 1
            counts.judged_went_on += _went_on(record)
    return counts


class ResumedAtRollouts(msgspec.Struct):
    """Counts of streams that were resumed while versions were rolled out."""

    out_of_step: int = 0
    """Those resumed at a router that was out of step, or not in touch again."""
    out_of_step_went_on: int = 0
    served: int = 0
    """Those whose version was served all the time, whatever had happened to the router."""
    served_went_on: int = 0
    judged: int = 0
    """Those of them that were begun and resumed at routers in touch, by callers that name the first
    request."""
    judged_went_on: int = 0


def rollout_violations(history: SoakHistory) -> list[str]:
    """Return that too few of the streams resumed where versions are rolled out went on, if so."""
    counts = resumed_at_rollouts(history)
    least = MIN_SHARE_AT_ROLLOUTS * counts.judged
    if counts.judged < MIN_RESUMED_AT_ROLLOUTS or counts.judged_went_on >= least:
        return []
    return [
        f"{counts.judged_went_on} of {counts.judged} streams went on "
        "that were resumed while versions were rolled out"
    ]


def resumed_at_rollouts(history: SoakHistory) -> ResumedAtRollouts:
    """Count the streams resumed after the first rollout; nothing is counted without one."""
    counts = ResumedAtRollouts()
    first_s = min(history.rollouts_s, default=math.inf)
    for record in history.records.values():
        first = history.records.get(record.first_request)
        if first is None or record.sent_s < first_s or record.outcome == "left":
            continue
        went_on = _went_on(record)
        is_in_touch = _is_judged(history, record, record.sent_s - IN_TOUCH_S)
        counts.out_of_step += not is_in_touch
        counts.out_of_step_went_on += went_on and not is_in_touch
        if not _has_engines(history, record):
            continue
        counts.served += 1
        counts.served_went_on += went_on
        if is_in_touch and not record.omits_first_request and _began_in_step(history, first):
            counts.judged += 1
            counts.judged_went_on += went_on
    return counts


def _began_in_step(history: SoakHistory, first: ClientRecord) -> bool:
    """Return whether the router that began a stream was able to record its version elsewhere."""
    life = history.lives[first.router, first.life]
    return not any(
        from_s <= first.end_s and first.sent_s - BOUND_S <= until_s
        for from_s, until_s in (*life.freezes, *life.cuts)
    )


def resumed_streams(history: SoakHistory) -> tuple[int, int]:
    """Return how many streams callers resumed, and how many of these went on."""
    resumed = [record for record in history.records.values() if record.last_event_id]
    return len(resumed), sum(_went_on(record) for record in resumed)


def _went_on(record: ClientRecord) -> bool:
    """Return whether a resumed stream brought another event or its end."""
    return record.events > record.last_event_id or record.status == HTTP_OK


def _is_judged(history: SoakHistory, record: ClientRecord, since_s: float) -> bool:
    """Return whether a router took the request that was in touch since, and its caller waited."""
    is_stream = record.route.kind in STREAMS and not (
        record.is_poison or crashing_part(record.parts)
    )
    if not is_stream or record.outcome == "left" or record.status == 404:
        return False
    life = history.lives[record.router, record.life]
    return history.was_in_touch(life, since_s, record.sent_s)


def _has_engines(history: SoakHistory, record: ClientRecord) -> bool:
    """Return whether enough engines of the stream's version served while it was resumed.

    Streams of engines that do not state their version need not go on.
    """
    first = history.records.get(record.first_request)
    if first is None or len(first.versions) != 1:
        return False
    (version,) = first.versions
    if version in history.unstated_versions:
        return False
    return history.least_engines(version, record.sent_s - IN_TOUCH_S, record.end_s) >= MIN_ENGINES
