"""Sends the prefill and decode requests of a generation to engines.

Each request is sent once; ``GenerationCalls`` decides about retries.
"""

from __future__ import annotations

import asyncio

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.ordered_set import OrderedSet
from yokedock.connection.dialect import ForwardingOrder
from yokedock.connection.http_heads import ResponseHead
from yokedock.connection.short_call import CallLimits, ShortCall, short_call
from yokedock.errors import EngineRejected
from yokedock.request.backend_exchange import SERVER_ERROR, BackendExchange, BackendExchanges
from yokedock.request.backend_incarnation import Backend
from yokedock.request.body_progress import BodyLimits
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.engine_placement import EnginePlacement, Placement
from yokedock.request.generation_state import GenerationState
from yokedock.request.response_buffers import ResponseBuffer
from yokedock.request.routed_call import BufferedResponse, RoutedCall
from yokedock.request.silence_detector import SilenceDetector, WatchedStream
from yokedock.request.version_pinning import VersionPinning
from yokedock.router_errors import BackendRefused, BackendResponseError, BackendUnreachable

_log = logger("generation")

PREFILL_TIMEOUT_FACTOR = 3.0
"""A prefill is abandoned after this multiple of its predicted duration."""
MIN_PREFILL_TIMEOUT_S = 1.0
"""Lower bound of that timeout: other routers may have prefills on the same engine."""
STALL_TIMEOUT_S = 1.2
"""A resumable stream without data for this long is continued on another engine."""
MIN_ATTEMPT_TIME_S = 0.1
"""Minimum time left for a retry on another engine: connect, prefill and one decode step."""
HANDLE_TTL_SHARE = 0.8
"""Share of an engine's retention time for a prefill result during which the result is used."""
MAX_PREFILL_RESULT_BYTES = 65_536
RELEASE_TIMEOUT_S = 1.0
"""Timeout for connecting and for the response, each: unreleased KV memory expires by itself."""


class GenerationDispatcher:
    """Sends prefill and decode requests to engines and relays their streams."""

    def __init__(
        self,
        ledger: EngineLedger,
        exchanges: BackendExchanges,
        watch: SilenceDetector,
        pinning: VersionPinning,
        placement: EnginePlacement,
    ) -> None:
        """Use the process-wide ledger, connections, detector, versions and placement."""
        self._placement = placement
        self._pinning = pinning
        self._ledger = ledger
        self._exchanges = exchanges
        self._watch = watch
        self._releases: OrderedSet[asyncio.Task[None]] = OrderedSet()

    async def reach(self, call: RoutedCall, engine: Backend) -> None:
        """Open a connection to the decode engine; it stays idle during the prefill.

        Raises ``BackendUnreachable``, because a prefill for an engine that is gone is wasted.
        """
        async with self._exchanges.open(engine, call, has_permit=True):
            _log.debug("reached", request=call.request_id, engine=engine.name)

    async def prefill(
        self, call: RoutedCall, state: GenerationState, engine: Backend, placement: Placement
    ) -> None:
        """Run the prefill and record which engine holds the resulting KV cache."""
        tokens = placement.tokens
        key = self._ledger.open_prefill(engine.name, tokens)
        is_done = False
        try:
            async with self._exchanges.open(engine, call, placement.has_prefill_permit) as exchange:
                if state.is_extra_prefill():
                    state.retries.record_arrival()
                state.prefills += 1
                order = ForwardingOrder(
                    engine.entry.instance, call.backend_deadline_ms(), is_prefill=True
                )
                state.reads.begin(engine.name, tokens)
                await exchange.send(order)
                patience_s = self._prefill_timeout_s(call, engine)
                limits = BodyLimits(patience_s, call.remaining_s(), max_s=patience_s)
                answer = await exchange.read_whole(patience_s, limits, MAX_PREFILL_RESULT_BYTES)
            if answer.head.status >= SERVER_ERROR:
                state.prefills_refused += 1
                raise EngineRejected(
                    f"{engine.name} returned status {answer.head.status} for a prefill"
                )
            result = self._exchanges.dialect.prefill_result(answer.body)
            is_done = True
            state.read_s = boot_time_s()
            state.reads.read()
            state.note_prompt_cached(engine.name)
            traits = call.service.engine
            handle_ttl_s = traits.handle_s if traits else 0.0
            state.source_engine = engine
            state.source = f"{engine.entry.address}/{result.handle}"
            state.source_expires_s = boot_time_s() + HANDLE_TTL_SHARE * handle_ttl_s
        except BackendRefused:
            state.prefills_refused += 1
            state.excluded_engines.add(engine.name)
            raise
        finally:
            self._ledger.close_prefill(key, is_done)

    def _prefill_timeout_s(self, call: RoutedCall, engine: Backend) -> float:
        predicted_s = self._ledger.backlog_s(engine.name)
        patience_s = max(MIN_PREFILL_TIMEOUT_S, PREFILL_TIMEOUT_FACTOR * predicted_s)
        return min(call.remaining_s(), patience_s)

    async def prefill_and_decode(
        self, call: RoutedCall, state: GenerationState, placement: Placement
    ) -> None:
        """Run prefill and decode on the same engine."""
        name = placement.decode.name
        reading = self._ledger.open_prefill(name, placement.tokens)
        state.relay.on_first_event = lambda: self._ledger.close_prefill(reading, is_done=False)
        try:
            await self.decode(call, state, placement)
        finally:
            self._ledger.close_prefill(reading, is_done=False)

    async def decode(self, call: RoutedCall, state: GenerationState, placement: Placement) -> None:
        """Run the decode and relay its stream to the caller."""
        relay, engine, cache_holder = state.relay, placement.decode, placement.fetch_from
        async with self._exchanges.open(engine, call, placement.has_decode_permit) as exchange:
            if state.is_extra_run(call):
                state.retries.record_arrival()
            state.retries.give_back()
            call.arrivals += 1
            order = ForwardingOrder(
                engine.entry.instance,
                call.backend_deadline_ms(),
                kv_source=state.valid_source(),
                fetch_from=cache_holder.entry.address if cache_holder is not None else None,
                last_event_id=relay.last_id if relay.events else None,
            )
            try:
                with call.track_run():
                    if state.must_read(placement):
                        state.reads.begin(engine.name, placement.tokens)
                    await exchange.send(order)
                    await self._relay(call, state, exchange, placement.demand)
            except BackendRefused:
                self._log_refused_decode(call, state, placement)
                state.excluded_engines.add(engine.name)
                state.read_at.pop(engine.name, None)
                raise

    async def _relay(
        self,
        call: RoutedCall,
        state: GenerationState,
        exchange: BackendExchange,
        demand: StreamDemand,
    ) -> None:
        """Relay the engine's events to the caller until the stream is complete."""
        relay = state.relay
        relay.begin_run()
        relay.on_begin = lambda: self._pinning.begin(call, exchange.backend)
        exchange.start_silence_timer(STALL_TIMEOUT_S)
        stream = self._watch.open(exchange.backend, may_move=False)
        stream.prepare_move = lambda: self._prepare_move(call, state, exchange.backend)
        try:
            limit_s = self._silence_limit_s(call, state, stream)
            head = await stream.within(limit_s, exchange.read_head(call.remaining_s()))
            state.source = None
            if head.status != 200:
                body = await exchange.read_body(head, self._error_limits(call, state))
                await self._handle_error_response(
                    call, state, exchange, BufferedResponse(head, body)
                )
                return
            with exchange.buffers.open() as buffer:
                await self._relay_events(call, state, exchange, demand, stream, head, buffer)
        finally:
            self._watch.close(stream)
        await relay.end(head)
        exchange.finish()

    async def _relay_events(
        self,
        call: RoutedCall,
        state: GenerationState,
        exchange: BackendExchange,
        demand: StreamDemand,
        stream: WatchedStream,
        head: ResponseHead,
        buffer: ResponseBuffer,
    ) -> None:
        """Relay the events of a stream that has begun, up to the end of its body."""
        relay = state.relay
        limit_s = self._silence_limit_s(call, state, stream)
        stream.waited_s = 0.0
        parts = exchange.body_parts()
        while (part := await stream.within(limit_s, anext(parts, None))) is not None:
            events, received_s = relay.events, boot_time_s()
            await relay.feed(head, part)
            buffer.resize(relay.buffered_bytes)
            if relay.events > events:
                self._record_progress(state, stream)
                demand.made = relay.events * call.tokens_per_event()
            else:
                stream.require_progress(limit_s, received_s)
            limit_s = self._silence_limit_s(call, state, stream)

    def _prepare_move(self, call: RoutedCall, state: GenerationState, engine: Backend) -> bool:
        """Reserve retry budget to leave a silent engine, if some other engine has a place."""
        progress = state.progress(call)
        progress = msgspec.structs.replace(progress, avoid=progress.avoid | {engine.name})
        has_place = self._placement.has_place(call, progress)
        return has_place and state.retries.try_set_aside(1 + state.is_extra_prefill())

    def _error_limits(self, call: RoutedCall, state: GenerationState) -> BodyLimits:
        """Return the limits for the body of an error response: another engine may do better."""
        return BodyLimits(
            STALL_TIMEOUT_S,
            call.remaining_s(),
            max_s=STALL_TIMEOUT_S,
            may_abandon=lambda: state.retries.reserve_retry(call, MIN_ATTEMPT_TIME_S),
        )

    def _silence_limit_s(
        self, call: RoutedCall, state: GenerationState, stream: WatchedStream
    ) -> float:
        """Return how long to wait for an engine's next data, and set whether the stream may move.

        A stream that cannot go on elsewhere waits for its engine.
        """
        is_resumable = call.route.resumable and call.runs < call.route.max_attempts
        excluded = frozenset(state.excluded_engines | {stream.engine.name})
        stream.may_move = is_resumable and self._pinning.may_move(call, excluded)
        return STALL_TIMEOUT_S if stream.may_move else call.remaining_s()

    def _log_refused_decode(
        self, call: RoutedCall, state: GenerationState, placement: Placement
    ) -> None:
        """Log the reservations on the engine at the time of its refusal."""
        engine = placement.decode.name
        _log.info(
            "answer refused",
            request=call.request_id,
            engine=engine,
            read_at=list(state.read_at),
            needed_tokens=placement.demand.memory_tokens(),
            promised_tokens=self._ledger.memory_tokens(engine),
            promised_streams=self._ledger.streams(engine),
            placed_ms_ago=round((boot_time_s() - state.placed_s) * 1000),
            kept_for_ms=round((state.source_expires_s - boot_time_s()) * 1000),
        )

    def _record_progress(self, state: GenerationState, stream: WatchedStream) -> None:
        """Record that the engine has made an event that was passed on."""
        engine, pause_s = stream.engine.name, state.relay.pause_s
        self._watch.heard(stream)
        state.reads.read()
        state.note_prompt_cached(engine)
        is_reading = self._ledger.prefill_backlog(engine) > 0
        if pause_s is not None:
            self._ledger.pace.note_pause(engine, pause_s, is_reading)

    async def _handle_error_response(
        self,
        call: RoutedCall,
        state: GenerationState,
        exchange: BackendExchange,
        answer: BufferedResponse,
    ) -> None:
        """Return the engine's error response to the caller, or retry on another engine."""
        if call.answer.has_started or (
            answer.head.status >= SERVER_ERROR
            and state.retries.reserve_retry(call, MIN_ATTEMPT_TIME_S)
        ):
            raise BackendResponseError(
                f"{exchange.backend.name} returned status {answer.head.status}"
            )
        await call.answer.whole(answer.head, answer.body)

    def release(self, source: str, cache_holder: Backend | None) -> None:
        """Release a prefill result in the background; it would expire soon in any case."""
        if cache_holder is not None:
            now_s = boot_time_s()
            if not cache_holder.may_take(now_s):
                return
            cache_holder.limit.take(now_s)
        address, _, handle = source.partition("/")
        task = asyncio.create_task(self._send_release(address, handle))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    async def _send_release(self, address: str, handle: str) -> None:
        call = ShortCall(b"DELETE", self._exchanges.dialect.release_target(handle))
        limits = CallLimits(RELEASE_TIMEOUT_S, RELEASE_TIMEOUT_S)
        try:
            await short_call(self._exchanges.pool, address, call, limits)
        except (BackendUnreachable, BackendResponseError) as error:
            _log.info(
                "release failed; the KV memory will expire", address=address, reason=error.message
            )
