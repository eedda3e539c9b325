"""The prompt blocks that an engine is believed to cache: a hint, never a fact."""

from __future__ import annotations

import collections
import threading

MAX_KNOWN_BLOCKS = 100_000


class KnownBlocks:
    """The prompt blocks that the engine is believed to cache, and what changed since the last take.

    Learned from cache events and from the prefills that this agent ordered itself.
    """

    def __init__(self) -> None:
        """Start with no block."""
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._added: dict[int, None] = {}
        self._removed: dict[int, None] = {}
        self._lock = threading.Lock()
        self._is_complete = True

    def learn(self, blocks: tuple[int, ...] | list[int]) -> None:
        """Note blocks as cached."""
        with self._lock:
            for block in blocks:
                if block not in self._blocks:
                    self._added[block] = None
                    self._removed.pop(block, None)
                self._blocks[block] = None
                self._blocks.move_to_end(block)
            while len(self._blocks) > MAX_KNOWN_BLOCKS:
                self._remove(next(iter(self._blocks)))

    def forget(self, blocks: tuple[int, ...]) -> None:
        """Note blocks as evicted."""
        with self._lock:
            for block in blocks:
                self._remove(block)

    def forget_all(self) -> None:
        """Events were lost: believe nothing."""
        with self._lock:
            self._blocks.clear()
            self._added.clear()
            self._removed.clear()
            self._is_complete = False

    def is_cached(self, block: int) -> bool:
        """Return whether the block is believed to be cached."""
        return block in self._blocks

    def take_changes(self, most: int) -> tuple[tuple[int, ...], tuple[int, ...], bool]:
        """Return at most ``most`` added and removed blocks, and whether nothing was lost before."""
        with self._lock:
            added = tuple(list(self._added)[:most])
            removed = tuple(list(self._removed)[:most])
            for block in added:
                del self._added[block]
            for block in removed:
                del self._removed[block]
            complete, self._is_complete = self._is_complete, True
            return added, removed, complete

    def _remove(self, block: int) -> None:
        if self._blocks.pop(block, self) is None:
            self._removed[block] = None
            self._added.pop(block, None)
