"""Estimates how long data waits in front of this machine's network link.

Data that a process writes waits in buffers which it can't see: in the kernel, in the network card
or in a device that shapes the traffic. The link is therefore modelled as a queue that both
directions share. It empties at the configured rate, or faster where more was seen to pass without
delay: some links carry that rate in each direction. Without a configured rate, nothing ever waits
in the model, and bytes are only counted.
"""

from __future__ import annotations

import collections
import enum
import math
from collections.abc import Callable

from yokedock.base.clock import boot_time_s
from yokedock.base.shared_delay import SharedDelay

PACKET_BYTES = 1448
"""Payload of one full TCP segment."""
PACKET_OVERHEAD_BYTES = 66
"""Ethernet, IP and TCP headers of one packet."""
BYTES_PER_S_PER_MBPS = 125_000
RATE_WINDOW_S = 0.5
"""Time constant of the current rate."""
BUSY_SHARE = 0.5
"""From this fraction of its rate on, bursts of data may wait in front of a link."""
BUSY_QUEUE_S = 0.02
OVERLOAD_S = 1.0
"""For how long an overload is remembered."""


class Traffic(enum.Enum):
    """Peers that data is exchanged with."""

    CALLERS = "callers"
    BACKENDS = "backends"
    ROUTERS = "routers"
    SOURCE = "source"
    """The source of routes and backends."""
    UNREAD = "unread"
    """Callers whose connections are closed unread; an estimate."""


class LinkMeter:
    """Counts the bytes of one process, and models the queue of its link."""

    def __init__(self, link_mbps: float = 0.0, clock: Callable[[], float] = boot_time_s) -> None:
        """Model a link of ``link_mbps`` megabits per second in all; 0: unlimited."""
        self.bytes_per_s = link_mbps * BYTES_PER_S_PER_MBPS if link_mbps else math.inf
        self.sent_bytes: collections.Counter[Traffic] = collections.Counter()
        """Bytes sent since the start, with the headers of packets."""
        self.received_bytes: collections.Counter[Traffic] = collections.Counter()
        """Bytes received since the start, with the headers of packets."""
        self.shared_delay = SharedDelay(clock)
        """The delay of all connections over this link."""
        self.rate_factor = 1.0
        """Set by the owner: the rate at which the queue empties, as a multiple of the link's."""
        self._clock = clock
        self._empty_at_s = -math.inf
        """Boot time at which the link has carried all data so far."""
        self._overloaded_s = -math.inf
        self._rate = 0.0
        self._rate_at_s = clock()

    def record_sent(self, traffic: Traffic, size: int) -> None:
        """Record that ``size`` bytes were written at once."""
        self.sent_bytes[traffic] += _size_on_link(size)
        self._occupy(_size_on_link(size))

    def record_received(self, traffic: Traffic, size: int) -> None:
        """Record that ``size`` bytes were read at once."""
        self.received_bytes[traffic] += _size_on_link(size)
        self._occupy(_size_on_link(size))

    def record_overload(self) -> None:
        """Record that more arrives than this process reads."""
        self._overloaded_s = self._clock()

    def queued_s(self) -> float:
        """Return how long data that is written now waits until it leaves."""
        return max(0.0, self._empty_at_s - self._clock())

    def used_share(self) -> float:
        """Return the current rate of all data, as a fraction of the link's."""
        return self._current_rate() / self.bytes_per_s

    def is_busy(self) -> bool:
        """Return whether data may wait in front of the link."""
        is_overloaded = self._clock() - self._overloaded_s < OVERLOAD_S
        return is_overloaded or self.queued_s() > BUSY_QUEUE_S or self.used_share() > BUSY_SHARE

    def levels(self) -> dict[str, float]:
        """Return the bytes in each direction, the use of the link and the delays."""
        sent = {f"link_sent_bytes_{kind.value}": self.sent_bytes[kind] for kind in Traffic}
        received = {
            f"link_received_bytes_{kind.value}": self.received_bytes[kind] for kind in Traffic
        }
        return {
            **sent,
            **received,
            "link_used_share": self.used_share(),
            "link_queued_s": self.queued_s(),
            "link_shared_delay_s": self.shared_delay.current_s(),
        }

    def _occupy(self, size: int) -> None:
        now_s = self._clock()
        sending_s = size / (self.rate_factor * self.bytes_per_s)
        self._empty_at_s = max(self._empty_at_s, now_s) + sending_s
        self._rate = self._current_rate() + size / RATE_WINDOW_S
        self._rate_at_s = now_s

    def _current_rate(self) -> float:
        return self._rate * math.exp((self._rate_at_s - self._clock()) / RATE_WINDOW_S)


def _size_on_link(size: int) -> int:
    """Return the size of data including the headers of its packets."""
    return size + PACKET_OVERHEAD_BYTES * max(1, math.ceil(size / PACKET_BYTES))
