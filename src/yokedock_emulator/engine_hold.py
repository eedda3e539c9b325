"""Holds requests at a step of an emulated engine, so that a test reaches it without sleeping."""

from __future__ import annotations

import threading
import time
from collections.abc import Container

from yokedock_emulator.engine_state import RunningStream

HOLD_POLL_S = 0.005
HOLD_PREFILLING = "prefilling"
HOLD_PREFILLED = "prefilled"
HOLD_TRANSFERRING = "transferring"
HOLD_FIRST_TOKEN = "first-token"
HOLD_DECODING = "decoding"
HOLD_RELEASING = "releasing"
TOKENS_BEFORE_DECODING_HOLD = 5


class StepHold:
    """The step at which requests are held now, if any."""

    def __init__(self) -> None:
        """Start without a hold."""
        self._step = ""

    def hold_at(self, step: str) -> None:
        """Hold every request at ``step``; the empty step lets all go on."""
        self._step = step

    def wait(self, step: str, wanted: threading.Event | None = None) -> None:
        """Wait while ``step`` is held and the request is still wanted."""
        while self._step == step and (wanted is None or wanted.is_set()):
            time.sleep(HOLD_POLL_S)

    def wait_streams(self, running: list[RunningStream], known: Container[str]) -> None:
        """Wait while one of the running streams stands at the held step and is still known."""
        least = {HOLD_FIRST_TOKEN: 1, HOLD_DECODING: TOKENS_BEFORE_DECODING_HOLD}
        while (tokens := least.get(self._step)) is not None:
            if not any(tokens <= len(s.tokens) for s in running if not s.finish):
                return
            if not any(s.order.request in known for s in running):
                return
            time.sleep(HOLD_POLL_S)
