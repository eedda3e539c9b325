"""Reads documents from one address, on kept connections."""

from __future__ import annotations

from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.short_call import CallLimits, ShortAnswer, ShortCall, short_call
from yokedock.errors import PlatformUnavailable
from yokedock.router_errors import BackendBroken, BackendUnreachable


class HttpGetter:
    """Reads documents from one address. A connection with a lost answer is never used again."""

    def __init__(self, address: str, connect_timeout_s: float) -> None:
        """Read from ``address`` (IP:port)."""
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._pool = BackendPool()

    async def get(self, target: str, timeout_s: float) -> ShortAnswer:
        """Return the answer; raises ``PlatformUnavailable`` if there is none in time."""
        limits = CallLimits(self._connect_timeout_s, timeout_s)
        call = ShortCall(b"GET", target.encode())
        try:
            return await short_call(self._pool, self._address, call, limits)
        except (BackendUnreachable, BackendBroken) as error:
            raise PlatformUnavailable(error.message) from None
