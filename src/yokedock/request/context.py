"""What is known of one caller's request: one typed object that goes through all its steps."""

from __future__ import annotations

import dataclasses
import threading
from concurrent.futures import Future
from typing import Any

from yokedock.base.clock import left_ms, left_s
from yokedock.connection.peer_types import settle
from yokedock.errors import DeadlineExceeded, PeerTimeout, YokedockError
from yokedock.version.bundle import RequestClass


@dataclasses.dataclass(frozen=True)
class CallerIdentity:
    """Who asks, in which class."""

    tenant: str
    class_name: str
    request_class: RequestClass


class RequestContext:
    """One request from its arrival to its final answer.

    Times are seconds of boot time. ``cancel`` may be called from any thread: it ends whatever the
    request's own thread waits for.
    """

    def __init__(
        self, request_id: str, caller: CallerIdentity, arrived_s: float, deadline_s: float
    ) -> None:
        """Start at arrival."""
        self.request_id = request_id
        self.caller = caller
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self.attempts = 0
        self.may_have_run = False
        """Whether an engine may have worked for the request: "not run" must not be told then."""
        self.ended: YokedockError | None = None
        self._lock = threading.Lock()
        self._waiting_for: Future[Any] | None = None

    @property
    def priority(self) -> int:
        """Return the priority of the request's class."""
        return self.caller.request_class.priority

    def next_attempt(self) -> str:
        """Return the id of a new attempt."""
        self.attempts += 1
        return f"{self.request_id}.{self.attempts}"

    def left_ms(self) -> int:
        """Return the milliseconds until the deadline."""
        return left_ms(self.deadline_s)

    def cancel(self, error: YokedockError) -> None:
        """End the request with ``error``: only the first such error counts."""
        with self._lock:
            if self.ended is not None:
                return
            self.ended = error
            waiting = self._waiting_for
        if waiting is not None:
            settle(waiting, error=error)

    def check(self) -> None:
        """Raise if the request was cancelled or its deadline has passed."""
        if self.ended is not None:
            raise self.ended
        if left_s(self.deadline_s) <= 0:
            raise DeadlineExceeded("the deadline passed; allow more time or retry later")

    def wait(self, future: Future[Any], timeout_s: float) -> Any:
        """Return the future's result; raises its error, ``PeerTimeout``, or why the request ended.

        A timeout settles the future, so a late reply goes nowhere.
        """
        with self._lock:
            if self.ended is not None:
                raise self.ended
            self._waiting_for = future
        try:
            return future.result(min(timeout_s, left_s(self.deadline_s)))
        except TimeoutError:
            settle(future, error=PeerTimeout("nobody waits for this reply any more"))
            self.check()
            message = "a peer did not reply in time; look at its logs"
            raise PeerTimeout(message, 1.0) from None
        finally:
            with self._lock:
                self._waiting_for = None
