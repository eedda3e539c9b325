"""Forecast of when capacity becomes free for a queued generation, with learned error correction.

Capacity is freed as streams end: with ``streams`` active that hold capacity for a given mean time,
the next slot is free after mean / streams, the n-th after n times that. On-time callers go first,
so a late waiter gets only what new arrivals leave unclaimed.
"""

from __future__ import annotations

import math

import msgspec

from yokedock.request.stream_duration import StreamDuration

MIN_LATE_SHARE = 0.1
"""Minimum share of the freed capacity assumed to go to late waiters, as no overload is known to
last."""
ERROR_WEIGHT = 0.1
"""Smoothing weight of the latest wait in the learned error: about the last ten waits count."""
MAX_LOG_ERROR = math.log(4.0)
"""Bound of the learned logarithmic error, so that an outlier does not distort later predictions."""
MIN_LEARNED_WAIT_S = 0.02
"""Shorter waits are not learned from: they depend on chance rather than on the prediction."""
RETRY_AFTER_SPREAD = 2.0
"""Callers are told to retry after one to this many times the predicted wait, uniformly distributed,
so that those refused together do not return together."""


class QueueAhead(msgspec.Struct, frozen=True):
    """The work ahead of one queued generation, across all routers."""

    streams: int
    """Active streams at engines that will continue to accept work."""
    in_time: float
    """Generations ahead of it that can still meet their target."""
    late: float = 0.0
    """Late generations ahead of it, if it is late itself."""
    arrivals_per_s: float = 0.0
    """Rate of new arrivals that will go ahead of it, if it is late."""
    is_late: bool = False
    """Whether it is placed after all on-time generations."""


class CapacityForecast:
    """The forecast of one process, corrected by the waits actually observed."""

    def __init__(self, turnover: StreamDuration) -> None:
        """``turnover`` supplies the mean duration of a stream."""
        self._turnover = turnover
        self._log_errors = {False: 0.0, True: 0.0}
        """By whether the waiter is late: the error of late waits also depends on new arrivals."""

    def wait_s(self, ahead: QueueAhead) -> float:
        """Return the predicted wait, in seconds, for a generation with ``ahead`` before it."""
        freed_per_s = max(1, ahead.streams) / self._turnover.mean_s
        unclaimed_per_s = freed_per_s - ahead.arrivals_per_s
        rate = max(unclaimed_per_s, MIN_LATE_SHARE * freed_per_s)
        return (ahead.in_time + ahead.late + 1.0) / rate * self.correction_factor(ahead.is_late)

    def note(self, predicted_s: float, waited_s: float, is_late: bool = False) -> None:
        """Learn from a wait that ended, or that lasted at least ``waited_s``."""
        if min(predicted_s, waited_s) < MIN_LEARNED_WAIT_S:
            return
        before = self._log_errors[is_late]
        error = before + math.log(waited_s / predicted_s)
        error = max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, error))
        self._log_errors[is_late] = before + ERROR_WEIGHT * (error - before)

    def correction_factor(self, is_late: bool = False) -> float:
        """Return the factor by which raw predictions are currently multiplied."""
        return math.exp(self._log_errors[is_late])
