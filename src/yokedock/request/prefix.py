"""Hashes of prompt prefixes, in the form that engines publish in their cache events.

A prompt is split into blocks of ``BLOCK_BYTES``. The hash of a block covers the prompt from its
start to the end of the block, so equal hashes mean equal prefixes.
"""

from __future__ import annotations

from collections.abc import Callable

import xxhash

BYTES_PER_TOKEN = 4
"""Estimate for prompts that have not been tokenized."""
BLOCK_TOKENS = 64
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN


def block_hashes(prompt: str) -> list[int]:
    """Return the hashes of all complete blocks of the prompt, shortest prefix first."""
    data = prompt.encode()
    state = xxhash.xxh64()
    hashes = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        state.update(data[start : start + BLOCK_BYTES])
        hashes.append(state.intdigest())
    return hashes


def cached_prefix_blocks(hashes: list[int], is_cached: Callable[[int], bool]) -> int:
    """Return the number of consecutive cached blocks at the start of the prompt."""
    for position, block in enumerate(hashes):
        if not is_cached(block):
            return position
    return len(hashes)


def estimate_tokens(prompt: str) -> int:
    """Return the estimated number of tokens of a prompt."""
    return max(1, len(prompt.encode()) // BYTES_PER_TOKEN)
