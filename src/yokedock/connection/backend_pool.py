"""A pool of idle backend connections, by address."""

from __future__ import annotations

import math
from collections.abc import Callable

from yokedock.base.link_meter import LinkMeter, Traffic
from yokedock.connection.backend_connection import MAX_IDLE_S, BackendConnection


class BackendPool:
    """Hands out connections: an idle one if it is still usable, otherwise a new one."""

    def __init__(self, link: LinkMeter | None = None, traffic: Traffic = Traffic.BACKENDS) -> None:
        """Create an empty pool; ``link`` counts the bytes of its connections as ``traffic``."""
        self.link = link or LinkMeter()
        self._traffic = traffic
        self._idle: dict[str, list[BackendConnection]] = {}
        self.opened = 0

    async def take(
        self,
        address: str,
        timeout_s: float,
        max_idle_s: float = MAX_IDLE_S,
        min_last_receive_s: float = 0.0,
    ) -> BackendConnection:
        """Return a connection that was idle for at most ``max_idle_s``, or a new one.

        An idle connection is reused only if it has received data after ``min_last_receive_s``
        (``boot_time_s``).

        Raises ``BackendUnreachable`` if no connection can be opened.
        """
        resting = self._idle.get(address, [])
        while resting:
            connection = resting.pop()
            has_recent_data = connection.heard_s > min_last_receive_s
            if (
                connection.is_reusable
                and connection.idle_time_s() <= max_idle_s
                and has_recent_data
            ):
                return connection
            connection.close()
        self.opened += 1
        return await BackendConnection.connect(address, timeout_s, self.link, self._traffic)

    def give_back(self, connection: BackendConnection, most: float = math.inf) -> None:
        """Return a connection to the pool, or close it if unusable or if ``most`` are idle."""
        if connection.is_reusable and len(self._idle.get(connection.address, ())) < most:
            self._idle.setdefault(connection.address, []).append(connection)
        else:
            connection.close()

    def limit_idle(self, address: str, most: int) -> None:
        """Close idle connections to ``address`` in excess of ``most``, the longest idle first."""
        resting = self._idle.get(address, [])
        beyond = max(0, len(resting) - max(0, most))
        for connection in resting[:beyond]:
            connection.close()
        del resting[:beyond]

    def forget(self, address: str) -> None:
        """Close all idle connections to ``address``."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def forget_all(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)

    def drop_silent(self, address: str, since_s: float) -> None:
        """Close idle connections to ``address`` that got no data since ``since_s`` (boot time)."""
        self._retain(address, lambda connection: connection.heard_s > since_s)

    def size(self) -> int:
        """Return the number of idle connections."""
        return sum(len(resting) for resting in self._idle.values())

    def evict_expired(self) -> None:
        """Close idle connections that can no longer be reused."""
        for address in list(self._idle):
            self._retain(address, lambda connection: connection.is_reusable)

    def _retain(self, address: str, should_keep: Callable[[BackendConnection], bool]) -> None:
        """Close the idle connections to ``address`` for which ``should_keep`` returns false."""
        kept = []
        for connection in self._idle.pop(address, []):
            if should_keep(connection):
                kept.append(connection)
            else:
                connection.close()
        if kept:
            self._idle[address] = kept
