"""Token stream of one response: merges the parts of all attempts into one gapless sequence.

The peer's task calls ``offer`` for each part and writes to the caller directly; the request's own
thread only waits for the end. Duplicate tokens are dropped; a gap stops the attempt.
"""

from __future__ import annotations

import abc
import threading

from yokedock.base.clock import boot_time_s
from yokedock.errors import AttemptLost, ClientClosedConnection, StreamGap, YokedockError
from yokedock.messages import StreamTokens


class ResponseWriter(abc.ABC):
    """Writes a response to the caller in the caller's format."""

    @abc.abstractmethod
    def write_tokens(self, tokens: tuple[str, ...], finish: str) -> None:
        """Write new tokens; raises ``ClientClosedConnection`` if the caller has disconnected."""

    @abc.abstractmethod
    def write_error(self, error: YokedockError) -> None:
        """Write a typed error as the final event."""


class TokenTimings:
    """Token timings of one response for the latency histograms."""

    def __init__(self) -> None:
        """Initialize without tokens."""
        self.first_s: float | None = None
        self.last_s = 0.0
        self.gaps: list[tuple[float, int]] = []

    def arrived(self, count: int) -> None:
        """Record ``count`` tokens arriving now; joint arrivals share the gap equally."""
        now = boot_time_s()
        if self.first_s is None:
            self.first_s = self.last_s = now
            count -= 1
        if count > 0:
            self.gaps.append(((now - self.last_s) / count, count))
        self.last_s = now


class AnswerStream:
    """One caller's response across all its attempts."""

    def __init__(self, writer: ResponseWriter, max_tokens: int) -> None:
        """Initialize an empty response of at most ``max_tokens``, written to ``writer``."""
        self._writer = writer
        self._max_tokens = max_tokens
        self._condition = threading.Condition()
        self._attempt = ""
        self._attempt_tokens = 0
        self._error: YokedockError | None = None
        self._ahead: list[StreamTokens] | None = None
        """Parts after a gap that a pending resume will fill; None if no resume is pending."""
        self.tokens: list[str] = []
        self.finish = ""
        self.clock = TokenTimings()
        self.last_progress_s = boot_time_s()

    def begin_attempt(self, attempt: str) -> None:
        """Accept parts of this attempt from now on, and ignore those of earlier attempts."""
        with self._condition:
            self._attempt = attempt
            self._attempt_tokens = 0
            self._error = None
            self._ahead = None
            self.last_progress_s = boot_time_s()

    @property
    def is_running(self) -> bool:
        """Return whether the current attempt has delivered tokens and more are expected."""
        return self._attempt_tokens > 0 and not self.finish and self._error is None

    def text(self) -> str:
        """Return the text of all tokens written so far."""
        return "".join(self.tokens)

    def tokens_left(self) -> int:
        """Return the maximum number of tokens still to come."""
        return self._max_tokens - len(self.tokens)

    # --- StreamSink: called from the peer's task ---

    def offer(self, part: StreamTokens) -> None:
        """Process the next tokens of the current attempt."""
        with self._condition:
            self._take(part)

    def _take(self, part: StreamTokens) -> None:
        if part.attempt != self._attempt or self.finish or self._error is not None:
            return
        have = len(self.tokens)
        if part.sequence > have:
            self._handle_gap(part)
            return
        fresh = part.tokens[have - part.sequence :]
        finish = part.finish if part.finish in ("stop", "length") else ""
        if fresh or finish:
            self._forward(fresh, finish)
        if part.finish and not finish and self._error is None:
            self._stop(AttemptLost(f"the stream ended with {part.finish}"))

    def _handle_gap(self, part: StreamTokens) -> None:
        """Buffer a part during a pending resume; otherwise stop with ``StreamGap`` to request one.

        The agent keeps sending while it answers a resume. If decode steps are faster than the link,
        every resume reply arrives after a newer part. Without the buffer, that part would open
        another gap, and the stream would never make progress.
        """
        if self._ahead is not None:
            self._ahead.append(part)
        else:
            self._stop(StreamGap("tokens are missing from the stream; resuming it"))

    def lost(self, error: YokedockError) -> None:
        """Stop the attempt because the link or the agent lost the stream."""
        with self._condition:
            if not self.finish and self._error is None:
                self._stop(error)

    def cancel(self, error: YokedockError) -> None:
        """Make ``wait_end`` in the request's thread raise ``error``."""
        with self._condition:
            if not self.finish:
                self._stop(error)

    # --- The request's thread ---

    def wait_end(self) -> None:
        """Wait until the response is complete; raises the error that stopped the attempt."""
        with self._condition:
            while not self.finish and self._error is None:
                self._condition.wait()
            if self._error is not None and not self.finish:
                raise self._error

    def begin_resume(self) -> None:
        """Accept parts of the same attempt again while its missing tokens are requested."""
        with self._condition:
            self._error = None
            self._ahead = []
            self.last_progress_s = boot_time_s()

    def end_resume(self, parts: tuple[StreamTokens, ...]) -> None:
        """Process the missing parts, then those buffered during the resume."""
        with self._condition:
            ahead, self._ahead = self._ahead or [], None
            for part in (*parts, *ahead):
                self._take(part)

    def _forward(self, tokens: tuple[str, ...], finish: str) -> None:
        self.tokens.extend(tokens)
        self._attempt_tokens += len(tokens)
        self.last_progress_s = boot_time_s()
        if tokens:
            self.clock.arrived(len(tokens))
        try:
            self._writer.write_tokens(tokens, finish)
        except ClientClosedConnection as error:
            self._stop(error)
            return
        if finish:
            self.finish = finish
            self._condition.notify_all()

    def _stop(self, error: YokedockError) -> None:
        self._error = error
        self._condition.notify_all()
