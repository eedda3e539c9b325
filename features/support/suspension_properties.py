"""How a router treats datagrams that were queued while its process was suspended."""

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
SUSPENSION_S = 2.2
"""Longer than the silence after which a router is dropped."""
LAST_DATAGRAM_S = 0.1
"""Time into the suspension at which the other router sends its last datagram."""
SHARE = EngineShare(700, 2, 30)
_hosts = itertools.count(20)


class RouterUnderTest:
    """A router's gossip on a real socket, and a bare socket as the other router."""

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
            self._on_state,
            self._on_silence,
        )
        self._other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._other.bind((OTHER, self.port))
        self._other.setblocking(False)
        self._sequence = itertools.count(1)

    def _on_state(self, other):
        self.ledger.heard(other.address, other.state.shares, other.heard_s)
        self.votes.append(Vote(other.address, other.state.leader, other.heard_s))

    def _on_silence(self, other):
        self.silent.append(other.address)
        self.ledger.forget(other.address)

    def send_state(self, shares, **fields):
        """Send a state from the other router."""
        sent = state("other", next(self._sequence))
        sent.shares, sent.leader = shares, self.address
        for name, value in fields.items():
            setattr(sent, name, value)
        self._other.sendto(msgspec.msgpack.encode(sent), (self.address, self.port))

    def received(self):
        """Return the states that the other router has received since the last call."""
        states = []
        while True:
            try:
                data = self._other.recv(65536)
            except BlockingIOError:
                return states
            states.append(msgspec.msgpack.decode(data, type=RouterState))

    def run_with_gossip(self, work):
        """Run ``work`` while the gossip runs."""

        async def run():
            await self.gossip.start()
            gossip_task = asyncio.create_task(self.gossip.run())
            try:
                await work(self)
            finally:
                gossip_task.cancel()
                self._other.close()
                self.gossip._transport.close()

        asyncio.run(run())


async def receive_state(router):
    """Deliver a state of the other router."""
    router.send_state({"e": SHARE})
    await asyncio.sleep(0.1)
    assert router.ledger.streams("e") == 2


def state_queued_in_a_suspension_is_dated_before_it():
    """Guards against counting a dead router's reservations as new after a suspension."""

    async def work(router):
        await receive_state(router)
        time.sleep(LAST_DATAGRAM_S)
        router.send_state({"e": SHARE, "f": SHARE})
        time.sleep(SUSPENSION_S)
        await asyncio.sleep(0.02)
        assert router.silent == [OTHER], router.silent
        assert router.ledger.size() == 0, router.ledger.levels()

    RouterUnderTest().run_with_gossip(work)


def a_resumed_router_requests_state_at_once():
    """Guards against placement by state from before a suspension until the next heartbeat."""

    async def work(router):
        await receive_state(router)
        router.received()
        time.sleep(0.8)
        await asyncio.sleep(0.02)
        assert sum(message.is_asking for message in router.received()) == 1

    RouterUnderTest().run_with_gossip(work)


def a_request_for_state_is_answered_at_once():
    """The router that is asked replies at once; otherwise the asking one keeps old state."""

    async def work(router):
        await receive_state(router)
        await asyncio.sleep(0.05)
        router.received()
        router.send_state({}, is_asking=True)
        await asyncio.sleep(0.01)
        assert router.received()

    RouterUnderTest().run_with_gossip(work)


def all_queued_datagrams_are_read_before_placement():
    """Guards against placement by the oldest datagram when the loop reads one per iteration."""

    async def work(router):
        await receive_state(router)
        for number in range(20):
            router.send_state({"e": EngineShare(number, number, 0)})
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert router.ledger.streams("e") == 19, router.ledger.streams("e")

    RouterUnderTest().run_with_gossip(work)


def votes_queued_in_a_suspension_elect_no_leader():
    """Guards against two leaders.

    A full receive buffer keeps the oldest votes, which may name the suspended router.
    """

    async def work(router):
        leadership = Leadership(router.address, 0.0, True)
        await receive_state(router)
        time.sleep(LAST_DATAGRAM_S)
        router.send_state({})
        time.sleep(SUSPENSION_S)
        await asyncio.sleep(0.02)
        leadership.heard(router.votes[-1])
        assert boot_time_s() - router.votes[-1].heard_s >= SUSPENSION_S
        leadership.drop_old_votes()
        assert leadership.size() == 0

    RouterUnderTest().run_with_gossip(work)


def a_running_router_dates_state_from_its_arrival():
    """A running router dates a state from its arrival, however rare datagrams are."""

    async def work(router):
        await receive_state(router)
        await asyncio.sleep(1.2)
        await asyncio.sleep(0.01)
        router.send_state({"e": SHARE})
        await asyncio.sleep(0.02)
        assert boot_time_s() - router.votes[-1].heard_s < 0.2
        assert [r.address for r in router.gossip.alive()] == [OTHER] and not router.silent
        assert router.ledger.levels()["promises_heard_age_s"] < SILENT_S

    RouterUnderTest().run_with_gossip(work)


def reservations_expire_without_being_read():
    """Guards against reservations of a silent router that stay until the next placement."""
    clock = Clock()
    reservations = RemoteReservations(clock)
    reservations.heard("a", {"e": SHARE})
    reservations.heard("b", {"e": SHARE}, clock.now_s - LIFETIME_S - 0.1)
    clock.now_s += 0.01
    assert reservations.drop_expired() and reservations.totals("e").streams == 2
    clock.now_s += LIFETIME_S
    assert reservations.drop_expired() and reservations.size() == 0
    assert not reservations.drop_expired()


def state_received_late_is_dated_from_its_sending():
    """Limits, leaving states, failures and suspects are dated from when they were sent."""
    clock = Clock()
    registry = BackendRegistry("", clock)
    registry.update([BackendEntry("a", "s", "127.0.0.1:1")], ())
    sent_s = clock.now_s - 3.0
    backend_gossip, backend = BackendGossip(registry), registry.get("a")
    backend.limit.record_answer(4.0, clock.now_s - 1.0, clock.now_s - 1.0)
    backend_gossip.apply_remote_limits("b", {"a": LimitShare(1.0, age_ms=10, taken=0)}, sent_s)
    assert backend.limit.per_s == 4.0, "a newer answer said so"
    backend_gossip.apply_remote_broken({"a": 80}, sent_s)
    assert backend.health.failure_rate(clock.now_s) < 0.55
    backend_gossip.apply_remote_leaving(("a",), sent_s)
    assert not backend.may_take_as_last_resort(clock.now_s)
    poison = PoisonRequests(clock=clock)
    poison.heard((SuspectRequest(7, (1, 2, 3)),), sent_s)
    assert poison._suspects[7].last_s() == sent_s


SUSPENSION_PROPERTIES = {
    "what was told in a sleep is as old as the sleep": (
        state_queued_in_a_suspension_is_dated_before_it
    ),
    "a router that woke asks the others at once": a_resumed_router_requests_state_at_once,
    "who is asked answers at once": a_request_for_state_is_answered_at_once,
    "all that waits is read before anything is chosen": (
        all_queued_datagrams_are_read_before_placement
    ),
    "votes that queued up in a sleep make no leader": (
        votes_queued_in_a_suspension_elect_no_leader
    ),
    "a router that runs believes what it reads": a_running_router_dates_state_from_its_arrival,
    "promises lapse whether or not anybody reads them": reservations_expire_without_being_read,
    "what is heard late counts from when it was told": (
        state_received_late_is_dated_from_its_sending
    ),
}
