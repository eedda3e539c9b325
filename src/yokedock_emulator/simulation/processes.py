"""Processes of a simulation; a callback belongs to the process that its context names."""

from __future__ import annotations

import asyncio
import collections
import contextvars
import enum


class ProcessState(enum.Enum):
    """Execution state of a process."""

    RUNNING = "running"
    FROZEN = "frozen"
    """Stopped by a signal: its callbacks are deferred, its sockets still receive."""
    TERMINATING = "terminating"
    """Killed: its tasks are being cancelled and can no longer send anything."""
    ENDED = "ended"


class SimulatedProcess:
    """A simulated process with one IP address."""

    def __init__(self, address: str) -> None:
        """Create a running process; code runs in it through ``context``."""
        self.address = address
        self.state = ProcessState.RUNNING
        self.tasks: dict[asyncio.Task[object], None] = {}
        """Unfinished tasks, in order of creation."""
        self._deferred: collections.deque[asyncio.Handle] = collections.deque()

    @property
    def is_alive(self) -> bool:
        """Return whether the process is running or frozen."""
        return self.state in (ProcessState.RUNNING, ProcessState.FROZEN)

    def should_run(self, handle: asyncio.Handle) -> bool:
        """Return whether to run a callback now; a frozen process defers it."""
        if self.state is ProcessState.FROZEN:
            self._deferred.append(handle)
            return False
        return self.state is not ProcessState.ENDED

    def take_deferred(self) -> list[asyncio.Handle]:
        """Remove and return the callbacks that were deferred while the process was frozen."""
        deferred = list(self._deferred)
        self._deferred.clear()
        return deferred

    def context(self) -> contextvars.Context:
        """Return a new context whose callbacks and tasks belong to this process."""
        context = contextvars.copy_context()
        context.run(_current.set, self)
        return context


_current: contextvars.ContextVar[SimulatedProcess | None] = contextvars.ContextVar(
    "simulated_process", default=None
)


def current_process() -> SimulatedProcess | None:
    """Return the running process, None for code outside all processes."""
    return _current.get()


def process_of(context: contextvars.Context) -> SimulatedProcess | None:
    """Return the process that a context belongs to."""
    return context.get(_current)
