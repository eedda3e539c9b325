"""Detects prompt parts that crash the engines that write an answer on them.

Some prompts crash every engine that begins to write an answer on them. What they have in common may
be one part of the prompt, so a record by request never sees a second crash of the same request.

Evidence against a part is a crash while a request with it was at the engine and had no answer yet,
or had just begun to get one. Evidence for it is an answer on it that went on for a while, at any
router: then the part is sound, however many crashes it was at. A popular sound part is at most
crashes too, but also in many answers. A part of several requests that were at several crashes and
of no answer is withheld from the engines.

Some parts can't be told apart, because they were at the same crashes. Then only requests that have
all of them are withheld, and the first answer on one of them shows that the others are to blame.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.randomness import new_random
from yokedock.connection.router_state import PartCrash, SuspectPart
from yokedock.request.request_digest import digest_text

_log = logger("poison")

MIN_CRASHES = 2
"""Crashes, each with another request, after which a part is withheld: a sound part that few
requests share is seldom at two crashes without an answer in between."""
MIN_AMBIGUOUS_CRASHES = 3
"""The same if each of the crashed requests also had suspect parts that the request lacks: these
may be several harmful parts, and what they have in common harmless."""
MIN_DOUBTFUL_CRASHES = 8
"""The same if another part that the request lacks was at all of these crashes, or if the part is
popular: such a part is at all crashes, and seldom without an answer for long."""
POPULAR_REQUESTS = 3.0
"""Requests with a part at the average crash from which it counts as popular."""
SIMULTANEOUS_S = 0.05
"""Crashes within this time count as one: a rack or a power supply failed."""
SETTLE_S = 0.1
"""Minimum age of a crash that counts: other routers report meanwhile what they know of it."""
PROOF_S = 0.25
"""An answer that has been going on for this long shows that the parts of its prompt are sound."""
SOUND_S = 60.0
"""How long a part counts as sound after the latest answer on it."""
FIRST_QUARANTINE_S = 15.0
"""How long a part with ``MIN_CRASHES`` is withheld after the latest; twice as long for each more.
Then one request with it is sent: a part that was blamed wrongly comes free with its answer."""
MAX_QUARANTINE_S = 600.0
FORGET_S = 1_200.0
"""How long crashes are kept after the latest."""
TRIAL_SPREAD = 0.5
"""Routers draw their time for a trial within this share of the quarantine after its end, so that
few have one at the same time."""
TRIAL_INTERVAL_S = 10.0
"""Minimum time between two trials of a router that neither crashed an engine nor got an answer."""
GOSSIP_S = 1.0
"""How long a router reports a crash or an objection: in several datagrams, as some may be lost."""
MAX_GOSSIPED_PARTS = 16
"""Suspects in one datagram, those with the most crashes first: some 30 bytes each."""
MAX_OBJECTIONS = 64
"""Sound parts in one datagram: 9 bytes each."""
MAX_CRASHES_KEPT = 16
"""Crashes kept of one part."""
MAX_REQUESTS_KEPT = 8
"""Requests kept of one crash and part."""
MAX_SUSPECTS = 1_024
"""Suspects kept, those with the fewest crashes are dropped first."""
MAX_SOUND = 8_192
"""Parts kept as sound, those whose latest answer is oldest are dropped first."""


class CrashRecord(msgspec.Struct, eq=False):
    """The crash of one engine incarnation while it had requests with a part."""

    ended_s: float
    """When the first router detected it (boot time, s)."""
    requests: set[int] = msgspec.field(default_factory=set)
    """Numbers of these requests."""
    observed_s: float = 0.0
    """When this router itself saw it (boot time, s); 0 if it was reported."""


class Suspect(msgspec.Struct, eq=False):
    """A part of requests that were at engines that crashed, with no answer on it."""

    key: int
    crashes: dict[int, CrashRecord] = msgspec.field(default_factory=dict)
    """By incarnation number of the engine."""
    count: int = 0
    """Crashes that count: separate in time, and each with another request."""
    trial_delay: float = 0.0
    """Time from the end of its quarantine to this router's first trial, as a share of it."""
    next_trial_s: float = 0.0
    """Earliest time of the next trial (boot time, s)."""
    trial_request: int = -1
    """Number of the request that is sent as a trial."""

    def quarantine_s(self) -> float:
        """Return how long it is withheld after the latest crash."""
        doublings = max(0, self.count - MIN_CRASHES)
        return min(MAX_QUARANTINE_S, FIRST_QUARANTINE_S * 2.0**doublings)

    def last_s(self) -> float:
        """Return the time of the latest crash."""
        return max(crash.ended_s for crash in self.crashes.values())

    def requests(self) -> set[int]:
        """Return the numbers of the requests that were at the crashes."""
        return set().union(*(crash.requests for crash in self.crashes.values()))

    def is_popular(self, until_s: float) -> bool:
        """Return whether several requests with it were at the average crash before ``until_s``."""
        crashes = [crash for crash in self.crashes.values() if crash.ended_s <= until_s]
        requests = sum(len(crash.requests) for crash in crashes)
        return bool(crashes) and requests >= POPULAR_REQUESTS * len(crashes)

    def update_count(self) -> None:
        """Recompute ``count`` after a change of ``crashes``."""
        self.count = count_crashes(self.crashes.values())


class WithheldPart(msgspec.Struct, frozen=True):
    """A part because of which a request is withheld."""

    key: int
    remaining_s: float


class CrashingRequest(msgspec.Struct, frozen=True):
    """A request that may crash engines by something other than the parts of its prompt."""

    number: int
    crashes: int
    """How many crashes it was at."""


def count_crashes(crashes: Iterable[CrashRecord]) -> int:
    """Return how many crashes are separate in time, or how many requests they had if fewer."""
    separate, counted_s = 0, float("-inf")
    requests: set[int] = set()
    for crash in sorted(crashes, key=lambda each: each.ended_s):
        if crash.ended_s > counted_s + SIMULTANEOUS_S:
            separate += 1
            counted_s = crash.ended_s
        requests |= crash.requests
    return min(separate, len(requests))


class PoisonParts:
    """Suspect parts, from this router's own exchanges and from reports of other routers.

    ``on_change`` is called whenever a part may have to be withheld, ``on_report_due`` when this
    router has something to report to the others at once.
    """

    def __init__(self, is_used: bool = True, clock: Callable[[], float] = boot_time_s) -> None:
        """Start without suspects; record none unless ``is_used``."""
        self._is_used = is_used
        self._clock = clock
        self._random = new_random()
        self._suspects: dict[int, Suspect] = {}
        self._by_incarnation: dict[int, set[int]] = {}
        """Keys of the suspects that were at an engine when it crashed, by incarnation number."""
        self._sound_s: collections.OrderedDict[int, float] = collections.OrderedDict()
        """When the latest answer on a part was seen or reported (boot time, s), oldest first."""
        self._objections: dict[int, float] = {}
        """Parts that others suspect and that are sound, with the time of the report."""
        self._logged: set[int] = set()
        self.find_crashing_request: Callable[[int], CrashingRequest | None] = lambda life: None
        """Returns the request that was at a crash, and at more crashes than all others there."""
        self.on_change: Callable[[], None] = lambda: None
        self.on_report_due: Callable[[], None] = lambda: None
        self.on_objection_due: Callable[[], None] = lambda: None
        """Called when another router suspects a part that is sound; others may know it as well."""

    # --- Results of exchanges with engines ---

    def record_crash(self, parts: Iterable[int], request: int, life: int) -> None:
        """Record that an engine crashed before it answered a request with these parts."""
        if not self._is_used:
            return
        now_s = self._clock()
        suspects = [key for key in parts if not self._is_sound(key)]
        for key in suspects:
            self._add(key, life, now_s, {request})
            self._suspects[key].crashes[life].observed_s = now_s
        if suspects:
            self.on_report_due()
            self.on_change()

    def record_sound(self, parts: Iterable[int]) -> None:
        """Record an answer on these parts that has been going on for ``PROOF_S`` or is complete."""
        if not self._is_used:
            return
        now_s = self._clock()
        for key in parts:
            if self._mark_sound(key, now_s):
                self._objections[key] = now_s
                self.on_report_due()

    def record_alive(self, life: int, sent_s: float) -> None:
        """Record an answer to a request sent at ``sent_s``: the engine had not crashed before."""
        for key in list(self._by_incarnation.get(life, ())):
            if self._suspects[key].crashes[life].ended_s < sent_s:
                self._remove(key, life)

    # --- Decisions ---

    def is_known(self) -> bool:
        """Return whether there is any suspect."""
        return bool(self._suspects)

    def is_suspect(self, key: int) -> bool:
        """Return whether a part was at a crash and no answer on it is known."""
        return key in self._suspects

    def find_withheld(self, parts: Iterable[int], request: int) -> WithheldPart | None:
        """Return the part because of which a request with these parts is withheld, if any.

        ``request`` is its number. The first that comes after a quarantine is sent as a trial.
        """
        own = frozenset(parts)
        now_s = self._clock()
        for key in own:
            suspect = self._suspects.get(key)
            if suspect is None or suspect.count < MIN_CRASHES or not self._is_blamed(suspect, own):
                continue
            until_s = self._withheld_until_s(suspect, request)
            if now_s < until_s:
                self._log_first_time(suspect, until_s - now_s)
                return WithheldPart(key, until_s - now_s)
        return None

    def _withheld_until_s(self, suspect: Suspect, request: int) -> float:
        """Return until when a request with a blamed part is withheld; start a trial if one is due.

        The result has passed if the request may be sent.
        """
        now_s = self._clock()
        due_s = suspect.last_s() + suspect.quarantine_s() * (1.0 + suspect.trial_delay)
        due_s = max(due_s, suspect.next_trial_s)
        if request == suspect.trial_request:
            return now_s
        if now_s >= due_s:
            suspect.next_trial_s = now_s + TRIAL_INTERVAL_S
            suspect.trial_request = request
            _log.info("trial of a withheld prompt part", part_key=digest_text(suspect.key))
        return due_s

    def explains(self, life: int) -> bool:
        """Return whether a part that is withheld was at this crash."""
        return any(
            self._suspects[key].count >= MIN_CRASHES
            and self._is_blamed(self._suspects[key], frozenset(self._by_incarnation[life]))
            for key in self._by_incarnation.get(life, ())
        )

    def _is_blamed(self, suspect: Suspect, own: frozenset[int]) -> bool:
        """Return whether a request with the parts ``own`` is withheld because of one of them."""
        settled_s = self._clock() - SETTLE_S
        settled = [life for life, crash in suspect.crashes.items() if crash.ended_s <= settled_s]
        unexplained = [
            life for life in settled if not self._is_explained(life, suspect, own, settled_s)
        ]
        count = count_crashes(suspect.crashes[life] for life in unexplained)
        if count < MIN_CRASHES:
            return False
        if suspect.is_popular(settled_s) or self._has_rival(unexplained, own, settled_s):
            return count >= MIN_DOUBTFUL_CRASHES
        has_alternatives = all(self._has_alternative(life, suspect, own) for life in unexplained)
        return count >= MIN_AMBIGUOUS_CRASHES or not has_alternatives

    def _is_explained(
        self, life: int, suspect: Suspect, own: frozenset[int], settled_s: float
    ) -> bool:
        """Return whether a part that the request lacks, or another request, explains it better.

        It does if it was at more crashes without being popular, or at several and always in
        requests that also had the suspect: these may have crashed their engines because of it.
        """
        for key in self._by_incarnation[life] - own:
            other = self._suspects[key]
            if other.count < MIN_CRASHES:
                continue
            is_stronger = other.count > suspect.count and not other.is_popular(settled_s)
            if is_stronger or other.requests() <= suspect.requests():
                return True
        return self._is_explained_by_request(life, suspect)

    def _is_explained_by_request(self, life: int, suspect: Suspect) -> bool:
        """Return whether a request without the part was at this crash and at most of the part's.

        A harmless request that is repeated often is seldom at most crashes under a harmful part.
        """
        request = self.find_crashing_request(life)
        if request is None or 2 * request.crashes <= suspect.count:
            return False
        return request.number not in suspect.requests()

    def _has_alternative(self, life: int, suspect: Suspect, own: frozenset[int]) -> bool:
        """Return whether a crashed request with the suspect had a part that the request lacks."""
        requests = suspect.crashes[life].requests
        return any(
            requests & self._suspects[key].crashes[life].requests
            for key in self._by_incarnation[life] - own
        )

    def _has_rival(self, lives: list[int], own: frozenset[int], settled_s: float) -> bool:
        """Return whether a part that the request lacks was at all of these crashes.

        Popular parts are at most crashes anyway.
        """
        rivals = set.intersection(*(self._by_incarnation[life] - own for life in lives))
        return any(not self._suspects[key].is_popular(settled_s) for key in rivals)

    def _log_first_time(self, suspect: Suspect, remaining_s: float) -> None:
        if suspect.key in self._logged:
            return
        self._logged.add(suspect.key)
        _log.warning(
            "prompt part withheld",
            part_key=digest_text(suspect.key),
            crashes=len(suspect.crashes),
            counted=suspect.count,
            for_s=round(remaining_s),
        )

    # --- Gossip between routers ---

    def recent_report(self) -> tuple[SuspectPart, ...]:
        """Return the report for the other routers: crashes that this router observed recently."""
        oldest_s = self._clock() - GOSSIP_S
        return self._reports(lambda crash: crash.observed_s >= oldest_s)

    def report_for_new_router(self) -> tuple[SuspectPart, ...]:
        """Return the report for a newly started router: all crashes of parts with several."""
        return self._reports(lambda crash: True, MIN_CRASHES)

    def _reports(
        self, is_reported: Callable[[CrashRecord], bool], min_count: int = 0
    ) -> tuple[SuspectPart, ...]:
        now_s = self._clock()
        # Crashes about to be forgotten are not reported: otherwise two routers would renew each
        # other's records for ever.
        oldest_s = now_s - FORGET_S + GOSSIP_S
        reports = []
        for suspect in self._suspects.values():
            crashes = tuple(
                PartCrash(life, tuple(crash.requests), round((now_s - crash.ended_s) * 1000))
                for life, crash in suspect.crashes.items()
                if crash.ended_s > oldest_s and is_reported(crash)
            )
            if crashes and suspect.count >= min_count:
                reports.append((suspect.count, SuspectPart(suspect.key, crashes)))
        reports.sort(key=lambda report: report[0], reverse=True)
        return tuple(report for _, report in reports[:MAX_GOSSIPED_PARTS])

    def objections(self) -> tuple[int, ...]:
        """Return the parts that others suspected recently, and that are sound."""
        oldest_s = self._clock() - GOSSIP_S
        recent = [key for key, at_s in self._objections.items() if at_s >= oldest_s]
        return tuple(recent[:MAX_OBJECTIONS])

    def apply_report(
        self, suspects: tuple[SuspectPart, ...], sound: tuple[int, ...], sent_s: float | None = None
    ) -> None:
        """Apply another router's report, sent at ``sent_s`` (boot time) or now."""
        if not self._is_used or not (suspects or sound):
            return
        sent_s = self._clock() if sent_s is None else sent_s
        for key in sound:
            self._mark_sound(key, sent_s)
        # ``any`` gets a list, not a generator, so that every record is merged.
        if any([self._merge(report, sent_s) for report in suspects]):
            self.on_change()

    def _merge(self, report: SuspectPart, sent_s: float) -> bool:
        """Merge the report on one part; return whether it contained new crashes."""
        if self._is_sound(report.part):
            if self._objections.get(report.part, 0.0) < sent_s - GOSSIP_S:
                self._objections[report.part] = sent_s
                self.on_objection_due()
            return False
        has_changed = False
        for crash in report.crashes:
            ended_s = sent_s - crash.age_ms / 1000
            has_changed |= self._add(report.part, crash.life, ended_s, set(crash.requests))
        return has_changed

    # --- Maintenance ---

    def drop_old(self) -> None:
        """Drop what is too old, and what is beyond the maximum number."""
        now_s = self._clock()
        for suspect in list(self._suspects.values()):
            if suspect.last_s() < now_s - FORGET_S:
                self._drop(suspect)
        surplus = len(self._suspects) - MAX_SUSPECTS
        if surplus > 0:
            weakest = sorted(self._suspects.values(), key=lambda s: (s.count, s.last_s()))
            for suspect in weakest[:surplus]:
                self._drop(suspect)
        while self._sound_s and next(iter(self._sound_s.values())) < now_s - SOUND_S:
            self._sound_s.popitem(last=False)
        for key in [k for k, at_s in self._objections.items() if at_s < now_s - GOSSIP_S]:
            del self._objections[key]

    def size(self) -> int:
        """Return the number of suspects."""
        return len(self._suspects)

    def sound_size(self) -> int:
        """Return the number of parts that are known to be sound."""
        return len(self._sound_s)

    def _is_sound(self, key: int) -> bool:
        return self._sound_s.get(key, float("-inf")) > self._clock() - SOUND_S

    def _mark_sound(self, key: int, at_s: float) -> bool:
        """Count a part as sound; return whether it was a suspect."""
        self._sound_s[key] = max(at_s, self._sound_s.pop(key, at_s))
        if len(self._sound_s) > MAX_SOUND:
            self._sound_s.popitem(last=False)
        suspect = self._suspects.get(key)
        if suspect is None:
            return False
        self._drop(suspect)
        return True

    def _add(self, key: int, life: int, ended_s: float, requests: set[int]) -> bool:
        """Add a crash; return whether it, or one of its requests, is new."""
        suspect = self._suspects.get(key)
        if suspect is None:
            suspect = self._suspects[key] = Suspect(key)
        crash = suspect.crashes.get(life)
        if crash is None:
            if len(suspect.crashes) >= MAX_CRASHES_KEPT:
                self._remove(key, min(suspect.crashes, key=lambda i: suspect.crashes[i].ended_s))
            crash = suspect.crashes[life] = CrashRecord(ended_s)
            suspect.trial_delay = self._random.uniform(0.0, TRIAL_SPREAD)
            suspect.trial_request = -1
            self._by_incarnation.setdefault(life, set()).add(key)
        elif requests <= crash.requests or len(crash.requests) >= MAX_REQUESTS_KEPT:
            return False
        crash.requests |= requests
        suspect.update_count()
        return True

    def _remove(self, key: int, life: int) -> None:
        suspect = self._suspects[key]
        del suspect.crashes[life]
        suspect.update_count()
        keys = self._by_incarnation[life]
        keys.discard(key)
        if not keys:
            del self._by_incarnation[life]
        if not suspect.crashes:
            self._suspects.pop(key, None)
            self._logged.discard(key)

    def _drop(self, suspect: Suspect) -> None:
        for life in list(suspect.crashes):
            self._remove(suspect.key, life)
