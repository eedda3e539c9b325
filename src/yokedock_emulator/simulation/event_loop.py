"""A deterministic asyncio event loop in simulated time, with the sockets of a simulated network.

The loop never waits: when no callback is ready, time advances to the next timer.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from yokedock.base.clock import Clock
from yokedock_emulator.simulation.processes import (
    ProcessState,
    SimulatedProcess,
    current_process,
    process_of,
)

START_S = 1000.0
"""Start time of each simulation, in seconds of its clock."""
EPOCH_MS = 1_900_000_000_000
"""Wall-clock time at second 0 of the clock, in milliseconds since 1970."""
MS_PER_SECOND = 1000
CLOCK_RESOLUTION_S = 1e-9
MIN_ITERATION_S = 2e-6
"""Minimum time by which an iteration advances the clock, so that polling code makes progress."""
CANCELLATION_S = 0.001
"""Time that the tasks of a killed process have to handle their cancellation."""
Result = TypeVar("Result")


class SimulationStalled(RuntimeError):
    """No callback is ready and no timer is set, so the simulation cannot make progress."""


class _ProcessHandle(asyncio.Handle):
    """A callback that runs only while its process is running."""

    def _run(self) -> None:
        process = process_of(self._context)  # type: ignore[attr-defined]
        if process is None or process.should_run(self):
            super()._run()


class _ProcessTimerHandle(asyncio.TimerHandle):
    """A timer that fires only while its process is running."""

    def _run(self) -> None:
        process = process_of(self._context)  # type: ignore[attr-defined]
        if process is None or process.should_run(self):
            super()._run()


class _SimulatedSelector:
    """Replaces the selector of the loop: advances the time instead of waiting."""

    def __init__(self, loop: SimulatedLoop) -> None:
        self._loop = loop

    def select(self, timeout_s: float | None) -> list[Any]:
        """Advance the time by ``timeout_s``; raises ``SimulationStalled`` if there is no timer."""
        if timeout_s is None:
            raise SimulationStalled("all tasks are waiting and no timer is set")
        self._loop.advance(max(timeout_s, MIN_ITERATION_S))
        return []

    def close(self) -> None:
        """Do nothing."""


class SimulatedLoop(asyncio.BaseEventLoop):
    """The event loop of one simulation; ``network`` must be set before use."""

    def __init__(self) -> None:
        """Set the clock to ``START_S``."""
        super().__init__()
        self._now_s = START_S
        self._clock_resolution = CLOCK_RESOLUTION_S
        self._selector = _SimulatedSelector(self)
        self.network: Any = None
        self._ended_tasks: list[asyncio.Task[object]] = []
        """Tasks of ended processes; collecting them would run their cleanup at random times."""

    # --- Time ---

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._now_s

    def advance(self, duration_s: float) -> None:
        """Advance the simulated time."""
        self._now_s += max(0.0, duration_s)

    # --- Callbacks ---

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule ``callback`` at a time, in the process of its context."""
        context = context if context is not None else contextvars.copy_context()
        timer = _ProcessTimerHandle(when, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)  # type: ignore[attr-defined]
        timer._scheduled = True  # type: ignore[attr-defined]
        return timer

    def _call_soon(
        self, callback: Any, args: Any, context: contextvars.Context | None
    ) -> asyncio.Handle:
        context = context if context is not None else contextvars.copy_context()
        handle = _ProcessHandle(callback, args, self, context)
        self._ready.append(handle)  # type: ignore[attr-defined]
        return handle

    def create_task(  # type: ignore[override]
        self,
        coro: Coroutine[Any, Any, Result],
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[Result]:
        """Create a task in the process of its context."""
        task = super().create_task(coro, name=name, context=context)
        process = process_of(context) if context is not None else current_process()
        if process is not None:
            process.tasks[task] = None
            task.add_done_callback(lambda done: process.tasks.pop(done, None))
        return task

    def _process_events(self, event_list: list[Any]) -> None:
        """Do nothing: simulated sockets schedule their own callbacks."""

    def _write_to_self(self) -> None:
        """Do nothing: no other thread has to wake the loop."""

    # --- Processes ---

    def freeze(self, process: SimulatedProcess) -> None:
        """Stop a running process from executing callbacks."""
        if process.state is ProcessState.RUNNING:
            process.state = ProcessState.FROZEN

    def thaw(self, process: SimulatedProcess) -> None:
        """Resume a frozen process and schedule its deferred callbacks in their original order."""
        if process.state is ProcessState.FROZEN:
            process.state = ProcessState.RUNNING
            self._ready.extend(process.take_deferred())  # type: ignore[attr-defined]

    def end(self, process: SimulatedProcess) -> None:
        """End a process at once: close its sockets and cancel its tasks."""
        if not process.is_alive:
            return
        process.state = ProcessState.TERMINATING
        process.take_deferred()
        self.network.close_sockets(process)
        self._ended_tasks += process.tasks
        for task in list(process.tasks):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            task.cancel()
        self.call_later(CANCELLATION_S, setattr, process, "state", ProcessState.ENDED)

    # --- Sockets ---

    async def sock_connect(self, sock: Any, address: Any) -> None:
        """Connect a simulated socket; raises ``OSError`` if nothing listens at ``address``."""
        await self.network.connect(sock, address)

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str | None = None,
        port: int | None = None,
        *,
        sock: Any = None,
        **_options: Any,
    ) -> tuple[Any, asyncio.BaseProtocol]:
        """Return transport and protocol of a connection, using ``sock`` if given."""
        if sock is None:
            sock = self.network.stream_socket()
            await self.network.connect(sock, (host, port))
        protocol = protocol_factory()
        sock.stream.attach(protocol, contextvars.copy_context())
        return sock.stream, protocol

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str | None = None,
        port: int | None = None,
        **_options: Any,
    ) -> Any:
        """Listen at an address; port 0 selects a free port."""
        return self.network.listen(protocol_factory, host, port)

    async def create_datagram_endpoint(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.DatagramProtocol],
        *,
        sock: Any,
        **_options: Any,
    ) -> tuple[Any, asyncio.DatagramProtocol]:
        """Return transport and protocol of a bound datagram socket."""
        protocol = protocol_factory()
        transport = sock.attach(protocol, contextvars.copy_context())
        return transport, protocol


class SimulatedClock(Clock):
    """The clock that all processes of a simulation share."""

    def __init__(self, loop: SimulatedLoop) -> None:
        """Read the time of ``loop``."""
        self._loop = loop

    def boot_time_s(self) -> float:
        """Return the simulated time in seconds."""
        return self._loop.time()

    def monotonic_time_s(self) -> float:
        """Return the simulated time in seconds: machines are never suspended."""
        return self._loop.time()

    def wall_clock_ms(self) -> int:
        """Return the simulated wall-clock time in milliseconds since 1970."""
        return EPOCH_MS + round(self._loop.time() * MS_PER_SECOND)
