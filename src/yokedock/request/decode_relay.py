"""Relays the stream of one decode to the caller, and decides when to leave its engine."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.http_heads import ResponseHead
from yokedock.request.backend_exchange import SERVER_ERROR, BackendExchange
from yokedock.request.body_progress import BodyLimits
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.engine_placement import EnginePlacement
from yokedock.request.generation_state import GenerationState
from yokedock.request.prefill_tracker import PrefillTracker
from yokedock.request.response_buffers import ResponseBuffer
from yokedock.request.routed_call import BufferedResponse, RoutedCall
from yokedock.request.silence_detector import SilenceDetector
from yokedock.request.stream_move import MoveOutcome, StreamMove, StreamMoved
from yokedock.request.stream_relay import RelayedRun
from yokedock.request.version_pinning import VersionPinning
from yokedock.router_errors import BackendResponseError, BackendUnresponsive

_log = logger("generation")

STALL_TIMEOUT_S = 1.2
"""A resumable stream without progress for this long is continued on another engine."""
MIN_ATTEMPT_TIME_S = 0.1
"""Minimum time left for a retry on another engine: connect, prefill and one decode step."""


class DecodeServices(msgspec.Struct, frozen=True):
    """What all decodes of the process share."""

    ledger: EngineLedger
    watch: SilenceDetector
    pinning: VersionPinning
    placement: EnginePlacement


class DecodeRelay:
    """The stream of one decode, from the request that was sent to the end of its response."""

    def __init__(
        self,
        call: RoutedCall,
        state: GenerationState,
        exchange: BackendExchange,
        demand: StreamDemand,
        services: DecodeServices,
    ) -> None:
        """Relay the response of ``exchange``; ``demand`` is updated with the tokens made."""
        self._call = call
        self._state = state
        self._relay = state.relay
        self._exchange = exchange
        self._engine = exchange.backend
        self._demand = demand
        self._services = services
        self._stream = services.watch.open(self._engine, may_move=False)
        self._stream.prepare_move = self._prepare_move
        self._serve_elsewhere = state.serve_elsewhere
        self._parts: AsyncIterator[bytes] = exchange.body_parts()
        self._last_move: MoveOutcome | None = None
        """How the latest move since the engine's last progress ended, None if there was none."""

    async def run(self) -> None:
        """Relay the engine's events to the caller until the stream is complete.

        Raises ``BackendRefused`` if the engine states that it does not run the request,
        ``BackendResponseError`` if the stream breaks off or is left.
        """
        self._relay.begin_run()
        self._relay.on_begin = lambda: self._services.pinning.begin(self._call, self._engine)
        self._exchange.start_silence_timer(STALL_TIMEOUT_S)
        try:
            head = await self._read_head()
            if head.status != 200:
                await self._handle_error_response(head)
                return
            with self._exchange.buffers.open(self._call.holding) as buffer:
                await self._relay_events(head, buffer)
        finally:
            self._services.watch.close(self._stream)
        await self._relay.end(head)
        self._exchange.finish()

    async def _read_head(self) -> ResponseHead:
        remaining_s = self._call.remaining_s()
        head = await self._stream.within(
            self._silence_limit_s(), self._exchange.read_head(remaining_s)
        )
        self._state.source = None
        self._stream.waited_s = 0.0
        return head

    async def _relay_events(self, head: ResponseHead, buffer: ResponseBuffer) -> None:
        """Relay the events up to the end of the body."""
        relay, stream = self._relay, self._stream
        limit_s = self._silence_limit_s()
        while (part := await self._next_part(limit_s)) is not None:
            events, received_s = relay.events, boot_time_s()
            await relay.feed(head, part)
            buffer.resize(relay.buffered_bytes)
            if relay.events > events:
                self._record_progress()
            else:
                stream.require_progress(limit_s, received_s)
            limit_s = self._silence_limit_s()

    async def _next_part(self, limit_s: float) -> bytes | None:
        """Return the next part of the body, None at its end.

        Raises ``StreamMoved`` if another engine has begun instead, ``BackendUnresponsive`` if the
        engine is left before that.
        """
        try:
            return await self._stream.within(limit_s, anext(self._parts, None))
        except BackendUnresponsive as error:
            if not self._may_stay_open():
                raise
            return await self._move_or_read(error)

    async def _move_or_read(self, error: BackendUnresponsive) -> bytes | None:
        """Try to move the stream; if it stays, return what its engine sends next.

        Raises ``error`` if that takes longer than the caller waits.
        """
        self._exchange.on_silence()
        self._parts = self._exchange.body_parts()
        read = asyncio.ensure_future(anext(self._parts, None))
        try:
            await self._move(read, error)
            return await asyncio.wait_for(read, self._patience_left_s())
        except TimeoutError:
            raise error from None
        finally:
            if not read.cancel() and not read.cancelled():
                read.exception()

    def _may_stay_open(self) -> bool:
        """Return whether the silent engine's response stays open while the stream moves.

        An engine that has sent something in the meantime, but no event, is left at once.
        """
        is_first = self._last_move is not MoveOutcome.WENT_ON
        return self._stream.may_move and self._stream.has_begun and is_first

    async def _move(self, read: asyncio.Future[bytes | None], error: BackendUnresponsive) -> None:
        """Move the stream; return if it stays at this engine, raise ``StreamMoved`` if not."""
        state, run, reads = self._state, self._relay.run, self._state.reads
        assert self._serve_elsewhere is not None
        state.reads = PrefillTracker(self._call.request_id)
        move = state.move = StreamMove(self._serve_elsewhere())
        outcome = MoveOutcome.LEFT
        try:
            outcome = self._last_move = await move.outcome(read)
        finally:
            if outcome is MoveOutcome.LEFT:
                reads.lost("answer", error.message)
                reads.end(is_whole=False)
        _log.info(
            "move ended",
            request=self._call.request_id,
            engine=self._engine.name,
            outcome=outcome.value,
        )
        if outcome is MoveOutcome.LEFT:
            raise StreamMoved(error.message, move)
        self._stay(run, reads)

    def _stay(self, run: RelayedRun, reads: PrefillTracker) -> None:
        """Go on as before the move."""
        state = self._state
        state.reads.end(is_whole=False)
        state.reads = reads
        state.move = None
        state.retries.give_back()
        state.excluded_engines.discard(self._engine.name)
        self._relay.resume_run(run)

    def _patience_left_s(self) -> float:
        """Return how long the caller still waits for the next event."""
        progress = self._state.progress(self._call)
        return self._services.placement.gives_up_s(self._call, progress) - boot_time_s()

    def _record_progress(self) -> None:
        """Record that the engine has made an event that was passed on."""
        self._last_move = None
        engine, pause_s = self._engine.name, self._relay.pause_s
        self._services.watch.heard(self._stream)
        self._state.reads.read()
        self._state.note_prompt_cached(engine)
        self._demand.made = self._relay.events * self._call.tokens_per_event()
        ledger = self._services.ledger
        is_reading = ledger.prefill_backlog(engine) > 0
        if pause_s is not None:
            ledger.pace.note_pause(engine, pause_s, is_reading)

    def _silence_limit_s(self) -> float:
        """Return how long to wait for progress, and set whether the stream may move.

        A stream that cannot go on elsewhere waits for its engine until the deadline.
        """
        call, stream = self._call, self._stream
        is_resumable = call.route.resumable and call.runs < call.route.max_attempts
        excluded = frozenset(self._state.excluded_engines | {self._engine.name})
        stream.may_move = is_resumable and self._services.pinning.may_move(call, excluded)
        return STALL_TIMEOUT_S if stream.may_move else stream.waited_s + call.remaining_s()

    def _prepare_move(self) -> bool:
        """Reserve retry budget to leave a silent engine, if some other engine has a place."""
        state = self._state
        progress = state.progress(self._call)
        progress = msgspec.structs.replace(progress, avoid=progress.avoid | {self._engine.name})
        has_place = self._services.placement.has_place(self._call, progress)
        return has_place and state.retries.try_set_aside(1 + state.is_extra_prefill())

    async def _handle_error_response(self, head: ResponseHead) -> None:
        """Return the engine's error response to the caller, or retry on another engine."""
        call, retries = self._call, self._state.retries
        limits = BodyLimits(
            STALL_TIMEOUT_S,
            call.remaining_s(),
            max_s=STALL_TIMEOUT_S,
            may_abandon=lambda: retries.reserve_retry(call, MIN_ATTEMPT_TIME_S),
        )
        answer = BufferedResponse(head, await self._exchange.read_body(head, limits))
        is_retriable = head.status >= SERVER_ERROR
        if call.answer.has_started or (
            is_retriable and retries.reserve_retry(call, MIN_ATTEMPT_TIME_S)
        ):
            raise BackendResponseError(f"{self._engine.name} returned status {head.status}")
        await call.answer.whole(answer.head, answer.body)
