"""Commands that analyse the structured logs of routers."""

from __future__ import annotations

import sys
from pathlib import Path

import cyclopts

from yokedock.process.exit import EXIT_NOT_FOUND
from yokedock.process.log_explain import RequestLogs, prediction_text, window_table
from yokedock.process.request_trace import log_files, stories, trace_text

app = cyclopts.App(name="logs")


@app.command
def explain(*files: Path, window_s: float = 2.0) -> None:
    """Explain late and failed requests from the logs of routers (FILES).

    Prints one row per route and window of WINDOW_S seconds, and the accuracy of predicted waits.
    """
    book = RequestLogs()
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as lines:
            book.read(lines)
    print(window_table(book.explained(), window_s))
    print(prediction_text(book))
    if book.skipped:
        print(f"{book.skipped} lines are none of a router's and were skipped")


@app.command(name="request")
def request_trace(request: str, *paths: Path) -> None:
    """Print the route, routers, backends and zones of REQUEST, with times and whether it was late.

    PATHS are log files of routers, or directories with *.log files. REQUEST is the caller's id.
    """
    files = log_files(paths)
    found = stories(request, files)
    for story in found:
        print(trace_text(story))
    if not found:
        print(
            f"no line names {request} in {len(files)} files; check whether older logs are available"
        )
        sys.exit(EXIT_NOT_FOUND)
