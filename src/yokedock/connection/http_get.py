"""Reads documents from one address, on kept connections."""

from __future__ import annotations

from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.short_call import (
    MAX_ANSWER_BYTES,
    AnswerProgress,
    CallLimits,
    ReadShare,
    ShortAnswer,
    ShortCall,
    short_call,
)
from yokedock.errors import PlatformUnavailable
from yokedock.router_errors import BackendResponseError, BackendUnreachable, ResponseTooLarge

DOCUMENT_PROGRESS = AnswerProgress(stall_s=1.5, longest_s=20.0)
"""A document of a megabyte takes 2.2 s on a link of 5 Mbit/s that nothing else uses. The stall is
longer than a lost packet's second retransmission (0.2 + 0.4 s, Linux) and its round trips; 20 s is
how long a source keeps its history: what takes longer is out of date when it arrives."""


class HttpGetter:
    """Reads documents from one address. A connection with a lost answer is never used again."""

    def __init__(self, address: str, connect_timeout_s: float) -> None:
        """Read from ``address`` (IP:port)."""
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._pool = BackendPool()
        self._share = ReadShare()

    def received_fraction(self) -> float:
        """Return how much of the answer has come that is being read or was read last, 0 to 1."""
        return self._share.value()

    async def get(
        self, target: str, head_timeout_s: float, most_bytes: int = MAX_ANSWER_BYTES
    ) -> ShortAnswer:
        """Return the answer, which may take long as long as it flows.

        Raises ``PlatformUnavailable`` if its head is not there in time or it stalls,
        ``ResponseTooLarge`` if it has more than ``most_bytes``.
        """
        limits = CallLimits(
            self._connect_timeout_s,
            head_timeout_s,
            progress=DOCUMENT_PROGRESS,
            most_bytes=most_bytes,
        )
        call = ShortCall(b"GET", target.encode())
        self._share = ReadShare()
        try:
            return await short_call(self._pool, self._address, call, limits, self._share)
        except ResponseTooLarge:
            raise
        except (BackendUnreachable, BackendResponseError) as error:
            raise PlatformUnavailable(error.message) from None
