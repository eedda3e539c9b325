"""What is sent to engines for one generation: the prompt to be read, the answer to be made.

Each step is sent once; whether it is tried again is for ``GenerationCalls`` to say.
"""

from __future__ import annotations

import asyncio

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.ordered_set import OrderedSet
from yokedock.connection.dialect import BackendOrder
from yokedock.connection.short_call import CallLimits, ShortCall, short_call
from yokedock.errors import EngineRejected
from yokedock.request.backend_exchange import SERVER_ERROR, BackendExchange, BackendExchanges
from yokedock.request.backend_life import Backend
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.engine_placement import Placement
from yokedock.request.generation_state import GenerationState, tokens_per_event
from yokedock.request.routed_call import RoutedCall, WholeAnswer
from yokedock.request.stream_relay import StreamRelay
from yokedock.request.stream_watch import StreamWatch
from yokedock.router_errors import BackendBroken, BackendRefused, BackendUnreachable

_log = logger("generation")

PREFILL_PATIENCE = 3.0
"""A prefill that takes this many times its prediction is given up."""
LEAST_PREFILL_PATIENCE_S = 1.0
"""The same at least: other routers may have prompts read there too."""
STALL_S = 1.2
"""A resumable stream that is silent for this long goes on at another engine."""
LEAST_USEFUL_S = 0.1
"""With less time left no other engine is asked: it must connect, read the prompt, make a step."""
KEPT_SHARE = 0.8
"""Share of the time that an engine keeps a prompt's memory for which it is still used."""
RELEASE_TIMEOUT_S = 1.0
"""For connection and answer each: memory that is not released lapses by itself."""


class GenerationRuns:
    """Sends the steps of generations to engines and passes their streams on."""

    def __init__(
        self, ledger: EngineLedger, exchanges: BackendExchanges, watch: StreamWatch
    ) -> None:
        """Share the process's promises and connections, and what is known of silent engines."""
        self._ledger = ledger
        self._exchanges = exchanges
        self._watch = watch
        self._releases: OrderedSet[asyncio.Task[None]] = OrderedSet()

    async def reach(self, call: RoutedCall, engine: Backend) -> None:
        """Have a connection to the engine that is to make the answer; it rests meanwhile.

        Raises ``BackendUnreachable``: a prompt read for an engine that is gone is lost.
        """
        async with self._exchanges.open(engine, call, has_permit=True):
            _log.debug("reached", request=call.request_id, engine=engine.name)

    async def prefill(
        self, call: RoutedCall, state: GenerationState, engine: Backend, placement: Placement
    ) -> None:
        """Have the prompt read, and note where its memory is kept."""
        tokens = placement.tokens
        key = self._ledger.open_prefill(engine.name, tokens)
        is_done = False
        try:
            async with self._exchanges.open(engine, call, placement.has_prefill_permit) as exchange:
                if state.is_extra_prefill():
                    state.retries.note_arrival()
                state.prefills += 1
                order = BackendOrder(
                    engine.entry.instance, call.backend_deadline_ms(), is_prefill=True
                )
                state.reads.begin(engine.name, tokens)
                await exchange.send(order)
                answer = await exchange.read_whole(self._prefill_patience_s(call, engine))
            if answer.head.status >= SERVER_ERROR:
                state.prefills_refused += 1
                raise EngineRejected(f"{engine.name} answered {answer.head.status} to a prefill")
            result = self._exchanges.dialect.prefill_result(answer.body)
            is_done = True
            state.read_s = boot_time_s()
            state.reads.read()
            state.note_prompt_at(engine.name)
            traits = call.service.engine
            kept_s = traits.handle_s if traits else 0.0
            state.source_engine = engine
            state.source = f"{engine.entry.address}/{result.handle}"
            state.source_until_s = boot_time_s() + KEPT_SHARE * kept_s
        except BackendRefused:
            state.prefills_refused += 1
            state.refused_by.add(engine.name)
            raise
        finally:
            self._ledger.close_prefill(key, is_done)

    def _prefill_patience_s(self, call: RoutedCall, engine: Backend) -> float:
        predicted_s = self._ledger.backlog_s(engine.name)
        patience_s = max(LEAST_PREFILL_PATIENCE_S, PREFILL_PATIENCE * predicted_s)
        return min(call.left_s(), patience_s)

    async def decode_alone(
        self, call: RoutedCall, state: GenerationState, placement: Placement
    ) -> None:
        """Have one engine read the prompt and make the answer."""
        name = placement.decode.name
        reading = self._ledger.open_prefill(name, placement.tokens)
        state.relay.on_first = lambda: self._ledger.close_prefill(reading, is_done=False)
        try:
            await self.decode(call, state, placement)
        finally:
            self._ledger.close_prefill(reading, is_done=False)

    async def decode(self, call: RoutedCall, state: GenerationState, placement: Placement) -> None:
        """Have the answer made and pass it on."""
        relay, engine, keeper = state.relay, placement.decode, placement.fetch_from
        async with self._exchanges.open(engine, call, placement.has_decode_permit) as exchange:
            if state.is_extra_run(call):
                state.retries.note_arrival()
            state.retries.give_back()
            call.arrivals += 1
            order = BackendOrder(
                engine.entry.instance,
                call.backend_deadline_ms(),
                kv_source=state.kept_source(),
                fetch_from=keeper.entry.address if keeper is not None else None,
                last_event_id=relay.last_id if relay.events else None,
            )
            try:
                with call.one_run():
                    if state.must_read(placement):
                        state.reads.begin(engine.name, placement.tokens)
                    await exchange.send(order)
                    await self._relay(call, state, exchange, placement.demand)
            except BackendRefused:
                self._log_refused_answer(call, state, placement)
                state.refused_by.add(engine.name)
                state.read_at.pop(engine.name, None)
                raise

    async def _relay(
        self,
        call: RoutedCall,
        state: GenerationState,
        exchange: BackendExchange,
        demand: StreamDemand,
    ) -> None:
        """Pass the engine's events on until the stream is whole."""
        relay = state.relay
        relay.begin_run()
        is_resumable = call.route.resumable and call.runs < call.route.max_attempts
        patience_s = STALL_S if is_resumable else call.left_s()
        exchange.suspect_after(STALL_S)
        stream = self._watch.open(exchange.backend, is_resumable)
        try:
            head = await stream.within(patience_s, exchange.read_head(call.left_s()))
            state.source = None
            if head.status != 200:
                await self._pass_failure(call, state, exchange, WholeAnswer(head, b""))
                return
            parts = exchange.body_parts()
            while (part := await stream.within(patience_s, anext(parts, None))) is not None:
                self._watch.heard(stream)
                state.reads.read()
                state.note_prompt_at(exchange.backend.name)
                await relay.feed(head, part)
                self._note_pace(exchange.backend.name, relay)
                demand.made = relay.events * tokens_per_event(call)
        finally:
            self._watch.close(stream)
        await relay.end(head)
        exchange.finish()

    def _log_refused_answer(
        self, call: RoutedCall, state: GenerationState, placement: Placement
    ) -> None:
        """Tell what was promised at the engine as it refused."""
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
            kept_for_ms=round((state.source_until_s - boot_time_s()) * 1000),
        )

    def _note_pace(self, engine: str, relay: StreamRelay) -> None:
        """Note the pause before the newest event, and whether a prompt was being read then."""
        is_reading = self._ledger.prefill_backlog(engine) > 0
        if relay.pause_s is not None:
            self._ledger.pace.note_pause(engine, relay.pause_s, is_reading)

    async def _pass_failure(
        self,
        call: RoutedCall,
        state: GenerationState,
        exchange: BackendExchange,
        answer: WholeAnswer,
    ) -> None:
        """Pass an engine's own failure on, or have the request made elsewhere."""
        parts = [part async for part in exchange.body_parts()]
        exchange.finish(is_failure=answer.head.status >= SERVER_ERROR)
        if call.answer.has_started or (
            answer.head.status >= SERVER_ERROR and state.retries.may_go_on(call, LEAST_USEFUL_S)
        ):
            raise BackendBroken(f"{exchange.backend.name} answered {answer.head.status}")
        await call.answer.whole(answer.head, b"".join(parts))

    def release(self, source: str, keeper: Backend | None) -> None:
        """Release what a prefill keeps, in the background: it lapses soon in any case."""
        if keeper is not None:
            now_s = boot_time_s()
            if not keeper.may_take(now_s):
                return
            keeper.limit.take(now_s)
        address, _, handle = source.partition("/")
        task = asyncio.create_task(self._send_release(address, handle))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    async def _send_release(self, address: str, handle: str) -> None:
        call = ShortCall(b"DELETE", self._exchanges.dialect.release_target(handle))
        limits = CallLimits(RELEASE_TIMEOUT_S, RELEASE_TIMEOUT_S)
        try:
            await short_call(self._exchanges.pool, address, call, limits)
        except (BackendUnreachable, BackendBroken) as error:
            _log.info("release lost, the memory lapses", address=address, reason=error.message)
