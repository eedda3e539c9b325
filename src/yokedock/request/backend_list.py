"""The incarnations of all known backends, synchronised with the list that the platform publishes.

The list is received in full or as changes. An incarnation that is no longer listed is retained for
a while because requests to it may still be in progress and because it may be listed again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.state_source import BackendEntry
from yokedock.request.backend_incarnation import SLOWEST_WINDOW_S, Backend, incarnation_name
from yokedock.request.backend_limits import BackendLimits
from yokedock.request.backend_notices import NOTICE_RETENTION_S
from yokedock.request.list_restoration import NOTHING_APPLIED, AppliedHistory, ListRestoration
from yokedock.request.recent_maximum import RecentMaximum

_log = logger("backends")

BACKEND_RETENTION_S = 10.0
"""Retention time for the health data of a backend after it left: it may come back."""
MAX_SERVICES_MEASURED = 1_000
"""Services whose slowest responses are recorded."""


class BackendList:
    """Backends by incarnation name. ``on_change`` is called after every change of the list.

    ``on_restart`` is called with the previous incarnation when a backend has restarted.
    """

    def __init__(
        self, clock: Callable[[], float] = boot_time_s, limits: BackendLimits | None = None
    ) -> None:
        """Start empty; ``clock`` returns the boot time in seconds."""
        self.limits = limits or BackendLimits()
        self._clock = clock
        self._backends: dict[str, Backend] = {}
        self._newest: dict[str, Backend] = {}
        """The latest incarnation of each backend, by identifier."""
        self._members: dict[tuple[str, str | None], list[Backend]] | None = None
        """Backends by service and role, and by service alone; None after a change of the list."""
        self._slowest: dict[str, RecentMaximum] = {}
        """By service, the slowest recent response of all its backends, also of ended ones."""
        self._restoration = ListRestoration()
        self.on_change: Callable[[], None] = lambda: None
        self.on_restart: Callable[[Backend], None] = lambda backend: None

    def replace_all(self, entries: dict[str, BackendEntry]) -> None:
        """Replace the whole list: backends that are not in ``entries`` are gone.

        After ``restore_all``, backends within their grace period are kept.
        """
        is_missing = self._restoration.is_missing
        gone = [name for name in self._newest if name not in entries and not is_missing(name)]
        now_s = self._clock()
        for entry in entries.values():
            self._put(entry, now_s)
        self._remove(gone, now_s)

    def restore_all(
        self, entries: dict[str, BackendEntry], applied: AppliedHistory = NOTHING_APPLIED
    ) -> None:
        """Replace the whole list after its source has been restored from a backup.

        Backends that are not in it are kept for a grace period. An incarnation that was leaving or
        removed does not become ready through an entry of the backup. An entry that ``applied``
        contains, of a backend that is not listed here, counts as removed before the restore.
        """
        now_s = self._clock()
        listed = {instance for instance, backend in self._newest.items() if backend.is_listed}
        self._restoration.begin(listed, entries, now_s)
        for entry in entries.values():
            name = self._incarnation_name_of(entry)
            if entry.instance not in listed and applied.contains(entry):
                self._restoration.record_withdrawal(name, False, entry.revision, now_s)
            self._restoration.hold(name, now_s)
        self.replace_all(entries)

    def update(self, changed: Iterable[BackendEntry], gone: Iterable[str]) -> None:
        """Apply changes that were written to the source."""
        now_s = self._clock()
        for entry in changed:
            self._restoration.release(self._incarnation_name_of(entry))
            self._put(entry, now_s)
        self._remove(gone, now_s)

    def apply_restoration_timeouts(self) -> None:
        """Remove missing backends after their grace period, and use confirmed ones again."""
        now_s = self._clock()
        expired = self._restoration.pop_expired_missing(now_s)
        held = (self._backends.get(name) for name in self._restoration.pop_confirmed(now_s))
        confirmed = [backend for backend in held if backend is not None and backend.is_listed]
        for backend in confirmed:
            backend.record_listed()
        if expired or confirmed:
            names = [backend.name for backend in confirmed]
            _log.info("restored list reconciled", gone=expired, back=names)
            self._remove(expired, now_s)

    def drop_expired_backends(self) -> None:
        """Drop idle backends that left long ago, and limits that have ended."""
        self.apply_restoration_timeouts()
        now_s = self._clock()
        for name, backend in list(self._backends.items()):
            backend.limit.discard_if_ended(now_s)
            has_active_notices = not backend.has_ended and backend.notices.has_active_notices(now_s)
            oldest_s = now_s - (NOTICE_RETENTION_S if has_active_notices else BACKEND_RETENTION_S)
            since_s = backend.unlisted_since_s
            is_expired = not backend.is_listed and since_s is not None and since_s < oldest_s
            if is_expired and not backend.outstanding:
                del self._backends[name]
                self._members = None
                if self._newest.get(backend.entry.instance) is backend:
                    del self._newest[backend.entry.instance]
        listed = {backend.name for backend in self._newest.values() if backend.is_listed}
        self._restoration.drop_expired(listed, now_s)

    def now_s(self) -> float:
        """Return the current time of the clock used for all backends (boot time)."""
        return self._clock()

    def lives(self) -> Iterable[Backend]:
        """Return all known incarnations, including those that ended recently."""
        return self._backends.values()

    def get(self, name: str) -> Backend | None:
        """Return a backend by its incarnation name."""
        return self._backends.get(name)

    def names(self) -> set[str]:
        """Return the names of all known incarnations, including those that ended recently."""
        return set(self._backends)

    def withdrawal_count(self) -> int:
        """Return the number of withdrawals and missing backends that are kept."""
        return self._restoration.size()

    def entries(self) -> dict[str, BackendEntry]:
        """Return all listed entries by identifier, without backends in their grace period."""
        return {
            instance: backend.entry
            for instance, backend in self._newest.items()
            if backend.is_listed and not self._restoration.is_missing(instance)
        }

    def members(self, service: str, role: str | None = None) -> list[Backend]:
        """Return all known backends of a service; cached until the next change."""
        if self._members is None:
            self._members = {}
            for backend in self._backends.values():
                entry = backend.entry
                for key in ((entry.service, None), (entry.service, entry.role)):
                    self._members.setdefault(key, []).append(backend)
        return self._members.get((service, role), [])

    def _remove(self, gone: Iterable[str], now_s: float) -> None:
        """Mark backends as no longer listed, and call ``on_change``."""
        self._members = None
        for instance in gone:
            self._restoration.clear_missing(instance)
            backend = self._newest.get(instance)
            if backend is None:
                continue
            self._restoration.record_withdrawal(backend.name, False, backend.entry.revision, now_s)
            backend.is_listed = False
            backend.record_unlisted(now_s)
        self.on_change()

    def _incarnation_name_of(self, entry: BackendEntry) -> str:
        """Return the incarnation name of an entry: the latest known one if it has no start time."""
        newest = self._newest.get(entry.instance)
        return newest.name if newest is not None and not entry.born_ms else incarnation_name(entry)

    def _put(self, entry: BackendEntry, now_s: float) -> None:
        before = self._newest.get(entry.instance)
        if before is not None and 0 < entry.born_ms < before.entry.born_ms:
            # A delayed entry of a previous incarnation says nothing about the current one.
            _log.info(
                "ignored entry of an earlier incarnation",
                backend=before.name,
                born_ms=entry.born_ms,
            )
            return
        if before is not None and not entry.born_ms:
            entry = msgspec.structs.replace(entry, born_ms=before.entry.born_ms)
        is_known = before is not None and before.entry.born_ms == entry.born_ms
        backend = before if before is not None and is_known else self._begin(entry, before, now_s)
        self._restoration.clear_missing(entry.instance)
        if entry.is_leaving:
            self._restoration.record_withdrawal(backend.name, True, backend.entry.revision, now_s)
        elif self._restoration.is_held(backend.name, entry.revision):
            is_leaving = self._restoration.is_leaving(backend.name)
            entry = msgspec.structs.replace(entry, is_leaving=is_leaving)
        else:
            self._restoration.clear_withdrawal(backend.name)
            backend.entry = entry
            backend.record_listed()
            return
        backend.entry = entry
        backend.is_listed = True
        if not is_known:
            # It is unknown how long it has been leaving, so the grace period may already be over.
            backend.record_gone(now_s)
        backend.record_unlisted(now_s)

    def _slowest_of(self, service: str) -> RecentMaximum:
        """Return the record of a service's slowest response; those of old services are dropped."""
        if service not in self._slowest and len(self._slowest) >= MAX_SERVICES_MEASURED:
            del self._slowest[next(iter(self._slowest))]
        return self._slowest.setdefault(service, RecentMaximum(SLOWEST_WINDOW_S))

    def _begin(self, entry: BackendEntry, before: Backend | None, now_s: float) -> Backend:
        """Add a new incarnation, initialised from the previous one if there is one."""
        backend = Backend(entry, now_s, self.limits)
        backend.health.slowest_s = self._slowest_of(entry.service)
        self._backends[backend.name] = self._newest[entry.instance] = backend
        if before is not None:
            backend.take_over_from(before)
            before.is_listed = False
            before.record_gone(now_s)
            before.end(entry.born_ms)
            _log.info(
                "backend started anew",
                backend=backend.name,
                lived_s=round(now_s - before.known_s, 1),
                restarts=backend.restarts,
            )
            self.on_restart(before)
        return backend
