"""Exit statuses, and exit without the interpreter's shutdown."""

from __future__ import annotations

import os
import sys
from typing import NoReturn

EXIT_ERROR = 1
EXIT_BAD_INPUT = 2
"""The given input cannot be read."""
EXIT_NOT_FOUND = 1
"""The input was read but does not contain the requested item."""


def exit_now(status: int) -> NoReturn:
    """Flush the standard streams and exit without the interpreter's shutdown.

    The shutdown would wait for worker threads that are blocked on an unreachable backend. It would
    also close the socket library while other threads still receive, which aborts the process.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
