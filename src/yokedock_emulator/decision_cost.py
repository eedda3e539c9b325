"""What one decision of a router costs in processor time, by the size of the fleet; no network.

One router's own state is filled as datagrams of all others would fill it, and its decisions are
made again and again on one core. Each router tells of six engines.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.connection.caller_request import CallerRequest
from yokedock.connection.dialect import GenerationParameters, PromptPart, RequestMetadata
from yokedock.connection.http_heads import RequestHead
from yokedock.connection.response_writer import ResponseWriter
from yokedock.connection.router_state import EngineShare, QueueShare
from yokedock.connection.state_source import BackendEntry
from yokedock.process.tables import format_table
from yokedock.request.backend_registry import BackendRegistry
from yokedock.request.engine_choice import EngineChoice
from yokedock.request.engine_ledger import EngineLedger, StreamDemand
from yokedock.request.engine_placement import DECODE_ROLE, PREFILL_ROLE, Progress
from yokedock.request.mechanisms import Mechanisms
from yokedock.request.queued_placement import QueuedPlacement
from yokedock.request.retry_allowance import RetryAllowance, RetryBounds
from yokedock.request.routed_call import RoutedCall
from yokedock.version.route_table import EngineTraits, Route, RouteKind, ServiceSpec, WeightedTarget

MODEL_SERVICE = "llm"
PLAIN_SERVICE = "plain"
ZONES = 5
SLOTS = 16
MEMORY_TOKENS = 45_000
PROMPT_TOKENS = 5_200
OUTPUT_TOKENS = 71
TRAITS = EngineTraits(SLOTS, MEMORY_TOKENS, 18_432.0, 280_000.0)
PREFILL_SHARE = 0.35
ENGINES_TOLD = 6
WAITING = 100
PLAIN_BACKENDS_SHARE = 12
"""One plain backend to so many engines, as on the users' largest deployment."""
BUDGET_S = 0.4
"""Processor time spent on one figure, at least one decision."""
LOOKS = 10
LOOK_PAUSE_S = 0.005
"""Longer than the queue gathers news of room."""
MS_PER_SECOND = 1000.0
SEED = 7


class FleetShape(msgspec.Struct, frozen=True):
    """How large a fleet is."""

    routers: int
    engines: int


SHAPES = tuple(FleetShape(*shape) for shape in ((6, 6), (30, 28), (68, 60), (185, 305), (370, 610)))


class DecisionCosts(msgspec.Struct, frozen=True):
    """Milliseconds of a core for one decision in a fleet."""

    routers: int
    engines: int
    placement_ms: float
    look_ms: float
    """Looking for room for ``WAITING`` generations after a neighbour told of a change."""
    heard_ms: float
    """Taking in what a neighbour promised."""
    plain_choice_ms: float
    retry_ms: float


class DecisionFleet:
    """One router's view of a fleet of a given shape."""

    def __init__(self, shape: FleetShape, fullness: float, seed: int = SEED) -> None:
        """``fullness`` is the share of each engine's places that other routers have promised."""
        self.shape = shape
        self._random = random.Random(seed)
        self.registry = BackendRegistry("zone-0")
        self.registry.update(self._entries(), ())
        self.ledger = EngineLedger()
        self._fullness = fullness
        for router in range(shape.routers - 1):
            self.ledger.heard(f"router-{router}", self.shares(router))

    def _entries(self) -> list[BackendEntry]:
        prefills = max(1, round(PREFILL_SHARE * self.shape.engines))
        entries = [
            BackendEntry(
                f"engine-{number}",
                MODEL_SERVICE,
                f"10.0.{number // 250}.{number % 250}:80",
                zone=f"zone-{number % ZONES}",
                slots=SLOTS,
                role=PREFILL_ROLE if number < prefills else DECODE_ROLE,
            )
            for number in range(self.shape.engines)
        ]
        plain = range(max(1, self.shape.engines // PLAIN_BACKENDS_SHARE))
        return entries + [
            BackendEntry(f"plain-{number}", PLAIN_SERVICE, f"10.1.0.{number}:80", slots=SLOTS)
            for number in plain
        ]

    def shares(self, router: int) -> dict[str, EngineShare]:
        """Return what another router tells of six engines."""
        teller_count = max(1.0, (self.shape.routers - 1) * ENGINES_TOLD / self.shape.engines)
        tokens = round(self._fullness * MEMORY_TOKENS / teller_count * self._random.uniform(0.8, 1))
        streams = max(1, round(self._fullness * SLOTS / teller_count))
        first = router * ENGINES_TOLD
        return {
            f"engine-{(first + offset) % self.shape.engines}": EngineShare(
                tokens, streams, self._random.randrange(4_000), 30, self._random.randint(30, 60)
            )
            for offset in range(ENGINES_TOLD)
        }

    def call(self, number: int = 0) -> RoutedCall:
        """Return a generation that arrives now."""
        parts = (PromptPart("shared", 200), PromptPart(f"own-{number}", PROMPT_TOKENS - 200))
        generation = GenerationParameters("m", PROMPT_TOKENS, OUTPUT_TOKENS, parts)
        route = Route(
            "chat",
            "h",
            "/",
            RouteKind.STREAM,
            60.0,
            30.0,
            (WeightedTarget(MODEL_SERVICE),),
            gap_target_s=0.3,
        )
        return RoutedCall(
            CallerRequest(_HEAD, b"", boot_time_s()),
            _NO_ANSWER,
            RequestMetadata(f"r-{number}", 60.0, generation=generation),
            route,
            ServiceSpec(MODEL_SERVICE, engine=TRAITS),
        )


_HEAD = RequestHead((), b"POST", b"/")
_NO_ANSWER = ResponseWriter.__new__(ResponseWriter)
"""Nothing is answered here."""


def measure(shape: FleetShape) -> DecisionCosts:
    """Return what decisions cost in a fleet of ``shape``."""
    return DecisionCosts(
        shape.routers,
        shape.engines,
        _placement_ms(shape),
        asyncio.run(_look_ms(shape)),
        _heard_ms(shape),
        _plain_choice_ms(shape),
        _retry_ms(shape),
    )


def _mean_ms(decide: Callable[[], object]) -> float:
    """Return the mean processor time of a decision, in ms."""
    began_s = time.process_time()
    count = 0
    while (spent_s := time.process_time() - began_s) < BUDGET_S or not count:
        decide()
        count += 1
    return spent_s / count * MS_PER_SECOND


def _placement_ms(shape: FleetShape) -> float:
    fleet = DecisionFleet(shape, fullness=0.5)
    choice = EngineChoice(fleet.registry, fleet.ledger)
    call = fleet.call()

    def place() -> None:
        placement = choice.choose(call, Progress())
        assert placement is not None
        fleet.ledger.close_stream(placement.reservation)

    # What others told lapses after two seconds: the figure is taken before that.
    return _mean_ms(place)


async def _look_ms(shape: FleetShape) -> float:
    """Return the cost of one neighbour's datagram while generations wait and nothing has room."""
    fleet = DecisionFleet(shape, fullness=0.5)
    for engine in fleet.registry.usable(MODEL_SERVICE, DECODE_ROLE):
        fleet.ledger.open_stream(StreamDemand(engine.name, MEMORY_TOKENS, 0, 0))
    placement = QueuedPlacement(
        fleet.registry,
        fleet.ledger,
        lambda service: QueueShare(),
        Mechanisms(refuse_hopeless=False),
    )
    waiting = [
        asyncio.create_task(placement.place(fleet.call(number), Progress()))
        for number in range(WAITING)
    ]
    await asyncio.sleep(0)
    await asyncio.sleep(LOOK_PAUSE_S)
    began_s = time.process_time()
    for router in range(LOOKS):
        fleet.ledger.heard(f"router-{router % 5}", fleet.shares(router % 5))
        await asyncio.sleep(LOOK_PAUSE_S)
    spent_s = time.process_time() - began_s
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)
    return spent_s / LOOKS * MS_PER_SECOND


def _heard_ms(shape: FleetShape) -> float:
    fleet = DecisionFleet(shape, fullness=0.5)
    told = [fleet.shares(router) for router in range(shape.routers - 1)]
    next_router = 0

    def hear() -> None:
        nonlocal next_router
        fleet.ledger.heard(f"router-{next_router}", told[next_router])
        next_router = (next_router + 1) % len(told)

    return _mean_ms(hear)


def _plain_choice_ms(shape: FleetShape) -> float:
    fleet = DecisionFleet(shape, fullness=0.5)
    return _mean_ms(lambda: fleet.registry.cheapest(PLAIN_SERVICE))


def _retry_ms(shape: FleetShape) -> float:
    allowance = RetryAllowance(RetryBounds(0.2, 10.0, 176), lambda: shape.routers)

    def account() -> None:
        with allowance.request(MODEL_SERVICE) as retries:
            retries.set_aside(1)

    return _mean_ms(account)


def print_costs(costs: list[DecisionCosts]) -> None:
    """Print the table."""
    header = ["routers", "engines", "placement ms", f"look with {WAITING} waiting ms", "heard ms"]
    header += ["plain choice ms", "retry ms"]
    rows = [
        [
            cost.routers,
            cost.engines,
            *(
                f"{figure:.3f}"
                for figure in (
                    cost.placement_ms,
                    cost.look_ms,
                    cost.heard_ms,
                    cost.plain_choice_ms,
                    cost.retry_ms,
                )
            ),
        ]
        for cost in costs
    ]
    print(format_table(header, rows))
