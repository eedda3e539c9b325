"""Connections to backends that rest between requests, by address."""

from __future__ import annotations

import math
from collections.abc import Callable

from yokedock.connection.backend_connection import LONGEST_REST_S, BackendConnection


class BackendPool:
    """Hands out connections: a resting one if it is sound, else a new one."""

    def __init__(self) -> None:
        """Start with no connection."""
        self._resting: dict[str, list[BackendConnection]] = {}
        self.opened = 0

    async def take(
        self,
        address: str,
        timeout_s: float,
        longest_rest_s: float = LONGEST_REST_S,
        min_last_receive_s: float = 0.0,
    ) -> BackendConnection:
        """Return a connection that rested for at most ``longest_rest_s``, or a new one.

        A resting one must have brought something after ``min_last_receive_s`` (boot time).

        Raises ``BackendUnreachable`` when none can be opened.
        """
        resting = self._resting.get(address, [])
        while resting:
            connection = resting.pop()
            is_proven = connection.heard_s > min_last_receive_s
            if connection.is_reusable and connection.rested_s() <= longest_rest_s and is_proven:
                return connection
            connection.close()
        self.opened += 1
        return await BackendConnection.connect(address, timeout_s)

    def give_back(self, connection: BackendConnection, most: float = math.inf) -> None:
        """Let a connection rest, beside at most ``most`` in all, or close it."""
        if connection.is_reusable and len(self._resting.get(connection.address, ())) < most:
            self._resting.setdefault(connection.address, []).append(connection)
        else:
            connection.close()

    def keep_at_most(self, address: str, most: int) -> None:
        """Close what rests at ``address`` beyond ``most``, the longest rested first."""
        resting = self._resting.get(address, [])
        beyond = max(0, len(resting) - max(0, most))
        for connection in resting[:beyond]:
            connection.close()
        del resting[:beyond]

    def forget(self, address: str) -> None:
        """Close what rests at ``address``."""
        for connection in self._resting.pop(address, []):
            connection.close()

    def forget_all(self) -> None:
        """Close all that rests."""
        for address in list(self._resting):
            self.forget(address)

    def drop_silent(self, address: str, since_s: float) -> None:
        """Close what rests at ``address`` and has brought nothing since ``since_s`` (boot time)."""
        self._keep(address, lambda connection: connection.heard_s > since_s)

    def size(self) -> int:
        """Return how many connections rest."""
        return sum(len(resting) for resting in self._resting.values())

    def drop_stale(self) -> None:
        """Close resting connections that may not be used again."""
        for address in list(self._resting):
            self._keep(address, lambda connection: connection.is_reusable)

    def _keep(self, address: str, is_kept: Callable[[BackendConnection], bool]) -> None:
        """Close what rests at ``address`` but for those that ``is_kept`` names."""
        kept = []
        for connection in self._resting.pop(address, []):
            if is_kept(connection):
                kept.append(connection)
            else:
                connection.close()
        if kept:
            self._resting[address] = kept
