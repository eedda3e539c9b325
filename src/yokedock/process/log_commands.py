"""Commands that read the structured logs of routers."""

from __future__ import annotations

import sys
from pathlib import Path

import cyclopts

from yokedock.process.exit import EXIT_NOT_FOUND
from yokedock.process.log_explain import LogBook, prediction_text, window_table
from yokedock.process.request_story import log_files, stories, story_text

app = cyclopts.App(name="logs")


@app.command
def explain(*files: Path, window_s: float = 2.0) -> None:
    """Tell where requests lost their time or their answer, from the logs of routers (FILES).

    Prints a row for each window of WINDOW_S seconds and route, and how well waits were predicted.
    """
    book = LogBook()
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as lines:
            book.read(lines)
    print(window_table(book.explained(), window_s))
    print(prediction_text(book))
    if book.skipped:
        print(f"{book.skipped} lines are none of a router's and were passed over")


@app.command(name="request")
def request_story(request: str, *paths: Path) -> None:
    """Tell which route, router, backends and zones REQUEST took, how long each held it, if late.

    PATHS are routers' log files, or directories with files named *.log. REQUEST is the caller's id.
    """
    files = log_files(paths)
    found = stories(request, files)
    for story in found:
        print(story_text(story))
    if not found:
        print(f"no line names {request} in {len(files)} files; look whether older logs are kept")
        sys.exit(EXIT_NOT_FOUND)
