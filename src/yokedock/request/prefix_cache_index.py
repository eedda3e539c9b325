"""Prompt blocks that an engine is assumed to have cached; a hint that may be out of date.

It is built from the engine's cache events and the agent's own prefills. Every change is numbered,
and each gateway receives the changes after the last number sent to it.
"""

from __future__ import annotations

import collections
import dataclasses
import threading

MAX_KNOWN_BLOCKS = 100_000
MAX_CHANGES = 4096


@dataclasses.dataclass(frozen=True)
class BlockChange:
    """A block that was added to or evicted from the cache."""

    number: int
    block: int
    is_cached: bool


@dataclasses.dataclass(frozen=True)
class BlockChanges:
    """Changes after a given number; ``is_complete`` is false if older ones are no longer stored."""

    last_number: int
    cached: tuple[int, ...]
    evicted: tuple[int, ...]
    is_complete: bool


class PrefixCacheIndex:
    """The assumed blocks and their recent changes. Thread-safe."""

    def __init__(self) -> None:
        """Initialize without blocks."""
        self._lock = threading.Lock()
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._changes: collections.deque[BlockChange] = collections.deque(maxlen=MAX_CHANGES)
        self._last_number = 0

    def learn(self, blocks: tuple[int, ...] | list[int]) -> None:
        """Mark blocks as cached."""
        with self._lock:
            for block in blocks:
                if block not in self._blocks:
                    self._change(block, True)
                self._blocks[block] = None
                self._blocks.move_to_end(block)
            while len(self._blocks) > MAX_KNOWN_BLOCKS:
                evicted, _ = self._blocks.popitem(last=False)
                self._change(evicted, False)

    def forget(self, blocks: tuple[int, ...]) -> None:
        """Mark blocks as evicted."""
        with self._lock:
            for block in blocks:
                if block in self._blocks:
                    del self._blocks[block]
                    self._change(block, False)

    def forget_all(self) -> None:
        """Discard all blocks and changes, because cache events were lost."""
        with self._lock:
            self._blocks.clear()
            self._changes.clear()
            self._last_number += 1

    def is_cached(self, block: int) -> bool:
        """Return whether the block is assumed to be cached."""
        return block in self._blocks

    def changes_after(self, number: int, most: int) -> BlockChanges:
        """Return up to ``most`` changes after ``number``, reduced to the latest state per block."""
        with self._lock:
            oldest = self._changes[0].number if self._changes else self._last_number + 1
            is_complete = number + 1 >= oldest
            found = [change for change in self._changes if change.number > number][:most]
            last_number = found[-1].number if found else self._last_number
        latest = {change.block: change.is_cached for change in found}
        return BlockChanges(
            last_number,
            tuple(block for block, is_cached in latest.items() if is_cached),
            tuple(block for block, is_cached in latest.items() if not is_cached),
            is_complete,
        )

    def _change(self, block: int, is_cached: bool) -> None:
        self._last_number += 1
        self._changes.append(BlockChange(self._last_number, block, is_cached))
