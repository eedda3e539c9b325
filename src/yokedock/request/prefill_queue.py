"""Deadline-ordered queue of the prefills of one engine, with admission control.

A prefill is accepted only if it and every previously accepted prefill are predicted to finish by
their deadlines when run in deadline order. Refusals are therefore immediate, an accepted prefill is
never made late by a later arrival, and no prefill is started that would finish too late.
"""

from __future__ import annotations

import dataclasses
import threading

from yokedock.base.clock import boot_time_s
from yokedock.errors import AttemptLost, NoPrefillCapacity
from yokedock.request.prefix import (
    BLOCK_TOKENS,
    block_hashes,
    cached_prefix_blocks,
    estimate_tokens,
)
from yokedock.request.prefix_cache_index import PrefixCacheIndex

ENGINE_QUEUE_DEPTH = 2
"""Maximum number of prefills submitted to the engine: one running and one queued, so that the
engine does not idle between them."""
SUBMIT_AHEAD_S = 0.03
"""The next prefill is submitted this long before the engine is predicted to become idle.

A submitted prefill cannot be overtaken, so submitting earlier would delay urgent short prompts.
"""
MIN_RETRY_AFTER_S = 0.1
LATE_TOLERANCE_S = 0.05
"""A prefill predicted to finish later than its deadline by more than this is refused at its
turn."""


@dataclasses.dataclass
class QueuedPrefill:
    """An accepted prefill; times are seconds of boot time."""

    attempt: str
    service_s: float
    finish_by_s: float
    submitted_s: float | None = None
    is_cancelled: bool = False


class PrefillQueue:
    """The accepted prefills of one engine. Thread-safe."""

    def __init__(self, tokens_per_s: float, known: PrefixCacheIndex) -> None:
        """``tokens_per_s`` is the engine's prefill speed; ``known`` tracks its cached blocks."""
        self.tokens_per_s = tokens_per_s
        self._known = known
        self._changed = threading.Condition()
        self._jobs: dict[str, QueuedPrefill] = {}

    def service_s(self, prompt: str) -> float:
        """Return the predicted time to compute the uncached part of the prompt."""
        cached = cached_prefix_blocks(block_hashes(prompt), self._known.is_cached)
        return max(1, estimate_tokens(prompt) - cached * BLOCK_TOKENS) / self.tokens_per_s

    def enter(self, attempt: str, service_s: float, finish_by_s: float) -> None:
        """Accept a prefill, or raise ``NoPrefillCapacity`` with a delay after which to retry."""
        now = boot_time_s()
        job = QueuedPrefill(attempt, service_s, finish_by_s)
        with self._changed:
            before = self._finish_times(now, list(self._jobs.values()))
            after = self._finish_times(now, [*self._jobs.values(), job])
            for name, finish_s in after.items():
                limit_s = finish_by_s if name == attempt else self._jobs[name].finish_by_s
                was_late = name in before and before[name] > limit_s
                if finish_s > limit_s and not was_late:
                    message = (
                        "prefill not started: it or an earlier one would miss its deadline; retry"
                    )
                    raise NoPrefillCapacity(message, max(MIN_RETRY_AFTER_S, finish_s - limit_s))
            self._jobs[attempt] = job

    def wait_turn(self, attempt: str) -> None:
        """Wait until the prefill is to be submitted to the engine.

        Raises ``AttemptLost`` if it is cancelled while waiting, ``NoPrefillCapacity`` if its turn
        comes too late for its deadline.
        """
        with self._changed:
            job = self._jobs[attempt]
            while not job.is_cancelled:
                wait_s = self._time_to_turn_s(job, boot_time_s())
                if wait_s is not None and wait_s <= 0:
                    break
                self._changed.wait(wait_s)
            if job.is_cancelled:
                raise AttemptLost("prefill cancelled before it was started")
            now = boot_time_s()
            if now + job.service_s > job.finish_by_s + LATE_TOLERANCE_S:
                message = "prefill not started: its turn came after its latest start; retry"
                raise NoPrefillCapacity(message, MIN_RETRY_AFTER_S)
            job.submitted_s = now
            self._changed.notify_all()

    def cancel(self, attempt: str) -> None:
        """Cancel a prefill that is waiting for its turn."""
        with self._changed:
            job = self._jobs.get(attempt)
            if job is not None:
                job.is_cancelled = True
                self._changed.notify_all()

    def leave(self, attempt: str) -> None:
        """Remove a prefill that ended, whatever its outcome."""
        with self._changed:
            self._jobs.pop(attempt, None)
            first = min(self._ordered(), key=lambda job: job.submitted_s or 0.0, default=None)
            if first is not None:
                first.submitted_s = boot_time_s()
            self._changed.notify_all()

    def queued_tokens(self) -> int:
        """Return the uncached tokens of all accepted, unfinished prefills."""
        with self._changed:
            return int(sum(job.service_s for job in self._jobs.values()) * self.tokens_per_s)

    def _ordered(self) -> list[QueuedPrefill]:
        return [job for job in self._jobs.values() if job.submitted_s is not None]

    def _time_to_turn_s(self, job: QueuedPrefill, now: float) -> float | None:
        """Return the time until the job may be submitted; None if another job goes first."""
        waiting = [j for j in self._jobs.values() if j.submitted_s is None and not j.is_cancelled]
        first = min(waiting, key=lambda j: j.finish_by_s)
        ordered = self._ordered()
        if first is not job or len(ordered) >= ENGINE_QUEUE_DEPTH:
            return None
        times = self._finish_times(now, ordered)
        return max(times.values(), default=now) - now - SUBMIT_AHEAD_S

    def _finish_times(self, now: float, jobs: list[QueuedPrefill]) -> dict[str, float]:
        """Return the predicted finish time of each job: submitted jobs first, then by deadline."""
        ordered = sorted(
            (j for j in jobs if j.submitted_s is not None), key=lambda j: j.submitted_s or 0
        )
        waiting = sorted((j for j in jobs if j.submitted_s is None), key=lambda j: j.finish_by_s)
        times: dict[str, float] = {}
        at_s = now
        for position, job in enumerate([*ordered, *waiting]):
            service_s = job.service_s
            if position == 0 and job.submitted_s is not None:
                service_s = max(0.0, service_s - (now - job.submitted_s))
            at_s += service_s
            times[job.attempt] = at_s
        return times
