"""Limits the connections whose peers have not shown that they know the deployment's key.

Anyone may connect to an agent's address. Before a peer has sent a packet that the key opens, it can
make the process hold one packet of the largest size and a descriptor, and nothing else.
"""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Callable
from typing import Protocol

import pynng

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger

_log = logger("listener")

MAX_UNPROVED = 16
"""Peers prove themselves within a round trip, so that few do so at a time."""
MIN_PROOF_S = 0.5
"""A connection is not closed for a newer one before it had this much time."""
MAX_PROOF_S = 5.0


class Pipe(Protocol):
    """One connection of the library."""

    @property
    def id(self) -> int:
        """Return its number."""

    def close(self) -> None:
        """Close it; raises ``pynng.NNGException`` if it is closed already."""


class UnprovedPeers:
    """The connections whose peers have not proved themselves; may be used in any thread."""

    def __init__(self, most: int = MAX_UNPROVED, clock: Callable[[], float] = boot_time_s) -> None:
        """Allow ``most`` connections at a time."""
        self._most = most
        self._clock = clock
        self._lock = threading.Lock()
        self._accepted: dict[int, tuple[Pipe, float]] = {}
        """By the number of a connection, when it was accepted, in that order."""

    def admit(self, pipe: Pipe) -> None:
        """Take a new connection; close it, or an older one in its place, if there are too many."""
        now_s = self._clock()
        with self._lock:
            is_full = len(self._accepted) >= self._most
            oldest = next(iter(self._accepted), None)
            has_had_time = oldest is not None and now_s - self._accepted[oldest][1] >= MIN_PROOF_S
            refused = pipe if is_full and not has_had_time else None
            if is_full and has_had_time and oldest is not None:
                refused = self._accepted.pop(oldest)[0]
            if refused is not pipe:
                self._accepted[pipe.id] = (pipe, now_s)
        if refused is not None:
            _log.info("peer closed: it has not proved itself", is_newest=refused is pipe)
            close_pipe(refused)

    def forget(self, number: int) -> None:
        """Note that a connection's peer has proved itself, or that it is closed."""
        with self._lock:
            self._accepted.pop(number, None)

    def close_expired(self) -> None:
        """Close the connections whose peers have had ``MAX_PROOF_S``."""
        now_s = self._clock()
        with self._lock:
            expired = [
                (number, pipe)
                for number, (pipe, accepted_s) in self._accepted.items()
                if now_s - accepted_s >= MAX_PROOF_S
            ]
            for number, _ in expired:
                del self._accepted[number]
        for _, pipe in expired:
            close_pipe(pipe)


def close_pipe(pipe: Pipe) -> None:
    """Close a connection that the peer or another thread may already have closed."""
    with contextlib.suppress(pynng.NNGException):
        pipe.close()
