"""The emulated model: the next token is a function of all text before it.

So a crossed, cut or repeated answer shows, and a continuation from prompt plus tokens on another
engine yields the same text.
"""

from __future__ import annotations

import xxhash

from yokedock.request.prefix import BYTES_PER_TOKEN

_SYLLABLES = tuple(first + second for first in "bdfgklmnprst" for second in "aeiou")


class TokenSource:
    """Generates the tokens that follow a text."""

    def __init__(self, text: str) -> None:
        """Start after ``text``."""
        self._state = xxhash.xxh64(text.encode())

    def next_token(self) -> str:
        """Return the next token and move past it."""
        value = self._state.intdigest()
        count = len(_SYLLABLES)
        token = f" {_SYLLABLES[value % count]}{_SYLLABLES[value // count % count]}"
        self._state.update(token.encode())
        return token


def expected_text(prompt: str, tokens: int) -> str:
    """Return the text that any engine must generate after ``prompt``."""
    source = TokenSource(prompt)
    return "".join(source.next_token() for _ in range(tokens))


def count_tokens(text: str) -> int:
    """Return the number of tokens of a prompt."""
    return max(1, len(text) // BYTES_PER_TOKEN)
