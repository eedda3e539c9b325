"""One router at a time may give orders to engines, without any shared store.

Every router names one leader in what it tells the others. A router leads while most of the routers
known name it. A vote is short-lived and moves to another router only long after the last one was
heard, so that two routers never lead within one lease of each other:

    a vote is told only while its leader was heard within ``VOTE_S``, and counted for ``VOTE_S``;
    it moves after ``lease_s`` + ``MOVE_MARGIN_S``, which is more than both together and a lease.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokedock.base.clock import boot_time_s

VOTE_S = 1.0
FIRST_VOTE_S = 1.5
"""Where nobody can have led before, the first vote waits only until others were heard."""
MOVE_MARGIN_S = 2.5


class Vote(msgspec.Struct, frozen=True):
    """What another router said last: whom it names, and when it was heard (boot time, s)."""

    voter: str
    leader: str
    heard_s: float
    is_leaving: bool = False


class Leadership:
    """Votes of one router, and whether it leads. Routers are known by their addresses."""

    def __init__(
        self,
        own: str,
        lease_s: float,
        is_first_start: bool,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        """``is_first_start``: nobody can have led before, so that a vote need not wait."""
        self._own = own
        self._clock = clock
        self._move_s = lease_s + MOVE_MARGIN_S
        self._voted_for: str | None = None
        wait_s = FIRST_VOTE_S if is_first_start else self._move_s
        self._heard_leader_s = clock() - self._move_s + wait_s
        """When the router that this one names was last heard to name itself."""
        self._led_s = 0.0
        """When this router last led."""
        self._votes: dict[str, Vote] = {}

    def heard(self, vote: Vote) -> None:
        """Take in what another router said."""
        self._votes[vote.voter] = vote
        if vote.voter == self._voted_for == vote.leader and not vote.is_leaving:
            self._heard_leader_s = vote.heard_s

    def drop_old_votes(self) -> None:
        """Drop votes that no longer count: their voters are gone or cut off."""
        oldest_s = self._clock() - VOTE_S
        for voter in [vote.voter for vote in self._votes.values() if vote.heard_s < oldest_s]:
            del self._votes[voter]

    def size(self) -> int:
        """Return how many votes are kept."""
        return len(self._votes)

    def vote(self) -> str:
        """Return the router that this one names as leader now, empty if none."""
        now_s = self._clock()
        if self._voted_for == self._own and self._keeps_own_vote(now_s):
            self._heard_leader_s = now_s
        if now_s - self._heard_leader_s >= self._move_s:
            self._voted_for = self._candidate(now_s)
            self._heard_leader_s = now_s
        is_fresh = now_s - self._heard_leader_s <= VOTE_S
        return self._voted_for if self._voted_for is not None and is_fresh else ""

    def leads(self, known: int) -> bool:
        """Return whether this router leads, where ``known`` routers exist, itself included."""
        now_s = self._clock()
        if self.vote() != self._own:
            return False
        for_us = sum(
            1
            for vote in self._votes.values()
            if vote.leader == self._own and now_s - vote.heard_s <= VOTE_S
        )
        if 1 + for_us <= known / 2:
            return False
        self._led_s = now_s
        return True

    def resign(self) -> None:
        """Stop naming this router, which is stopping."""
        if self._voted_for == self._own:
            self._voted_for = None
            self._heard_leader_s = self._clock()

    def _keeps_own_vote(self, now_s: float) -> bool:
        """Return whether to go on naming oneself: not while others name a better candidate."""
        if now_s - self._led_s < self._move_s:
            return True
        heard = [v for v in self._votes.values() if now_s - v.heard_s <= VOTE_S]
        return all(v.is_leaving or v.voter > self._own for v in heard)

    def _candidate(self, now_s: float) -> str:
        """Return the router to name: the one most others name, else the lowest address heard."""
        heard = [v for v in self._votes.values() if now_s - v.heard_s <= VOTE_S]
        staying = {vote.voter for vote in heard if not vote.is_leaving} | {self._own}
        named = [vote.leader for vote in heard if vote.leader in staying]
        if named:
            return max(sorted(set(named)), key=named.count)
        return min(staying)
