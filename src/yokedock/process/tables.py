"""Plain-text tables for the command line."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any


def format_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return a table with a header row, each column as wide as its widest cell."""
    cells = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
    return "\n".join(lines)
