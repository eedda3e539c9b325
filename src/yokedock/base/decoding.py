"""What decoders raise for bytes from outside."""

from __future__ import annotations

from typing import Final

import msgspec

DECODING_ERRORS: Final = (msgspec.MsgspecError, RecursionError)
"""``RecursionError`` is raised for deep nesting, also in members that would be ignored."""
