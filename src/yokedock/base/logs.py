"""Structured logs: one JSON object a line, through logbook."""

from __future__ import annotations

import sys
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


def logger(channel: str) -> StructuredLogger:
    """Return the logger of a module."""
    return StructuredLogger(channel)


def set_up_logs(level: str, stream: TextIO | None = None) -> None:
    """Send all logs of the process as JSON lines to ``stream`` (default: standard error)."""
    handler = JsonLinesHandler(stream or sys.stderr, level=level.upper())
    handler.push_application()
