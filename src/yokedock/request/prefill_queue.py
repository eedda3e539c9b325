"""Orders the prefills of one engine by deadline, and refuses those that could not finish in time.

A prefill is accepted only if it, and every one accepted before it, is predicted to finish by its
deadline when they run in the order of their deadlines. So a refusal comes at once, nothing that was
accepted is overtaken into lateness, and no prefill is started whose result would come too late.
"""

from __future__ import annotations

import dataclasses
import threading

from yokedock.base.clock import boot_time_s
from yokedock.errors import AttemptLost, NoPrefillRoom
from yokedock.request.known_blocks import KnownBlocks
from yokedock.request.prefix import (
    BLOCK_TOKENS,
    block_hashes,
    cached_prefix_blocks,
    estimate_tokens,
)

ENGINE_DEPTH = 2
"""Prefills at the engine at one time: one runs, one may wait there, so the engine never idles."""
ENGINE_BACKLOG_S = 0.03
"""The next prefill is ordered this long before the engine is predicted to be through.

What is at the engine cannot be overtaken, so an urgent short prompt would wait for it.
"""
MIN_RETRY_AFTER_S = 0.1
LATE_TOLERANCE_S = 0.05
"""A prefill whose turn comes this much too late is refused instead of started."""


@dataclasses.dataclass
class QueuedPrefill:
    """One accepted prefill; times are seconds of boot time."""

    attempt: str
    service_s: float
    finish_by_s: float
    ordered_s: float | None = None
    is_cancelled: bool = False


class PrefillQueue:
    """The accepted prefills of one engine. Safe for use by several threads."""

    def __init__(self, tokens_per_s: float, known: KnownBlocks) -> None:
        """Set the engine's prefill speed."""
        self.tokens_per_s = tokens_per_s
        self._known = known
        self._changed = threading.Condition()
        self._jobs: dict[str, QueuedPrefill] = {}

    def service_s(self, prompt: str) -> float:
        """Return how long the engine would compute what it does not cache of the prompt."""
        cached = cached_prefix_blocks(block_hashes(prompt), self._known.is_cached)
        return max(1, estimate_tokens(prompt) - cached * BLOCK_TOKENS) / self.tokens_per_s

    def enter(self, attempt: str, service_s: float, finish_by_s: float) -> None:
        """Accept a prefill, or raise ``NoPrefillRoom`` with the time until there may be room."""
        now = boot_time_s()
        job = QueuedPrefill(attempt, service_s, finish_by_s)
        with self._changed:
            before = self._finish_times(now, list(self._jobs.values()))
            after = self._finish_times(now, [*self._jobs.values(), job])
            for name, finish_s in after.items():
                limit_s = finish_by_s if name == attempt else self._jobs[name].finish_by_s
                was_late = name in before and before[name] > limit_s
                if finish_s > limit_s and not was_late:
                    message = "the prefill cannot finish in time, so it was not started; retry"
                    raise NoPrefillRoom(message, max(MIN_RETRY_AFTER_S, finish_s - limit_s))
            self._jobs[attempt] = job

    def wait_turn(self, attempt: str) -> None:
        """Wait until the prefill is to be ordered from the engine.

        Raises ``AttemptLost`` when it is cancelled meanwhile, ``NoPrefillRoom`` when its turn comes
        too late for it to be of use.
        """
        with self._changed:
            job = self._jobs[attempt]
            while not job.is_cancelled:
                wait_s = self._turn_in_s(job, boot_time_s())
                if wait_s is not None and wait_s <= 0:
                    break
                self._changed.wait(wait_s)
            if job.is_cancelled:
                raise AttemptLost("the prefill was given up before it was started")
            now = boot_time_s()
            if now + job.service_s > job.finish_by_s + LATE_TOLERANCE_S:
                message = "the prefill's turn came too late, so it was not started; retry"
                raise NoPrefillRoom(message, MIN_RETRY_AFTER_S)
            job.ordered_s = now
            self._changed.notify_all()

    def cancel(self, attempt: str) -> None:
        """Give up a prefill that waits for its turn."""
        with self._changed:
            job = self._jobs.get(attempt)
            if job is not None:
                job.is_cancelled = True
                self._changed.notify_all()

    def leave(self, attempt: str) -> None:
        """Note that a prefill ended, in whatever way."""
        with self._changed:
            self._jobs.pop(attempt, None)
            first = min(self._ordered(), key=lambda job: job.ordered_s or 0.0, default=None)
            if first is not None:
                first.ordered_s = boot_time_s()
            self._changed.notify_all()

    def queued_tokens(self) -> int:
        """Return the uncached tokens that are accepted and not finished."""
        with self._changed:
            return int(sum(job.service_s for job in self._jobs.values()) * self.tokens_per_s)

    def _ordered(self) -> list[QueuedPrefill]:
        return [job for job in self._jobs.values() if job.ordered_s is not None]

    def _turn_in_s(self, job: QueuedPrefill, now: float) -> float | None:
        """Return how long the job must still wait; None while it waits for another to go first."""
        waiting = [j for j in self._jobs.values() if j.ordered_s is None and not j.is_cancelled]
        first = min(waiting, key=lambda j: j.finish_by_s)
        ordered = self._ordered()
        if first is not job or len(ordered) >= ENGINE_DEPTH:
            return None
        times = self._finish_times(now, ordered)
        return max(times.values(), default=now) - now - ENGINE_BACKLOG_S

    def _finish_times(self, now: float, jobs: list[QueuedPrefill]) -> dict[str, float]:
        """Return when each job would finish: those at the engine first, then by deadline."""
        ordered = sorted(
            (j for j in jobs if j.ordered_s is not None), key=lambda j: j.ordered_s or 0
        )
        waiting = sorted((j for j in jobs if j.ordered_s is None), key=lambda j: j.finish_by_s)
        times: dict[str, float] = {}
        at_s = now
        for position, job in enumerate([*ordered, *waiting]):
            service_s = job.service_s
            if position == 0 and job.ordered_s is not None:
                service_s = max(0.0, service_s - (now - job.ordered_s))
            at_s += service_s
            times[job.attempt] = at_s
        return times
