"""Decides which requests a router that is being stopped still accepts.

A request is accepted only if its response can be expected before the router stops. One that is
refused was not run, and another router can serve it; one that is accepted too late is cut off, and
its caller does not know whether it was run.
"""

from __future__ import annotations

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.randomness import new_random
from yokedock.connection.dialect import GenerationParameters
from yokedock.errors import NotReady
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.engine_performance import EnginePerformance
from yokedock.request.routed_call import RoutedCall

SILENCE_ALLOWANCE_S = 1.5
"""A sound backend may send nothing for a second or so before it goes on."""
LATENCY_MARGIN = 3.0
"""Minimum ratio of the latency that a call is given to the typical one of its service."""
PACE_MARGIN = 1.5
"""Ratio of the time that a stream is given to the time at the present pace of the engines: the
pace falls when other streams join."""
STREAM_START_ESTIMATE_S = 0.5
"""Estimated time from the arrival of a stream to its first event."""
INITIAL_TOKEN_ESTIMATE_S = 0.006
"""Estimated time for each token until a pace has been measured."""
HINT_TRUST_S = 2.5
"""How long after the start of a graceful shutdown the callers' estimates of output lengths are
used: the end of the shutdown may cut off streams that arrived in this time. The platform allows
this for 3 s, counted from when the client sent the request."""
STREAM_RETRY_AFTER_S = 1.0
"""Retry-after time for a stream: others may be stopping too."""
CALL_RETRY_AFTER_S = 0.05
"""Retry-after time for a call that another router can serve now."""
RETRY_AFTER_SPREAD = 2.0
"""Retry-after times are spread evenly between one and this many times the above, so that callers do
not return together where all routers of a zone stop."""


class StopState(msgspec.Struct):
    """Progress of a graceful shutdown."""

    is_stopping: bool = False
    since_s: float = 0.0
    """When the shutdown began (boot time, s)."""
    is_ending: bool = False
    """Whether waiting and new requests get a final answer now, without being forwarded."""
    final_answers_s: float = 0.0
    """When ``is_ending`` will be set (boot time, s)."""


class StopAdmission:
    """Compares the time that a request needs with the time left until the router stops."""

    def __init__(self, stop: StopState, registry: BackendRegistry, pace: EnginePerformance) -> None:
        """Use the measured latencies of the backends and the pace of the engines."""
        self._stop = stop
        self._registry = registry
        self._pace = pace
        self._random = new_random()

    def require_time(self, call: RoutedCall) -> None:
        """Raise ``NotReady`` if the router stops before the request could be served."""
        if not self.has_time(call):
            raise self.refusal(call)

    def has_time(self, call: RoutedCall) -> bool:
        """Return whether a request that has not been sent to a backend can still be served.

        One whose deadline comes first ends before the router does in any case.
        """
        if not self._stop.is_stopping or call.deadline_s <= self._stop.final_answers_s:
            return True
        return boot_time_s() + self._needed_s(call) <= self._stop.final_answers_s

    def refusal(self, call: RoutedCall) -> NotReady:
        """Return the error for a request that was not run."""
        retry_after_s = STREAM_RETRY_AFTER_S if call.terms.generation else CALL_RETRY_AFTER_S
        spread = self._random.uniform(1.0, RETRY_AFTER_SPREAD)
        return NotReady("the router is stopping; retry elsewhere", retry_after_s * spread)

    def _needed_s(self, call: RoutedCall) -> float:
        """Return the time to allow for a request that is sent to a backend now, in seconds."""
        terms = call.terms.generation
        if terms is None:
            return SILENCE_ALLOWANCE_S + self._latency_s(call.service.name)
        output_s = self._output_tokens(call, terms) * self._token_s(call)
        return SILENCE_ALLOWANCE_S + STREAM_START_ESTIMATE_S + output_s

    def _latency_s(self, service: str) -> float:
        """Return the latency to allow for: no call should be slower than the recent ones."""
        typical_s = self._registry.typical_latency_s(service)
        return max(LATENCY_MARGIN * typical_s, self._registry.slowest_latency_s(service))

    def _output_tokens(self, call: RoutedCall, terms: GenerationParameters) -> int:
        """Return the number of output tokens to allow for, without those of a resumed stream that
        the caller has.

        Callers' estimates are often wrong. They are ignored for requests that arrive later in the
        shutdown, because these must not be cut off.
        """
        tokens = terms.max_output_tokens
        if call.arrived_s - self._stop.since_s < HINT_TRUST_S:
            tokens = terms.output_hint or tokens
        return max(0, tokens - (call.terms.last_event_id or 0) * call.tokens_per_event())

    def _token_s(self, call: RoutedCall) -> float:
        """Return the time to allow for each token, in seconds."""
        pause_s = self._pace.typical_pause_s()
        if pause_s <= 0:
            return INITIAL_TOKEN_ESTIMATE_S
        return PACE_MARGIN * pause_s / call.tokens_per_event()
