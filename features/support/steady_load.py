"""Closed-loop clients that send requests to their router one after the other."""

import asyncio
import dataclasses
import itertools
import time

from support.router_world import RawCaller, request_bytes
from yokedock.base.clock import boot_time_s

PAUSE_S = 0.03
"""Time from a response to the client's next request."""
TICK_S = 0.01
INCOMPLETE = -1
"""Status recorded for a request whose response was incomplete."""
_numbers = itertools.count()


@dataclasses.dataclass(frozen=True)
class ServedRequest:
    """One request and its response, as seen by the client."""

    request_id: str
    sent_s: float
    took_s: float
    status: int
    headers: dict
    body: bytes


@dataclasses.dataclass(frozen=True)
class Stall:
    """A span in which the event loop was blocked, and the processor time used in it."""

    from_s: float
    until_s: float
    processor_s: float

    def without_processor_s(self, since_s, end_s):
        """Return the least time without a processor in the part of the stall between two times."""
        overlap_s = min(end_s, self.until_s) - max(since_s, self.from_s)
        return max(0.0, overlap_s - self.processor_s)


class SteadyLoad:
    """Sends to ``routers`` with ``clients`` clients each; ``served`` holds the results."""

    def __init__(self, world, routers, clients, make_request):
        self._world = world
        self._routers = routers
        self._clients = clients
        self._make_request = make_request
        self.served = []
        self._stalls = []
        """Spans in which the event loop was blocked."""

    def run(self, span_s):
        """Send requests for ``span_s``."""
        addresses = [router.settings.callers.listen for router in self._routers]
        callers = [
            RawCaller(self._world, address) for address in addresses for _ in range(self._clients)
        ]
        self._world.run(self._send_all(callers, boot_time_s() + span_s))

    def without_processor_s(self, request):
        """Return how long the process had no processor between a request and its response.

        Callers, routers and backends share one event loop. Time in which one of them blocked it
        by computing counts as their own latency; only time without a processor is excluded.
        """
        end_s = request.sent_s + request.took_s
        return sum(stall.without_processor_s(request.sent_s, end_s) for stall in self._stalls)

    async def _send_all(self, callers, until_s):
        stall_task = asyncio.create_task(self._record_stalls())
        await asyncio.gather(*(self._send(caller, until_s) for caller in callers))
        stall_task.cancel()

    async def _record_stalls(self):
        while True:
            before_s, processor_s = boot_time_s(), time.process_time()
            await asyncio.sleep(TICK_S)
            due_s, now_s = before_s + TICK_S, boot_time_s()
            if now_s > due_s + TICK_S:
                self._stalls.append(Stall(due_s, now_s, time.process_time() - processor_s))

    async def _send(self, caller, until_s):
        while (sent_s := boot_time_s()) < until_s:
            request_id = f"load-{next(_numbers)}"
            caller._writer.write(self._make_request(request_id))
            status, headers, body, is_whole = await caller._read_answer()
            took_s = boot_time_s() - sent_s
            status = status if is_whole else INCOMPLETE
            self.served.append(ServedRequest(request_id, sent_s, took_s, status, headers, body))
            await asyncio.sleep(PAUSE_S)


def call_builder(route):
    """Return a function that builds calls on a route from their request ids."""
    return lambda request_id: request_bytes(route, body=b"abc", request_id=request_id)


def stream_builder(route):
    """Return a function that builds generation requests on a route, each with a unique prompt."""

    def build(request_id):
        prompt_parts = f"{request_id}:50"
        headers = [("X-Model", "m"), ("X-Tokens", "50,60"), ("X-Prompt-Parts", prompt_parts)]
        return request_bytes(route, headers=headers, request_id=request_id)

    return build
