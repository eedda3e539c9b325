"""The stream of one answer: puts the parts of all attempts into one unbroken sequence.

The peer's task calls ``offer`` for each part and writes to the caller there and then; the request's
own thread only waits for the end. Tokens that came twice are dropped, a gap stops the attempt.
"""

from __future__ import annotations

import abc
import threading

from yokedock.base.clock import boot_time_s
from yokedock.errors import AttemptLost, CallerGone, StreamGap, YokedockError
from yokedock.messages import StreamTokens


class AnswerWriter(abc.ABC):
    """Passes an answer on to its caller in the caller's format."""

    @abc.abstractmethod
    def write_tokens(self, tokens: tuple[str, ...], finish: str) -> None:
        """Pass on new tokens; raises ``CallerGone`` when the caller has left."""

    @abc.abstractmethod
    def write_error(self, error: YokedockError) -> None:
        """Pass on a typed error as the final event."""


class StreamClock:
    """The times of one answer, for the latency histograms."""

    def __init__(self) -> None:
        """Start with no token."""
        self.first_s: float | None = None
        self.last_s = 0.0
        self.gaps: list[tuple[float, int]] = []

    def arrived(self, count: int) -> None:
        """Note that ``count`` tokens arrived now; tokens that come joined share the gap."""
        now = boot_time_s()
        if self.first_s is None:
            self.first_s = self.last_s = now
            count -= 1
        if count > 0:
            self.gaps.append(((now - self.last_s) / count, count))
        self.last_s = now


class AnswerStream:
    """One caller's answer over all its attempts."""

    def __init__(self, writer: AnswerWriter, max_tokens: int) -> None:
        """Write to ``writer``; the answer ends after ``max_tokens``."""
        self._writer = writer
        self._max_tokens = max_tokens
        self._condition = threading.Condition()
        self._attempt = ""
        self._attempt_tokens = 0
        self._error: YokedockError | None = None
        self._ahead: list[StreamTokens] | None = None
        """Parts that came behind a gap which a resume is to fill; None while none is under way."""
        self.tokens: list[str] = []
        self.finish = ""
        self.clock = StreamClock()
        self.last_progress_s = boot_time_s()

    def begin_attempt(self, attempt: str) -> None:
        """Listen to this attempt from now on, and to no earlier one."""
        with self._condition:
            self._attempt = attempt
            self._attempt_tokens = 0
            self._error = None
            self._ahead = None
            self.last_progress_s = boot_time_s()

    @property
    def is_running(self) -> bool:
        """Return whether the present attempt has brought tokens and should bring more."""
        return self._attempt_tokens > 0 and not self.finish and self._error is None

    def text(self) -> str:
        """Return all tokens passed on so far."""
        return "".join(self.tokens)

    def tokens_left(self) -> int:
        """Return how many tokens are still to come at most."""
        return self._max_tokens - len(self.tokens)

    # --- StreamSink: called from the peer's task ---

    def offer(self, part: StreamTokens) -> None:
        """Take the next tokens of the present attempt."""
        with self._condition:
            self._take(part)

    def _take(self, part: StreamTokens) -> None:
        if part.attempt != self._attempt or self.finish or self._error is not None:
            return
        have = len(self.tokens)
        if part.sequence > have:
            self._note_gap(part)
            return
        fresh = part.tokens[have - part.sequence :]
        finish = part.finish if part.finish in ("stop", "length") else ""
        if fresh or finish:
            self._pass_on(fresh, finish)
        if part.finish and not finish and self._error is None:
            self._stop(AttemptLost(f"the stream ended with {part.finish}"))

    def _note_gap(self, part: StreamTokens) -> None:
        """Keep a part that a resume will reach, or ask for one.

        The agent goes on sending while it answers a resume: where a step is quicker than the link,
        each answer would come behind a newer part, and the stream would bring nothing more.
        """
        if self._ahead is not None:
            self._ahead.append(part)
        else:
            self._stop(StreamGap("tokens are missing in the stream; it is resumed"))

    def lost(self, error: YokedockError) -> None:
        """The link or the agent lost the stream."""
        with self._condition:
            if not self.finish and self._error is None:
                self._stop(error)

    def cancel(self, error: YokedockError) -> None:
        """End the wait of the request's thread with ``error``."""
        with self._condition:
            if not self.finish:
                self._stop(error)

    # --- The request's thread ---

    def wait_end(self) -> None:
        """Wait until the answer is whole; raises what stopped the attempt."""
        with self._condition:
            while not self.finish and self._error is None:
                self._condition.wait()
            if self._error is not None and not self.finish:
                raise self._error

    def begin_resume(self) -> None:
        """Listen again to the same attempt after a loss; what it lacks is asked for."""
        with self._condition:
            self._error = None
            self._ahead = []
            self.last_progress_s = boot_time_s()

    def end_resume(self, parts: tuple[StreamTokens, ...]) -> None:
        """Take what was lacking, then what came meanwhile."""
        with self._condition:
            ahead, self._ahead = self._ahead or [], None
            for part in (*parts, *ahead):
                self._take(part)

    def _pass_on(self, tokens: tuple[str, ...], finish: str) -> None:
        self.tokens.extend(tokens)
        self._attempt_tokens += len(tokens)
        self.last_progress_s = boot_time_s()
        if tokens:
            self.clock.arrived(len(tokens))
        try:
            self._writer.write_tokens(tokens, finish)
        except CallerGone as error:
            self._stop(error)
            return
        if finish:
            self.finish = finish
            self._condition.notify_all()

    def _stop(self, error: YokedockError) -> None:
        self._error = error
        self._condition.notify_all()
