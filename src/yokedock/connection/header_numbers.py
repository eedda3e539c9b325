"""Parses numbers in the headers of requests and responses.

Only ASCII digits are accepted. What ``int`` and ``float`` accept beyond that (``inf``, ``1_0``,
digits of other scripts, numbers that overflow to infinity) is unlikely to be what the sender meant.
"""

from __future__ import annotations

import math
import re

MAX_DIGITS = 18
"""Any integer with this many digits is below 2**63."""
_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]+)?")
_INTEGER = re.compile(f"[0-9]{{1,{MAX_DIGITS}}}")


def parse_decimal(text: str) -> float | None:
    """Return a finite, non-negative number; None if ``text`` is not one."""
    text = text.strip()
    if _DECIMAL.fullmatch(text) is None:
        return None
    number = float(text)
    return number if math.isfinite(number) else None


def parse_integer(text: str) -> int | None:
    """Return a non-negative integer; None if ``text`` is not one."""
    text = text.strip()
    return int(text) if _INTEGER.fullmatch(text) is not None else None
