"""Logs prefills whose result was not used, with the reason."""

from __future__ import annotations

import msgspec

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger

_log = logger("prompt")


class PrefillTracker(msgspec.Struct, eq=False):
    """Tracks the prefills of one request's prompt; only the latest can have been of use."""

    request: str
    engine: str = ""
    """The engine of the latest prefill, empty if there was none."""
    tokens: int = 0
    loss: str = "no answer followed"
    """The reason to log if the latest prefill is wasted, as far as known."""
    begun_s: float = 0.0
    read_s: float = 0.0

    def begin(self, engine: str, tokens: int) -> None:
        """Record the start of a prefill of ``tokens`` on ``engine``; a previous one is wasted."""
        self.end(is_whole=False)
        self.engine, self.tokens = engine, tokens
        self.begun_s, self.read_s = boot_time_s(), 0.0
        self.loss = "no answer followed"

    def read(self) -> None:
        """Record that the prefill completed: the engine reported it or started to answer."""
        self.read_s = self.read_s or boot_time_s()

    def lost(self, stage: str, reason: str) -> None:
        """Record the failure of the attempt that uses the latest prefill."""
        self.loss = f"{stage}: {reason}"

    def end(self, is_whole: bool) -> None:
        """Log the latest prefill as wasted unless its answer was completed."""
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
