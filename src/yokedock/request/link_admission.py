"""Decides which new connections a router accepts, by what its network link can carry.

A caller whose connection is closed before its request was read tries another router at once, and
loses nothing but the round trip. A request that was read is this router's: on a full link it waits,
and so do all others. The load is therefore limited by the requests accepted per second, before the
bytes that each of them causes have reached the link.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Callable

from yokedock.base.clock import boot_time_s
from yokedock.base.link_meter import LinkMeter, Traffic

USUAL_SHARE = 0.9
"""Fraction of the link's rate that requests and all other traffic may use together."""
MIN_SHARE = 0.4
MAX_SHARE = 1.8
"""As much in each direction, for links that carry their rate in both."""
ADAPT_S = 0.5
"""Interval at which that fraction is adapted to the delay that all connections share."""
MAX_SHARED_DELAY_S = 0.1
SHARE_DECREASE = 0.8
"""Factor after an interval with a longer delay."""
SHARE_INCREASE = 0.1
"""Increase after an interval without."""
PROBING_INCREASE = 0.05
"""Increase above the usual share."""
MAX_PROBING_DELAY_S = 0.02
"""With a longer delay, the link doesn't carry more than usual."""
MIN_PROBING_USE = 0.8
"""A limit that is used by less tells nothing of what the link would carry."""
BURST_S = 0.25
"""Requests that arrive together may use the allowance of so many seconds."""
RESUME_S = 0.05
"""After a refusal, connections are accepted again once the allowance has so many seconds."""
MAX_DEBT_S = 0.5
"""The allowance is exceeded by at most so many seconds of the link."""
MAX_QUEUED_S = 0.15
"""With more data in front of the link, no connection is accepted."""
MAX_REFUSING_S = 0.5
"""One connection is accepted at least so often, so that the estimates stay current."""
MAX_REFUSING_SHARE = 0.3
"""A router that refuses connections for more of the time should get none for a while."""
REFUSING_WINDOW_S = 1.0
"""Time constant of that share."""
UNREADY_S = 4.0
"""For how long it should get none: the balancer asks once a second."""
MEAN_WINDOW_S = 4.0
"""Time constant of the mean size of requests."""
TYPICAL_REQUEST_BYTES = 4096.0
"""Counts as one more request, so that the mean is defined when there were none."""
REQUEST_TRAFFIC = (Traffic.CALLERS, Traffic.BACKENDS)
"""Traffic that requests cause, including their retries."""


class LinkAdmission:
    """Limits the requests of one router to what its link carries."""

    def __init__(self, link: LinkMeter, clock: Callable[[], float] = boot_time_s) -> None:
        """Use the counters of ``link``; a link of unknown rate carries everything."""
        self._link = link
        self._clock = clock
        self._is_limited = not math.isinf(link.bytes_per_s)
        self._allowed_share = USUAL_SHARE
        self._adapted_s = clock()
        self._left_bytes = BURST_S * self._rate
        """What the requests of this moment may cause."""
        self._mean = _RequestSizes(link)
        self._advanced_s = self._accepted_s = clock()
        self._is_refusing = False
        self._refusing_share = 0.0
        self._unready_until_s = -math.inf
        self.unread = 0
        """Number of connections that were not accepted."""

    def accept(self) -> bool:
        """Return whether to accept a new connection, and charge its first request."""
        if not self._is_limited:
            return True
        if self.has_room():
            self._accepted_s = self._clock()
            self._charge()
            return True
        self.unread += 1
        # What the caller has sent already comes over the link all the same.
        self._link.record_received(Traffic.UNREAD, round(self._mean.received_bytes))
        self._link.record_overload()
        return False

    def has_room(self) -> bool:
        """Return whether another connection can be accepted."""
        return not self._is_limited or self._has_room(self._mean.bytes)

    def refuse(self) -> None:
        """Note that all connections are refused until ``may_resume``."""
        self._advance()
        self._link.record_overload()
        self._is_refusing = True

    def may_resume(self) -> bool:
        """Return whether to accept connections again after there was no room for any."""
        if self._has_room(RESUME_S * self._rate):
            self._is_refusing = False
        return not self._is_refusing

    def should_get_new(self) -> bool:
        """Return whether the balancer should send new connections to this router."""
        return self._clock() >= self._unready_until_s

    def _has_room(self, least_bytes: float) -> bool:
        self._advance()
        is_due = self._clock() - self._accepted_s >= MAX_REFUSING_S
        return is_due or (self._left_bytes >= least_bytes and not self._is_queue_long())

    def take(self) -> None:
        """Charge a further request on a connection."""
        if self._is_limited:
            self._advance()
            self._charge()

    def is_exceeded(self) -> bool:
        """Return whether connections should end, so that callers can go to other routers."""
        if not self._is_limited:
            return False
        self._advance()
        return self._left_bytes < 0 or self._is_queue_long()

    @property
    def _rate(self) -> float:
        """Bytes per second that requests and all other traffic may use together."""
        return self._allowed_share * self._link.bytes_per_s

    def _adapt(self, now_s: float) -> None:
        """Adapt the allowed share to what the link is seen to carry without a delay."""
        if now_s - self._adapted_s < ADAPT_S:
            return
        self._adapted_s = now_s
        delay_s = self._link.shared_delay.measured_s()
        if delay_s is not None and delay_s > MAX_SHARED_DELAY_S:
            self._allowed_share = max(MIN_SHARE, self._allowed_share * SHARE_DECREASE)
        elif self._allowed_share < USUAL_SHARE:
            self._allowed_share = min(USUAL_SHARE, self._allowed_share + SHARE_INCREASE)
        elif self._link.used_share() < MIN_PROBING_USE * self._allowed_share:
            self._allowed_share = max(USUAL_SHARE, self._allowed_share - SHARE_INCREASE)
        elif delay_s is not None and delay_s > MAX_PROBING_DELAY_S:
            self._allowed_share = max(USUAL_SHARE, self._allowed_share * SHARE_DECREASE)
        elif delay_s is not None:
            self._allowed_share = min(MAX_SHARE, self._allowed_share + PROBING_INCREASE)
        self._link.rate_factor = max(1.0, self._allowed_share / USUAL_SHARE)

    def _is_queue_long(self) -> bool:
        return self._link.queued_s() > MAX_QUEUED_S

    def _charge(self) -> None:
        self._mean.count()
        least = -MAX_DEBT_S * self._rate
        self._left_bytes = max(least, self._left_bytes - self._mean.bytes)

    def _advance(self) -> None:
        """Update the estimates, and add the allowance for the time since the last call."""
        now_s = self._clock()
        elapsed_s, self._advanced_s = now_s - self._advanced_s, now_s
        self._mean.advance(elapsed_s)
        self._adapt(now_s)
        weight = 1.0 - math.exp(-elapsed_s / REFUSING_WINDOW_S)
        self._refusing_share += weight * (self._is_refusing - self._refusing_share)
        if self._refusing_share > MAX_REFUSING_SHARE:
            self._unready_until_s = now_s + UNREADY_S
        rate = max(0.0, self._rate - self._mean.other_bytes_per_s)
        self._left_bytes = min(BURST_S * self._rate, self._left_bytes + elapsed_s * rate)


class _RequestSizes:
    """Mean bytes on the link of a request, and the rate of all other traffic."""

    def __init__(self, link: LinkMeter) -> None:
        self._link = link
        self._requests = 0.0
        self._request_bytes = 0.0
        self._received_bytes = 0.0
        self._counted: collections.Counter[str] = collections.Counter()
        self.other_bytes_per_s = 0.0

    @property
    def bytes(self) -> float:
        """Return the mean bytes that a request causes in both directions."""
        return (self._request_bytes + TYPICAL_REQUEST_BYTES) / (self._requests + 1.0)

    @property
    def received_bytes(self) -> float:
        """Return the mean size of a request itself."""
        return self._received_bytes / (self._requests + 1.0)

    def count(self) -> None:
        """Count a request that was taken."""
        self._requests += 1

    def advance(self, elapsed_s: float) -> None:
        """Update the estimates by what the link has carried in the last ``elapsed_s``."""
        sent, received = self._link.sent_bytes, self._link.received_bytes
        by_requests = sum(sent[kind] + received[kind] for kind in REQUEST_TRAFFIC)
        total = sum(sent.values()) + sum(received.values())
        kept = math.exp(-elapsed_s / MEAN_WINDOW_S)
        self._requests *= kept
        new = self._count_new("requests", by_requests)
        self._request_bytes = self._request_bytes * kept + new
        new = self._count_new("received", received[Traffic.CALLERS])
        self._received_bytes = self._received_bytes * kept + new
        new = self._count_new("other", total - by_requests)
        self.other_bytes_per_s = self.other_bytes_per_s * kept + new / MEAN_WINDOW_S

    def _count_new(self, name: str, total: int) -> int:
        """Return what has been added to a total since the last time."""
        new, self._counted[name] = total - self._counted[name], total
        return new
