"""Sends the prefill and decode requests of a generation to engines.

Each request is sent once; ``GenerationCalls`` decides about retries.
"""

from __future__ import annotations

import asyncio

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.base.ordered_set import OrderedSet
from yokedock.connection.dialect import ForwardingOrder
from yokedock.connection.short_call import CallLimits, ShortCall, short_call
from yokedock.errors import EngineRejected
from yokedock.request.backend_exchange import SERVER_ERROR, BackendExchanges
from yokedock.request.backend_incarnation import Backend
from yokedock.request.body_progress import BodyLimits
from yokedock.request.decode_relay import DecodeRelay, DecodeServices
from yokedock.request.engine_placement import Placement
from yokedock.request.generation_state import GenerationState
from yokedock.request.routed_call import RoutedCall
from yokedock.router_errors import BackendRefused, BackendResponseError, BackendUnreachable

_log = logger("generation")

PREFILL_TIMEOUT_FACTOR = 3.0
"""A prefill is abandoned after this multiple of its predicted duration."""
MIN_PREFILL_TIMEOUT_S = 1.0
"""Lower bound of that timeout: other routers may have prefills on the same engine."""
HANDLE_TTL_SHARE = 0.8
"""Share of an engine's retention time for a prefill result during which the result is used."""
MAX_PREFILL_RESULT_BYTES = 65_536
RELEASE_TIMEOUT_S = 1.0
"""Timeout for connecting and for the response, each: unreleased KV memory expires by itself."""


class GenerationDispatcher:
    """Sends prefill and decode requests to engines and relays their streams."""

    def __init__(
        self,
        exchanges: BackendExchanges,
        decode_services: DecodeServices,
    ) -> None:
        """Use the connections and services that the whole process shares."""
        self._ledger = decode_services.ledger
        self._exchanges = exchanges
        self._decode_services = decode_services
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
                    demand, services = placement.demand, self._decode_services
                    await DecodeRelay(call, state, exchange, demand, services).run()
            except BackendRefused:
                self._log_refused_decode(call, state, placement)
                state.excluded_engines.add(engine.name)
                state.read_at.pop(engine.name, None)
                raise

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
