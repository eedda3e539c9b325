"""One incarnation of a backend, and its health as seen in its responses.

A backend may restart under the same identifier. Its state is lost then, so everything that is known
of it belongs to one incarnation and is discarded with it.
"""

from __future__ import annotations

import math

import msgspec

from yokedock.base.ordered_set import OrderedSet
from yokedock.connection.backend_connection import BackendConnection
from yokedock.connection.dialect import BackendLoad, ResponseMetadata
from yokedock.connection.state_source import BackendEntry
from yokedock.request.backend_latency import BackendLatency
from yokedock.request.backend_limits import BackendLimits
from yokedock.request.backend_notices import BackendNotices
from yokedock.request.poison_requests import incarnation_number
from yokedock.request.recent_maximum import RecentMaximum
from yokedock.request.software_version import version_number
from yokedock.router_errors import BackendNotAccepting

MIN_STABLE_UPTIME_S = 30.0
"""An incarnation that is replaced after less than this time counts as one step of a crash loop."""
MAX_CLOCK_SKEW_MS = 250
"""Maximum difference between the wall clocks of two machines. A connection that was opened less
than this before the next incarnation started isn't aborted: the silence timeouts end it, for a
stream after at most 1.2 s."""
MAX_COUNTED_RESTARTS = 5
"""Number of crash loop steps after which the initial failure rate grows no further: it is 0.97
then, and halves every 4 s."""
UNLISTED_GRACE_S = 1.0
"""A backend that disappeared from the list without notice may still be used as a last resort for
this long: entries that expired because the list itself was unavailable reappear soon."""
LEAVING_GRACE_S = 1.0
"""The same for a backend that announced that it is leaving, if no other is available."""
INITIAL_SUSPICION_S = 1.0
"""A backend that refused a connection or didn't respond is avoided for this long; the time doubles
with each repetition."""
MAX_SUSPICION_S = 4.0
FAILURE_EWMA_WEIGHT = 0.25
"""Weight of the latest response in the moving average of failures."""
FAILURE_HALF_LIFE_S = 4.0
"""Half-life of the failure rate without new responses, so that the backend is tried again."""
SLOWEST_WINDOW_S = 30.0
"""Minimum time for which the slowest response of a service is remembered."""


class Health(msgspec.Struct):
    """Failure rate, latency and unresponsiveness of a backend. Times are seconds of boot time."""

    failures: float = 0.0
    latency: BackendLatency = msgspec.field(default_factory=BackendLatency)
    noted_s: float = 0.0
    suspect_until_s: float = 0.0
    next_suspicion_s: float = INITIAL_SUSPICION_S
    last_broken_s: float = -math.inf
    """When a response to this process was last cut off, invalid or missing."""
    told: float = 0.0
    """Highest failure rate reported by another router, at ``told_s``."""
    told_s: float = 0.0
    slowest_s: RecentMaximum = msgspec.field(
        default_factory=lambda: RecentMaximum(SLOWEST_WINDOW_S)
    )
    """Latency of the slowest recent response without failures, shared by a service's backends."""

    def failure_rate(self, now_s: float) -> float:
        """Return the higher of the local failure rate and that of other routers, after decay."""
        own = self.local_failure_rate(now_s)
        return max(own, _decayed(self.told, now_s - self.told_s)) if self.told else own

    def local_failure_rate(self, now_s: float) -> float:
        """Return the failure rate that this process observed, decayed since the last response."""
        return _decayed(self.failures, now_s - self.noted_s) if self.failures else 0.0

    def is_suspect(self, now_s: float) -> bool:
        """Return whether the backend was unresponsive recently."""
        return now_s < self.suspect_until_s

    def record_answer(self, now_s: float, latency_s: float, is_failure: bool) -> None:
        """Record a response; the latency of a failure is ignored, as it doesn't indicate speed."""
        share = self.local_failure_rate(now_s)
        self.failures = share + FAILURE_EWMA_WEIGHT * (float(is_failure) - share)
        if not is_failure:
            self.latency.note(latency_s, now_s)
            self.slowest_s.note(latency_s, now_s)
            self.suspect_until_s = 0.0
            self.next_suspicion_s = INITIAL_SUSPICION_S
            self.told *= 1.0 - FAILURE_EWMA_WEIGHT
        self.noted_s = now_s

    def record_broken(self, now_s: float) -> None:
        """Record a response that was cut off or invalid; this is reported to the other routers."""
        self.record_answer(now_s, 0.0, is_failure=True)
        self.last_broken_s = now_s

    def note_told(self, share: float, now_s: float) -> None:
        """Apply a failure rate from another router; the highest counts, with the usual decay."""
        if share > _decayed(self.told, now_s - self.told_s):
            self.told, self.told_s = share, now_s

    def record_silence(self, now_s: float) -> None:
        """Record that the backend was unreachable or unresponsive; the other routers are told."""
        if not self.is_suspect(now_s):
            self.suspect_until_s = now_s + self.next_suspicion_s
            self.next_suspicion_s = min(2 * self.next_suspicion_s, MAX_SUSPICION_S)
        share = self.local_failure_rate(now_s)
        self.failures = share + FAILURE_EWMA_WEIGHT * (1.0 - share)
        self.noted_s = now_s
        self.last_broken_s = now_s


class Backend:
    """One incarnation of a backend; its state is kept in this object or under ``name``."""

    def __init__(self, entry: BackendEntry, known_s: float, limits: BackendLimits) -> None:
        """Start from the list entry, first seen at ``known_s`` (boot time)."""
        self.entry = entry
        self.name = incarnation_name(entry)
        """Identifies this incarnation on every router. Orders carry ``entry.instance`` instead."""
        self.life = incarnation_number(self.name)
        """Short numeric form of ``name`` for datagrams."""
        self.health = Health()
        self.notices = BackendNotices()
        self.limit = limits.new_limit(self.name, entry.service)
        self._limit_connection_opened_ms = 0
        """Time of day at which the connection was opened on which the limit was last reported."""
        self.known_s = known_s
        self.restarts = 0
        """How many previous incarnations were each replaced within ``MIN_STABLE_UPTIME_S``."""
        self.has_ended = False
        """Whether a later incarnation is known: nothing may be sent to this one."""
        self._next_incarnation: Backend | None = None
        self.connections: OrderedSet[BackendConnection] = OrderedSet()
        """Connections with a request in progress."""
        self.outstanding = 0
        """Requests of this process that the backend is handling."""
        self.load: BackendLoad | None = None
        self.leaving_since_s: float | None = None
        """Since when it is known to be leaving or gone, from the list or from its responses."""
        self.unlisted_since_s: float | None = None
        """Since when it is leaving or missing according to the list; None while it is listed as
        ready."""
        self.is_listed = True

    @property
    def version(self) -> int:
        """Return the number of its software version."""
        return version_number(self.entry.service, self.entry.version)

    @property
    def is_ending(self) -> bool:
        """Return whether the list or a response says that the backend is leaving."""
        return self.entry.is_leaving or self.notices.leaving_since_s is not None

    def apply_notices(
        self,
        notes: ResponseMetadata,
        now_s: float,
        opened_ms: int = 0,
        sent_s: float = -math.inf,
        sent_ms: int = 0,
    ) -> None:
        """Apply what the head of any of its responses says about the backend.

        The connection of the response was opened at ``opened_ms`` (time of day), its request was
        sent at ``sent_s`` (boot time) and ``sent_ms`` (time of day). The defaults stand for unknown
        times; a ``sent_ms`` before ``opened_ms`` is replaced by ``opened_ms``.
        """
        sent_ms = max(sent_ms, opened_ms)
        self.notices.take(notes, self.name, now_s, opened_ms, sent_ms)
        self._update_leaving_since()
        if not notes.is_misdirected and not notes.is_limit_invalid:
            self._limit_connection_opened_ms = opened_ms
            self.limit.record_answer(notes.limit_per_s, sent_s, now_s)
        if self._next_incarnation is not None and not notes.is_misdirected:
            self._next_incarnation.apply_late_notices(notes, now_s, opened_ms, sent_s, sent_ms)

    def apply_late_notices(
        self, notes: ResponseMetadata, now_s: float, opened_ms: int, sent_s: float, sent_ms: int
    ) -> None:
        """Apply the response to a request that was sent under the name of the previous incarnation.

        Like ``BackendNotices.carried_over``, for responses received after this incarnation became
        known. Ignores responses on connections that were opened more than ``MAX_CLOCK_SKEW_MS``
        before this incarnation started, and leaving states unless the request was sent at least
        that long after.
        """
        born_ms = self.entry.born_ms
        if opened_ms < born_ms - MAX_CLOCK_SKEW_MS:
            return
        if sent_ms < born_ms + MAX_CLOCK_SKEW_MS:
            notes = msgspec.structs.replace(notes, is_leaving=False)
        self.apply_notices(notes, now_s, opened_ms, sent_s, sent_ms)

    def record_remote_leaving(self, now_s: float) -> None:
        """Record that another router received a response which says that the backend is leaving."""
        self.notices.record_leaving(now_s)
        self._update_leaving_since()

    def record_listed(self) -> None:
        """Record that the list contains the backend as ready."""
        self.is_listed = True
        self.unlisted_since_s = None
        self._update_leaving_since()

    def record_unlisted(self, now_s: float) -> None:
        """Record that the backend is leaving or missing according to the list."""
        if self.unlisted_since_s is None:
            self.unlisted_since_s = now_s
        self._update_leaving_since()

    def record_gone(self, now_s: float) -> None:
        """Rule the backend out as a last resort: its address was reassigned, or it left earlier."""
        self.unlisted_since_s = now_s - UNLISTED_GRACE_S
        self._update_leaving_since()

    def _update_leaving_since(self) -> None:
        """Combine list and responses: the earliest counts; notices in responses are permanent."""
        told = (self.unlisted_since_s, self.notices.leaving_since_s)
        self.leaving_since_s = min((s for s in told if s is not None), default=None)

    def end(self, next_born_ms: int) -> None:
        """Record that a later incarnation has started, and abort the requests lost with this one.

        Responses that have already arrived are still read.
        Requests that were sent under this name may have reached the next incarnation already,
        before this router learned of its start. Their connections were opened after it and are
        kept.
        """
        self.has_ended = True
        for connection in list(self.connections):
            if connection.opened_ms < next_born_ms - MAX_CLOCK_SKEW_MS:
                connection.abort_after_reading()

    def take_over_from(self, before: Backend) -> None:
        """Initialise this incarnation from the previous one.

        Takes over what this incarnation said in responses that were attributed to the previous one,
        and a raised failure rate if the backend is in a crash loop.
        """
        before._next_incarnation = self
        self.notices = before.notices.carried_over(self.entry.born_ms, MAX_CLOCK_SKEW_MS)
        self._update_leaving_since()
        if before._limit_connection_opened_ms >= self.entry.born_ms - MAX_CLOCK_SKEW_MS:
            # Stated by this incarnation itself, or by the previous one just before its end. The
            # next response shows whether it still applies.
            self.limit.record_answer(before.limit.per_s, self.known_s, self.known_s)
        if self.known_s - before.known_s < MIN_STABLE_UPTIME_S:
            self.restarts = min(before.restarts + 1, MAX_COUNTED_RESTARTS)
            self.health.failures = 1.0 - 0.5**self.restarts
            self.health.noted_s = self.known_s

    def may_take(self, now_s: float) -> bool:
        """Return whether a request may be sent now with regard to back-off and rate limit."""
        if self.limit.rate is not None and self.limit.wait_s(now_s) > 0:
            return False
        return self.notices.backoff_until_s <= now_s

    def available_in_s(self, now_s: float) -> float:
        """Return the time until ``may_take`` holds, 0 if it does now."""
        return max(self.limit.wait_s(now_s), self.notices.backoff_until_s - now_s, 0.0)

    def take_permit(self, now_s: float) -> None:
        """Take a permit for a request; raises ``BackendNotAccepting`` if there is none."""
        if self.limit.wait_s(now_s) > 0:
            raise BackendNotAccepting(f"{self.name} is at its rate limit")
        self.limit.take(now_s)

    def require_accepting(self, now_s: float) -> None:
        """Raise ``BackendNotAccepting`` if nothing may be sent now.

        The state may have changed since the backend was selected, while a prompt was processed or
        while the request was queued.
        """
        if self.notices.is_backing_off(now_s):
            raise BackendNotAccepting(f"{self.name} has asked for back-off")
        if not self.may_take_as_last_resort(now_s):
            raise BackendNotAccepting(f"{self.name} is leaving")

    def may_take_as_last_resort(self, now_s: float) -> bool:
        """Return whether the backend stays, or has been leaving for less than its grace period."""
        if self.leaving_since_s is None:
            return True
        return now_s - self.leaving_since_s < min(LEAVING_GRACE_S, UNLISTED_GRACE_S)


def incarnation_name(entry: BackendEntry) -> str:
    """Return the name of an incarnation; the bare identifier if the start time is unknown."""
    return f"{entry.instance}@{entry.born_ms}" if entry.born_ms else entry.instance


def _decayed(share: float, age_s: float) -> float:
    return float(share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S))
