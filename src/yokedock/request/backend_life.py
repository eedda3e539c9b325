"""One life of a backend, and what its answers showed: failures, latency, silence.

A backend may start anew under the identifier that it had. It then holds and knows nothing of
before, so what is believed hangs on a life and ends with it.
"""

from __future__ import annotations

import math

import msgspec

from yokedock.base.ordered_set import OrderedSet
from yokedock.connection.backend_connection import BackendConnection
from yokedock.connection.dialect import AnswerNotes, BackendLoad
from yokedock.connection.state_source import BackendEntry
from yokedock.request.backend_limits import BackendLimits
from yokedock.request.backend_notices import BackendNotices
from yokedock.request.poison_requests import life_number
from yokedock.router_errors import BackendUnwilling

MIN_STABLE_UPTIME_S = 30.0
"""A life that was known for less than this and is followed by another is a step of a crash loop."""
MAX_CLOCK_SKEW_MS = 250
"""The times of day of two machines may differ by so much. A connection that was opened so shortly
before the next life began is left to the limits on silence, 1.2 s at most for a stream."""
MAX_COUNTED_RESTARTS = 5
"""Steps after which care grows no more: a share of failures of 0.97, halved every 4 s."""
UNLISTED_GRACE_S = 1.0
"""A backend that vanished from the list without notice may still be used for this long, as a last
resort: entries that lapsed with the list itself are back soon."""
LEAVING_GRACE_S = 1.0
"""The same for one that says it is leaving, where nothing else is left."""
INITIAL_SUSPICION_S = 1.0
"""A backend that did not accept or fell silent is avoided for this long, doubled each time."""
MAX_SUSPICION_S = 4.0
FAILURE_EWMA_WEIGHT = 0.25
"""Weight of the newest answer in the share of failures."""
FAILURE_HALF_LIFE_S = 4.0
"""Without answers, the share of failures halves in this time, so that a backend is tried again."""
LATENCY_EWMA_WEIGHT = 0.2
LATENCY_HALF_LIFE_S = 6.0


class Health(msgspec.Struct):
    """What answers showed: failures, latency, silence. Times are seconds of boot time."""

    failures: float = 0.0
    latency_s: float | None = None
    noted_s: float = 0.0
    suspect_until_s: float = 0.0
    next_suspicion_s: float = INITIAL_SUSPICION_S
    last_broken_s: float = -math.inf
    """When this process saw an answer broken off, or none that was one, or none at all."""
    told: float = 0.0
    """The largest share of failures that another router told of, at ``told_s``."""
    told_s: float = 0.0

    def failure_share(self, now_s: float) -> float:
        """Return the share of failures here, or at another router if it is larger, faded."""
        own = self.local_failure_share(now_s)
        return max(own, _decayed(self.told, now_s - self.told_s)) if self.told else own

    def local_failure_share(self, now_s: float) -> float:
        """Return the share of failures that this process saw, faded since the last answer."""
        return _decayed(self.failures, now_s - self.noted_s) if self.failures else 0.0

    def expected_latency_s(self, now_s: float, typical_s: float) -> float:
        """Return the latency to expect: the measured one, fading to the service's typical one."""
        if self.latency_s is None:
            return typical_s
        trust = float(0.5 ** ((now_s - self.noted_s) / LATENCY_HALF_LIFE_S))
        return typical_s + (self.latency_s - typical_s) * trust

    def is_suspect(self, now_s: float) -> bool:
        """Return whether the backend was silent a moment ago."""
        return now_s < self.suspect_until_s

    def note_answer(self, now_s: float, latency_s: float, is_failure: bool) -> None:
        """Note an answer; a failure's latency says nothing about speed."""
        share = self.local_failure_share(now_s)
        self.failures = share + FAILURE_EWMA_WEIGHT * (float(is_failure) - share)
        if not is_failure:
            before = self.latency_s if self.latency_s is not None else latency_s
            self.latency_s = before + LATENCY_EWMA_WEIGHT * (latency_s - before)
            self.suspect_until_s = 0.0
            self.next_suspicion_s = INITIAL_SUSPICION_S
            self.told *= 1.0 - FAILURE_EWMA_WEIGHT
        self.noted_s = now_s

    def note_broken(self, now_s: float) -> None:
        """Note an answer that was broken off or was none; the other routers hear of it."""
        self.note_answer(now_s, 0.0, is_failure=True)
        self.last_broken_s = now_s

    def note_told(self, share: float, now_s: float) -> None:
        """Take in what another router saw; the largest share counts, faded as its own are."""
        if share > _decayed(self.told, now_s - self.told_s):
            self.told, self.told_s = share, now_s

    def note_silence(self, now_s: float) -> None:
        """Note that the backend could not be reached or gave no answer; the others hear of it."""
        if not self.is_suspect(now_s):
            self.suspect_until_s = now_s + self.next_suspicion_s
            self.next_suspicion_s = min(2 * self.next_suspicion_s, MAX_SUSPICION_S)
        share = self.local_failure_share(now_s)
        self.failures = share + FAILURE_EWMA_WEIGHT * (1.0 - share)
        self.noted_s = now_s
        self.last_broken_s = now_s


class Backend:
    """One life of a backend: all that is believed of it hangs on this object or on ``name``."""

    def __init__(self, entry: BackendEntry, known_s: float, limits: BackendLimits) -> None:
        """Start with what the list says, at ``known_s`` (boot time)."""
        self.entry = entry
        self.name = incarnation_name(entry)
        """Names this life, the same at every router. Orders name ``entry.instance``."""
        self.life = life_number(self.name)
        """The same as a number, for datagrams."""
        self.health = Health()
        self.notices = BackendNotices()
        self.limit = limits.new_limit(self.name, entry.service)
        self._limit_connection_opened_ms = 0
        """Time of day at which the connection was opened that told of the limit last."""
        self.known_s = known_s
        self.restarts = 0
        """How many lives before this one followed each other within ``MIN_STABLE_UPTIME_S``."""
        self.has_ended = False
        """Whether a later life is known: nothing may be sent to this one."""
        self._next_incarnation: Backend | None = None
        self.connections: OrderedSet[BackendConnection] = OrderedSet()
        """Those with a request under way."""
        self.outstanding = 0
        """Requests that this process has at the backend."""
        self.load: BackendLoad | None = None
        self.leaving_since_s: float | None = None
        """Since when it is known to leave or to be gone, from the list or from its answers."""
        self.unlisted_since_s: float | None = None
        """Since when the list says so, None while it names the backend as ready."""
        self.is_listed = True

    @property
    def is_ending(self) -> bool:
        """Return whether the backend itself has said that it will end."""
        return self.entry.is_leaving or self.notices.leaving_since_s is not None

    def take_notices(
        self,
        notes: AnswerNotes,
        now_s: float,
        opened_ms: int = 0,
        sent_s: float = -math.inf,
        sent_ms: int = 0,
    ) -> None:
        """Take in what the head of any of its answers says of the backend.

        The answer's connection was opened at ``opened_ms`` (time of day), its request was sent at
        ``sent_s`` (boot time) and ``sent_ms`` (time of day). The defaults stand for unknown times;
        a ``sent_ms`` before ``opened_ms`` is replaced by ``opened_ms``.
        """
        sent_ms = max(sent_ms, opened_ms)
        self.notices.take(notes, self.name, now_s, opened_ms, sent_ms)
        self._update_leaving_since()
        if not notes.is_elsewhere and not notes.is_limit_odd:
            self._limit_connection_opened_ms = opened_ms
            self.limit.note_answer(notes.limit_per_s, sent_s, now_s)
        if self._next_incarnation is not None and not notes.is_elsewhere:
            self._next_incarnation.apply_late_notices(notes, now_s, opened_ms, sent_s, sent_ms)

    def apply_late_notices(
        self, notes: AnswerNotes, now_s: float, opened_ms: int, sent_s: float, sent_ms: int
    ) -> None:
        """Take in an answer to what was sent under the name of the life before.

        Like ``BackendNotices.carried_over``, for answers received after this life became known.
        Ignores answers on connections that were opened more than ``MAX_CLOCK_SKEW_MS`` before this
        life began, and leaving states unless the request was sent at least that long after.
        """
        born_ms = self.entry.born_ms
        if opened_ms < born_ms - MAX_CLOCK_SKEW_MS:
            return
        if sent_ms < born_ms + MAX_CLOCK_SKEW_MS:
            notes = msgspec.structs.replace(notes, is_leaving=False)
        self.take_notices(notes, now_s, opened_ms, sent_s, sent_ms)

    def record_remote_leaving(self, now_s: float) -> None:
        """Take in that another router had an answer which says that it leaves."""
        self.notices.record_leaving(now_s)
        self._update_leaving_since()

    def record_listed(self) -> None:
        """Note that the list names the backend as ready."""
        self.is_listed = True
        self.unlisted_since_s = None
        self._update_leaving_since()

    def record_unlisted(self, now_s: float) -> None:
        """Note that the list says that the backend leaves, or names it no longer."""
        if self.unlisted_since_s is None:
            self.unlisted_since_s = now_s
        self._update_leaving_since()

    def record_gone(self, now_s: float) -> None:
        """Note that it is no last resort: another one has its address, or it left before."""
        self.unlisted_since_s = now_s - UNLISTED_GRACE_S
        self._update_leaving_since()

    def _update_leaving_since(self) -> None:
        """Have the list and the answers decide together: whichever said it first, for good."""
        told = (self.unlisted_since_s, self.notices.leaving_since_s)
        self.leaving_since_s = min((s for s in told if s is not None), default=None)

    def end(self, next_born_ms: int) -> None:
        """Note that a later life has begun: what this one had under way is lost, now and not later.

        Requests that were sent under this name may have reached the next life already, before its
        start was heard of here: their connections were opened since, and go on.
        """
        self.has_ended = True
        for connection in list(self.connections):
            if connection.opened_ms < next_born_ms - MAX_CLOCK_SKEW_MS:
                connection.abort()

    def succeed(self, before: Backend) -> None:
        """Begin with the care that quick restarts of this backend ask for.

        And with what this life said already while the one before was thought to be there.
        """
        before._next_incarnation = self
        self.notices = before.notices.carried_over(self.entry.born_ms, MAX_CLOCK_SKEW_MS)
        self._update_leaving_since()
        if before._limit_connection_opened_ms >= self.entry.born_ms - MAX_CLOCK_SKEW_MS:
            # Its own word then, or about to end: the next answer says whether it still holds.
            self.limit.note_answer(before.limit.per_s, self.known_s, self.known_s)
        if self.known_s - before.known_s < MIN_STABLE_UPTIME_S:
            self.restarts = min(before.restarts + 1, MAX_COUNTED_RESTARTS)
            self.health.failures = 1.0 - 0.5**self.restarts
            self.health.noted_s = self.known_s

    def may_take(self, now_s: float) -> bool:
        """Return whether a request may be sent now, as far as rest and limit go."""
        if self.limit.rate is not None and self.limit.wait_s(now_s) > 0:
            return False
        return self.notices.backoff_until_s <= now_s

    def available_in_s(self, now_s: float) -> float:
        """Return after what time that may be so, 0 if now."""
        return max(self.limit.wait_s(now_s), self.notices.backoff_until_s - now_s, 0.0)

    def take_permit(self, now_s: float) -> None:
        """Count a request that is about to be sent; raises ``BackendUnwilling`` if none may be."""
        if self.limit.wait_s(now_s) > 0:
            raise BackendUnwilling(f"{self.name} has named a limit, and its permits are taken")
        self.limit.take(now_s)

    def require_willing(self, now_s: float) -> None:
        """Raise ``BackendUnwilling`` if nothing may be sent now.

        It was chosen before: a prompt was read in between, or others waited with this request.
        """
        if self.notices.is_resting(now_s):
            raise BackendUnwilling(f"{self.name} has asked for rest")
        if not self.may_take_as_last_resort(now_s):
            raise BackendUnwilling(f"{self.name} is leaving")

    def may_take_as_last_resort(self, now_s: float) -> bool:
        """Return whether a backend that is leaving may still be used."""
        if self.leaving_since_s is None:
            return True
        return now_s - self.leaving_since_s < min(LEAVING_GRACE_S, UNLISTED_GRACE_S)


def incarnation_name(entry: BackendEntry) -> str:
    """Return the name of one life of a backend, its identifier if it does not say its start."""
    return f"{entry.instance}@{entry.born_ms}" if entry.born_ms else entry.instance


def _decayed(share: float, age_s: float) -> float:
    return float(share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S))
