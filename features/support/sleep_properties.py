"""What a router believes of datagrams that queued up while it stood still."""

import asyncio
import itertools
import socket
import time

import msgspec

from support.gossip_properties import state
from support.processes import worker_ports
from support.router_properties import Clock
from yokedock.base.clock import boot_time_s
from yokedock.connection.router_gossip import SILENT_S, RouterGossip
from yokedock.connection.router_state import EngineShare, LimitShare, RouterState, SuspectRequest
from yokedock.connection.state_source import BackendEntry
from yokedock.process.leadership import Leadership, Vote
from yokedock.request.backend_gossip import BackendGossip
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.poison_requests import PoisonRequests
from yokedock.request.remote_reservations import LIFETIME_S, RemoteReservations

OTHER = "127.0.0.9"
SLEEP_S = 2.2
"""Longer than a router may be silent."""
LAST_WORD_S = 0.1
"""After so much of a sleep the other router has said its last word."""
SHARE = EngineShare(700, 2, 30)
_hosts = itertools.count(20)


class Sleeper:
    """A router's gossip on a real socket, and another router that is only a socket."""

    def __init__(self):
        self.address = f"127.0.1.{next(_hosts)}"
        self.port = int(worker_ports().address().rpartition(":")[2])
        self.ledger = EngineLedger()
        self.votes = []
        self.silent = []
        self.gossip = RouterGossip(
            self.address,
            self.port,
            (),
            lambda sequence, named: state("own", sequence, named),
            self._heard,
            self._forget,
        )
        self._other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._other.bind((OTHER, self.port))
        self._other.setblocking(False)
        self._sequence = itertools.count(1)

    def _heard(self, other):
        self.ledger.heard(other.address, other.state.shares, other.heard_s)
        self.votes.append(Vote(other.address, other.state.leader, other.heard_s))

    def _forget(self, other):
        self.silent.append(other.address)
        self.ledger.forget(other.address)

    def tell(self, shares, **more):
        """Have the other router speak."""
        told = state("other", next(self._sequence))
        told.shares, told.leader = shares, self.address
        for name, value in more.items():
            setattr(told, name, value)
        self._other.sendto(msgspec.msgpack.encode(told), (self.address, self.port))

    def told(self):
        """Return what the other router has been told since the last call."""
        states = []
        while True:
            try:
                data = self._other.recv(65536)
            except BlockingIOError:
                return states
            states.append(msgspec.msgpack.decode(data, type=RouterState))

    def play(self, work):
        """Run ``work`` beside the gossip."""

        async def run():
            await self.gossip.start()
            speaking = asyncio.create_task(self.gossip.run())
            try:
                await work(self)
            finally:
                speaking.cancel()
                self._other.close()
                self.gossip._transport.close()

        asyncio.run(run())


async def meet(sleeper):
    """Have both routers hear each other."""
    sleeper.tell({"e": SHARE})
    await asyncio.sleep(0.1)
    assert sleeper.ledger.streams("e") == 2


def what_was_told_in_a_sleep_is_as_old_as_the_sleep():
    """Guards against promises of a dead router that stand anew from the waking on."""

    async def work(sleeper):
        await meet(sleeper)
        time.sleep(LAST_WORD_S)
        sleeper.tell({"e": SHARE, "f": SHARE})
        time.sleep(SLEEP_S)
        await asyncio.sleep(0.02)
        assert sleeper.silent == [OTHER], sleeper.silent
        assert sleeper.ledger.size() == 0, sleeper.ledger.levels()

    Sleeper().play(work)


def a_router_that_woke_asks_the_others_at_once():
    """Guards against choices by what was told before a sleep, until the others' next heartbeat."""

    async def work(sleeper):
        await meet(sleeper)
        sleeper.told()
        time.sleep(0.8)
        await asyncio.sleep(0.02)
        assert sum(told.is_asking for told in sleeper.told()) == 1

    Sleeper().play(work)


def who_is_asked_answers_at_once():
    """Guards against the same, at the router that is asked."""

    async def work(sleeper):
        await meet(sleeper)
        await asyncio.sleep(0.05)
        sleeper.told()
        sleeper.tell({}, is_asking=True)
        await asyncio.sleep(0.01)
        assert sleeper.told()

    Sleeper().play(work)


def all_that_waits_is_read_before_anything_is_chosen():
    """Guards against choices by the oldest of many datagrams: one a round of the loop was read."""

    async def work(sleeper):
        await meet(sleeper)
        for number in range(20):
            sleeper.tell({"e": EngineShare(number, number, 0)})
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert sleeper.ledger.streams("e") == 19, sleeper.ledger.streams("e")

    Sleeper().play(work)


def votes_that_queued_up_in_a_sleep_make_no_leader():
    """Guards against two leaders: the kernel keeps the oldest votes, which may name the sleeper."""

    async def work(sleeper):
        leadership = Leadership(sleeper.address, 0.0, True)
        await meet(sleeper)
        time.sleep(LAST_WORD_S)
        sleeper.tell({})
        time.sleep(SLEEP_S)
        await asyncio.sleep(0.02)
        leadership.heard(sleeper.votes[-1])
        assert boot_time_s() - sleeper.votes[-1].heard_s >= SLEEP_S
        leadership.drop_old_votes()
        assert leadership.size() == 0

    Sleeper().play(work)


def a_router_that_runs_believes_what_it_reads():
    """What comes while a router runs counts from then, however seldom anybody speaks."""

    async def work(sleeper):
        await meet(sleeper)
        await asyncio.sleep(1.2)
        await asyncio.sleep(0.01)
        sleeper.tell({"e": SHARE})
        await asyncio.sleep(0.02)
        assert boot_time_s() - sleeper.votes[-1].heard_s < 0.2
        assert [one.address for one in sleeper.gossip.alive()] == [OTHER] and not sleeper.silent
        assert sleeper.ledger.levels()["promises_heard_age_s"] < SILENT_S

    Sleeper().play(work)


def promises_lapse_whether_or_not_anybody_reads_them():
    """Guards against rows of a silent router that stay until somebody places a stream there."""
    clock = Clock()
    promises = RemoteReservations(clock)
    promises.heard("a", {"e": SHARE})
    promises.heard("b", {"e": SHARE}, clock.now_s - LIFETIME_S - 0.1)
    clock.now_s += 0.01
    assert promises.drop_expired() and promises.totals("e").streams == 2
    clock.now_s += LIFETIME_S
    assert promises.drop_expired() and promises.size() == 0
    assert not promises.drop_expired()


def what_is_heard_late_counts_from_when_it_was_told():
    """Limits, leavings, failures and suspects that were told in a sleep are as old as they are."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    registry.update([BackendEntry("a", "s", "127.0.0.1:1")], ())
    told_s = clock.now_s - 3.0
    talk, backend = BackendGossip(registry), registry.get("a")
    backend.limit.record_answer(4.0, clock.now_s - 1.0, clock.now_s - 1.0)
    talk.apply_remote_limits("b", {"a": LimitShare(1.0, age_ms=10, taken=0)}, told_s)
    assert backend.limit.per_s == 4.0, "a newer answer said so"
    talk.apply_remote_broken({"a": 80}, told_s)
    assert backend.health.failure_rate(clock.now_s) < 0.55
    talk.apply_remote_leaving(("a",), told_s)
    assert not backend.may_take_as_last_resort(clock.now_s)
    poison = PoisonRequests(clock=clock)
    poison.heard((SuspectRequest(7, (1, 2, 3)),), told_s)
    assert poison._suspects[7].last_s() == told_s


SLEEP_PROPERTIES = {
    "what was told in a sleep is as old as the sleep": (
        what_was_told_in_a_sleep_is_as_old_as_the_sleep
    ),
    "a router that woke asks the others at once": a_router_that_woke_asks_the_others_at_once,
    "who is asked answers at once": who_is_asked_answers_at_once,
    "all that waits is read before anything is chosen": (
        all_that_waits_is_read_before_anything_is_chosen
    ),
    "votes that queued up in a sleep make no leader": (
        votes_that_queued_up_in_a_sleep_make_no_leader
    ),
    "a router that runs believes what it reads": a_router_that_runs_believes_what_it_reads,
    "promises lapse whether or not anybody reads them": (
        promises_lapse_whether_or_not_anybody_reads_them
    ),
    "what is heard late counts from when it was told": (
        what_is_heard_late_counts_from_when_it_was_told
    ),
}
