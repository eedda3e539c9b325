"""Properties of the queue for rate-limited backends: polling cost, order and refusals."""

import asyncio
import types

from yokedock.base.clock import boot_time_s
from yokedock.connection.state_source import BackendEntry
from yokedock.errors import NoBackend
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.retry_allowance import RetryAllowance, RetryBounds
from yokedock.request.unary_call import UnaryCalls
from yokedock.request.version_pinning import VersionPinning

SERVICE = "plain"
SPAN_S = 0.6


class ScanCountingRegistry(BackendRegistry):
    """Counts how often the backends of a service are scanned."""

    looks = 0

    def usable(self, service, role=None, version=None):
        """Count the scan and return the usable backends."""
        self.looks += 1
        return super().usable(service, role, version)


class Waiting:
    """Calls that wait for one backend that announces a rate limit."""

    def __init__(self, limit_per_s):
        self.registry = ScanCountingRegistry("")
        self.registry.update([BackendEntry("a", SERVICE, "127.0.0.1:1")], ())
        self.name_limit(limit_per_s)
        allowance = RetryAllowance(RetryBounds(0.2, 10.0, 50.0), lambda: 1)
        self._calls = UnaryCalls(
            self.registry, None, allowance, VersionPinning(self.registry, None, None)
        )
        self.served = []
        self.refused = []

    def name_limit(self, limit_per_s):
        """Record a response in which the backend announces a rate limit."""
        now_s = boot_time_s()
        self.registry.get("a").limit.record_answer(limit_per_s, now_s, now_s)

    def come(self, name, target_in_s, remaining_s=60.0):
        """Submit a call; return its task."""
        now_s = boot_time_s()
        call = types.SimpleNamespace(
            service=types.SimpleNamespace(name=SERVICE),
            version=None,
            request_id=name,
            target_s=now_s + target_in_s,
            remaining_s=lambda: now_s + remaining_s - boot_time_s(),
        )
        return asyncio.create_task(self._wait(call))

    async def _wait(self, call):
        try:
            await self._calls._next_backend(call, frozenset())
            self.served.append(call.request_id)
        except NoBackend:
            self.refused.append(call.request_id)


def scan_rate_while_waiting(count):
    """Return the backend scans per second while ``count`` calls wait."""

    async def play():
        waiting = Waiting(0.1)
        tasks = [waiting.come(f"call-{n}", 60.0 * count) for n in range(count)]
        await asyncio.sleep(0.1)
        before, before_s = waiting.registry.looks, boot_time_s()
        await asyncio.sleep(SPAN_S)
        scans_per_s = (waiting.registry.looks - before) / (boot_time_s() - before_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return scans_per_s

    return asyncio.run(play())


def scan_rate_does_not_grow_with_the_queue():
    """Guards against a queue whose polling cost grows with its length times the backends."""
    few, many = scan_rate_while_waiting(5), scan_rate_while_waiting(200)
    assert 0 < many <= 1.5 * few, (few, many)


def the_earliest_deadline_is_served_first():
    """Permits go to the earliest deadlines, independent of the order of arrival."""

    async def play():
        waiting = Waiting(20.0)
        tasks = [waiting.come(str(n), 10.0 - n) for n in range(6)]
        await asyncio.gather(*tasks)
        return waiting.served

    assert asyncio.run(play()) == ["5", "4", "3", "2", "1", "0"]


def a_queued_call_is_refused_once_unservable():
    """Guards against checking only the first queued call when the forecast gets worse.

    The calls behind it would stay queued although they can no longer be served in time.
    """

    async def play():
        waiting = Waiting(4.0)
        tasks = [waiting.come(str(n), 3.0 + n / 10, remaining_s=4.0) for n in range(8)]
        await asyncio.sleep(0.01)
        assert not waiting.refused
        waiting.name_limit(0.1)
        began_s = boot_time_s()
        while len(waiting.refused) < 7 and boot_time_s() - began_s < 1.0:
            await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return waiting.refused

    refused = asyncio.run(play())
    assert len(refused) >= 7, refused


def an_unservable_call_is_refused_on_arrival():
    """A call that joins a long queue and cannot be served in time is refused on arrival."""

    async def play():
        waiting = Waiting(1.0)
        tasks = [waiting.come(str(n), 30.0) for n in range(10)]
        await asyncio.sleep(0.1)
        late = waiting.come("late", 31.0)
        hopeless = waiting.come("hopeless", 0.3)
        await asyncio.sleep(0.005)
        assert waiting.refused == ["hopeless"] and hopeless.done() and not late.done()
        for task in (*tasks, late):
            task.cancel()
        await asyncio.gather(*tasks, late, return_exceptions=True)

    asyncio.run(play())


def a_call_that_is_cancelled_as_it_is_woken_leaves_the_queue():
    """Guards against cancellations that are lost when another call leaves the queue.

    Such a call would go on to a backend although its router has ended the request.
    """

    async def play(iterations):
        waiting = Waiting(0.1)
        first, second = waiting.come("first", 60.0), waiting.come("second", 61.0)
        await asyncio.sleep(0.005)
        second.cancel()
        for _ in range(iterations):
            await asyncio.sleep(0)
        assert not first.done()
        first.cancel()
        await asyncio.wait([first], timeout=0.1)
        return first.cancelled()

    ended = [asyncio.run(play(iterations)) for iterations in range(6)]
    assert all(ended), ended


CALL_QUEUE_PROPERTIES = {
    "many that wait look no more often than few": scan_rate_does_not_grow_with_the_queue,
    "the least time left goes first": the_earliest_deadline_is_served_first,
    "whoever becomes hopeless in the queue is refused then": (
        a_queued_call_is_refused_once_unservable
    ),
    "a hopeless newcomer is refused at once": an_unservable_call_is_refused_on_arrival,
    "whoever is cancelled as it is woken leaves the queue": (
        a_call_that_is_cancelled_as_it_is_woken_leaves_the_queue
    ),
}
