"""Predicts when a prefill would finish, so that one that cannot finish in time is never started."""

from __future__ import annotations

import collections
import dataclasses
import threading
import time

from yokedock.errors import NoPrefillRoom
from yokedock.request.prefix import (
    BLOCK_TOKENS,
    block_hashes,
    cached_prefix_blocks,
    estimate_tokens,
)

MAX_KNOWN_BLOCKS = 100_000
MIN_RETRY_AFTER_S = 0.1


@dataclasses.dataclass
class QueuedPrefill:
    """One prefill that was ordered and has not finished."""

    uncached_tokens: int
    priority: int
    started_s: float


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


class PrefillQueue:
    """What is queued at the engine, by this agent's own record."""

    def __init__(self, tokens_per_s: float, known: KnownBlocks) -> None:
        """Set the engine's prefill speed."""
        self.tokens_per_s = tokens_per_s
        self._known = known
        self._lock = threading.Lock()
        self._jobs: dict[str, QueuedPrefill] = {}

    def uncached_tokens(self, prompt: str) -> int:
        """Return the tokens of the prompt that the engine would have to compute."""
        cached = cached_prefix_blocks(block_hashes(prompt), self._known.is_cached)
        return max(1, estimate_tokens(prompt) - cached * BLOCK_TOKENS)

    def enter(self, attempt: str, prompt: str, priority: int, finish_by_s: float) -> None:
        """Note a prefill that is about to be ordered; raises ``NoPrefillRoom``."""
        uncached = self.uncached_tokens(prompt)
        now = time.monotonic()
        with self._lock:
            wait_s = self._wait_s(now, priority)
            finish_s = now + wait_s + uncached / self.tokens_per_s
            if finish_s > finish_by_s:
                message = "the prefill cannot finish in time, so it was not started; retry later"
                raise NoPrefillRoom(message, max(MIN_RETRY_AFTER_S, finish_s - finish_by_s))
            self._jobs[attempt] = QueuedPrefill(uncached, priority, now)

    def leave(self, attempt: str) -> None:
        """Note that a prefill ended, in whatever way."""
        with self._lock:
            self._jobs.pop(attempt, None)
            first = min(self._jobs.values(), key=lambda job: job.started_s, default=None)
            if first is not None:
                first.started_s = time.monotonic()

    def queued_tokens(self) -> int:
        """Return the uncached tokens that are queued."""
        with self._lock:
            return sum(job.uncached_tokens for job in self._jobs.values())

    def _wait_s(self, now: float, priority: int) -> float:
        """Return the time until everything that goes before a new job has ended."""
        ahead = [job for job in self._jobs.values() if job.priority >= priority]
        total = sum(job.uncached_tokens for job in ahead) / self.tokens_per_s
        if not self._jobs:
            return 0.0
        running = min(self._jobs.values(), key=lambda job: job.started_s)
        if running not in ahead:
            total += running.uncached_tokens / self.tokens_per_s
        elapsed = min(now - running.started_s, running.uncached_tokens / self.tokens_per_s)
        return max(0.0, total - elapsed)
