"""Ends requests whose caller disconnected, whose deadline passed or whose stream stalled.

A single thread checks all requests of a gateway, since one thread per request would spend its time
on wake-ups.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from yokedock.base.clock import boot_time_s
from yokedock.base.logs import logger
from yokedock.connection.http_server import HttpRequest
from yokedock.errors import AttemptLost, ClientClosedConnection, DeadlineExceeded
from yokedock.request.answer_stream import AnswerStream
from yokedock.request.context import RequestContext

_log = logger("watchdog")

CHECK_S = 0.1
STALL_TIMEOUT_S = 2.0
"""A started stream without new tokens for this long is continued on another engine."""


class WatchedRequest:
    """A request in progress, with its stream."""

    def __init__(self, context: RequestContext, request: HttpRequest, stream: AnswerStream) -> None:
        """Initialize with the request to check."""
        self.context = context
        self.request = request
        self.stream = stream

    def check(self, now: float) -> None:
        """End the request if its caller disconnected, its deadline passed or its stream stalled."""
        if self.request.client_disconnected():
            self._end(ClientClosedConnection("the caller closed its connection"))
        elif now >= self.context.deadline_s:
            message = "the deadline passed before the response was complete; allow more time"
            self._end(DeadlineExceeded(message))
        elif self.stream.is_running and now - self.stream.last_progress_s > STALL_TIMEOUT_S:
            self.stream.lost(AttemptLost(f"no tokens on the stream for {STALL_TIMEOUT_S} s"))

    def _end(self, error: ClientClosedConnection | DeadlineExceeded) -> None:
        self.context.cancel(error)
        self.stream.cancel(error)


class Watchdog(threading.Thread):
    """Thread that checks all requests of a gateway."""

    def __init__(self) -> None:
        """Initialize the thread without starting it."""
        super().__init__(name="watchdog", daemon=True)
        self._watched: dict[int, WatchedRequest] = {}
        self._stopping = threading.Event()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping.set()

    @contextmanager
    def watching(
        self, context: RequestContext, request: HttpRequest, stream: AnswerStream
    ) -> Iterator[None]:
        """Check a request periodically while the ``with`` block runs."""
        watched = WatchedRequest(context, request, stream)
        self._watched[id(watched)] = watched
        try:
            yield
        finally:
            del self._watched[id(watched)]

    def run(self) -> None:
        """Check all requests every ``CHECK_S`` seconds until the thread is stopped."""
        while not self._stopping.wait(CHECK_S):
            now = boot_time_s()
            for watched in list(self._watched.values()):
                try:
                    watched.check(now)
                except Exception:
                    _log.exception("request check failed", request=watched.context.request_id)
