"""Tells in the logs which prompts were read for nothing, and why."""

from __future__ import annotations

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger

_log = logger("prompt")


class PromptReads(msgspec.Struct, eq=False):
    """The readings of one request's prompt; only the last of them can have been of use."""

    request: str
    engine: str = ""
    """Where it was read last, empty if nowhere."""
    tokens: int = 0
    loss: str = "no answer followed"
    """Why the last reading would be lost, as far as it is known."""
    begun_s: float = 0.0
    read_s: float = 0.0

    def begin(self, engine: str, tokens: int) -> None:
        """Note that ``engine`` is asked to read ``tokens``; what was read before is lost."""
        self.end(is_whole=False)
        self.engine, self.tokens = engine, tokens
        self.begun_s, self.read_s = boot_time_s(), 0.0
        self.loss = "no answer followed"

    def read(self) -> None:
        """Note that the engine has read the prompt: it has said so, or its answer has begun."""
        self.read_s = self.read_s or boot_time_s()

    def lost(self, stage: str, reason: str) -> None:
        """Note what went wrong with the attempt that uses the last reading."""
        self.loss = f"{stage}: {reason}"

    def end(self, is_whole: bool) -> None:
        """Log the last reading unless the answer made from it came out whole."""
        if self.engine and not is_whole:
            _log.info(
                "read for nothing",
                request=self.request,
                engine=self.engine,
                tokens=self.tokens,
                reason=self.loss,
                begun_ms_ago=_ms_since(self.begun_s),
                read_ms_ago=_ms_since(self.read_s) if self.read_s else None,
            )
        self.engine = ""


def _ms_since(then_s: float) -> int:
    return round((boot_time_s() - then_s) * 1000)
