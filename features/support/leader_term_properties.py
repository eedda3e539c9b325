"""Properties of the terms in which routers may give orders, with a simulated clock."""

import random

from hypothesis import strategies as st

from support.router_properties import LEASE_S, TICK_S, Clock
from support.search import searched
from yokedock.process.leader_term import LeaderTerm
from yokedock.process.leadership import Leadership, Vote

VOTE_CHANGE_S = LEASE_S + 2.5
MEETING_S = 6.0
ELECTION_S = 3 * VOTE_CHANGE_S
"""Time for both leaders to give up, one election in which votes are split, and another one."""


class TermRouter:
    """The vote and the term of one router, which at first knows the routers of its group only."""

    def __init__(self, name, group_size, fleet_size, clock, skew_ms=0):
        self.name, self.clock, self.is_stopping = name, clock, False
        self.leadership = Leadership(name, LEASE_S, True, clock)
        self.term = LeaderTerm(LEASE_S, clock, lambda: int(clock.now_s * 1000) + skew_ms)
        self.known, self._fleet_size = group_size, fleet_size

    def report(self):
        vote = "" if self.is_stopping else self.leadership.vote()
        return vote, self.term.highest_token, self.term.reported(self.leads()), self.is_stopping

    def leads(self):
        return not self.is_stopping and self.leadership.leads(self.known)

    def stop(self):
        self.leadership.resign()
        self.is_stopping = True

    def hear(self, other, report, is_of_other_group):
        vote, highest_token, term, is_stopping = report
        if is_of_other_group:
            self.known = self._fleet_size
        self.term.hear(highest_token, term)
        self.leadership.heard(Vote(other, vote, self.clock.now_s, is_stopping))


def exchange(senders, recipients, is_of_other_group, is_lost=lambda: False):
    """Deliver each sender's report; return the pairs (sender, recipient) that got through."""
    reports = [(sender, sender.report()) for sender in senders]
    delivered = [
        (sender, report, recipient)
        for sender, report in reports
        for recipient in recipients
        if sender is not recipient and not is_lost()
    ]
    for sender, report, recipient in delivered:
        recipient.hear(sender.name, report, is_of_other_group)
    return {(sender.name, recipient.name) for sender, _, recipient in delivered}


def holders(routers):
    return [
        (router.name, token)
        for router in routers
        if (token := router.term.token(router.leads())) is not None
    ]


@searched(
    seed=st.integers(0, 10_000),
    first=st.integers(1, 5),
    later=st.integers(1, 5),
    loss=st.floats(0, 0.1),
)
def two_terms_are_a_lease_apart_when_groups_meet(seed, first, later, loss):
    """Once two leaders that did not know each other have met, orders are a lease apart.

    The fencing tokens rise from then on, and there is one leader again after a while.
    """
    chance = random.Random(seed)
    clock = Clock()
    names = [f"10.0.0.{number}" for number in range(first + later)]
    chance.shuffle(names)
    size = len(names)
    fleet = [
        TermRouter(
            name, first if number < first else later, size, clock, chance.randint(-9000, 9000)
        )
        for number, name in enumerate(names)
    ]
    groups = [fleet[:first], fleet[first:]]
    orders, heard = [], set()

    def is_lost():
        return chance.random() < loss

    def step():
        clock.now_s += TICK_S
        for group in groups:
            exchange(group, group, False, is_lost)

    def give_orders():
        orders.extend((clock.now_s, *holder) for holder in holders(fleet))

    while clock.now_s < 100.0 + MEETING_S or not all(holders(group) for group in groups):
        step()
        give_orders()
    leaders = [holders(group)[0][0] for group in groups]
    began_s = clock.now_s
    have_met = False
    while clock.now_s < began_s + ELECTION_S:
        step()
        heard |= exchange(groups[0], groups[1], True, is_lost)
        heard |= exchange(groups[1], groups[0], True, is_lost)
        have_met |= (leaders[0], leaders[1]) in heard and (leaders[1], leaders[0]) in heard
        for name, token in holders(fleet) if have_met else ():
            for at_s, other, earlier in orders:
                assert other == name or clock.now_s - at_s > LEASE_S, (at_s, other, name)
                assert token >= earlier, (token, earlier)
        give_orders()
    assert have_met and len(holders(fleet)) == 1, holders(fleet)


def a_regular_change_of_the_leader_suspends_no_orders():
    """A router that leads after another one has stopped may give orders as soon as it leads."""
    for size in range(3, 8):
        clock = Clock()
        names = [f"10.0.0.{number}" for number in range(size)]
        fleet = [TermRouter(name, size, size, clock) for name in names]
        led = set()
        for step in range(80):
            clock.now_s += TICK_S
            if step == 20:
                fleet[0].stop()
            exchange(fleet, fleet, False)
            leaders = [router.name for router in fleet if router.leads()]
            assert [name for name, _ in holders(fleet)] == leaders, clock.now_s
            led |= set(leaders)
        assert led == set(names[:2]), led


def a_leader_that_hears_a_higher_token_begins_a_new_term():
    """After a lease it has a token above all others; a lower token changes nothing."""
    clock = Clock()
    term = LeaderTerm(LEASE_S, clock, lambda: 1000)
    assert term.token(True) == 1000
    term.hear(900, 0)
    assert term.token(True) == 1000
    term.hear(2000, 0)
    assert term.token(True) is None
    clock.now_s += LEASE_S
    assert term.token(True) == 2001


LEADER_TERM_PROPERTIES = {
    "a leader that hears a higher token begins a new term": (
        a_leader_that_hears_a_higher_token_begins_a_new_term
    ),
    "two terms are a lease apart when groups meet": two_terms_are_a_lease_apart_when_groups_meet,
    "a regular change of the leader suspends no orders": (
        a_regular_change_of_the_leader_suspends_no_orders
    ),
}
