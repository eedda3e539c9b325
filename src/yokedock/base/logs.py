"""Structured logs: one JSON object a line, through logbook."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import logbook
import msgspec


class StructuredLogger:
    """Logs an event with typed fields; fields named by ``bind`` stand on every line."""

    def __init__(self, channel: str, bound: dict[str, Any] | None = None) -> None:
        """Name the channel; ``bound`` fields stand on every line."""
        self._logger = logbook.Logger(channel)
        self._channel = channel
        self._bound = bound or {}

    def bind(self, **fields: Any) -> StructuredLogger:
        """Return a logger that adds ``fields`` to every line."""
        return StructuredLogger(self._channel, {**self._bound, **fields})

    def debug(self, event: str, **fields: Any) -> None:
        """Log what only helps to follow one request."""
        self._logger.debug(event, extra={**self._bound, **fields})

    def info(self, event: str, **fields: Any) -> None:
        """Log a change of state that operators expect."""
        self._logger.info(event, extra={**self._bound, **fields})

    def warning(self, event: str, **fields: Any) -> None:
        """Log what went wrong and was handled."""
        self._logger.warning(event, extra={**self._bound, **fields})

    def error(self, event: str, **fields: Any) -> None:
        """Log what an operator must look at."""
        self._logger.error(event, extra={**self._bound, **fields})

    def exception(self, event: str, **fields: Any) -> None:
        """Log an error that nobody expected, with its traceback."""
        self._logger.exception(event, extra={**self._bound, **fields})


class JsonLinesHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each record as one JSON object on one line."""

    def format(self, record: Any) -> str:
        """Return the record as JSON: time, level, channel, event, process, then its fields."""
        line: dict[str, Any] = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "channel": record.channel,
            "event": record.message,
        }
        line.update(record.extra)
        if record.formatted_exception:
            line["traceback"] = record.formatted_exception
        return msgspec.json.encode(line, enc_hook=str).decode()


class LineBudget:
    """Bounds how many lines are written in a second, and counts what it drops."""

    def __init__(self, lines_per_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        """Allow ``lines_per_s`` in the mean, and as many at once."""
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._left = lines_per_s
        self._filled_s = clock()
        self._dropped = 0

    def may_write(self) -> bool:
        """Take one line from the budget; False, and counted, if none is left."""
        now_s = self._clock()
        gained = (now_s - self._filled_s) * self._lines_per_s
        self._left = min(self._lines_per_s, self._left + gained)
        self._filled_s = now_s
        if self._left < 1:
            self._dropped += 1
            return False
        self._left -= 1
        return True

    def take_dropped(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped


class BoundedJsonLinesHandler(JsonLinesHandler):
    """Writes no more lines than its budget allows; errors and warnings are always written."""

    def __init__(self, stream: TextIO, level: str, budget: LineBudget) -> None:
        """Write to ``stream``."""
        super().__init__(stream, level=level)
        self._budget = budget

    def emit(self, record: Any) -> None:
        """Write a record, or drop and count it; the next line that is written tells the count."""
        if record.level < logbook.WARNING and not self._budget.may_write():
            return
        dropped = self._budget.take_dropped()
        if dropped:
            record.extra["lines_dropped"] = dropped
        super().emit(record)


def logger(channel: str) -> StructuredLogger:
    """Return the logger of a module."""
    return StructuredLogger(channel)


def set_up_logs(level: str, stream: TextIO | None = None, lines_per_s: float | None = None) -> None:
    """Send all logs of the process as JSON lines to ``stream`` (default: standard error).

    ``lines_per_s`` bounds their number; lines beyond it are dropped and counted.
    """
    target = stream or sys.stderr
    if lines_per_s is None:
        handler = JsonLinesHandler(target, level=level.upper())
    else:
        handler = BoundedJsonLinesHandler(target, level.upper(), LineBudget(lines_per_s))
    handler.push_application()
