"""Context of one caller's request, passed through all steps of its processing."""

from __future__ import annotations

import dataclasses
import threading
from concurrent.futures import Future
from typing import Any

from yokedock.base.clock import remaining_ms, remaining_s
from yokedock.connection.peer_types import settle
from yokedock.errors import DeadlineExceeded, PeerTimeout, YokedockError
from yokedock.version.bundle import RequestClass


@dataclasses.dataclass(frozen=True)
class CallerIdentity:
    """Tenant and request class of a caller."""

    tenant: str
    class_name: str
    request_class: RequestClass


class RequestContext:
    """One request from its arrival to its final answer.

    Times are seconds of boot time. ``cancel`` may be called from any thread and interrupts a
    ``wait`` of the request's own thread.
    """

    def __init__(
        self, request_id: str, caller: CallerIdentity, arrived_s: float, deadline_s: float
    ) -> None:
        """``arrived_s`` is the arrival, ``deadline_s`` when the request times out."""
        self.request_id = request_id
        self.caller = caller
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self.attempts = 0
        self.may_have_run = False
        """Whether an engine may have run the request; if so, no error may report "not run"."""
        self.ended: YokedockError | None = None
        self._lock = threading.Lock()
        self._pending_future: Future[Any] | None = None

    @property
    def priority(self) -> int:
        """Return the priority of the request's class."""
        return self.caller.request_class.priority

    def new_attempt_id(self) -> str:
        """Count a new attempt and return its id."""
        self.attempts += 1
        return f"{self.request_id}.{self.attempts}"

    def remaining_ms(self) -> int:
        """Return the time left until the deadline, in milliseconds."""
        return remaining_ms(self.deadline_s)

    def cancel(self, error: YokedockError) -> None:
        """End the request with ``error``; later calls have no effect."""
        with self._lock:
            if self.ended is not None:
                return
            self.ended = error
            waiting = self._pending_future
        if waiting is not None:
            settle(waiting, error=error)

    def check(self) -> None:
        """Raise if the request was cancelled or its deadline has passed."""
        if self.ended is not None:
            raise self.ended
        if remaining_s(self.deadline_s) <= 0:
            raise DeadlineExceeded("the deadline passed; allow more time or retry later")

    def wait(self, future: Future[Any], timeout_s: float) -> Any:
        """Return the result of the future.

        Raises the future's error, ``PeerTimeout``, or the error that ended the request. A time-out
        settles the future, so that a late reply is dropped.
        """
        with self._lock:
            if self.ended is not None:
                raise self.ended
            self._pending_future = future
        try:
            return future.result(min(timeout_s, remaining_s(self.deadline_s)))
        except TimeoutError:
            settle(future, error=PeerTimeout("the wait for this reply timed out"))
            self.check()
            message = "a peer did not reply in time; check its logs"
            raise PeerTimeout(message, 1.0) from None
        finally:
            with self._lock:
                self._pending_future = None
