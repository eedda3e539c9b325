"""Generations: the prompt is read on one engine, the answer made on another and passed on.

Room for the answer is promised in the ledger before the prompt is read. What breaks before or in
the middle of the stream goes on elsewhere where the route allows it.
"""

from __future__ import annotations

import asyncio

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.dialect import BackendOrder
from yokedock.connection.short_call import CallLimits, ShortCall, short_call
from yokedock.errors import (
    DeadlineExceeded,
    EngineRejected,
    NoDecodeRoom,
    Refused,
    RetryBudgetSpent,
    YokedockError,
)
from yokedock.request.backend_exchange import SERVER_ERROR, BackendExchange, BackendExchanges
from yokedock.request.backend_life import Backend
from yokedock.request.cache_lookup import CacheLookup
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.engine_placement import EnginePlacement, Placement, Progress
from yokedock.request.mechanisms import ALL_ON, Mechanisms
from yokedock.request.prompt_reads import PromptReads
from yokedock.request.retry_allowance import RequestRetries, RetryAllowance
from yokedock.request.routed_call import RoutedCall, WholeAnswer
from yokedock.request.stream_relay import StreamRelay
from yokedock.request.stream_watch import StreamWatch
from yokedock.router_errors import (
    BackendAnswerLost,
    BackendBroken,
    BackendRefused,
    BackendSilent,
    BackendUnreachable,
)

_log = logger("generation")

PREFILL_PATIENCE = 3.0
"""A prefill that takes this many times its prediction is given up."""
LEAST_PREFILL_PATIENCE_S = 1.0
STALL_S = 1.2
"""A resumable stream that is silent for this long goes on at another engine."""
LEAST_USEFUL_S = 0.1
ENOUGH_REFUSALS = 3
RECONNECT_S = 0.02
"""Engines that cannot be reached are tried again at this interval, until the caller gives up."""
KEPT_SHARE = 0.8
"""Share of the time that an engine keeps a prompt's memory for which it is still used."""
RELEASE_TIMEOUT_S = 1.0
CACHED_S = 1.0
"""An engine that used a prompt so long ago may have dropped it from its prefix cache."""


class GenerationState(msgspec.Struct, eq=False):
    """How far one generation has come over all its attempts."""

    relay: StreamRelay
    retries: RequestRetries
    reads: PromptReads
    refused_by: set[str] = msgspec.field(default_factory=set)
    source: str | None = None
    """Where the prompt's memory is kept, until ``source_until_s``, after a refused decode."""
    source_until_s: float = 0.0
    source_engine: Backend | None = None
    """The life that keeps it."""
    prefills: int = 0
    """Prefills that reached an engine."""
    prefills_refused: int = 0
    read_at: dict[str, float] = msgspec.field(default_factory=dict)
    """Engines that have read the prompt, and when they last used it (boot time, s)."""
    engines: list[str] = msgspec.field(default_factory=list)
    """Where it was placed, one ``prefill>decode`` for each attempt."""
    placed_s: float = 0.0
    read_s: float = 0.0

    def note_placement(self, placement: Placement) -> None:
        """Note a placement for the logs."""
        reader = placement.prefill or placement.fetch_from
        self.engines.append(f"{reader.name if reader else ''}>{placement.decode.name}")
        self.placed_s = boot_time_s()

    def is_extra_prefill(self) -> bool:
        """Return whether one more prefill spends the retry budget: the first does not."""
        return self.prefills > 0

    def is_extra_run(self, call: RoutedCall) -> bool:
        """Return whether one more run spends the retry budget.

        The first does not, unless all prefills were refused: those are arrivals like runs.
        """
        return call.arrivals > 0 or 0 < self.prefills == self.prefills_refused

    def note_silent(self, placement: Placement) -> None:
        """Avoid the engine that fell silent: the decode engine, once the prompt was read."""
        prefill = placement.prefill
        is_read = prefill is None or prefill.name in self.read_at
        silent = placement.decode if prefill is None or is_read else prefill
        self.refused_by.add(silent.name)

    def progress(self, call: RoutedCall) -> Progress:
        """Return what bears on the next placement."""
        return Progress(
            made=self.relay.events * _tokens_per_event(call),
            avoid=frozenset(self.refused_by),
            cached_at=self._cached_at(),
            silent_since_s=self.silent_since_s(call),
        )

    def note_prompt_at(self, *engines: str) -> None:
        """Note that engines keep the prompt now."""
        self.read_at |= dict.fromkeys(engines, boot_time_s())

    def _cached_at(self) -> frozenset[str]:
        """Return the engines that used the prompt so lately that they should still keep it."""
        oldest_s = boot_time_s() - CACHED_S
        return frozenset(name for name, used_s in self.read_at.items() if used_s >= oldest_s)

    def silent_since_s(self, call: RoutedCall) -> float:
        """Return since when the caller has heard nothing (boot time, s)."""
        return self.relay.last_s or call.arrived_s

    def note_lapse(self) -> None:
        """Note that the prompt's memory was kept too long ago to be used."""
        if self.source is not None and self.kept_source() is None:
            self.reads.lost("lapsed after", self.reads.loss)
            self.reads.end(is_whole=False)

    def must_read(self, placement: Placement) -> bool:
        """Return whether the decode engine reads the prompt itself."""
        is_read = self.kept_source() is not None or placement.fetch_from is not None
        return not is_read and placement.decode.name not in self.read_at

    def kept_source(self) -> str | None:
        """Return the prompt's memory if it is still kept."""
        has_ended = self.source_engine is not None and self.source_engine.has_ended
        return self.source if boot_time_s() < self.source_until_s and not has_ended else None


class GenerationCalls:
    """Serves generations over separate prefill and decode engines."""

    def __init__(
        self,
        placement: EnginePlacement,
        ledger: EngineLedger,
        exchanges: BackendExchanges,
        allowance: RetryAllowance,
        lookup: CacheLookup,
        mechanisms: Mechanisms = ALL_ON,
    ) -> None:
        """Share the process's placement, promises, connections, budget and look-up of prompts."""
        self._placement = placement
        self._ledger = ledger
        self._exchanges = exchanges
        self._allowance = allowance
        self._lookup = lookup
        self._mechanisms = mechanisms
        self._watch = StreamWatch(is_used=mechanisms.silence_watch)
        self._releases: set[asyncio.Task[None]] = set()

    async def serve(self, call: RoutedCall) -> None:
        """Answer the request; errors that are raised go to the caller."""
        relay = StreamRelay(call.answer, call.terms.last_event_id)
        with self._allowance.request(call.service.name, call.request_id) as retries:
            reads = PromptReads(call.request_id)
            await self._serve_within(call, GenerationState(relay, retries, reads))

    async def _serve_within(self, call: RoutedCall, state: GenerationState) -> None:
        """Answer the request within its time."""
        try:
            async with asyncio.timeout(call.left_s()):
                if call.terms.last_event_id is not None:
                    await self._seek_prompt(call, state)
                await self._serve(call, state)
            state.reads.end(is_whole=True)
        except TimeoutError:
            state.reads.lost("end", "the time was over")
            raise self._final(call, DeadlineExceeded("the time was over; allow more")) from None
        finally:
            state.reads.end(is_whole=False)
            call.first_piece_s = state.relay.first_s
            call.longest_pause_s = state.relay.longest_gap_s
            if state.source is not None:
                self._release(state.source, state.source_engine)
            _log_stream(call, state)

    async def _serve(self, call: RoutedCall, state: GenerationState) -> None:
        while True:
            try:
                placement = await self._placement.place(call, state.progress(call))
                state.note_placement(placement)
                _log_placed(call, state)
                await self._attempt(call, state, placement)
                return
            except BackendUnreachable as error:
                gives_up_s = self._placement.gives_up_s(call, state.progress(call))
                is_over = boot_time_s() > gives_up_s or not self._mechanisms.reconnects
                if is_over or not state.retries.may_go_on(call, LEAST_USEFUL_S, is_arrival=False):
                    raise self._final(call, error) from None
                await asyncio.sleep(RECONNECT_S)
            except BackendRefused as error:
                is_enough = len(state.refused_by) >= ENOUGH_REFUSALS
                if is_enough or not state.retries.may_go_on(call, LEAST_USEFUL_S):
                    raise self._final(call, error) from None
                _log.info("again", request=call.request_id, reason=error.message)
            except (BackendBroken, EngineRejected) as error:
                if isinstance(error, BackendSilent):
                    state.note_silent(placement)
                elif state.relay.events and self._mechanisms.avoid_broken:
                    state.refused_by.add(placement.decode.name)
                may_go_on = self._mechanisms.resume or not state.relay.events
                if not may_go_on or not state.retries.may_go_on(call, LEAST_USEFUL_S):
                    raise self._final(call, error) from None
                _log.info("again", request=call.request_id, reason=error.message)
                if state.relay.events:
                    await self._seek_prompt(call, state)
            except (Refused, RetryBudgetSpent) as error:
                raise self._final(call, error) from None

    async def _seek_prompt(self, call: RoutedCall, state: GenerationState) -> None:
        """Learn which engines keep the prompt now: one that broke may be gone."""
        if not self._mechanisms.cache_lookup:
            return
        state.read_at.clear()
        state.note_prompt_at(*await self._lookup.engines_with_prompt(call))

    async def _attempt(
        self, call: RoutedCall, state: GenerationState, placement: Placement
    ) -> None:
        """Read the prompt, then make the answer, with room promised all the while."""
        try:
            self._set_aside(call, state, placement)
            state.note_lapse()
            if state.kept_source() is not None:
                await self._decode(call, state, placement)
            elif placement.prefill is not None:
                await self._reach(call, placement.decode)
                await self._prefill(call, state, placement.prefill, placement.tokens)
                await self._decode(call, state, placement)
            else:
                await self._decode_alone(call, state, placement)
        except YokedockError as error:
            state.reads.lost("answer" if state.reads.read_s else "reading", error.message)
            raise
        finally:
            self._ledger.close_stream(placement.promise)

    def _set_aside(self, call: RoutedCall, state: GenerationState, placement: Placement) -> None:
        """Have all arrivals of an attempt paid for; raises ``RetryBudgetSpent``.

        One that could pay for its prefill alone would have the prompt read for nothing.
        """
        is_read = placement.prefill is not None and state.kept_source() is None
        arrivals = int(is_read and state.is_extra_prefill()) + int(state.is_extra_run(call))
        if not state.retries.set_aside(arrivals):
            raise RetryBudgetSpent(f"the retry budget of {call.service.name} is spent")

    async def _reach(self, call: RoutedCall, engine: Backend) -> None:
        """Have a connection to the engine that is to make the answer; it rests meanwhile.

        Raises ``BackendUnreachable``: a prompt read for an engine that is gone is lost.
        """
        async with self._exchanges.open(engine, call):
            _log.debug("reached", request=call.request_id, engine=engine.name)

    async def _prefill(
        self, call: RoutedCall, state: GenerationState, engine: Backend, tokens: int
    ) -> None:
        """Have the prompt read, and note where its memory is kept."""
        key = self._ledger.open_prefill(engine.name, tokens)
        is_done = False
        try:
            async with self._exchanges.open(engine, call) as exchange:
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

    async def _decode_alone(
        self, call: RoutedCall, state: GenerationState, placement: Placement
    ) -> None:
        """Have one engine read the prompt and make the answer."""
        name = placement.decode.name
        reading = self._ledger.open_prefill(name, placement.tokens)
        state.relay.on_first = lambda: self._ledger.close_prefill(reading, is_done=False)
        try:
            await self._decode(call, state, placement)
        finally:
            self._ledger.close_prefill(reading, is_done=False)

    async def _decode(self, call: RoutedCall, state: GenerationState, placement: Placement) -> None:
        """Have the answer made and pass it on."""
        relay, engine, keeper = state.relay, placement.decode, placement.fetch_from
        async with self._exchanges.open(engine, call) as exchange:
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
                demand.made = relay.events * _tokens_per_event(call)
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

    def _final(self, call: RoutedCall, error: YokedockError) -> YokedockError:
        """Return what the caller is told: "not run" only if that is certain."""
        _log.info(
            "given up",
            request=call.request_id,
            runs=call.runs,
            arrivals=call.arrivals,
            may_have_run=call.may_have_run,
            held_ms=round((boot_time_s() - call.arrived_s) * 1000),
            reason=error.message,
        )
        if not call.may_have_run:
            if isinstance(error, Refused):
                return error
            message = f"{error.message}; it was not run, retry later"
            return NoDecodeRoom(message, self._placement.return_after_s(call))
        if isinstance(error, DeadlineExceeded):
            return error
        return BackendAnswerLost("the answer was lost and it may have run; look it up first")

    def _release(self, source: str, keeper: Backend | None) -> None:
        """Release what a prefill keeps, in the background: it lapses soon in any case."""
        if keeper is not None and keeper.notices.is_resting(boot_time_s()):
            return
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


def _tokens_per_event(call: RoutedCall) -> int:
    return call.service.engine.tokens_per_event if call.service.engine else 1


def _log_placed(call: RoutedCall, state: GenerationState) -> None:
    """Tell where a stream goes, so that one whose router dies leaves a trace."""
    engine = state.engines[-1]
    tokens = call.terms.generation.prompt_tokens if call.terms.generation else 0
    _log.info(
        "placed",
        request=call.request_id,
        route=call.route.name,
        engines=[engine],
        prompt_tokens=tokens,
    )


def _log_stream(call: RoutedCall, state: GenerationState) -> None:
    """Tell how a stream went: when it was placed, read and begun, and its longest pause."""
    relay = state.relay
    _log.info(
        "stream",
        request=call.request_id,
        engines=state.engines,
        placed_ms=_since_ms(call, state.placed_s),
        read_ms=_since_ms(call, state.read_s),
        first_ms=_since_ms(call, relay.first_s or 0.0),
        gap_ms=round(relay.longest_gap_s * 1000),
        events=relay.events,
    )


def _since_ms(call: RoutedCall, then_s: float) -> int | None:
    """Return the milliseconds from the arrival to ``then_s``, None if that never came."""
    return round((then_s - call.arrived_s) * 1000) if then_s else None
