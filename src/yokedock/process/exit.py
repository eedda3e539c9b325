"""Exit statuses and immediate process exit."""

from __future__ import annotations

import os
import sys
from typing import NoReturn

EXIT_ERROR = 1
EXIT_BAD_INPUT = 2
"""What was named cannot be read."""
EXIT_NOT_FOUND = 1
"""It was read, and what was asked for is not there."""


def exit_now(status: int) -> NoReturn:
    """Flush the standard streams and end without the interpreter's own shutdown.

    Its shutdown would wait for workers that wait for a dead back end, and would end the socket
    library under threads that still receive, which aborts the process.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
