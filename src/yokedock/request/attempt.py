"""One attempt of a model request, run synchronously: reserve, prefill, decode, wait for the end."""

from __future__ import annotations

import dataclasses
import functools
import time
from collections.abc import Callable
from typing import Any

from yokedock.base.clock import boot_time_s
from yokedock.base.histograms import Histograms, Measure
from yokedock.connection.peer_view import AgentPeerHandle
from yokedock.errors import (
    AttemptLost,
    NoDecodeCapacity,
    NoPrefillCapacity,
    NotReady,
    PeerNeverReached,
    PeerTimeout,
    PeerUnreachable,
    Refused,
    StaleVersion,
    StreamGap,
    YokedockError,
)
from yokedock.messages import (
    AnyMessage,
    Decode,
    Done,
    Prefill,
    Prefilled,
    Reserve,
    Reserved,
    Resume,
    Sampling,
    StepFrame,
)
from yokedock.request.answer_stream import AnswerStream
from yokedock.request.context import RequestContext
from yokedock.request.placement import PlacementPolicy, PrefillChoice, candidates
from yokedock.request.prefix import block_hashes, estimate_tokens
from yokedock.version.bundle import ROLE_DECODE, ROLE_PREFILL
from yokedock.version.bundle_store import BundleStore

DECODE_CANDIDATES = 3
"""Maximum number of decode engines asked for a slot before the request is rejected."""
PREFILL_CANDIDATES = 2
RESERVE_TIMEOUT_S = 0.5
DECODE_TIMEOUT_S = 10.0
PREFILL_GRACE_S = 2.0
RESUME_TIMEOUT_S = 1.0
RESUME_RETRY_S = 0.05
STALE_RETRIES = 20
STALE_RETRY_S = 0.05
RESERVATION_MARGIN_MS = 2000
"""A reservation outlasts the predicted prefill by this, to allow for the transfer and delays."""
FIRST_STEP_MARGIN_MS = 60
"""Part of the time-to-first-token budget reserved for the transfer and the first decode step."""
MAX_PREFILL_LEAD_S = 1.0
"""A prefill is started so that its result waits at most this long for its decode slot."""
NEVER_S = float("inf")


@dataclasses.dataclass(frozen=True)
class ModelOrder:
    """Parameters of a generation as requested by the caller."""

    model: str
    adapter: str
    prompt: str
    max_tokens: int
    sampling: Sampling = dataclasses.field(default_factory=Sampling)


@dataclasses.dataclass(frozen=True)
class AttemptPlacement:
    """Engines chosen for one attempt, for logs and the demo's report."""

    attempt: str
    prefill: str
    decode: str


@dataclasses.dataclass(frozen=True)
class AttemptServices:
    """Dependencies shared by all attempts of a gateway.

    ``peers_of_model`` returns the agents of a model's engines in the gateway's subset.
    """

    store: BundleStore
    peers_of_model: Callable[[str], list[AgentPeerHandle]]
    policy: PlacementPolicy
    histograms: Histograms


class Attempt:
    """One attempt of a model request."""

    def __init__(
        self,
        services: AttemptServices,
        context: RequestContext,
        order: ModelOrder,
        stream: AnswerStream,
        attempt: str,
        placed: list[AttemptPlacement],
    ) -> None:
        """Initialize the attempt with id ``attempt``; its placement is appended to ``placed``."""
        self._services = services
        self._policy = services.policy
        self._context = context
        self._order = order
        self._stream = stream
        self._attempt = attempt
        self._placed = placed
        self._text = order.prompt + stream.text()
        self._blocks = block_hashes(self._text)
        self._tokens = estimate_tokens(self._text)
        self._first_sequence = len(stream.tokens)
        self._started_s = context.arrived_s if not stream.tokens else boot_time_s()
        self._held_peers: list[AgentPeerHandle] = []

    def run(self) -> None:
        """Reserve, prefill and decode; everything acquired is released at the end."""
        self._stream.begin_attempt(self._attempt)
        try:
            peers = self._services.peers_of_model(self._order.model)
            choices = self._policy.order_prefill(
                candidates(peers, ROLE_PREFILL), self._blocks, self._tokens
            )
            decode_peers = self._policy.order_decode(candidates(peers, ROLE_DECODE))
            decode_peer, free_s = self._reserve(decode_peers, choices[0].predicted_s)
            self._delay_prefill(free_s, choices[0].predicted_s)
            prefill_peer, prefilled = self._prefill(choices)
            self._placed.append(
                AttemptPlacement(self._attempt, prefill_peer.name, decode_peer.name)
            )
            self._decode(decode_peer, prefilled)
            self._release_at(prefill_peer)
            self._finish(decode_peer)
        finally:
            for peer in list(self._held_peers):
                self._release_at(peer)

    def _reserve(
        self, peers: list[AgentPeerHandle], predicted_s: float
    ) -> tuple[AgentPeerHandle, float]:
        """Reserve a slot on the first engine that can provide one in time.

        Raises ``NoDecodeCapacity`` if the last engine asked does not reply: it is short of CPU
        time, and another attempt at once would add to its load.
        """
        refusal: YokedockError = NoDecodeCapacity("no decode engine is available; retry later")
        soonest_s = NEVER_S
        for peer in peers[:DECODE_CANDIDATES]:
            self._hold(peer)
            self._policy.record_decode_placement(peer)
            try:
                reserved = self._call(
                    peer,
                    lambda version: self._reserve_message(version, predicted_s),
                    RESERVE_TIMEOUT_S,
                )
            except (Refused, PeerUnreachable) as error:
                self._release_at(peer)
                refusal = error
                soonest_s = min(soonest_s, error.retry_after_s or NEVER_S)
                continue
            assert isinstance(reserved, Reserved)
            return peer, reserved.free_in_ms / 1000
        if isinstance(refusal, PeerTimeout):
            refusal = NoDecodeCapacity(
                "no decode engine replied in time; retry later", refusal.retry_after_s
            )
        if isinstance(refusal, Refused) and soonest_s < NEVER_S:
            refusal.retry_after_s = soonest_s
        raise refusal

    def _reserve_message(self, version: int, predicted_s: float) -> Reserve:
        predicted_ms = int(predicted_s * 1000)
        first_token_ms = self._context.caller.request_class.first_token_ms
        waited_ms = int((boot_time_s() - self._started_s) * 1000)
        latest_ms = first_token_ms - waited_ms - FIRST_STEP_MARGIN_MS
        ready_by_ms = max(predicted_ms, latest_ms)
        if not self._policy.reserves_decode:
            ready_by_ms = self._context.remaining_ms()
        return Reserve(
            self._attempt,
            version,
            predicted_ms,
            ready_by_ms,
            max(ready_by_ms, predicted_ms) + RESERVATION_MARGIN_MS,
            self._stream.tokens_left(),
            self._context.priority,
        )

    def _delay_prefill(self, free_s: float, predicted_s: float) -> None:
        """Delay the prefill until its slot is nearly free: results expire within seconds."""
        early_s = free_s - predicted_s - MAX_PREFILL_LEAD_S
        if early_s > 0 and self._policy.reserves_decode:
            time.sleep(min(early_s, self._context.remaining_ms() / 1000))
            self._context.check()

    def _prefill(self, choices: list[PrefillChoice]) -> tuple[AgentPeerHandle, Prefilled]:
        """Run the prefill on the first engine that can finish it in time."""
        refusal: YokedockError = NoPrefillCapacity("no prefill engine is available; retry later")
        for choice in choices[:PREFILL_CANDIDATES]:
            self._hold(choice.peer)
            self._policy.record_prefill_placement(choice.peer, self._tokens)
            first_token_by_ms = self._first_token_by_ms()
            had_run, self._context.may_have_run = self._context.may_have_run, True
            try:
                prefilled = self._call(
                    choice.peer,
                    functools.partial(self._prefill_message, first_token_by_ms),
                    self._prefill_timeout_s(choice.predicted_s),
                )
            except (Refused, PeerNeverReached) as error:
                self._context.may_have_run = had_run
                self._release_at(choice.peer)
                refusal = error
                continue
            assert isinstance(prefilled, Prefilled)
            computed = prefilled.prompt_tokens - prefilled.cached_tokens
            self._record(Measure.PREFILL_TOKENS, computed)
            return choice.peer, prefilled
        raise refusal

    def _first_token_by_ms(self) -> int:
        """Return the time left until the first token of this attempt is due."""
        if not self._policy.reserves_decode:
            return self._context.remaining_ms()
        target_ms = self._context.caller.request_class.first_token_ms
        waited_ms = int((boot_time_s() - self._started_s) * 1000)
        return max(0, min(target_ms - waited_ms, self._context.remaining_ms()))

    def _prefill_timeout_s(self, predicted_s: float) -> float:
        """Return the timeout of the prefill call.

        It is longer than the target, since the agent itself replies if it cannot meet the target.
        """
        target_s = self._context.caller.request_class.first_token_ms / 1000
        if not self._policy.reserves_decode:
            target_s = self._context.remaining_ms() / 1000
        return max(target_s, 2 * predicted_s) + PREFILL_GRACE_S

    def _prefill_message(self, first_token_by_ms: int, version: int) -> Prefill:
        return Prefill(
            self._attempt,
            version,
            self._order.model,
            self._order.adapter,
            self._text,
            self._context.priority,
            first_token_by_ms,
        )

    def _decode(self, peer: AgentPeerHandle, prefilled: Prefilled) -> None:
        """Pass the prefill result to the decode engine and start the stream."""
        self._hold(peer)
        computed = prefilled.prompt_tokens - prefilled.cached_tokens
        try:
            reply = self._call(
                peer,
                lambda version: self._decode_message(version, prefilled),
                DECODE_TIMEOUT_S,
                self._stream,
            )
        except YokedockError:
            self._record(Measure.WASTED_PREFILL_TOKENS, computed)
            raise
        assert isinstance(reply, Done)

    def _decode_message(self, version: int, prefilled: Prefilled) -> Decode:
        return Decode(
            self._attempt,
            version,
            self._order.model,
            self._order.adapter,
            self._text,
            prefilled.handle,
            prefilled.source_url,
            prefilled.source_agent,
            prefilled.kv_bytes,
            self._first_sequence,
            self._stream.tokens_left(),
            self._context.priority,
            self._context.remaining_ms(),
            self._order.sampling,
        )

    def _finish(self, peer: AgentPeerHandle) -> None:
        """Wait for the end of the stream; resume it on the same engine after a link loss or gap."""
        while True:
            try:
                self._stream.wait_end()
                return
            except (PeerUnreachable, StreamGap):
                self._resume(peer)

    def _resume(self, peer: AgentPeerHandle) -> None:
        """Resume the same attempt; raises ``AttemptLost`` if it is no longer running."""
        give_up_s = boot_time_s() + RESUME_TIMEOUT_S
        while True:
            self._context.check()
            message = Resume(self._attempt, len(self._stream.tokens))
            try:
                self._stream.begin_resume()
                future = peer.call(message, self._attempt, self._stream)
                reply = self._context.wait(future, RESUME_TIMEOUT_S)
            except (PeerUnreachable, Refused) as error:
                if boot_time_s() > give_up_s:
                    raise AttemptLost(f"the stream cannot be resumed: {error.message}") from None
                time.sleep(RESUME_RETRY_S)
                continue
            assert isinstance(reply, StepFrame)
            self._stream.end_resume(reply.streams)
            return

    def _hold(self, peer: AgentPeerHandle) -> None:
        if peer not in self._held_peers:
            self._held_peers.append(peer)

    def _release_at(self, peer: AgentPeerHandle) -> None:
        if peer in self._held_peers:
            self._held_peers.remove(peer)
            peer.drop(self._attempt)

    def _call(
        self,
        peer: AgentPeerHandle,
        make: Callable[[int], AnyMessage],
        timeout_s: float,
        stream: AnswerStream | None = None,
    ) -> Any:
        """Call a peer with the active bundle version; retry while the peer has a newer one."""
        for _ in range(STALE_RETRIES):
            message = make(self._services.store.stamp.version)
            try:
                future = peer.call(message, self._attempt, stream)
                return self._context.wait(future, timeout_s)
            except StaleVersion:
                time.sleep(STALE_RETRY_S)
        raise NotReady("a newer bundle version is being adopted; retry shortly", 1.0)

    def _record(self, measure: Measure, tokens: int) -> None:
        """Record computed or wasted prefill tokens."""
        caller = self._context.caller
        self._services.histograms.record(caller.tenant, caller.class_name, measure, tokens)
