"""Fetches documents from one address over persistent connections."""

from __future__ import annotations

from yokedock.base.link_meter import LinkMeter, Traffic
from yokedock.connection.backend_pool import BackendPool
from yokedock.connection.short_call import (
    MAX_ANSWER_BYTES,
    CallLimits,
    ReadProgress,
    ShortAnswer,
    ShortCall,
    TransferLimits,
    short_call,
)
from yokedock.errors import PlatformUnavailable
from yokedock.router_errors import BackendResponseError, BackendUnreachable, ResponseTooLarge

DOCUMENT_TRANSFER_LIMITS = TransferLimits(stall_s=1.5, max_duration_s=20.0)
"""A document of 1 MB takes 2.2 s on an otherwise idle 5 Mbit/s link. The stall limit is longer than
the second retransmission of a lost packet (0.2 + 0.4 s on Linux) plus its round trips. 20 s is how
long a source keeps its history: a document that takes longer is out of date when it arrives."""


class HttpGetter:
    """Fetches documents from one address.

    A connection on which a response was not read completely is never reused.
    """

    def __init__(self, address: str, connect_timeout_s: float) -> None:
        """Create a client for ``address`` (IP:port)."""
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._pool = BackendPool()
        self._share = ReadProgress()

    def use_link(self, link: LinkMeter) -> None:
        """Have ``link`` count the bytes from now on."""
        self._pool = BackendPool(link, Traffic.SOURCE)

    def received_fraction(self) -> float:
        """Return the received fraction (0 to 1) of the response being read, or of the last one."""
        return self._share.value()

    async def get(
        self, target: str, head_timeout_s: float, max_bytes: int = MAX_ANSWER_BYTES
    ) -> ShortAnswer:
        """Return the response, whose body may take up to the limits of
        ``DOCUMENT_TRANSFER_LIMITS``.

        Raises ``PlatformUnavailable`` if the head does not arrive in time or the body stalls,
        ``ResponseTooLarge`` if the body exceeds ``max_bytes``.
        """
        limits = CallLimits(
            self._connect_timeout_s,
            head_timeout_s,
            progress=DOCUMENT_TRANSFER_LIMITS,
            max_bytes=max_bytes,
        )
        call = ShortCall(b"GET", target.encode())
        self._share = ReadProgress()
        try:
            return await short_call(self._pool, self._address, call, limits, self._share)
        except ResponseTooLarge:
            raise
        except (BackendUnreachable, BackendResponseError) as error:
            raise PlatformUnavailable(error.message) from None
