"""Backend of an agent that runs next to a model engine; all commands to the engine go through it.

Each command runs synchronously on a worker thread: check the sender's lease, call the engine,
reply. Tokens arrive on the engine's single stream of decode steps (``StepReader``) and are sent as
one frame per step to each gateway.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TypeVar

import msgspec

from yokedock.base.clock import boot_time_s, deadline_in, remaining_s
from yokedock.base.logs import logger
from yokedock.connection.engine_client import EngineDialect
from yokedock.connection.engine_protocol import (
    DecodeOrder,
    ImportOrder,
    PrefillOrder,
    ResumeOrder,
    Step,
)
from yokedock.errors import (
    AttemptLost,
    BadRequest,
    EngineLost,
    EngineRejected,
    EngineUnavailable,
    NoBackend,
    NoDecodeCapacity,
    NoPrefillCapacity,
    YokedockError,
)
from yokedock.messages import (
    AnyMessage,
    Decode,
    Done,
    GrantTransfer,
    LoadReport,
    Prefill,
    Prefilled,
    Reserve,
    Reserved,
    Resume,
    StepFrame,
    StreamTokens,
    TransferDone,
)
from yokedock.request.attempt_canceller import AttemptCanceller
from yokedock.request.backend import Backend, OrderGuard, SendFrame
from yokedock.request.engine_attempt import EngineAttempt, EngineSetup, TransferFunction
from yokedock.request.prefill_queue import PrefillQueue
from yokedock.request.prefix import block_hashes, estimate_tokens
from yokedock.request.prefix_cache_index import BlockChanges, PrefixCacheIndex
from yokedock.request.slots import SlotEntry, SlotTable
from yokedock.request.transfer_credit import TransferCredit
from yokedock.version.bundle import ROLE_DECODE, ROLE_PREFILL

_log = logger("engine")
Result = TypeVar("Result")

MAX_BLOCKS_PER_REPORT = 64
"""Maximum number of changed prompt blocks in one heartbeat reply (9 B each)."""
TRANSFER_TIMEOUT_S = 30.0
PREFILL_TIMEOUT_S = 60.0
FIRST_STEP_RESERVE_S = 0.04
"""Part of the time-to-first-token budget reserved for the first decode step and network latency."""
IDLE_SLACK = 1.25
"""A prefill that cannot meet its target may take this multiple of its time on an idle engine."""
ENGINE_LOST = "engine_lost"
"""``finish`` value of a stream whose engine became unreachable."""
LEAVING_RETRY_S = 1.0


class EngineBackend(Backend):
    """Executes the commands for one engine."""

    def __init__(
        self,
        setup: EngineSetup,
        engine: EngineDialect,
        prefill_tokens_per_s: float,
        step_ms: float,
        acquire_transfer: TransferFunction,
    ) -> None:
        """Initialize without a role; reservations and prefills are rejected until one is set."""
        self._setup = setup
        self._engine = engine
        self._acquire_transfer = acquire_transfer
        self._lock = threading.Lock()
        self._attempts: dict[str, EngineAttempt] = {}
        self.role = ""
        self.is_ready = False
        self.is_engine_up = False
        self.kv_bytes_per_token = 0
        self._is_leaving = False
        self.slots = SlotTable(setup.slots, step_ms)
        self.prefix_cache_index = PrefixCacheIndex()
        self.prefills = PrefillQueue(prefill_tokens_per_s, self.prefix_cache_index)
        self.credit = TransferCredit(setup.link_bytes_per_s, setup.max_transfers)
        self._attempt_canceller = AttemptCanceller(engine, self._cancel_confirmed)
        self._attempt_canceller.start()

    # --- Backend ---

    def is_quick(self, order: AnyMessage) -> bool:
        """Return whether the command is answered from local state, without calling the engine."""
        return isinstance(order, Reserve | TransferDone)

    def run(self, order: AnyMessage, guard: OrderGuard, send: SendFrame) -> AnyMessage:
        """Execute one command and return its reply."""
        match order:
            case Reserve():
                return self._reserve(order)
            case Prefill():
                return self._prefill(order, guard)
            case Decode():
                return self._decode(order, guard, send)
            case Resume():
                return self._resume(order, send)
            case GrantTransfer():
                return self._grant_transfer(order)
            case TransferDone():
                self.credit.give_back(order.attempt)
                return Done()
        raise BadRequest("this agent serves a model engine and accepts only model commands")

    def release(self, attempt: str) -> None:
        """Release an attempt; its slot is freed once the engine has confirmed the cancellation."""
        with self._lock:
            known = self._attempts.get(attempt)
            if known is None or known.is_released:
                return
            known.is_released = True
            known.is_streaming = False
            must_cancel = known.is_submitted
        self.credit.give_back(attempt)
        self.prefills.cancel(attempt)
        if must_cancel:
            self._attempt_canceller.submit(attempt)
        else:
            self._forget(attempt)

    def holds(self, attempt: str) -> bool:
        """Return whether the attempt is registered and not released."""
        known = self._attempts.get(attempt)
        return known is not None and not known.is_released

    def load(self) -> LoadReport:
        """Return the load from local state, which is more recent than the engine's own report."""
        return LoadReport(
            role=self.role,
            ready=self.is_ready and self.is_engine_up,
            leaving=self._is_leaving,
            slots=self._setup.slots,
            slots_taken=self.slots.taken(),
            queued_prefill_tokens=self.prefills.queued_tokens(),
            prefill_tokens_per_s=self.prefills.tokens_per_s,
        )

    def block_changes(self, after: int) -> BlockChanges:
        """Return the prompt blocks added to and evicted from the engine's cache after a change."""
        return self.prefix_cache_index.changes_after(after, MAX_BLOCKS_PER_REPORT)

    def in_flight(self) -> int:
        """Return the number of open attempts, including those awaiting cancellation."""
        return len(self._attempts)

    def set_leaving(self, leaving: bool) -> None:
        """Reject new work while ``leaving``."""
        self._is_leaving = leaving

    # --- Commands ---

    def _reserve(self, order: Reserve) -> Reserved:
        self._check_available(ROLE_DECODE, NoDecodeCapacity)
        now = boot_time_s()
        entry = SlotEntry(
            order.attempt,
            order.priority,
            order.output_tokens,
            ready_s=deadline_in(order.prefilled_in_ms),
            latest_s=deadline_in(order.ready_by_ms),
            expires_s=deadline_in(order.expires_ms),
        )
        free_at_s = self.slots.reserve(entry)
        with self._lock:
            self._attempts.setdefault(order.attempt, EngineAttempt(order.attempt))
        return Reserved(max(0, int((free_at_s - now) * 1000)), self.load())

    def _prefill(self, order: Prefill, guard: OrderGuard) -> Prefilled:
        self._check_available(ROLE_PREFILL, NoPrefillCapacity)
        if self.credit.backlog_s() > self._setup.handle_ttl_s / 2:
            raise NoPrefillCapacity(
                "the transfer backlog is too long to send a prefill result in time; retry later",
                0.5,
            )
        service_s = self.prefills.service_s(order.prompt)
        self.prefills.enter(order.attempt, service_s, self._prefill_deadline_s(order, service_s))
        with self._lock:
            self._attempts.setdefault(order.attempt, EngineAttempt(order.attempt))
        try:
            self.prefills.wait_turn(order.attempt)
            result = self._ordered(order.attempt, guard, lambda: self._order_prefill(order))
        finally:
            self.prefills.leave(order.attempt)
        self.prefix_cache_index.learn(block_hashes(order.prompt))
        return msgspec.structs.replace(result, load=self.load())

    def _prefill_deadline_s(self, order: Prefill, service_s: float) -> float:
        """Return the latest time at which the prefill may end for the first token to be on time.

        A prompt that even an idle engine could not prefill in time gets the time it needs instead.
        """
        now = boot_time_s()
        transfer_s = (
            estimate_tokens(order.prompt) * self.kv_bytes_per_token / self._setup.link_bytes_per_s
        )
        finish_by_s = (
            deadline_in(order.first_token_by_ms)
            - transfer_s
            - self.credit.backlog_s()
            - FIRST_STEP_RESERVE_S
        )
        idle_s = service_s * IDLE_SLACK + FIRST_STEP_RESERVE_S
        return max(finish_by_s, now + idle_s)

    def _order_prefill(self, order: Prefill) -> Prefilled:
        engine_order = PrefillOrder(
            order.attempt, order.model, order.adapter, order.prompt, order.priority
        )
        result = self._engine.prefill(engine_order, PREFILL_TIMEOUT_S)
        return Prefilled(
            result.handle,
            self._setup.url,
            self._setup.agent_address,
            result.prompt_tokens,
            result.cached_tokens,
            result.kv_bytes,
        )

    def _decode(self, order: Decode, guard: OrderGuard, send: SendFrame) -> Done:
        self.slots.start(order.attempt)
        deadline_s = deadline_in(order.deadline_ms)
        give_back = self._acquire_transfer(order, remaining_s(deadline_s))
        imported = False
        try:
            import_order = ImportOrder(order.attempt, order.source_url, order.handle)
            self._ordered(
                order.attempt,
                guard,
                lambda: self._engine.import_cache(import_order, TRANSFER_TIMEOUT_S),
            )
            imported = True
        finally:
            give_back(imported)
        self._ordered(order.attempt, guard, lambda: self._order_decode(order, send))
        return Done()

    def _order_decode(self, order: Decode, send: SendFrame) -> None:
        with self._lock:
            known = self._attempts[order.attempt]
            known.send = send
            known.next_sequence = order.first_sequence
            known.is_streaming = True
        self._engine.decode(
            DecodeOrder(
                order.attempt,
                order.text,
                order.first_sequence,
                order.output_tokens,
                order.priority,
                order.sampling,
            )
        )

    def _ordered(self, attempt: str, guard: OrderGuard, order: Callable[[], Result]) -> Result:
        """Call the engine, and cancel the attempt there if it was released during the call."""
        guard.check(attempt)
        with self._lock:
            known = self._attempts.setdefault(attempt, EngineAttempt(attempt))
            if known.is_released:
                raise AttemptLost("the attempt was released before it started")
            known.is_submitted = True
        try:
            result = order()
        except (EngineRejected, EngineLost, EngineUnavailable) as error:
            self.release(attempt)
            self._attempt_canceller.submit(attempt)
            raise AttemptLost(f"{self._setup.name}: {error.message}") from None
        if known.is_released:
            self._attempt_canceller.submit(attempt)
            raise AttemptLost("the attempt was released while it ran; cancelling it")
        return result

    def _resume(self, order: Resume, send: SendFrame) -> StepFrame:
        """Return the tokens that the gateway is missing, and continue the stream after them."""
        if not self.holds(order.attempt):
            raise AttemptLost(
                "the stream is no longer available on this agent; start a new attempt"
            )
        try:
            result = self._engine.resume(ResumeOrder(order.attempt, order.from_sequence))
        except YokedockError as error:
            raise AttemptLost(f"the stream cannot be resumed: {error.message}") from None
        with self._lock:
            known = self._attempts.get(order.attempt)
            if known is not None:
                known.send = send
        tokens = StreamTokens(order.attempt, order.from_sequence, result.tokens, result.finish)
        return StepFrame((tokens,))

    def _grant_transfer(self, order: GrantTransfer) -> Done:
        """Wait for transfer credit; the decode side returns it after the transfer."""
        granted = threading.Event()
        self.credit.ask(order.attempt, order.kv_bytes, order.patience_ms / 1000, granted.set)
        while not granted.wait(0.05):
            self.credit.check()
            if not self.holds(order.attempt):
                raise AttemptLost("the prefill result is no longer available; prefill again")
        return Done()

    def _check_available(
        self, role: str, refusal: type[NoDecodeCapacity] | type[NoPrefillCapacity]
    ) -> None:
        if self._is_leaving:
            raise NoBackend(
                f"{self._setup.name} is draining; choose another engine", LEAVING_RETRY_S
            )
        if not self.is_ready or not self.is_engine_up:
            raise NoBackend(
                f"{self._setup.name} is not ready; choose another engine", LEAVING_RETRY_S
            )
        if self.role != role:
            raise refusal(
                f"{self._setup.name} does not have the {role} role; choose another engine"
            )

    # --- Engine events ---

    def on_step(self, step: Step) -> None:
        """Send each gateway its tokens of one decode step in a single frame."""
        frames: dict[SendFrame, list[StreamTokens]] = {}
        finished: list[str] = []
        for token in step.tokens:
            known = self._attempts.get(token.request)
            if known is None or not known.is_streaming or known.send is None:
                continue
            if token.sequence < known.next_sequence:
                continue
            texts = (token.token,) if token.token else ()
            known.next_sequence = token.sequence + len(texts)
            self.slots.add_tokens(token.request, len(texts))
            part = StreamTokens(token.request, token.sequence, texts, token.finish)
            frames.setdefault(known.send, []).append(part)
            if token.finish:
                finished.append(token.request)
        for send, parts in frames.items():
            send(StepFrame(tuple(parts)))
        for attempt in finished:
            self.slots.free(attempt)

    def engine_lost(self) -> None:
        """Handle the loss of the engine: notify the gateways, which continue on another engine."""
        self.is_engine_up = False
        with self._lock:
            streaming = [a for a in self._attempts.values() if a.is_streaming]
        for known in streaming:
            if known.send is not None:
                end = StreamTokens(known.attempt, known.next_sequence, (), ENGINE_LOST)
                known.send(StepFrame((end,)))

    def engine_found(self) -> None:
        """Handle the return of the engine: fetch the tokens that running streams have missed."""
        self.is_engine_up = True
        with self._lock:
            streaming = [a for a in self._attempts.values() if a.is_streaming]
        for known in streaming:
            self._catch_up(known)

    def _catch_up(self, known: EngineAttempt) -> None:
        try:
            order = ResumeOrder(known.attempt, known.next_sequence)
            result = self._engine.resume(order)
            part = StreamTokens(known.attempt, order.from_sequence, result.tokens, result.finish)
            known.next_sequence += len(result.tokens)
        except YokedockError:
            part = StreamTokens(known.attempt, known.next_sequence, (), ENGINE_LOST)
        if known.send is not None and (part.tokens or part.finish):
            known.send(StepFrame((part,)))

    def unknown_attempts(self, held: set[str]) -> set[str]:
        """Return the attempts held by the engine that this agent has no record of."""
        with self._lock:
            return held - set(self._attempts)

    def cancel_unknown(self, request: str) -> None:
        """Cancel an attempt left at the engine by a previous agent process or a late command."""
        self._attempt_canceller.submit(request)

    # --- Cleanup ---

    def _cancel_confirmed(self, attempt: str) -> None:
        self._forget(attempt)

    def _forget(self, attempt: str) -> None:
        self.slots.free(attempt)
        with self._lock:
            self._attempts.pop(attempt, None)
