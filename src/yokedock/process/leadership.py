"""Elects one router at a time, which alone gives orders to engines, without shared storage.

Every router includes its vote for a leader in the state that it gossips. A router leads while the
majority of the known routers votes for it. A vote expires soon, and is given to another router only
long after the previous candidate was last seen voting for itself, so that two routers never lead
within one lease of each other:

    a vote is sent only if its candidate was seen voting for itself within ``VOTE_LIFETIME_S``,
    and counts for ``VOTE_LIFETIME_S`` after it was received; it changes after ``lease_s`` plus
    ``VOTE_CHANGE_MARGIN_S``, which exceeds both lifetimes together and a lease.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokedock.base.clock import boot_time_s

VOTE_LIFETIME_S = 1.0
FIRST_VOTE_DELAY_S = 1.5
"""Delay of the first vote if no router can have led before: enough to hear from the others."""
VOTE_CHANGE_MARGIN_S = 2.5


class Vote(msgspec.Struct, frozen=True):
    """The last vote of another router, and when it was received (boot time, s)."""

    voter: str
    leader: str
    heard_s: float
    is_leaving: bool = False


class Leadership:
    """The vote of one router, and whether it leads. Routers are identified by their addresses."""

    def __init__(
        self,
        own: str,
        lease_s: float,
        is_first_start: bool,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        """``is_first_start`` means that no router can have led before: the first vote is early."""
        self._own_address = own
        self._clock = clock
        self._vote_change_s = lease_s + VOTE_CHANGE_MARGIN_S
        self._voted_for: str | None = None
        wait_s = FIRST_VOTE_DELAY_S if is_first_start else self._vote_change_s
        self._leader_confirmed_s = clock() - self._vote_change_s + wait_s
        """When the router that this one votes for was last seen voting for itself."""
        self._last_led_s = 0.0
        """When this router was last found to lead."""
        self._votes: dict[str, Vote] = {}

    def heard(self, vote: Vote) -> None:
        """Record the vote of another router."""
        self._votes[vote.voter] = vote
        if vote.voter == self._voted_for == vote.leader and not vote.is_leaving:
            self._leader_confirmed_s = vote.heard_s

    def drop_old_votes(self) -> None:
        """Drop expired votes, whose voters have ended or are unreachable."""
        oldest_s = self._clock() - VOTE_LIFETIME_S
        for voter in [vote.voter for vote in self._votes.values() if vote.heard_s < oldest_s]:
            del self._votes[voter]

    def size(self) -> int:
        """Return the number of recorded votes."""
        return len(self._votes)

    def vote(self) -> str:
        """Return the router that this one votes for now, empty if none."""
        now_s = self._clock()
        if self._voted_for == self._own_address and self._may_keep_own_vote(now_s):
            self._leader_confirmed_s = now_s
        if now_s - self._leader_confirmed_s >= self._vote_change_s:
            self._voted_for = self._candidate(now_s)
            self._leader_confirmed_s = now_s
        is_fresh = now_s - self._leader_confirmed_s <= VOTE_LIFETIME_S
        return self._voted_for if self._voted_for is not None and is_fresh else ""

    def leads(self, known_routers: int) -> bool:
        """Return whether this router leads, given the number of known routers, itself included."""
        now_s = self._clock()
        if self.vote() != self._own_address:
            return False
        remote_votes = sum(
            1
            for vote in self._votes.values()
            if vote.leader == self._own_address and now_s - vote.heard_s <= VOTE_LIFETIME_S
        )
        if 1 + remote_votes <= known_routers / 2:
            return False
        self._last_led_s = now_s
        return True

    def resign(self) -> None:
        """Withdraw the vote for this router itself, because it is stopping."""
        if self._voted_for == self._own_address:
            self._voted_for = None
            self._leader_confirmed_s = self._clock()

    def _may_keep_own_vote(self, now_s: float) -> bool:
        """Return whether this router may go on voting for itself.

        A router that has not led recently stops voting for itself if another live router, which is
        not stopping, has a lower address.
        """
        if now_s - self._last_led_s < self._vote_change_s:
            return True
        current_votes = [v for v in self._votes.values() if now_s - v.heard_s <= VOTE_LIFETIME_S]
        return all(v.is_leaving or v.voter > self._own_address for v in current_votes)

    def _candidate(self, now_s: float) -> str:
        """Return the router with the most votes, or the lowest live address if none has any."""
        current_votes = [v for v in self._votes.values() if now_s - v.heard_s <= VOTE_LIFETIME_S]
        staying = {vote.voter for vote in current_votes if not vote.is_leaving} | {
            self._own_address
        }
        named = [vote.leader for vote in current_votes if vote.leader in staying]
        if named:
            return max(sorted(set(named)), key=named.count)
        return min(staying)
