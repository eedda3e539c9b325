"""Records of what crashes backends: whole requests, and parts of their prompts."""

from __future__ import annotations

from collections.abc import Callable

from yokedock.connection.router_state import CrashReport
from yokedock.errors import RequestQuarantined
from yokedock.request.poison_parts import CrashingRequest, PoisonParts
from yokedock.request.poison_requests import IMMEDIATE_CRASH_S, PoisonRequests
from yokedock.request.routed_call import RoutedCall

REQUEST_MASK = 0xFFFF_FFFF
"""Bits of a request's digest that tell apart the requests at the crashes of a part."""
RESTART_LISTED_S = 0.5
"""Time within which a restarted backend is usually listed as a new incarnation. Until then, answers
of the new incarnation are attributed to the one that crashed."""
MAX_UNCONFIRMED = 1_024
"""Incarnations kept whose answers are not yet confirmed by later ones."""


def request_number(call: RoutedCall) -> int:
    """Return a short number that is equal for all attempts of a request."""
    return call.digest & REQUEST_MASK


class CrashRecords:
    """Passes the results of exchanges to the records, and decides which calls are quarantined."""

    def __init__(self, requests: PoisonRequests, parts: PoisonParts) -> None:
        """Crashes that ``parts`` explains are not attributed to single requests."""
        self.requests = requests
        self.parts = parts
        requests.is_explained = parts.explains
        parts.find_crashing_request = self._find_crashing_request
        self._unconfirmed_alive_s: dict[int, float] = {}
        """When a request was sent that an incarnation answered, until a later one confirms it."""
        self.parts_refused = 0
        """Number of calls that were not forwarded because of a part of their prompt."""

    def watch(self, on_change: Callable[[], None]) -> None:
        """Have ``on_change`` called whenever a call may have become quarantined."""
        self.requests.on_change = on_change
        self.parts.on_change = on_change

    # --- Results of exchanges with backends ---

    def record_crash(
        self, call: RoutedCall, life: int, since_sent_s: float, is_part_sound: bool
    ) -> None:
        """Record that a backend closed the connection ``since_sent_s`` after a call was sent.

        ``is_part_sound``: the backend had been writing its answer for so long that no part of the
        prompt can be the cause.
        """
        self.requests.record_crash(call.digest, life, since_sent_s)
        if call.shared_parts and not is_part_sound and since_sent_s >= IMMEDIATE_CRASH_S:
            self.parts.record_crash(call.part_keys, request_number(call), life)

    def record_alive(self, life: int, sent_s: float) -> None:
        """Record an answer to a request sent at ``sent_s``.

        It shows that the backend had not crashed before, once an answer to a request that was sent
        ``RESTART_LISTED_S`` later is attributed to the same incarnation.
        """
        is_any_suspect = self.requests.is_known() or self.parts.is_known()
        if not is_any_suspect or len(self._unconfirmed_alive_s) > MAX_UNCONFIRMED:
            self._unconfirmed_alive_s.clear()
        alive_s = self._unconfirmed_alive_s.setdefault(life, sent_s)
        if sent_s >= alive_s + RESTART_LISTED_S:
            self._unconfirmed_alive_s[life] = sent_s
            self.requests.record_alive(life, alive_s)
            self.parts.record_alive(life, alive_s)

    def record_writing(self, call: RoutedCall) -> None:
        """Record that a backend has been writing an answer for ``PROOF_S``."""
        self.parts.record_sound(call.part_keys)

    def record_answered(self, call: RoutedCall) -> None:
        """Record that a call was answered completely, so it crashes no backend."""
        if self.requests.is_known():
            self.requests.record_harmless(call.digest)
        self.parts.record_sound(call.part_keys)

    # --- Decisions ---

    def has_suspect_part(self, call: RoutedCall) -> bool:
        """Return whether a part of the call's prompt was at a crash, and no answer is known on it.

        Such a part may be harmless; it is quarantined after more crashes.
        """
        return self.parts.is_known() and any(map(self.parts.is_suspect, call.part_keys))

    def quarantined_for_s(self, call: RoutedCall) -> float:
        """Return the remaining quarantine of a call in seconds, 0.0 if there is none."""
        if self.requests.is_known():
            remaining_s = self.requests.quarantined_for_s(call.digest)
            if remaining_s:
                return remaining_s
        if not self.parts.is_known() or not call.shared_parts:
            return 0.0
        withheld = self.parts.find_withheld(call.part_keys, request_number(call))
        return withheld.remaining_s if withheld else 0.0

    def require_not_quarantined(self, call: RoutedCall) -> None:
        """Raise ``RequestQuarantined`` if the call is quarantined."""
        if self.requests.is_known():
            self.requests.require_not_quarantined(call.digest)
        if not self.parts.is_known() or not call.shared_parts:
            return
        withheld = self.parts.find_withheld(call.part_keys, request_number(call))
        if withheld is not None:
            self.parts_refused += 1
            part = call.shared_parts[call.part_keys.index(withheld.key)]
            message = f"prompt part {part} has crashed engines; leave it out, or retry later"
            raise RequestQuarantined(message, withheld.remaining_s)

    def _find_crashing_request(self, life: int) -> CrashingRequest | None:
        strongest = self.requests.strongest_at(life)
        if strongest is None:
            return None
        digest, crashes = strongest
        return CrashingRequest(digest & REQUEST_MASK, crashes)

    # --- Gossip between routers ---

    def report_for_new_router(self) -> CrashReport:
        """Return the report for a newly started router: all suspects with several crashes."""
        return CrashReport(
            self.requests.report_for_new_router(), self.parts.report_for_new_router()
        )

    def levels(self) -> dict[str, float]:
        """Return the metrics of calls that were not forwarded because of quarantine."""
        return {**self.requests.levels(), "prompt_parts_refused": self.parts_refused}
