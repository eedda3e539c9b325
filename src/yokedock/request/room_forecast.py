"""Predicts when room comes for a generation that has to wait, and learns how wrong it was.

Room comes free as streams end: with ``streams`` under way that hold their room for a mean time, the
next place is free after mean / streams, the n-th after n times that. Callers in time go first, so
whoever is late waits for what newcomers leave over.
"""

from __future__ import annotations

import math

import msgspec

from yokedock.request.stream_turnover import StreamTurnover

MIN_LATE_SHARE = 0.1
"""Share of the freed room that the late are taken to get at least: no overload is known to last."""
ERROR_WEIGHT = 0.1
"""Weight of the newest wait in the learned error: the last ten or so waits count."""
MAX_LOG_ERROR = math.log(4.0)
"""Bound of the learned error, as a logarithm: one odd wait may not spoil the next predictions."""
MIN_LEARNED_WAIT_S = 0.02
"""Waits shorter than this tell nothing of the prediction: room came by chance of the moment."""
RETRY_AFTER_SPREAD = 2.0
"""Callers are told to come back after one to so many times the predicted wait, evenly spread: those
who were refused together do not come back together."""


class QueueAhead(msgspec.Struct, frozen=True):
    """What stands before one waiting generation, over the whole fleet."""

    streams: int
    """Streams that hold room at engines that will go on taking work."""
    in_time: float
    """Generations before it that can still meet their target."""
    late: float = 0.0
    """Generations before it that are late, if it is late itself."""
    arrivals_per_s: float = 0.0
    """Newcomers that will go before it, if it is late."""
    is_late: bool = False
    """Whether it goes behind all that are in time."""


class RoomForecast:
    """The forecast of one process, corrected by how its waits really ended."""

    def __init__(self, turnover: StreamTurnover) -> None:
        """Learn the mean time of a stream from ``turnover``."""
        self._turnover = turnover
        self._log_errors = {False: 0.0, True: 0.0}
        """For those in time and for the late: the late depend on what newcomers leave over."""

    def wait_s(self, ahead: QueueAhead) -> float:
        """Return the seconds until room comes to whoever has ``ahead`` before it."""
        freed_per_s = max(1, ahead.streams) / self._turnover.mean_s
        unclaimed_per_s = freed_per_s - ahead.arrivals_per_s
        rate = max(unclaimed_per_s, MIN_LATE_SHARE * freed_per_s)
        return (ahead.in_time + ahead.late + 1.0) / rate * self.error_factor(ahead.is_late)

    def note(self, predicted_s: float, waited_s: float, is_late: bool = False) -> None:
        """Learn from a wait that ended, or that was longer than ``waited_s``."""
        if min(predicted_s, waited_s) < MIN_LEARNED_WAIT_S:
            return
        before = self._log_errors[is_late]
        error = before + math.log(waited_s / predicted_s)
        error = max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, error))
        self._log_errors[is_late] = before + ERROR_WEIGHT * (error - before)

    def error_factor(self, is_late: bool = False) -> float:
        """Return by what the bare prediction is multiplied now."""
        return math.exp(self._log_errors[is_late])
