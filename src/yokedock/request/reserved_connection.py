"""A connection to a backend that is kept for the next attempt of one call.

An idle connection in the pool serves whichever request comes first, and is closed once any request
cannot connect to its address. A call that leaves a backend for another one needs more than that.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from yokedock.connection.backend_connection import BackendConnection
from yokedock.request.backend_incarnation import Backend

MAX_RESERVED_S = 1.0
"""A connection is kept no longer than this: the current attempt may have gone on."""


class ReservedConnection:
    """Counts as an outstanding request of its backend until it is taken or released."""

    def __init__(
        self,
        connection: BackendConnection,
        backend: Backend,
        give_back: Callable[[BackendConnection], None],
    ) -> None:
        """Keep an open connection; ``give_back`` takes it if it is released without use."""
        self.backend = backend
        self._connection: BackendConnection | None = connection
        self._give_back = give_back
        backend.outstanding += 1
        backend.connections.add(connection)
        self._expiry = asyncio.get_running_loop().call_later(MAX_RESERVED_S, self.release)

    @property
    def is_usable(self) -> bool:
        """Return whether a request may still be sent over it."""
        return self._connection is not None and self._connection.is_reusable

    def take(self) -> BackendConnection | None:
        """End the reservation and return its connection, None if it can't be used any more."""
        is_usable, connection = self.is_usable, self._detach()
        if connection is None or is_usable:
            return connection
        self._give_back(connection)
        return None

    def release(self) -> None:
        """End the reservation and give its connection back; does nothing once it has ended."""
        connection = self._detach()
        if connection is not None:
            self._give_back(connection)

    def _detach(self) -> BackendConnection | None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self._expiry.cancel()
            self.backend.outstanding -= 1
            self.backend.connections.discard(connection)
        return connection
