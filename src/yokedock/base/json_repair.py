"""Makes JSON documents decodable in which one part would have them refused as a whole.

Takes time in proportion to the length of the document, whatever it contains.
"""

from __future__ import annotations

import re

_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?|[\[\]{}]', re.DOTALL)
"""A string, also one without an end, or a bracket."""
_ESCAPE = re.compile(
    rb"\\u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}"
    rb"|(?P<lone>\\u[dD][89a-fA-F][0-9a-fA-F]{2})|\\.",
    re.DOTALL,
)
_OPENING = b"[{"
_INVALID_UTF8 = b"\xff"


def repair(document: bytes, max_depth: int) -> bytes:
    """Return ``document`` with each array or object deeper than ``max_depth`` replaced by null.

    Each string with half of a surrogate pair becomes one that is not UTF-8: only its own decoding
    fails, not that of the whole document.
    """
    return _limit_nesting(_ESCAPE.sub(_mark_lone_surrogate, document), max_depth)


def _mark_lone_surrogate(escape: re.Match[bytes]) -> bytes:
    return escape[0] if escape["lone"] is None else _INVALID_UTF8


def _limit_nesting(document: bytes, max_depth: int) -> bytes:
    kept: list[bytes] = []
    begin = depth = 0
    for token in _TOKEN.finditer(document):
        first = document[token.start()]
        if first == ord('"'):
            continue
        if first in _OPENING:
            depth += 1
            if depth == max_depth + 1:
                kept += [document[begin : token.start()], b"null"]
        else:
            if depth == max_depth + 1:
                begin = token.end()
            depth -= 1
    if depth <= max_depth:
        kept.append(document[begin:])
    return b"".join(kept)
