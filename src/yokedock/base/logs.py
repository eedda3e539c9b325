"""Structured logs: one JSON object a line, through logbook."""

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


LONGEST_PIECE_BYTES = 4096
"""A pipe that reports room takes at least this much without blocking (PIPE_BUF on Linux)."""
LONGEST_TRACEBACK = 3000
"""Characters kept of a traceback, its end: the error and the calls next to it."""


class LineWriter:
    """Writes whole lines to a descriptor and never waits for whoever reads them.

    A line that does not fit into a full pipe is refused; one that fits in part is kept and
    finished first.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``: a pipe, a file or a terminal."""
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._pending = b""

    def write(self, line: bytes) -> bool:
        """Write a line; return False if it was refused."""
        if self._pending and not self._write_pending():
            return False
        self._pending = line
        if not self._has_room():
            self._pending = b""
            return False
        self._write_pending()
        return True

    def _write_pending(self) -> bool:
        """Write on at the line under way; return whether it is finished."""
        while self._pending and self._has_room():
            written = os.write(self._descriptor, self._pending[:LONGEST_PIECE_BYTES])
            self._pending = self._pending[written:]
        return not self._pending

    def _has_room(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))


def json_line(record: Any) -> bytes:
    """Return a record as one line of JSON: time, level, channel, event, then its fields."""
    line: dict[str, Any] = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "channel": record.channel,
        "event": record.message,
    }
    line.update(record.extra)
    if record.formatted_exception:
        line["traceback"] = record.formatted_exception[-LONGEST_TRACEBACK:]
    return msgspec.json.encode(line, enc_hook=str)


class JsonLinesHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each record as one JSON object on one line."""

    def format(self, record: Any) -> str:
        """Return the record as JSON."""
        return json_line(record).decode()


class LineBudget:
    """Bounds how many lines are written in a second, and counts what it drops."""

    def __init__(self, lines_per_s: float, clock: Callable[[], float] = boot_time_s) -> None:
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


class BoundedJsonLinesHandler(logbook.Handler):  # type: ignore[misc]
    """Writes no more lines than its budgets allow, and never waits for whoever reads them.

    Warnings and errors have a budget of their own, so that they are not crowded out.
    """

    def __init__(
        self,
        write: Callable[[bytes], bool],
        level: str,
        ordinary: LineBudget,
        urgent: LineBudget,
    ) -> None:
        """``write`` takes a whole line, or returns False at once."""
        super().__init__(level=level)
        self._write = write
        self._ordinary = ordinary
        self._urgent = urgent
        self._refused = 0

    def emit(self, record: Any) -> None:
        """Write a record, or drop and count it; the next line that is written tells the count.

        Whatever fails here ends here: a log line must not harm the work that it describes.
        """
        budget = self._urgent if record.level >= logbook.WARNING else self._ordinary
        if not budget.may_write():
            return
        self._refused += self._ordinary.take_dropped() + self._urgent.take_dropped()
        try:
            if self._refused:
                record.extra["lines_dropped"] = self._refused
            is_written = self._write(json_line(record) + b"\n")
        except Exception:
            is_written = False
        self._refused = 0 if is_written else self._refused + 1


def logger(channel: str) -> StructuredLogger:
    """Return the logger of a module."""
    return StructuredLogger(channel)


def set_up_logs(level: str, stream: TextIO | None = None, lines_per_s: float | None = None) -> None:
    """Send all logs of the process as JSON lines to ``stream`` (default: standard error).

    ``lines_per_s`` bounds the number of ordinary lines and that of warnings and errors; lines
    beyond it, and those that a full pipe does not take, are dropped and counted.
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
