"""Generations: the prompt is read on one engine, the answer made on another and passed on.

Room for the answer is promised in the ledger before the prompt is read. What breaks before or in
the middle of the stream goes on elsewhere where the route allows it.
"""

from __future__ import annotations

import asyncio

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.errors import (
    DeadlineExceeded,
    EngineRejected,
    NoDecodeRoom,
    Refused,
    RetryBudgetSpent,
    YokedockError,
)
from yokedock.request.backend_exchange import BackendExchanges
from yokedock.request.cache_lookup import CacheLookup
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.engine_placement import EnginePlacement, Placement
from yokedock.request.generation_runs import LEAST_USEFUL_S, GenerationRuns
from yokedock.request.generation_state import (
    GenerationState,
    log_placed,
    log_stream,
)
from yokedock.request.mechanisms import ALL_ON, Mechanisms
from yokedock.request.prompt_reads import PromptReads
from yokedock.request.retry_allowance import RetryAllowance
from yokedock.request.routed_call import RoutedCall
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

ENOUGH_REFUSALS = 3
"""Engines that refuse one generation before it is given up: with room promised at each of three,
the promises are wrong, and a fourth engine is no better known."""
RECONNECT_S = 0.02
"""Engines that cannot be reached are tried again at this interval, until the caller gives up."""


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
        self._allowance = allowance
        self._lookup = lookup
        self._mechanisms = mechanisms
        watch = StreamWatch(is_used=mechanisms.silence_watch)
        self._runs = GenerationRuns(ledger, exchanges, watch)

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
                self._runs.release(state.source, state.source_engine)
            log_stream(call, state)

    async def _serve(self, call: RoutedCall, state: GenerationState) -> None:
        while True:
            try:
                placement = await self._placement.place(call, state.progress(call))
                state.note_placement(placement)
                log_placed(call, state)
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
                await self._runs.decode(call, state, placement)
            elif placement.prefill is not None:
                await self._runs.reach(call, placement.decode)
                await self._runs.prefill(call, state, placement.prefill, placement)
                await self._runs.decode(call, state, placement)
            else:
                await self._runs.decode_alone(call, state, placement)
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
