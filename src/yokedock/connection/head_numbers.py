"""Numbers in the heads of requests and answers, all read by the same rules.

Only ASCII digits count: what the language's own conversions take besides (``inf``, ``1_0``, digits
of other scripts, numbers too large to be finite) was hardly meant by whoever wrote it.
"""

from __future__ import annotations

import math
import re

MAX_DIGITS = 18
"""Whole numbers are below 2**63."""
_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]+)?")
_WHOLE = re.compile(f"[0-9]{{1,{MAX_DIGITS}}}")


def decimal_number(text: str) -> float | None:
    """Return a finite number that is not negative, None if ``text`` is none."""
    text = text.strip()
    if _DECIMAL.fullmatch(text) is None:
        return None
    number = float(text)
    return number if math.isfinite(number) else None


def whole_number(text: str) -> int | None:
    """Return a whole number that is not negative, None if ``text`` is none."""
    text = text.strip()
    return int(text) if _WHOLE.fullmatch(text) is not None else None
