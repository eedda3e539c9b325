"""Generations with prefill on one engine and decode on another, streamed to the caller.

Memory for the decode is reserved in the ledger before the prefill starts. A generation that fails
before or during the stream continues on another engine if the route allows it.
"""

from __future__ import annotations

import asyncio
import functools

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.errors import (
    DeadlineExceeded,
    EngineRejected,
    NoDecodeCapacity,
    Refused,
    RetryBudgetExhausted,
    YokedockError,
)
from yokedock.request.backend_exchange import BackendExchanges
from yokedock.request.cache_lookup import CacheLookup
from yokedock.request.decode_relay import MIN_ATTEMPT_TIME_S, DecodeServices
from yokedock.request.engine_ledger import EngineLedger
from yokedock.request.engine_placement import EnginePlacement, Placement
from yokedock.request.generation_dispatch import GenerationDispatcher
from yokedock.request.generation_state import (
    GenerationState,
    log_placement,
    log_stream_summary,
)
from yokedock.request.mechanisms import ALL_ON, Mechanisms
from yokedock.request.poison_parts import SETTLE_S
from yokedock.request.prefill_tracker import PrefillTracker
from yokedock.request.retry_allowance import RetryAllowance
from yokedock.request.routed_call import RoutedCall
from yokedock.request.silence_detector import SilenceDetector
from yokedock.request.stream_move import StreamMoved
from yokedock.request.stream_relay import StreamRelay
from yokedock.request.version_pinning import VersionPinning
from yokedock.router_errors import (
    BackendRefused,
    BackendResponseError,
    BackendResponseLost,
    BackendUnreachable,
    BackendUnresponsive,
)

_log = logger("generation")

MAX_REFUSALS = 3
"""Number of engines that may refuse a generation before it fails. Memory was reserved on each of
them: if three refuse all the same, the ledger is wrong and no more reliable for a fourth engine."""
RECONNECT_S = 0.02
"""Retry interval while the chosen engine cannot be reached, until the caller would give up."""
SUSPECT_RETRY_DELAY_S = SETTLE_S + 0.05
"""Delay of a retry whose prompt may have crashed the engine: until then, reports of other routers
may show that it does."""
LAST_ENGINE_RECONNECT_S = 0.5
"""How long the last engine of a stream's software version is tried again."""


class GenerationCalls:
    """Serves generations on separate prefill and decode engines."""

    def __init__(
        self,
        placement: EnginePlacement,
        ledger: EngineLedger,
        exchanges: BackendExchanges,
        allowance: RetryAllowance,
        lookup: CacheLookup,
        pinning: VersionPinning,
        mechanisms: Mechanisms = ALL_ON,
    ) -> None:
        """Use the process-wide placement, ledger, connections, retry budget, cache lookup
        and versions of streams."""
        self._placement = placement
        self._ledger = ledger
        self._allowance = allowance
        self._lookup = lookup
        self._mechanisms = mechanisms
        self._crashes = exchanges.crashes
        watch = SilenceDetector(is_used=mechanisms.silence_watch)
        self._dispatcher = GenerationDispatcher(
            exchanges, DecodeServices(ledger, watch, pinning, placement)
        )

    async def serve(self, call: RoutedCall) -> None:
        """Serve the request; raised errors are returned to the caller."""
        relay = StreamRelay(call.answer, call.terms.last_event_id)
        with self._allowance.request(call.service.name, call.request_id) as retries:
            state = GenerationState(relay, retries, PrefillTracker(call.request_id))
            relay.on_continued = state.begin_move
            await self._serve_with_deadline(call, state)

    async def _serve_with_deadline(self, call: RoutedCall, state: GenerationState) -> None:
        """Serve the request within its deadline."""
        try:
            async with asyncio.timeout(call.remaining_s()):
                if call.terms.last_event_id is not None:
                    await self._refresh_prompt_locations(call, state)
                await self._serve(call, state)
            state.reads.end(is_whole=True)
        except TimeoutError:
            state.reads.lost("end", "deadline exceeded")
            raise self._final_error(
                call, DeadlineExceeded("deadline exceeded; allow more time")
            ) from None
        finally:
            state.reads.end(is_whole=False)
            call.first_event_s = state.relay.first_s
            call.max_event_gap_s = state.relay.longest_gap_s
            if state.source is not None:
                self._dispatcher.release(state.source, state.source_engine)
            log_stream_summary(call, state)

    async def _serve(self, call: RoutedCall, state: GenerationState) -> None:
        while True:
            try:
                placement = await self._placement.place(call, state.progress(call))
                state.note_placement(placement)
                log_placement(call, state, placement)
                await self._attempt(call, state, placement)
                return
            except BackendUnreachable as error:
                is_over = not self._mechanisms.reconnects or self._is_reconnecting_over(
                    call, state, placement
                )
                if is_over or not state.retries.reserve_retry(
                    call, MIN_ATTEMPT_TIME_S, uses_budget=False
                ):
                    raise self._final_error(call, error) from None
                await asyncio.sleep(RECONNECT_S)
            except BackendRefused as error:
                has_too_many_refusals = len(state.excluded_engines) >= MAX_REFUSALS
                if has_too_many_refusals or not state.retries.reserve_retry(
                    call, MIN_ATTEMPT_TIME_S
                ):
                    raise self._final_error(call, error) from None
                _log.info("again", request=call.request_id, reason=error.message)
            except StreamMoved as moved:
                await moved.move.finish()
                return
            except (BackendResponseError, EngineRejected) as error:
                await self._prepare_retry(call, state, placement, error)
            except (Refused, RetryBudgetExhausted) as error:
                raise self._final_error(call, error) from None

    async def _prepare_retry(
        self,
        call: RoutedCall,
        state: GenerationState,
        placement: Placement,
        error: BackendResponseError | EngineRejected,
    ) -> None:
        """Prepare another attempt after ``error``; raises the final error if none is allowed."""
        if isinstance(error, BackendUnresponsive):
            state.exclude_silent_engine(placement)
        elif state.relay.events and self._mechanisms.avoid_broken:
            self._exclude_broken(call, state, placement.decode.name)
        reserve_retry = self._mechanisms.resume or not state.relay.events
        if not reserve_retry or not state.retries.reserve_retry(call, MIN_ATTEMPT_TIME_S):
            raise self._final_error(call, error) from None
        _log.info("again", request=call.request_id, reason=error.message)
        if state.relay.events:
            await self._refresh_prompt_locations(call, state)
        elif self._crashes.has_suspect_part(call):
            await asyncio.sleep(SUSPECT_RETRY_DELAY_S)

    async def _serve_elsewhere(
        self, call: RoutedCall, state: GenerationState, placement: Placement
    ) -> None:
        """Serve the rest of a stream whose engine is silent on other engines."""
        error = BackendUnresponsive(f"{placement.decode.name}: the stream stalled")
        await self._prepare_retry(call, state, placement, error)
        await self._serve(call, state)

    def _is_reconnecting_over(
        self, call: RoutedCall, state: GenerationState, placement: Placement
    ) -> bool:
        """Return whether an engine that cannot be reached is not worth another attempt.

        The last engine of the stream's software version is waited for only for a moment: engines
        that start later mostly run another one.
        """
        now_s, progress = boot_time_s(), state.progress(call)
        state.unreachable_since_s = state.unreachable_since_s or now_s
        is_last = not self._placement.has_other_engine(call, progress, placement.decode.name)
        if is_last and now_s > state.unreachable_since_s + LAST_ENGINE_RECONNECT_S:
            return True
        return now_s > self._placement.gives_up_s(call, progress)

    def _exclude_broken(self, call: RoutedCall, state: GenerationState, engine: str) -> None:
        """Exclude an engine that broke off, unless it is the last that may continue the stream."""
        if self._placement.has_other_engine(call, state.progress(call), engine):
            state.excluded_engines.add(engine)

    async def _refresh_prompt_locations(self, call: RoutedCall, state: GenerationState) -> None:
        """Query which engines have the prompt cached now: an engine that failed may be gone."""
        if not self._mechanisms.cache_lookup:
            return
        state.read_at.clear()
        state.note_prompt_cached(*await self._lookup.engines_with_prompt(call))

    async def _attempt(
        self, call: RoutedCall, state: GenerationState, placement: Placement
    ) -> None:
        """Run prefill and decode while the placement's memory reservation is held."""
        try:
            placement = self._affordable(call, state, placement)
            state.serve_elsewhere = functools.partial(self._serve_elsewhere, call, state, placement)
            state.note_expired_source()
            if state.valid_source() is not None:
                await self._dispatcher.decode(call, state, placement)
            elif placement.prefill is not None:
                await self._dispatcher.reach(call, placement.decode)
                await self._dispatcher.prefill(call, state, placement.prefill, placement)
                await self._dispatcher.decode(call, state, placement)
            else:
                await self._dispatcher.prefill_and_decode(call, state, placement)
        except YokedockError as error:
            state.reads.lost("answer" if state.reads.read_s else "reading", error.message)
            raise
        finally:
            self._ledger.close_stream(placement.reservation)

    def _affordable(
        self, call: RoutedCall, state: GenerationState, placement: Placement
    ) -> Placement:
        """Reserve retry budget for all arrivals of an attempt; raises ``RetryBudgetExhausted``.

        If the budget covered only the prefill, that prefill would be wasted. If it covers only the
        decode engine, that engine prefills the prompt itself.
        """
        runs = int(state.is_extra_run(call))
        is_read = placement.prefill is not None and state.valid_source() is None
        if is_read and state.is_extra_prefill():
            if state.retries.try_set_aside(1 + runs):
                return placement
            _log.info("prefill moved to the decode engine", request=call.request_id)
            placement = msgspec.structs.replace(placement, prefill=None)
        if not state.retries.set_aside(runs):
            raise RetryBudgetExhausted(f"the retry budget of {call.service.name} is exhausted")
        return placement

    def _final_error(self, call: RoutedCall, error: YokedockError) -> YokedockError:
        """Return the error for the caller; it says "not run" only if that is certain."""
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
            message = f"{error.message}; the request was not run, retry later"
            return NoDecodeCapacity(message, self._placement.retry_after_s(call))
        if isinstance(error, DeadlineExceeded):
            return error
        return BackendResponseLost(
            "the response was lost and the request may have run; check its result before retrying"
        )
