"""The prefix cache of an emulated engine, and the events that it publishes late and with gaps."""

from __future__ import annotations

import collections
import random
import threading

from yokedock.base.clock import boot_time_s
from yokedock.connection.engine_protocol import CacheEvents
from yokedock.request.prefix import BLOCK_TOKENS, block_hashes, cached_prefix_blocks

MAX_EVENTS = 4096


class PrefixCache:
    """Keeps the most recently used prompt blocks within a limit."""

    def __init__(self, capacity_tokens: int, event_lag_s: float, gap_share: float) -> None:
        """Set the capacity, and how late and how incomplete the events are."""
        self._capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self._event_lag_s = event_lag_s
        self._gap_share = gap_share
        self._random = random.Random(7)
        self._lock = threading.Lock()
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._events: collections.deque[tuple[int, float, int, bool]] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self._next_event = 1

    def cached_tokens(self, prompt: str) -> int:
        """Return how many leading tokens of the prompt are cached, and mark them as used."""
        with self._lock:
            hashes = block_hashes(prompt)
            count = cached_prefix_blocks(hashes, self._blocks.__contains__)
            for block in hashes[:count]:
                self._blocks.move_to_end(block)
            return count * BLOCK_TOKENS

    def insert(self, prompt: str) -> None:
        """Cache the prompt's blocks and evict what was used longest ago."""
        with self._lock:
            for block in block_hashes(prompt):
                if block not in self._blocks:
                    self._event(block, True)
                self._blocks[block] = None
                self._blocks.move_to_end(block)
            while len(self._blocks) > self._capacity_blocks:
                evicted, _ = self._blocks.popitem(last=False)
                self._event(evicted, False)

    def events_after(self, after: int) -> CacheEvents:
        """Return the published events with a number above ``after``."""
        visible_until = boot_time_s() - self._event_lag_s
        with self._lock:
            found = [e for e in self._events if e[0] > after and e[1] <= visible_until]
        if not found:
            return CacheEvents(after, (), (), True)
        cached = tuple(block for _, _, block, is_cached in found if is_cached)
        evicted = tuple(block for _, _, block, is_cached in found if not is_cached)
        complete = after == 0 or found[0][0] == after + 1
        return CacheEvents(found[-1][0], cached, evicted, complete)

    def _event(self, block: int, is_cached: bool) -> None:
        number = self._next_event
        self._next_event += 1
        if self._random.random() >= self._gap_share:
            self._events.append((number, boot_time_s(), block, is_cached))
