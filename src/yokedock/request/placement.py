"""Where a request is prefilled and decoded. Policies can be swapped behind ``PlacementPolicy``.

Reported load lags, so a gateway adds what it has itself sent since the report. Only the agent's
own record decides: a wrong choice here costs a round trip, never an overfull engine.
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
"""A decode engine in another zone counts as fuller by this share of its slots."""
OTHER_ZONE_PENALTY_S = 0.005
"""A prefill engine in another zone counts as later by this time."""
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class PrefillChoice:
    """A prefill engine and how long it would take there, queue included."""

    peer: AgentPeerHandle
    predicted_s: float


class SentSinceReport:
    """What this gateway sent to each peer since that peer's last load report."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self._lock = threading.Lock()
        self._report_s: dict[str, float] = {}
        self._sent: collections.Counter[str] = collections.Counter()

    def add(self, peer: AgentPeerHandle, amount: int) -> None:
        """Note slots (decode) or tokens (prefill) sent to the peer."""
        with self._lock:
            self._refresh(peer)
            self._sent[peer.name] += amount

    def amount(self, peer: AgentPeerHandle) -> int:
        """Return what the peer's last report cannot contain yet."""
        with self._lock:
            self._refresh(peer)
            return self._sent[peer.name]

    def _refresh(self, peer: AgentPeerHandle) -> None:
        if self._report_s.get(peer.name) != peer.view.load_at_s:
            self._report_s[peer.name] = peer.view.load_at_s
            self._sent[peer.name] = 0


class PlacementPolicy(abc.ABC):
    """Orders the candidates for both roles, the best first."""

    reserves = True
    """Whether decode room is reserved before prefill."""

    @abc.abstractmethod
    def order_decode(self, peers: list[AgentPeerHandle]) -> list[AgentPeerHandle]:
        """Return decode engines, the best first."""

    @abc.abstractmethod
    def order_prefill(
        self, peers: list[AgentPeerHandle], blocks: list[int], tokens: int
    ) -> list[PrefillChoice]:
        """Return prefill engines, the best first."""

    def decode_sent(self, peer: AgentPeerHandle) -> None:
        """Note that a stream was placed on the peer; the base keeps no such record."""
        return

    def prefill_sent(self, peer: AgentPeerHandle, tokens: int) -> None:
        """Note that a prefill was placed on the peer; the base keeps no such record."""
        return


def predict_prefill_s(peer: AgentPeerHandle, uncached: int, sent_tokens: int) -> float:
    """Return how long a prefill would take on the peer, by its last report."""
    load = peer.view.load
    if load is None:
        return 0.0
    speed = max(1.0, load.prefill_tokens_per_s)
    return (load.queued_prefill_tokens + sent_tokens + uncached) / speed


class CorrectedLoadPolicy(PlacementPolicy):
    """The product's policy: corrected load, cached prefix, own zone first, random ties."""

    def __init__(
        self,
        zone: str,
        reserves: bool = True,
        uses_prefix: bool = True,
        corrects: bool = True,
    ) -> None:
        """``zone`` is the gateway's own; the switches turn single mechanisms off."""
        self._zone = zone
        self.reserves = reserves
        self._uses_prefix = uses_prefix
        self._corrects = corrects
        self._random = new_random()
        self._slots_sent = SentSinceReport()
        self._tokens_sent = SentSinceReport()

    def order_decode(self, peers: list[AgentPeerHandle]) -> list[AgentPeerHandle]:
        """Return decode engines, the one with the largest free share first."""
        return sorted(peers, key=lambda peer: (self._fullness(peer), self._random.random()))

    def order_prefill(
        self, peers: list[AgentPeerHandle], blocks: list[int], tokens: int
    ) -> list[PrefillChoice]:
        """Return prefill engines, the one that would finish first at the front."""
        choices = [PrefillChoice(p, self._finish_s(p, blocks, tokens)) for p in peers]
        return sorted(choices, key=lambda choice: (choice.predicted_s, self._random.random()))

    def decode_sent(self, peer: AgentPeerHandle) -> None:
        """Note that a stream was placed on the peer."""
        if self._corrects:
            self._slots_sent.add(peer, 1)

    def prefill_sent(self, peer: AgentPeerHandle, tokens: int) -> None:
        """Note that a prefill was placed on the peer."""
        if self._corrects:
            self._tokens_sent.add(peer, tokens)

    def _fullness(self, peer: AgentPeerHandle) -> float:
        load = peer.view.load
        if load is None or load.slots == 0:
            return 1.0
        taken = load.slots_taken + self._slots_sent.amount(peer)
        penalty = 0.0 if peer.view.zone == self._zone else OTHER_ZONE_PENALTY
        return taken / load.slots + penalty

    def _finish_s(self, peer: AgentPeerHandle, blocks: list[int], tokens: int) -> float:
        cached = 0
        if self._uses_prefix:
            cached = cached_prefix_blocks(blocks, peer.view.caches) * BLOCK_TOKENS
        uncached = max(1, tokens - cached)
        penalty = 0.0 if peer.view.zone == self._zone else OTHER_ZONE_PENALTY_S
        return predict_prefill_s(peer, uncached, self._tokens_sent.amount(peer)) + penalty


class LeastLoadedPolicy(PlacementPolicy):
    """Baseline: the less loaded of two random engines, by the lagging report alone."""

    reserves = False

    def __init__(self, seed: int | None = None) -> None:
        """Set the seed of the random choices."""
        self._random = new_random(seed)

    def order_decode(self, peers: list[AgentPeerHandle]) -> list[AgentPeerHandle]:
        """Return one engine."""
        return self._less_loaded(peers, lambda p: p.view.load.slots_taken if p.view.load else 0)

    def order_prefill(
        self, peers: list[AgentPeerHandle], blocks: list[int], tokens: int
    ) -> list[PrefillChoice]:
        """Return one engine."""
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
    """Baseline: each engine in turn."""

    reserves = False

    def __init__(self) -> None:
        """Start with the first engine."""
        self._decode_turn = 0
        self._prefill_turn = 0

    def order_decode(self, peers: list[AgentPeerHandle]) -> list[AgentPeerHandle]:
        """Return the engine whose turn it is."""
        self._decode_turn += 1
        return [sorted(peers, key=lambda p: p.name)[self._decode_turn % len(peers)]]

    def order_prefill(
        self, peers: list[AgentPeerHandle], blocks: list[int], tokens: int
    ) -> list[PrefillChoice]:
        """Return the engine whose turn it is."""
        self._prefill_turn += 1
        peer = sorted(peers, key=lambda p: p.name)[self._prefill_turn % len(peers)]
        return [PrefillChoice(peer, predict_prefill_s(peer, tokens, 0))]


def candidates(peers: list[AgentPeerHandle], role: str) -> list[AgentPeerHandle]:
    """Return the peers that can take new work of ``role``; raises ``NoBackend`` if none."""
    found = [peer for peer in peers if can_take(peer, role)]
    if not found:
        names = {ROLE_DECODE: "decode", ROLE_PREFILL: "prefill"}
        message = f"no {names.get(role, role)} engine of this model is reachable; retry later"
        raise NoBackend(message, RETRY_AFTER_S)
    return found


def can_take(peer: AgentPeerHandle, role: str) -> bool:
    """Return whether the peer's last report says that it takes new work of ``role``."""
    load = peer.view.load
    return load is not None and load.ready and not load.leaving and load.role == role
