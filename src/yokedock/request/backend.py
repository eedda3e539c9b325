"""Interface of the backend that an agent runs on behalf of its peers."""

from __future__ import annotations

import abc
from collections.abc import Callable

from yokedock.messages import AnyMessage, LoadReport, StepFrame
from yokedock.request.prefix_cache_index import BlockChanges

SendFrame = Callable[[StepFrame], None]
"""Sends generated tokens to the gateway that owns the stream."""


class OrderGuard(abc.ABC):
    """Checks, right before an order is sent, whether its sender is still authorised to give it."""

    @abc.abstractmethod
    def check(self, attempt: str) -> None:
        """Raise ``LeaseExpired`` if the sender's lease has expired or it released the attempt."""


class Backend(abc.ABC):
    """The backend next to an agent, as the agent's peers see it."""

    @abc.abstractmethod
    def is_quick(self, order: AnyMessage) -> bool:
        """Return whether ``run`` replies to the order without waiting for the backend."""

    @abc.abstractmethod
    def run(self, order: AnyMessage, guard: OrderGuard, send: SendFrame) -> AnyMessage:
        """Execute an order and return its reply; raises typed errors."""

    @abc.abstractmethod
    def release(self, attempt: str) -> None:
        """Stop whatever runs and free whatever is held for an attempt; confirmed asynchronously."""

    @abc.abstractmethod
    def holds(self, attempt: str) -> bool:
        """Return whether the attempt is still known."""

    @abc.abstractmethod
    def load(self) -> LoadReport:
        """Return the current load."""

    def block_changes(self, after: int) -> BlockChanges:
        """Return the prompt blocks cached and evicted after a change number; none by default."""
        return BlockChanges(after, (), (), True)

    @abc.abstractmethod
    def in_flight(self) -> int:
        """Return how many attempts are held or running."""

    @abc.abstractmethod
    def set_leaving(self, leaving: bool) -> None:
        """Reject new work while ``leaving``."""
