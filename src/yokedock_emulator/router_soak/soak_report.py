"""What a soak reports: figures, broken rules, and the story of each request that shows one."""

from __future__ import annotations

import collections
import itertools
from pathlib import Path

import msgspec

from yokedock_emulator.router_soak.soak_budget import most_of_budget
from yokedock_emulator.router_soak.soak_judge import Violation, given_up
from yokedock_emulator.router_soak.soak_parts import blamed_harmless, most_part_crashes
from yokedock_emulator.router_soak.soak_poison import most_ends
from yokedock_emulator.router_soak.soak_records import RouterLife, SoakHistory
from yokedock_emulator.router_soak.soak_streams import (
    ResumedAfterKill,
    ResumedAtRollouts,
    order_violations,
    resumed_after_all_killed,
    resumed_at_rollouts,
    resumed_streams,
)

MOST_STORIES = 12
NEAR_S = 4.0
"""A story tells what was done so long before a request, until its end."""
MOST_LOG_LINES = 25
LEAST_PROCESSOR_WAIT_S = 0.05
"""A story lists increases of the processor wait from one reading to the next of at least this."""
PRINTED = 6


class SoakReport(msgspec.Struct, frozen=True):
    """The result of one soak."""

    seed: int
    seconds: float
    requests: int
    arrivals: int
    processes: int
    answers: dict[str, int]
    """Requests by kind and what became of them."""
    events: dict[str, int]
    """What was done, by kind."""
    budget_used: float
    """Largest share of the retry budget used in any window."""
    most_ends: int
    """Most backends that ended under one request."""
    most_part_crashes: int
    """Most engines that ended under one part of prompts."""
    blamed: int
    """Harmless requests that were refused as if they crashed backends."""
    longest_silence_s: float
    """Longest time from a request to its answer."""
    stood_still: int
    """Times that the soak's own process did not run: what was seen then binds nobody."""
    violations: list[str]
    stories: list[str]
    schedule: list[str]
    """What was done and when, in seconds from the first request."""
    resumed: int = 0
    """Streams that callers resumed."""
    went_on: int = 0
    """Resumed streams that brought another event."""
    given_up: int = 0
    """Requests that a stopping router took and gave up (502, 504), their backends being sound."""
    after_all_killed: ResumedAfterKill = msgspec.field(default_factory=ResumedAfterKill)
    """Streams resumed after all routers were killed."""
    at_rollouts: ResumedAtRollouts = msgspec.field(default_factory=ResumedAtRollouts)
    """Streams resumed while software versions were rolled out."""
    mixed: int = 0
    """Streams with events of several software versions."""

    def summary(self) -> str:
        """Return one line."""
        after_kill = self.after_all_killed
        rollouts = self.at_rollouts
        return (
            f"seed {self.seed}: {len(self.violations)} violations; {self.requests} requests, "
            f"{self.processes} processes, budget used {self.budget_used:.2f}, "
            f"at most {self.most_ends} ends under one request, "
            f"{self.most_part_crashes} under one part, {self.blamed} harmless ones refused for it, "
            f"longest {self.longest_silence_s:.1f} s, stood still {self.stood_still}, "
            f"{self.went_on} of {self.resumed} resumed streams went on, "
            f"{after_kill.went_on} of {after_kill.resumed} after the loss of all routers "
            f"({after_kill.judged} judged), {self.given_up} taken and given up; "
            f"{self.mixed} streams mixed; beside rollouts {rollouts.out_of_step_went_on} of "
            f"{rollouts.out_of_step} went on at routers out of step, "
            f"{rollouts.served_went_on} of {rollouts.served} whose version was served, "
            f"{rollouts.judged_went_on} of {rollouts.judged} judged"
        )


def make_report(
    seed: int,
    seconds: float,
    began_s: float,
    history: SoakHistory,
    violations: list[Violation],
) -> SoakReport:
    """Put everything together; times in it count from ``began_s``."""
    answers = collections.Counter(
        f"{record.route.kind} {record.outcome} {record.status}"
        for record in history.records.values()
    )
    held = [record.end_s - record.sent_s for record in history.records.values()]
    stories = [_story(history, began_s, each) for each in violations[:MOST_STORIES]]
    return SoakReport(
        seed,
        seconds,
        len(history.records),
        len(history.arrivals),
        len(history.lives),
        dict(sorted(answers.items())),
        dict(collections.Counter(_kind(text) for _, text in history.story)),
        round(most_of_budget(history), 3),
        most_ends(history),
        most_part_crashes(history),
        blamed_harmless(history),
        round(max(held, default=0.0), 2),
        len(history.stood_still_s),
        [f"{each.rule}: {each.text} {each.request_id}".strip() for each in violations],
        stories,
        [f"{at_s - began_s:.3f} {text}" for at_s, text in history.story],
        *resumed_streams(history),
        len(given_up(history)),
        resumed_after_all_killed(history),
        resumed_at_rollouts(history),
        len(order_violations(history)),
    )


def _kind(text: str) -> str:
    if text.startswith("router"):
        return text.split(": ")[1].split(" ")[0]
    return text.rstrip("0123456789. ").removesuffix(" i-")


def _story(history: SoakHistory, began_s: float, violation: Violation) -> str:
    """Tell what was done around a request, and what client and backends saw of it."""
    record = history.records.get(violation.request_id)
    head = f"{violation.rule}: {violation.text} {violation.request_id}"
    if record is None:
        return head
    first_s, last_s = record.sent_s - NEAR_S, record.end_s + 0.5
    life = history.lives[record.router, record.life]
    waited_s = life.processor_wait_s(first_s, last_s)
    lines = [head, f"router {record.router} life {record.life}, route {record.route.name}"]
    lines.append(f"router waited {waited_s:.2f} s for a processor within {last_s - first_s:.1f} s")
    told = [(at_s, text) for at_s, text in history.story]
    told += [(record.sent_s, f"client sent {record.request_id}")]
    told += [(record.end_s, f"client: {record.outcome} {record.status} events {record.events}")]
    told += [
        (each.at_s, f"arrival at {each.instance} prefill={each.is_prefill}: {each.outcome}")
        for each in history.arrivals
        if each.request_id == record.request_id
    ]
    told += _long_processor_waits(life, first_s, last_s)
    lines += [f"{at - began_s:8.3f} {text}" for at, text in sorted(told) if first_s <= at <= last_s]
    return "\n".join(lines)


def _long_processor_waits(life: RouterLife, from_s: float, to_s: float) -> list[tuple[float, str]]:
    """Return the long waits for a processor, each at the time of the reading that showed it."""
    found = []
    for before, after in itertools.pairwise(life.processor_waits):
        waited_s = after.total_s - before.total_s
        if waited_s >= LEAST_PROCESSOR_WAIT_S and from_s <= after.at_s <= to_s:
            found.append((after.at_s, f"router waited {waited_s:.2f} s for a processor"))
    return found


def keep_report(report: SoakReport, folder: Path) -> None:
    """Write report and stories beside the logs; where nothing is wrong, the logs go."""
    (folder / "report.json").write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    logs = sorted(folder.glob("router-*.log"))
    if not report.violations:
        for log in logs:
            log.unlink()
        return
    stories = []
    for story in report.stories:
        request_id = story.split("\n")[0].rpartition(" ")[2]
        lines = _log_lines(logs, request_id) if request_id else []
        stories.append("\n".join([story, *lines]))
    (folder / "stories.txt").write_text("\n\n".join(stories) + "\n")


def print_report(report: SoakReport, folder: Path) -> None:
    """Print one line, and briefly what is wrong."""
    print(report.summary(), flush=True)
    for violation in report.violations[:PRINTED]:
        print(f"  {violation}")
    if report.violations:
        print(f"  schedule, stories and logs: {folder}", flush=True)


def _log_lines(logs: list[Path], request_id: str) -> list[str]:
    found = []
    for log in logs:
        for line in log.read_text(errors="replace").splitlines():
            if f'"{request_id}"' in line:
                found.append(f"{log.stem}: {line}")
    return found[:MOST_LOG_LINES]
