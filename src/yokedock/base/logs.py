"""Structured logging with logbook: one JSON object per line."""

from __future__ import annotations

import os
import select
import sys
from collections.abc import Callable
from typing import Any, TextIO

import logbook
import msgspec

from yokedock.base.clock import boot_time_s


class StructuredLogger:
    """Logs events with typed fields; fields added by ``bind`` are part of every line."""

    def __init__(self, channel: str, bound: dict[str, Any] | None = None) -> None:
        """Create a logger for ``channel``; ``bound`` fields are part of every line."""
        self._logger = logbook.Logger(channel)
        self._channel = channel
        self._bound_fields = bound or {}

    def bind(self, **fields: Any) -> StructuredLogger:
        """Return a logger that adds ``fields`` to every line."""
        return StructuredLogger(self._channel, {**self._bound_fields, **fields})

    def debug(self, event: str, **fields: Any) -> None:
        """Log a detail that only helps to trace a single request."""
        self._logger.debug(event, extra={**self._bound_fields, **fields})

    def info(self, event: str, **fields: Any) -> None:
        """Log a change of state that is part of normal operation."""
        self._logger.info(event, extra={**self._bound_fields, **fields})

    def warning(self, event: str, **fields: Any) -> None:
        """Log a failure that was handled."""
        self._logger.warning(event, extra={**self._bound_fields, **fields})

    def error(self, event: str, **fields: Any) -> None:
        """Log a failure that needs an operator's attention."""
        self._logger.error(event, extra={**self._bound_fields, **fields})

    def exception(self, event: str, **fields: Any) -> None:
        """Log an unexpected exception with its traceback."""
        self._logger.exception(event, extra={**self._bound_fields, **fields})


MAX_WRITE_BYTES = 4096
"""A pipe that polls as writable accepts this much without blocking (PIPE_BUF on Linux)."""
MAX_TRACEBACK_CHARS = 3000
"""Characters kept from the end of a traceback, which has the error and the innermost calls."""


class LineWriter:
    """Writes whole lines to a file descriptor without ever blocking on a slow reader.

    A line is rejected if the pipe is full. The rest of a partially written line is kept and written
    before the next line.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``: a pipe, a file or a terminal."""
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._pending = b""

    def write(self, line: bytes) -> bool:
        """Write a line; return False if it was rejected."""
        if self._pending and not self._write_pending():
            return False
        self._pending = line
        if not self._is_writable():
            self._pending = b""
            return False
        self._write_pending()
        return True

    def _write_pending(self) -> bool:
        """Continue writing the pending line; return whether it is complete."""
        while self._pending and self._is_writable():
            written = os.write(self._descriptor, self._pending[:MAX_WRITE_BYTES])
            self._pending = self._pending[written:]
        return not self._pending

    def _is_writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))


def json_line(record: Any) -> bytes:
    """Encode a record as one line of JSON: time, level, channel and event, then its fields."""
    line: dict[str, Any] = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "channel": record.channel,
        "event": record.message,
    }
    line.update(record.extra)
    if record.formatted_exception:
        line["traceback"] = record.formatted_exception[-MAX_TRACEBACK_CHARS:]
    return msgspec.json.encode(line, enc_hook=str)


class JsonLinesHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each record as one JSON object on one line."""

    def format(self, record: Any) -> str:
        """Return the record as JSON."""
        return json_line(record).decode()


class LineBudget:
    """Token bucket that limits the rate of log lines and counts the lines that it rejects."""

    def __init__(self, lines_per_s: float, clock: Callable[[], float] = boot_time_s) -> None:
        """Allow ``lines_per_s`` on average, and bursts of the same number of lines."""
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._left = lines_per_s
        self._refilled_at_s = clock()
        self._dropped = 0

    def may_write(self) -> bool:
        """Take one line from the budget; return False and count the line if none is left."""
        now_s = self._clock()
        refill = (now_s - self._refilled_at_s) * self._lines_per_s
        self._left = min(self._lines_per_s, self._left + refill)
        self._refilled_at_s = now_s
        if self._left < 1:
            self._dropped += 1
            return False
        self._left -= 1
        return True

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped


class BoundedJsonLinesHandler(logbook.Handler):  # type: ignore[misc]
    """Writes JSON lines at a limited rate and never blocks on a slow reader.

    Warnings and errors have a separate budget, so that ordinary lines cannot crowd them out.
    """

    def __init__(
        self,
        write: Callable[[bytes], bool],
        level: str,
        ordinary: LineBudget,
        urgent: LineBudget,
    ) -> None:
        """``write`` writes a whole line or returns False immediately."""
        super().__init__(level=level)
        self._write = write
        self._ordinary_budget = ordinary
        self._urgent_budget = urgent
        self._refused = 0

    def emit(self, record: Any) -> None:
        """Write a record, or drop and count it; the next written line reports the count.

        Exceptions are suppressed here: a logging failure must not affect the work being logged.
        """
        budget = self._urgent_budget if record.level >= logbook.WARNING else self._ordinary_budget
        if not budget.may_write():
            return
        self._refused += self._ordinary_budget.take_dropped() + self._urgent_budget.take_dropped()
        try:
            if self._refused:
                record.extra["lines_dropped"] = self._refused
            is_written = self._write(json_line(record) + b"\n")
        except Exception:
            is_written = False
        self._refused = 0 if is_written else self._refused + 1


def logger(channel: str) -> StructuredLogger:
    """Return a logger for ``channel``."""
    return StructuredLogger(channel)


def set_up_logs(level: str, stream: TextIO | None = None, lines_per_s: float | None = None) -> None:
    """Write all logs of the process as JSON lines to ``stream`` (default: standard error).

    ``lines_per_s`` limits ordinary lines, and separately warnings and errors. Lines beyond the
    limit, and lines rejected by a full pipe, are dropped and counted.
    """
    target = stream or sys.stderr
    handler: logbook.Handler
    if lines_per_s is None:
        handler = JsonLinesHandler(target, level=level.upper())
    else:
        write = LineWriter(target.fileno()).write
        budgets = (LineBudget(lines_per_s), LineBudget(lines_per_s))
        handler = BoundedJsonLinesHandler(write, level.upper(), *budgets)
    handler.push_application()
