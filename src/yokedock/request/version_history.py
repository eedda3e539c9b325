"""Which software versions of each service were listed, and when.

If only one version of a service was listed for longer than a stream may last, it began the stream.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from yokedock.base.clock import boot_time_s
from yokedock.connection.state_source import BackendEntry
from yokedock.request.software_version import UNKNOWN_VERSION, version_number

RETENTION_S = 600.0
"""Versions that were last listed longer ago are dropped."""
MAX_FIRST_LIST_S = 10.0
"""Time from the first start of the fleet in which no version has been listed and removed again."""


class VersionHistory:
    """The listed versions of each service, as observed by one router without interruption."""

    def __init__(self, clock: Callable[[], float] = boot_time_s) -> None:
        """Start without observations."""
        self._clock = clock
        self._created_s = clock()
        self._listed: dict[str, set[int]] = {}
        self._last_listed_s: dict[str, dict[int, float]] = {}
        """By service, the versions that are no longer listed, and when they last were."""
        self._since_s = math.inf
        """Start of the uninterrupted observation (boot time, s)."""

    def begin(self, is_first_start: bool) -> None:
        """Begin the observation; before the first start of the fleet there were no streams.

        A router that gets its first list late has missed what others were told before.
        """
        now_s = self._clock()
        if self._since_s == math.inf:
            is_whole = is_first_start and now_s - self._created_s <= MAX_FIRST_LIST_S
            self._since_s = -math.inf if is_whole else now_s

    def interrupt(self) -> None:
        """Begin anew: versions may have been listed that this router has missed."""
        if self._since_s != math.inf:
            self._since_s = self._clock()

    def update(self, entries: Iterable[BackendEntry]) -> None:
        """Apply the current list."""
        now_s = self._clock()
        listed: dict[str, set[int]] = {}
        for entry in entries:
            number = version_number(entry.service, entry.version)
            listed.setdefault(entry.service, set()).add(number)
        for service, versions in self._listed.items():
            for gone in versions - listed.get(service, set()):
                self._last_listed_s.setdefault(service, {})[gone] = now_s
        self._listed = listed

    def sole_version(self, service: str, max_age_s: float) -> int | None:
        """Return the only version that was listed in the last ``max_age_s``; None if unknown."""
        if self._since_s > self._clock() - max_age_s:
            return None
        versions = self._listed_within(service, max_age_s)
        if len(versions) != 1 or UNKNOWN_VERSION in versions:
            return None
        return versions.pop()

    def has_listed_several(self, service: str, max_age_s: float) -> bool:
        """Return whether several versions are known to have been listed in the last ``max_age_s``.

        That holds whatever this router has missed.
        """
        return len(self._listed_within(service, max_age_s)) > 1

    def _listed_within(self, service: str, max_age_s: float) -> set[int]:
        first_s = self._clock() - max_age_s
        last_listed_s = self._last_listed_s.get(service, {})
        gone = {version for version, last_s in last_listed_s.items() if last_s >= first_s}
        return gone | self._listed.get(service, set())

    def listed(self, service: str) -> frozenset[int]:
        """Return the versions that are listed now."""
        return frozenset(self._listed.get(service, ()))

    def drop_expired(self) -> None:
        """Remove versions that were last listed long ago; the observation begins after them."""
        oldest_s = self._clock() - RETENTION_S
        for service, last_listed_s in list(self._last_listed_s.items()):
            for version in [v for v, last_s in last_listed_s.items() if last_s < oldest_s]:
                self._since_s = max(self._since_s, last_listed_s.pop(version))
            if not last_listed_s:
                del self._last_listed_s[service]

    def size(self) -> int:
        """Return the number of versions that are kept."""
        kept = [*self._listed.values(), *self._last_listed_s.values()]
        return sum(len(versions) for versions in kept)
