"""Clients that send one request after the other to their router for a while."""

import asyncio
import dataclasses
import itertools
import time

from support.router_world import RawCaller, request_bytes
from yokedock.base.clock import boot_time_s

PAUSE_S = 0.03
"""From an answer to the client's next request."""
TICK_S = 0.01
BROKEN = -1
"""Status of a request whose answer was not whole."""
_numbers = itertools.count()


@dataclasses.dataclass(frozen=True)
class ServedRequest:
    """What one client saw of one request."""

    request_id: str
    sent_s: float
    took_s: float
    status: int
    headers: dict
    body: bytes


@dataclasses.dataclass(frozen=True)
class Stall:
    """A span in which the loop stood still, and the processor time that the process had in it."""

    from_s: float
    until_s: float
    worked_s: float

    def without_processor_s(self, since_s, end_s):
        """Return for how long, of the part between two times, the process surely did not work."""
        overlap_s = min(end_s, self.until_s) - max(since_s, self.from_s)
        return max(0.0, overlap_s - self.worked_s)


class SteadyLoad:
    """Sends to ``routers`` with so many clients each; ``served`` is what they saw."""

    def __init__(self, world, routers, clients, make_request):
        self._world = world
        self._routers = routers
        self._clients = clients
        self._make_request = make_request
        self.served = []
        self._stalls = []
        """Spans in which the loop stood still."""

    def run(self, span_s):
        """Send for a while."""
        addresses = [router.settings.callers.listen for router in self._routers]
        callers = [RawCaller(self._world, one) for one in addresses for _ in range(self._clients)]
        self._world.run(self._send_all(callers, boot_time_s() + span_s))

    def without_processor_s(self, request):
        """Return for how long the process was kept from running between a request and its answer.

        Callers, routers and backends run in one loop. Time in which it stood still because one of
        them worked counts against them: only what the process did not work is left out.
        """
        end_s = request.sent_s + request.took_s
        return sum(stall.without_processor_s(request.sent_s, end_s) for stall in self._stalls)

    async def _send_all(self, callers, until_s):
        ticks = asyncio.create_task(self._tick())
        await asyncio.gather(*(self._send(caller, until_s) for caller in callers))
        ticks.cancel()

    async def _tick(self):
        while True:
            before_s, worked_s = boot_time_s(), time.process_time()
            await asyncio.sleep(TICK_S)
            due_s, now_s = before_s + TICK_S, boot_time_s()
            if now_s > due_s + TICK_S:
                self._stalls.append(Stall(due_s, now_s, time.process_time() - worked_s))

    async def _send(self, caller, until_s):
        while (sent_s := boot_time_s()) < until_s:
            request_id = f"load-{next(_numbers)}"
            caller._writer.write(self._make_request(request_id))
            status, headers, body, is_whole = await caller._read_answer()
            took_s = boot_time_s() - sent_s
            status = status if is_whole else BROKEN
            self.served.append(ServedRequest(request_id, sent_s, took_s, status, headers, body))
            await asyncio.sleep(PAUSE_S)


def call_of(route):
    """Return what makes calls on a route."""
    return lambda request_id: request_bytes(route, body=b"abc", request_id=request_id)


def stream_of(route):
    """Return what makes generations on a route, each with a prompt of its own."""

    def make(request_id):
        parts = f"{request_id}:50"
        headers = [("X-Model", "m"), ("X-Tokens", "50,60"), ("X-Prompt-Parts", parts)]
        return request_bytes(route, headers=headers, request_id=request_id)

    return make
