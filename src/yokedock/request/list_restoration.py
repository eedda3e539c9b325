"""Reconciles the list of backends after its source has been restored from a backup.

The backup lacks the latest changes: a backend that is missing from it may be written again shortly,
and one that is ready in it may have announced that it leaves, or have been removed, since.
"""

from __future__ import annotations

from collections.abc import Container, Iterable

import msgspec

from yokedock.connection.state_source import BackendEntry

MISSING_GRACE_S = 2.2
"""How long a backend that the backup lacks stays listed: running backends write their entries again
within about 2 s, and 0.2 s are allowed until the router receives that."""
REMOVED_HOLD_S = 6.0
"""A removed backend is used again if its restored entry stays listed for this long: without
heartbeats an entry expires after three intervals, 3.6 s."""
WITHDRAWAL_RETENTION_S = 60.0
"""How long a withdrawal is kept. It must exceed the age of a backup."""


class Withdrawal(msgspec.Struct, frozen=True):
    """A leaving state or a removal that the list reported of one incarnation."""

    reported_s: float
    """When it was last reported (boot time)."""
    is_leaving: bool
    """Whether the backend announced that it leaves; otherwise its entry was only removed."""
    revision: int
    """Revision of the entry before the withdrawal: entries of a backup have no higher one."""


class AppliedHistory(msgspec.Struct, frozen=True):
    """The part of the source's history that a router had applied before a restore."""

    revision: int = 0
    """The last revision that was applied."""
    applied_ms: int = 0
    """When it was applied (wall clock)."""

    def contains(self, entry: BackendEntry) -> bool:
        """Return whether a restored entry was written within this history.

        Revisions are assigned again after a restore, so the incarnation must also have started
        before ``applied_ms``. False for an entry without the start time of its incarnation.
        """
        return entry.revision <= self.revision and 0 < entry.born_ms <= self.applied_ms


NOTHING_APPLIED = AppliedHistory()


class ListRestoration:
    """Tracks withdrawals, and the entries that are unconfirmed after a restore, in boot time."""

    def __init__(self) -> None:
        """Start empty."""
        self._withdrawn: dict[str, Withdrawal] = {}
        """By incarnation name."""
        self._missing: dict[str, float] = {}
        """Until when backends that the backup lacks stay listed, by identifier."""
        self._held: dict[str, float] = {}
        """Since when a restored entry lists a withdrawn incarnation as ready, by its name."""

    def record_withdrawal(self, name: str, is_leaving: bool, revision: int, now_s: float) -> None:
        """Record that the list reports an incarnation as leaving, or no longer contains it.

        ``revision`` is that of its last ready entry, or of its first known entry. Ends the hold of
        the incarnation because the list confirms the withdrawal.
        """
        self._held.pop(name, None)
        before = self._withdrawn.get(name)
        if before is None:
            self._withdrawn[name] = Withdrawal(now_s, is_leaving, revision)
            return
        is_leaving = is_leaving or before.is_leaving
        self._withdrawn[name] = Withdrawal(now_s, is_leaving, before.revision)

    def clear_withdrawal(self, name: str) -> None:
        """Drop the withdrawal of an incarnation that is listed as ready again."""
        self._withdrawn.pop(name, None)
        self._held.pop(name, None)

    def release(self, name: str) -> None:
        """Stop holding an incarnation whose entry was written after the restore."""
        self._held.pop(name, None)

    def begin(self, listed: Iterable[str], restored: Container[str], now_s: float) -> None:
        """Start the grace period of the ``listed`` backends that are not in ``restored``."""
        until_s = now_s + MISSING_GRACE_S
        self._missing = {instance: until_s for instance in listed if instance not in restored}

    def hold(self, name: str, now_s: float) -> None:
        """Keep an incarnation from the restored list out of use if it was withdrawn before.

        Each restore starts the hold time again.
        """
        if name in self._withdrawn:
            self._held[name] = now_s

    def is_held(self, name: str, revision: int) -> bool:
        """Return whether an incarnation stays withdrawn although its entry is ready.

        An entry with a higher ``revision`` than before the withdrawal was written after the
        restore.
        """
        return name in self._held and revision <= self._withdrawn[name].revision

    def is_leaving(self, name: str) -> bool:
        """Return whether an incarnation announced that it leaves, and has not been ready since."""
        withdrawal = self._withdrawn.get(name)
        return withdrawal is not None and withdrawal.is_leaving

    def is_missing(self, instance: str) -> bool:
        """Return whether a backend is missing from the backup and within its grace period."""
        return instance in self._missing

    def clear_missing(self, instance: str) -> None:
        """End the grace period of a backend that the list reports on again."""
        self._missing.pop(instance, None)

    def pop_expired_missing(self, now_s: float) -> list[str]:
        """Remove and return the backends whose grace period has ended."""
        expired = [instance for instance, until_s in self._missing.items() if now_s >= until_s]
        for instance in expired:
            del self._missing[instance]
        return expired

    def pop_confirmed(self, now_s: float) -> list[str]:
        """Remove and return the names of removed incarnations with entries that did not expire."""
        confirmed = [
            name
            for name, since_s in self._held.items()
            if now_s - since_s >= REMOVED_HOLD_S and not self.is_leaving(name)
        ]
        for name in confirmed:
            del self._held[name]
            del self._withdrawn[name]
        return confirmed

    def drop_expired(self, listed: Container[str], now_s: float) -> None:
        """Drop expired withdrawals of incarnations that are not in ``listed``, by name."""
        oldest_s = now_s - WITHDRAWAL_RETENTION_S
        for name, withdrawal in list(self._withdrawn.items()):
            if withdrawal.reported_s < oldest_s and name not in listed:
                del self._withdrawn[name]
                self._held.pop(name, None)

    def size(self) -> int:
        """Return the number of withdrawals and missing backends."""
        return len(self._withdrawn) + len(self._missing)
