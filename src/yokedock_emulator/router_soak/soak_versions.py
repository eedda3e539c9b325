"""Which configurations a router may have had in force, by what it did with requests."""

from __future__ import annotations

import bisect
import collections

from yokedock_emulator.router_soak.soak_records import ClientRecord, RouterLife, SoakHistory


def version_violations(history: SoakHistory) -> list[tuple[str, str]]:
    """Return what no configuration explains that could be in force, with the request's id."""
    by_life: dict[tuple[int, int], list[ClientRecord]] = collections.defaultdict(list)
    for record in history.records.values():
        if record.status is not None:
            by_life[record.router, record.life].append(record)
    found = []
    for key, records in by_life.items():
        found += _of_life(history, history.lives[key], records)
    return found


def _of_life(
    history: SoakHistory, life: RouterLife, records: list[ClientRecord]
) -> list[tuple[str, str]]:
    found: list[tuple[str, str]] = []
    seen = _Seen()
    for record in sorted(records, key=lambda record: record.end_s):
        is_served = record.status in (200, 500)
        if not is_served and record.status != 404:
            continue
        due = _due(history, life, record.sent_s)
        least = max(due, seen.version_before(record.sent_s))
        newest = max(
            (v for v, at_s in history.published_s.items() if at_s <= record.end_s), default=0
        )
        possible = [v for v in range(least, newest + 1) if record.route.is_in(v) == is_served]
        if possible:
            seen.note(record.end_s, possible[0])
            continue
        text = f"status {record.status} on {record.route.name}, in force were {least} to {newest}"
        if due < least:
            text += f" (version {least} was in force here before, {due} was due)"
        found.append((text, record.request_id))
    return found


def _due(history: SoakHistory, life: RouterLife, at_s: float) -> int:
    """Return the newest version that must be in force by then."""
    due = [v for v, s in history.published_s.items() if history.was_in_touch(life, s, at_s)]
    return max(due, default=1)


class _Seen:
    """Versions that a router has shown to be in force, by when."""

    def __init__(self) -> None:
        """Start with none."""
        self._times: list[float] = []
        self._versions: list[int] = []

    def note(self, at_s: float, version: int) -> None:
        """Note that at least ``version`` was in force; ``at_s`` only grows."""
        if not self._versions or version > self._versions[-1]:
            self._times.append(at_s)
            self._versions.append(version)

    def version_before(self, at_s: float) -> int:
        """Return the newest version shown before ``at_s``."""
        place = bisect.bisect_left(self._times, at_s)
        return self._versions[place - 1] if place else 1
