"""An agent's model engine: the one place that gives it orders.

Each order is carried out straight down on a worker thread: check the sender's lease, order, reply.
Tokens come back on the engine's one stream of steps (``StepReader``) and leave as one frame a step
for each gateway.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TypeVar

import msgspec

from yokedock.base.clock import boot_time_s, deadline_in, left_s
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
    NoDecodeRoom,
    NoPrefillRoom,
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
from yokedock.request.backend import Backend, OrderGuard, SendFrame
from yokedock.request.engine_attempt import EngineAttempt, EngineSetup, TransferFunction
from yokedock.request.known_blocks import BlockChanges, KnownBlocks
from yokedock.request.prefill_queue import PrefillQueue
from yokedock.request.prefix import block_hashes, estimate_tokens
from yokedock.request.releaser import Releaser
from yokedock.request.slots import SlotEntry, SlotTable
from yokedock.request.transfer_credit import TransferCredit
from yokedock.version.bundle import ROLE_DECODE, ROLE_PREFILL

_log = logger("engine")
Result = TypeVar("Result")

MAX_BLOCKS_A_REPORT = 64
"""Changed prompt blocks that one heartbeat reply carries at most (9 B each)."""
TRANSFER_TIMEOUT_S = 30.0
PREFILL_TIMEOUT_S = 60.0
FIRST_STEP_S = 0.04
"""Of the time to the first token, kept for the first decode step and the links."""
IDLE_SLACK = 1.25
"""How much longer than on an idle engine a prefill may take whose target cannot be met."""
ENGINE_LOST = "engine_lost"
"""The ``finish`` of a stream whose engine was lost."""
LEAVING_RETRY_S = 1.0


class EngineBackend(Backend):
    """Carries out the orders for one engine."""

    def __init__(
        self,
        setup: EngineSetup,
        engine: EngineDialect,
        prefill_tokens_per_s: float,
        step_ms: float,
        acquire_transfer: TransferFunction,
    ) -> None:
        """Prepare an engine whose role is not known yet: nothing is granted until it is."""
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
        self.known_blocks = KnownBlocks()
        self.prefills = PrefillQueue(prefill_tokens_per_s, self.known_blocks)
        self.credit = TransferCredit(setup.link_bytes_per_s, setup.max_transfers)
        self._releaser = Releaser(engine, self._cancel_confirmed)
        self._releaser.start()

    # --- Backend ---

    def is_quick(self, order: AnyMessage) -> bool:
        """Return whether the order is answered from the agent's own record."""
        return isinstance(order, Reserve | TransferDone)

    def run(self, order: AnyMessage, guard: OrderGuard, send: SendFrame) -> AnyMessage:
        """Carry out one order."""
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
        raise BadRequest("this agent stands beside a model engine; send it model orders")

    def release(self, attempt: str) -> None:
        """End an attempt; its slot is free once the engine has confirmed."""
        with self._lock:
            known = self._attempts.get(attempt)
            if known is None or known.is_released:
                return
            known.is_released = True
            known.is_streaming = False
            must_cancel = known.is_ordered
        self.credit.give_back(attempt)
        self.prefills.cancel(attempt)
        if must_cancel:
            self._releaser.submit(attempt)
        else:
            self._forget(attempt)

    def holds(self, attempt: str) -> bool:
        """Return whether the attempt is known and not released."""
        known = self._attempts.get(attempt)
        return known is not None and not known.is_released

    def load(self) -> LoadReport:
        """Return the load by the agent's own record, which is newer than the engine's report."""
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
        """Return which prompt blocks entered and left the engine's cache."""
        return self.known_blocks.changes_after(after, MAX_BLOCKS_A_REPORT)

    def in_flight(self) -> int:
        """Return how many attempts are not over, confirmations included."""
        return len(self._attempts)

    def set_leaving(self, leaving: bool) -> None:
        """Take no new work while ``leaving``."""
        self._is_leaving = leaving

    # --- Orders ---

    def _reserve(self, order: Reserve) -> Reserved:
        self._require(ROLE_DECODE, NoDecodeRoom)
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
        self._require(ROLE_PREFILL, NoPrefillRoom)
        if self.credit.backlog_s() > self._setup.kept_s / 2:
            raise NoPrefillRoom("the link is behind; a result could not be sent in time", 0.5)
        service_s = self.prefills.service_s(order.prompt)
        self.prefills.enter(order.attempt, service_s, self._finish_by(order, service_s))
        with self._lock:
            self._attempts.setdefault(order.attempt, EngineAttempt(order.attempt))
        try:
            self.prefills.wait_turn(order.attempt)
            result = self._ordered(order.attempt, guard, lambda: self._order_prefill(order))
        finally:
            self.prefills.leave(order.attempt)
        self.known_blocks.learn(block_hashes(order.prompt))
        return msgspec.structs.replace(result, load=self.load())

    def _finish_by(self, order: Prefill, service_s: float) -> float:
        """Return when the prefill must be over for the first token to come in time.

        A prompt so long that even an idle engine would be late gets the time it needs.
        """
        now = boot_time_s()
        transfer_s = (
            estimate_tokens(order.prompt) * self.kv_bytes_per_token / self._setup.link_bytes_per_s
        )
        finish_by_s = (
            deadline_in(order.first_token_by_ms)
            - transfer_s
            - self.credit.backlog_s()
            - FIRST_STEP_S
        )
        idle_s = service_s * IDLE_SLACK + FIRST_STEP_S
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
        give_back = self._acquire_transfer(order, left_s(deadline_s))
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
        """Give an order to the engine and make sure that a release meanwhile is not lost."""
        guard.check(attempt)
        with self._lock:
            known = self._attempts.setdefault(attempt, EngineAttempt(attempt))
            if known.is_released:
                raise AttemptLost("the attempt was released; it is not started")
            known.is_ordered = True
        try:
            result = order()
        except (EngineRejected, EngineLost, EngineUnavailable) as error:
            self.release(attempt)
            self._releaser.submit(attempt)
            raise AttemptLost(f"{self._setup.name}: {error.message}") from None
        if known.is_released:
            self._releaser.submit(attempt)
            raise AttemptLost("the attempt was released while it ran; it was cancelled")
        return result

    def _resume(self, order: Resume, send: SendFrame) -> StepFrame:
        """Answer with the tokens that the gateway lacks, and go on from there."""
        if not self.holds(order.attempt):
            raise AttemptLost("the stream is not held here any more; start a new attempt")
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
        """Wait until the transfer may start; the decode side gives the credit back."""
        granted = threading.Event()
        self.credit.ask(order.attempt, order.kv_bytes, order.patience_ms / 1000, granted.set)
        while not granted.wait(0.05):
            self.credit.check()
            if not self.holds(order.attempt):
                raise AttemptLost("the prefill's result is not kept any more; prefill again")
        return Done()

    def _require(self, role: str, refusal: type[NoDecodeRoom] | type[NoPrefillRoom]) -> None:
        if self._is_leaving:
            raise NoBackend(f"{self._setup.name} is leaving; choose another", LEAVING_RETRY_S)
        if not self.is_ready or not self.is_engine_up:
            raise NoBackend(f"{self._setup.name} is not ready; choose another", LEAVING_RETRY_S)
        if self.role != role:
            raise refusal(f"{self._setup.name} is not a {role} engine now; choose another")

    # --- What the engine says ---

    def step_arrived(self, step: Step) -> None:
        """Hand each gateway its tokens of one decode step, in one frame."""
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
            self.slots.progressed(token.request, len(texts))
            part = StreamTokens(token.request, token.sequence, texts, token.finish)
            frames.setdefault(known.send, []).append(part)
            if token.finish:
                finished.append(token.request)
        for send, parts in frames.items():
            send(StepFrame(tuple(parts)))
        for attempt in finished:
            self.slots.free(attempt)

    def engine_lost(self) -> None:
        """The engine does not answer: tell the gateways, so that they go on elsewhere."""
        self.is_engine_up = False
        with self._lock:
            streaming = [a for a in self._attempts.values() if a.is_streaming]
        for known in streaming:
            if known.send is not None:
                end = StreamTokens(known.attempt, known.next_sequence, (), ENGINE_LOST)
                known.send(StepFrame((end,)))

    def engine_found(self) -> None:
        """The engine answers: fetch what running streams missed meanwhile."""
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

    def unknown_at_engine(self, held: set[str]) -> set[str]:
        """Return what the engine holds although this agent does not know it."""
        with self._lock:
            return held - set(self._attempts)

    def cancel_unknown(self, request: str) -> None:
        """Cancel something that a predecessor, or a late order, left at the engine."""
        self._releaser.submit(request)

    # --- Ends ---

    def _cancel_confirmed(self, attempt: str) -> None:
        self._forget(attempt)

    def _forget(self, attempt: str) -> None:
        self.slots.free(attempt)
        with self._lock:
            self._attempts.pop(attempt, None)
