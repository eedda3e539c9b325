"""What an agent's back end offers to the tasks of its peers."""

from __future__ import annotations

import abc
from collections.abc import Callable

from yokedock.messages import AnyMessage, LoadReport, StepFrame
from yokedock.request.known_blocks import BlockChanges

SendFrame = Callable[[StepFrame], None]
"""Sends tokens to the gateway that owns a stream."""


class OrderGuard(abc.ABC):
    """Says, right before an order goes out, whether its sender may still give it."""

    @abc.abstractmethod
    def check(self, attempt: str) -> None:
        """Raise ``LeaseExpired`` when the sender's lease ended or it released the attempt."""


class Backend(abc.ABC):
    """The back end beside an agent, as seen by the agent's peers."""

    @abc.abstractmethod
    def is_quick(self, order: AnyMessage) -> bool:
        """Return whether ``run`` answers the order without waiting for the back end."""

    @abc.abstractmethod
    def run(self, order: AnyMessage, guard: OrderGuard, send: SendFrame) -> AnyMessage:
        """Carry out an order and return its reply; raises typed errors."""

    @abc.abstractmethod
    def release(self, attempt: str) -> None:
        """End whatever runs or is held for an attempt; confirmed in the background."""

    @abc.abstractmethod
    def holds(self, attempt: str) -> bool:
        """Return whether the attempt is still known."""

    @abc.abstractmethod
    def load(self) -> LoadReport:
        """Return the present load."""

    def block_changes(self, after: int) -> BlockChanges:
        """Return cached and evicted prompt blocks after a change's number; none by default."""
        return BlockChanges(after, (), (), True)

    @abc.abstractmethod
    def in_flight(self) -> int:
        """Return how many attempts are held or running."""

    @abc.abstractmethod
    def set_leaving(self, leaving: bool) -> None:
        """Take no new work while ``leaving``."""
