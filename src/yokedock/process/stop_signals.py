"""Waits for the signals that stop a process.

Python runs a signal handler in the main thread between two byte codes, wherever that thread is. A
handler that needs a lock, such as that of a semaphore, an event or a logger, waits forever if the
interrupted code holds it. The handlers here do nothing: the interpreter itself writes the number of
each signal to a socket, from which the main thread reads it.
"""

from __future__ import annotations

import contextlib
import selectors
import signal
import socket
from types import FrameType

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})


class StopSignals:
    """Receives SIGTERM and SIGINT from its construction on; each is returned once, in order."""

    def __init__(self) -> None:
        """Replace the signals' default actions. Must be called in the main thread."""
        self._received, self._written = socket.socketpair()
        self._received.setblocking(False)
        self._written.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._received, selectors.EVENT_READ)
        signal.set_wakeup_fd(self._written.fileno(), warn_on_full_buffer=False)
        for number in STOP_SIGNALS:
            signal.signal(number, _do_nothing)

    def wait_for_stop(self) -> signal.Signals:
        """Wait without a time limit for the next signal and return it."""
        while (received := self.wait()) is None:
            pass
        return received

    def wait(self, timeout_s: float | None = None) -> signal.Signals | None:
        """Wait for the next signal and return it, or None after ``timeout_s`` without one."""
        self._selector.select(timeout_s)
        with contextlib.suppress(BlockingIOError):
            number = self._received.recv(1)[0]
            if number in STOP_SIGNALS:
                return signal.Signals(number)
        return None


def _do_nothing(number: int, frame: FrameType | None) -> None:
    """Replace the default action, which would end the process at once."""
