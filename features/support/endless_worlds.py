"""Plays requests whose first backend sends bytes without end, one world for each shape of them."""

import dataclasses
import os
import tracemalloc

from support.outside_caller import CallSeries, OutsideCaller
from support.router_world import RawCaller, RouterWorld, request_bytes
from support.simulated_world import SimulatedRouterWorld
from yokedock.base.clock import boot_time_s
from yokedock_emulator.endless_bytes import (
    FULL_SPEED,
    SLOW,
    body_shapes,
    head_shapes,
    stream_shapes,
)

DEADLINE_S = 3.0
FLOOD_S = 1.5
"""Deadline of requests that many at once get bytes without end."""
LATE_S = 0.5
"""An answer must have come so long after the deadline."""
STREAM_HEADERS = [("X-Model", "m"), ("X-Tokens", "50,60"), ("X-Prompt-Parts", "ab:50")]
FIRST_EVENT = b"id: 1\ndata: piece 1\n\n"
SHAPES = {
    "head": head_shapes,
    "body": body_shapes,
    "error body": lambda headers: body_shapes(headers, 500),
    "stream": stream_shapes,
    "stream after its first event": lambda headers: stream_shapes(headers, FIRST_EVENT),
}
"""Shapes of each kind, as functions of the headers of the sound response."""


@dataclasses.dataclass(frozen=True)
class Endless:
    """Which response is replaced by bytes without end, and how."""

    kind: str
    is_slow: bool
    is_prefill: bool = False


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a caller got for one shape."""

    shape: str
    status: int | None
    body: bytes
    is_whole: bool
    took_s: float


def play_all(endless, route, backends):
    """Return the outcome of one request for each shape of a kind."""
    return [_play(endless, shape, route, backends) for shape in SHAPES[endless.kind]([])]


def _play(endless, shape, route, backends):
    world = SimulatedRouterWorld(f"endless {shape}") if endless.is_slow else RouterWorld()
    try:
        return _play_in(world, endless, shape, route, backends)
    finally:
        world.close()


def _play_in(world, endless, shape, route, backends):
    met = set()

    def shape_of(arrival, headers):
        """Return the shape for the first response of its kind to each request."""
        is_meant = (arrival.header("X-Stage") is not None) == endless.is_prefill
        request_id = arrival.header("X-Request-Id")
        if not is_meant or request_id in met:
            return None
        met.add(request_id)
        return SHAPES[endless.kind](headers)[shape]

    for name, role in backends.items():
        world.add_backend(name, "llm" if role else "plain", role)
        world.backends[name].endless_shape = shape_of
        world.backends[name].endless_pace = SLOW if endless.is_slow else FULL_SPEED
    router = world.start_router(world.snapshot())
    world.wait_for(lambda: router.is_ready, "ready")
    caller = RawCaller(world, router.settings.callers.listen)
    headers = [("X-Deadline-Ms", str(round(DEADLINE_S * 1000)))]
    headers += STREAM_HEADERS if route in ("chat", "talk") else []
    since_s = boot_time_s()
    caller.send(request_bytes(route, body=b"abc", headers=headers))
    try:
        status, _, body, is_whole = caller.read_answer()
    except (EOFError, ConnectionError, TimeoutError):
        status, body, is_whole = None, b"", False
    took_s = boot_time_s() - since_s
    assert met, "no backend has sent bytes without end"
    return Outcome(shape, status, body, is_whole, took_s)


def wrong_outcomes(outcomes, is_right):
    """Return the outcomes that are wrong, as one text a line."""
    return "\n".join(
        f"{each.shape}: {each.status}, {len(each.body)} bytes, whole: {each.is_whole}, "
        f"after {each.took_s:.2f} s"
        for each in outcomes
        if not is_right(each)
    )


PLAIN_AND_DECODE = {"a": "", "d": "decode"}
OTHER_ROUTES = {"once": "chat", "talk": "repeat"}
"""For the route of the bytes without end, a route to the other service."""


@dataclasses.dataclass(frozen=True)
class Flood:
    """What happened while several requests at once got bytes without end."""

    peak_bytes: int
    """Memory allocated meanwhile, beyond what was allocated before."""
    pings_s: list[float]
    """How long each call to the other service took, but for waits for a processor."""


def play_flood(kind, shape, route, count, measures_memory):
    """Send ``count`` requests at once, whose responses never end; call another service beside.

    Measuring the memory slows everything down.
    """
    world = RouterWorld()
    if measures_memory:
        tracemalloc.start()
    try:
        return _flood(world, kind, shape, route, count)
    finally:
        tracemalloc.stop()
        world.close()


def _flood(world, kind, shape, route, count):
    for name, role in PLAIN_AND_DECODE.items():
        world.add_backend(name, "llm" if role else "plain", role, slots=count)
    flooding = world.backends["d" if route == "talk" else "a"]
    router = world.start_router(world.snapshot())
    world.wait_for(lambda: router.is_ready, "ready")
    address = router.settings.callers.listen
    first_caller = RawCaller(world, address)
    first_caller.send(_pings(address, route, 0).request.encode())
    assert first_caller.read_answer()[0] == 200
    flooding.endless_shape = lambda arrival, headers: SHAPES[kind](headers)[shape]
    outside_caller = OutsideCaller()
    try:
        callers = _send_all(world, address, route, count)
        world.wait_for(lambda: flooding.arrivals, "bytes without end have begun")
        pings_s = outside_caller.call_times_s(_pings(address, route, FLOOD_S))
    finally:
        outside_caller.close()
    for caller in callers:
        caller.leave()
    return Flood(tracemalloc.get_traced_memory()[1], pings_s)


def _send_all(world, address, route, count):
    """Send all requests; return their callers, whose connections last as long as they do."""
    callers = [RawCaller(world, address) for _ in range(count)]
    for number, caller in enumerate(callers):
        headers = [("X-Deadline-Ms", str(round(FLOOD_S * 1000))), *STREAM_HEADERS]
        caller.send(request_bytes(route, headers=headers, request_id=f"endless-{number}"))
    return callers


def _pings(address, route, duration_s):
    """Return calls to the other service."""
    request = request_bytes(OTHER_ROUTES[route], headers=STREAM_HEADERS, request_id="ping")
    return CallSeries(address, request.decode(), duration_s, os.getpid())
