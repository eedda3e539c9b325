"""Selection of prefill and decode engines. Policies are interchangeable via ``PlacementPolicy``.

Reported load lags behind, so a gateway adds the work it has sent since the last report. The final
admission decision is the agent's: a wrong choice here costs a round trip but never overloads an
engine.
"""

from __future__ import annotations

import abc
import collections
import dataclasses
import threading
from collections.abc import Callable

from yokedock.base.randomness import new_random
from yokedock.connection.peer_view import AgentPeerHandle
from yokedock.errors import NoBackend
from yokedock.request.prefix import BLOCK_TOKENS, cached_prefix_blocks
from yokedock.version.bundle import ROLE_DECODE, ROLE_PREFILL

OTHER_ZONE_PENALTY = 0.05
"""Added to the utilization of a decode engine in another zone, as a share of its slots."""
OTHER_ZONE_PENALTY_S = 0.005
"""Added to the predicted finish time of a prefill engine in another zone, in seconds."""
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class PrefillChoice:
    """A prefill engine and the predicted time until the prefill finishes there, including
    queueing."""

    peer: AgentPeerHandle
    predicted_s: float


class UnreportedLoad:
    """The load sent by this gateway to each peer since that peer's last load report."""

    def __init__(self) -> None:
        """Create an empty record."""
        self._lock = threading.Lock()
        self._report_s: dict[str, float] = {}
        self._sent: collections.Counter[str] = collections.Counter()

    def add(self, peer: AgentPeerHandle, amount: int) -> None:
        """Record slots (decode) or tokens (prefill) sent to the peer."""
        with self._lock:
            self._refresh(peer)
            self._sent[peer.name] += amount

    def amount(self, peer: AgentPeerHandle) -> int:
        """Return the load sent to the peer that its last report cannot include yet."""
        with self._lock:
            self._refresh(peer)
            return self._sent[peer.name]

    def _refresh(self, peer: AgentPeerHandle) -> None:
        if self._report_s.get(peer.name) != peer.view.load_at_s:
            self._report_s[peer.name] = peer.view.load_at_s
            self._sent[peer.name] = 0


class PlacementPolicy(abc.ABC):
    """Ranks the candidate engines for both roles, best first."""

    reserves_decode = True
    """Whether a decode slot is reserved before the prefill starts."""

    @abc.abstractmethod
    def order_decode(self, peers: list[AgentPeerHandle]) -> list[AgentPeerHandle]:
        """Return the decode engines, best first."""

    @abc.abstractmethod
    def order_prefill(
        self, peers: list[AgentPeerHandle], blocks: list[int], tokens: int
    ) -> list[PrefillChoice]:
        """Return the prefill engines, best first."""

    def record_decode_placement(self, peer: AgentPeerHandle) -> None:
        """Record that a stream was placed on the peer; a no-op in the base class."""
        return

    def record_prefill_placement(self, peer: AgentPeerHandle, tokens: int) -> None:
        """Record that a prefill was placed on the peer; a no-op in the base class."""
        return


def predict_prefill_s(peer: AgentPeerHandle, uncached: int, sent_tokens: int) -> float:
    """Return the predicted duration of a prefill on the peer, based on its last report."""
    load = peer.view.load
    if load is None:
        return 0.0
    speed = max(1.0, load.prefill_tokens_per_s)
    return (load.queued_prefill_tokens + sent_tokens + uncached) / speed


class CorrectedLoadPolicy(PlacementPolicy):
    """The default policy: corrected load, cached prefix, own zone preferred, ties broken at
    random."""

    def __init__(
        self,
        zone: str,
        reserves_decode: bool = True,
        uses_prefix: bool = True,
        corrects_load: bool = True,
    ) -> None:
        """``zone`` is the gateway's own zone; the flags disable individual mechanisms."""
        self._zone = zone
        self.reserves_decode = reserves_decode
        self._uses_prefix = uses_prefix
        self._corrects_load = corrects_load
        self._random = new_random()
        self._slots_sent = UnreportedLoad()
        self._tokens_sent = UnreportedLoad()

    def order_decode(self, peers: list[AgentPeerHandle]) -> list[AgentPeerHandle]:
        """Return the decode engines, largest free share first."""
        return sorted(peers, key=lambda peer: (self._fullness(peer), self._random.random()))

    def order_prefill(
        self, peers: list[AgentPeerHandle], blocks: list[int], tokens: int
    ) -> list[PrefillChoice]:
        """Return the prefill engines, earliest predicted finish first."""
        choices = [PrefillChoice(p, self._predicted_finish_s(p, blocks, tokens)) for p in peers]
        return sorted(choices, key=lambda choice: (choice.predicted_s, self._random.random()))

    def record_decode_placement(self, peer: AgentPeerHandle) -> None:
        """Record that a stream was placed on the peer."""
        if self._corrects_load:
            self._slots_sent.add(peer, 1)

    def record_prefill_placement(self, peer: AgentPeerHandle, tokens: int) -> None:
        """Record that a prefill was placed on the peer."""
        if self._corrects_load:
            self._tokens_sent.add(peer, tokens)

    def _fullness(self, peer: AgentPeerHandle) -> float:
        load = peer.view.load
        if load is None or load.slots == 0:
            return 1.0
        taken = load.slots_taken + self._slots_sent.amount(peer)
        penalty = 0.0 if peer.view.zone == self._zone else OTHER_ZONE_PENALTY
        return taken / load.slots + penalty

    def _predicted_finish_s(self, peer: AgentPeerHandle, blocks: list[int], tokens: int) -> float:
        cached = 0
        if self._uses_prefix:
            cached = cached_prefix_blocks(blocks, peer.view.caches) * BLOCK_TOKENS
        uncached = max(1, tokens - cached)
        penalty = 0.0 if peer.view.zone == self._zone else OTHER_ZONE_PENALTY_S
        return predict_prefill_s(peer, uncached, self._tokens_sent.amount(peer)) + penalty


class LeastLoadedPolicy(PlacementPolicy):
    """Baseline: the less loaded of two random engines, using only the lagging load report."""

    reserves_decode = False

    def __init__(self, seed: int | None = None) -> None:
        """``seed`` makes the random choices reproducible."""
        self._random = new_random(seed)

    def order_decode(self, peers: list[AgentPeerHandle]) -> list[AgentPeerHandle]:
        """Return the chosen decode engine as a list of one."""
        return self._less_loaded(peers, lambda p: p.view.load.slots_taken if p.view.load else 0)

    def order_prefill(
        self, peers: list[AgentPeerHandle], blocks: list[int], tokens: int
    ) -> list[PrefillChoice]:
        """Return the chosen prefill engine as a list of one."""
        chosen = self._less_loaded(
            peers, lambda p: p.view.load.queued_prefill_tokens if p.view.load else 0
        )
        return [PrefillChoice(peer, predict_prefill_s(peer, tokens, 0)) for peer in chosen]

    def _less_loaded(
        self, peers: list[AgentPeerHandle], load: Callable[[AgentPeerHandle], int]
    ) -> list[AgentPeerHandle]:
        two = self._random.sample(peers, min(2, len(peers)))
        return sorted(two, key=load)[:1]


class RoundRobinPolicy(PlacementPolicy):
    """Baseline: engines are chosen in rotation, ordered by name."""

    reserves_decode = False

    def __init__(self) -> None:
        """Start both rotations."""
        self._decode_turn = 0
        self._prefill_turn = 0

    def order_decode(self, peers: list[AgentPeerHandle]) -> list[AgentPeerHandle]:
        """Return the next decode engine in rotation as a list of one."""
        self._decode_turn += 1
        return [sorted(peers, key=lambda p: p.name)[self._decode_turn % len(peers)]]

    def order_prefill(
        self, peers: list[AgentPeerHandle], blocks: list[int], tokens: int
    ) -> list[PrefillChoice]:
        """Return the next prefill engine in rotation as a list of one."""
        self._prefill_turn += 1
        peer = sorted(peers, key=lambda p: p.name)[self._prefill_turn % len(peers)]
        return [PrefillChoice(peer, predict_prefill_s(peer, tokens, 0))]


def candidates(peers: list[AgentPeerHandle], role: str) -> list[AgentPeerHandle]:
    """Return the peers that accept new work for ``role``; raises ``NoBackend`` if there are
    none."""
    found = [peer for peer in peers if accepts_work(peer, role)]
    if not found:
        names = {ROLE_DECODE: "decode", ROLE_PREFILL: "prefill"}
        message = f"no {names.get(role, role)} engine of this model is available; retry later"
        raise NoBackend(message, RETRY_AFTER_S)
    return found


def accepts_work(peer: AgentPeerHandle, role: str) -> bool:
    """Return whether the peer accepts new work for ``role`` according to its last report."""
    load = peer.view.load
    return load is not None and load.ready and not load.leaving and load.role == role
