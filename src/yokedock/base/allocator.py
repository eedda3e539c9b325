"""Has the C library's allocator return freed memory to the system.

By default it adapts to large blocks: once one was freed, blocks up to its size come from heaps that
only shrink at their end, and each thread may have a heap of its own. A process that has once held
many bodies would keep their memory for good.
"""

from __future__ import annotations

import ctypes

from yokedock.base.logs import logger

_log = logger("memory")

M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
"""Parameters of ``mallopt`` (glibc, ``malloc.h``)."""
MAPPED_BLOCK_BYTES = 131_072
"""Blocks of this size or more are mapped singly, and unmapped when they are freed."""
HEAPS = 1


def return_freed_memory() -> None:
    """Set up the allocator; does nothing where the C library has no such parameters."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError) as error:
        _log.info("allocator not set up", reason=str(error))
        return
    mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
    mallopt(M_ARENA_MAX, HEAPS)
