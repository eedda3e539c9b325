"""Estimates how long data waits in front of this machine's network link.

Data that a process writes waits in buffers which it can't see: in the kernel, in the network card
or in a device that shapes the traffic. The link is therefore modelled as a queue that empties at a
fixed rate. Without a configured rate, nothing ever waits in the model, and bytes are only counted.
"""

from __future__ import annotations

import collections
import enum
import math
from collections.abc import Callable

from yokedock.base.clock import boot_time_s

PACKET_BYTES = 1448
"""Payload of one full TCP segment."""
PACKET_OVERHEAD_BYTES = 66
"""Ethernet, IP and TCP headers of one packet."""
BYTES_PER_S_PER_MBPS = 125_000
RECEIVED_WINDOW_S = 0.5
"""Time constant of the received rate."""


class Traffic(enum.Enum):
    """Peers that data is exchanged with."""

    CALLERS = "callers"
    BACKENDS = "backends"
    ROUTERS = "routers"
    SOURCE = "source"
    """The source of routes and backends."""


class LinkMeter:
    """Counts the bytes of one process, and models the queue of its outgoing data."""

    def __init__(self, link_mbps: float = 0.0, clock: Callable[[], float] = boot_time_s) -> None:
        """Model a link of ``link_mbps`` megabits per second in each direction; 0: unlimited."""
        self.bytes_per_s = link_mbps * BYTES_PER_S_PER_MBPS if link_mbps else math.inf
        self.sent_bytes: collections.Counter[Traffic] = collections.Counter()
        """Bytes sent since the start, with the headers of packets."""
        self.received_bytes: collections.Counter[Traffic] = collections.Counter()
        self._clock = clock
        self._empty_at_s = -math.inf
        """Boot time at which all data written so far has left."""
        self._received_rate = 0.0
        self._received_s = clock()

    def record_sent(self, traffic: Traffic, size: int) -> None:
        """Record that ``size`` bytes were written at once."""
        size = _size_on_link(size)
        self.sent_bytes[traffic] += size
        self._empty_at_s = max(self._empty_at_s, self._clock()) + size / self.bytes_per_s

    def record_received(self, traffic: Traffic, size: int) -> None:
        """Record that ``size`` bytes were read at once."""
        size = _size_on_link(size)
        self.received_bytes[traffic] += size
        self._received_rate = self._decayed_rate() + size / RECEIVED_WINDOW_S
        self._received_s = self._clock()

    def queued_s(self) -> float:
        """Return how long data that is written now waits until it leaves."""
        return max(0.0, self._empty_at_s - self._clock())

    def received_share(self) -> float:
        """Return the recent rate of received data, as a fraction of the link's."""
        return self._decayed_rate() / self.bytes_per_s

    def levels(self) -> dict[str, float]:
        """Return the bytes in each direction, the time in the queue and the received fraction."""
        sent = {f"link_sent_bytes_{kind.value}": self.sent_bytes[kind] for kind in Traffic}
        received = {
            f"link_received_bytes_{kind.value}": self.received_bytes[kind] for kind in Traffic
        }
        return {
            **sent,
            **received,
            "link_queued_s": self.queued_s(),
            "link_received_share": self.received_share(),
        }

    def _decayed_rate(self) -> float:
        age_s = self._clock() - self._received_s
        return self._received_rate * math.exp(-age_s / RECEIVED_WINDOW_S)


def _size_on_link(size: int) -> int:
    """Return the size of data including the headers of its packets."""
    return size + PACKET_OVERHEAD_BYTES * max(1, math.ceil(size / PACKET_BYTES))
