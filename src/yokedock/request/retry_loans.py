"""Routers lend each other parts of their shares of the retry budget, without a shared store.

The budget of a large fleet is little for each router: 176 repeats in ten seconds over 68 routers
are two each. An engine that breaks takes streams of a few routers with it, and these may repeat hardly
any while the others' shares lie unused.

A router that needs more tells so. Each router that hears it lends a part of its own fixed share, by
chance and so often that about as much comes together as is needed. What is lent counts as spent at
the lender until no repeat made with it can lie in a window any more, whatever becomes of the
borrower or of the news: the sum over the fleet never grows. The borrower may decide on repeats with
a loan only while it is fresh.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import msgspec

from yokedock.connection.router_state import RetryLoan

LOAN_S = 1.0
"""A loan serves decisions for so long: the news of it takes 10 to 40 ms, a need is told again."""
FREEZE_S = 2.0
"""A borrower that stood still may take a loan for fresher than it is, by so much at most: what is
lent stays out of the lender's share for longer by this time. Longer freezes eat into the fifth of
the budget that is not used."""
NEED_S = 2.0
"""A router tells of a need for so long after a repeat was asked for."""
ANSWER_S = 0.2
"""A lender answers a borrower that still tells of a need after this time once more."""
RESERVE = 1.0
"""Repeats that a lender keeps which had a need of its own a moment ago."""
LEAST_LOAN = 0.1
"""Smaller loans are not worth telling."""
LARGEST_LOAN = 2.0
SURPLUS = 1.5
"""So many times what is needed is lent on average: a borrower seldom falls short by chance."""
MS_A_SECOND = 1000


class GivenLoan(msgspec.Struct, frozen=True):
    """A loan as its lender keeps it."""

    loan: RetryLoan
    given_s: float


class TakenLoan(msgspec.Struct):
    """A loan as its borrower keeps it; ``amount`` shrinks to what was used once it is not fresh."""

    amount: float
    fresh_until_s: float
    counts_until_s: float


class RetryLoans:
    """What one router has lent and borrowed, by service."""

    def __init__(
        self, own: str, counted_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """``counted_s`` is how long a repeat counts after the decision on it was made."""
        self._own = own
        self._clock = clock
        self._counted_s = counted_s
        self._random = random.Random()
        self._numbers = 0
        self._given: dict[str, list[GivenLoan]] = {}
        self._taken: dict[str, dict[tuple[str, int, int], TakenLoan]] = {}
        self._answered_s: dict[tuple[str, str], float] = {}

    # --- Lending ---

    def lent(self, service: str) -> float:
        """Return what is out of this router's share."""
        oldest_s = self._clock() - LOAN_S - FREEZE_S - self._counted_s
        given = [one for one in self._given.get(service, ()) if one.given_s >= oldest_s]
        if given:
            self._given[service] = given
        else:
            self._given.pop(service, None)
        return sum(one.loan.amount for one in given)

    def lend(self, service: str, borrower: str, needed: float, spare: float, fleet: int) -> bool:
        """Lend to a router that needs so much, where ``fleet`` routers may; return whether."""
        now_s = self._clock()
        if now_s - self._answered_s.get((service, borrower), -ANSWER_S) < ANSWER_S:
            return False
        amount = round(min(spare, needed, LARGEST_LOAN), 2)
        if amount < LEAST_LOAN:
            return False
        self._answered_s[service, borrower] = now_s
        if self._random.random() >= SURPLUS * needed / (amount * max(1, fleet - 1)):
            return False
        self._numbers += 1
        loan = RetryLoan(borrower, self._numbers, amount, round(LOAN_S * MS_A_SECOND))
        self._given.setdefault(service, []).append(GivenLoan(loan, now_s))
        return True

    def told(self, service: str) -> tuple[RetryLoan, ...]:
        """Return the loans that are fresh, with the time that they still are."""
        now_s = self._clock()
        fresh = [one for one in self._given.get(service, ()) if now_s - one.given_s < LOAN_S]
        return tuple(
            msgspec.structs.replace(
                one.loan, left_ms=round((LOAN_S - (now_s - one.given_s)) * MS_A_SECOND)
            )
            for one in fresh
        )

    # --- Borrowing ---

    def take(
        self, service: str, lender: str, incarnation: int, loans: tuple[RetryLoan, ...]
    ) -> bool:
        """Take the loans of a lender that are for this router; return whether any is new."""
        taken = False
        for loan in loans:
            key = (lender, incarnation, loan.number)
            if loan.borrower != self._own or key in self._taken.get(service, ()):
                continue
            fresh_until_s = self._clock() + loan.left_ms / MS_A_SECOND
            counts_until_s = fresh_until_s + self._counted_s
            kept = TakenLoan(loan.amount, fresh_until_s, counts_until_s)
            self._taken.setdefault(service, {})[key] = kept
            taken = True
        return taken

    def borrowed(self, service: str, spent: float, own_share: float) -> float:
        """Return what may be spent beyond the own share, where ``spent`` is spent already.

        A loan that is no longer fresh covers what was spent with it, and nothing new.
        """
        taken = self._taken.get(service)
        if not taken:
            return 0.0
        now_s = self._clock()
        for key in [key for key, loan in taken.items() if now_s > loan.counts_until_s]:
            del taken[key]
        beyond = max(0.0, spent - own_share)
        for loan in sorted(taken.values(), key=lambda loan: loan.fresh_until_s):
            if now_s > loan.fresh_until_s:
                loan.amount = min(loan.amount, beyond)
            beyond = max(0.0, beyond - loan.amount)
        if not taken:
            del self._taken[service]
        return sum(loan.amount for loan in taken.values())

    def drop_old(self) -> None:
        """Drop what counts no more."""
        for service in list(self._given):
            self.lent(service)
        oldest_s = self._clock() - ANSWER_S
        self._answered_s = {k: at_s for k, at_s in self._answered_s.items() if at_s >= oldest_s}

    def size(self) -> int:
        """Return how many loans are kept."""
        given = sum(len(loans) for loans in self._given.values())
        return given + sum(len(loans) for loans in self._taken.values())
