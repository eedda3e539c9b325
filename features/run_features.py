"""Runs all features in parallel behave processes and ends with ``N passed, N failed``.

Features that measure what a process uses run after the others, one at a time.

Arguments are names of feature files without their ending; ``*`` stands for anything. Scenarios
named in KNOWN-RED.txt are run and printed, and do not fail the run.
"""

import dataclasses
import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from support.matrix_table import matrix_tables, outcome_counts
from support.port_blocks import PortBlocks, first_ephemeral_port
from support.processes import PORT_BASE_VARIABLE

from yokedock_emulator.simulation.network import FIRST_PORT as FIRST_SIMULATED_PORT

HERE = Path(__file__).resolve().parent
KNOWN_RED = HERE.parent / "KNOWN-RED.txt"
LOGS = HERE.parent / "build" / "test-logs"
WORKERS = 6
RUN_ALONE = "crowds_*.feature"
FEATURE_LIMIT_S = 3000
MAX_REASON_CHARACTERS = 500


@dataclasses.dataclass(frozen=True)
class ScenarioResult:
    """One scenario of a run."""

    feature: str
    scenario: str
    is_passed: bool
    reason: str = ""
    """What the failed step said, shortened."""

    @property
    def full_name(self):
        """Return the name as KNOWN-RED.txt gives it."""
        return f"{self.feature}: {self.scenario}".strip()


@dataclasses.dataclass(frozen=True)
class FeatureResult:
    """One feature file of a run, with everything it printed."""

    name: str
    scenarios: list[ScenarioResult]
    output: str

    @property
    def passed(self):
        """Return how many scenarios passed."""
        return sum(scenario.is_passed for scenario in self.scenarios)

    @property
    def failed(self):
        """Return the names of all scenarios that did not pass."""
        return [s.full_name for s in self.scenarios if not s.is_passed]


def run_feature(path, port_blocks):
    """Run one feature file on its own port block; return its results."""
    first_port = port_blocks.acquire()
    try:
        return run_feature_at(path, first_port)
    finally:
        port_blocks.release(first_port)


def run_feature_at(path, first_port):
    """Run one feature file on the port block starting at ``first_port``; return its results."""
    report = Path(tempfile.mkdtemp()) / "report.json"
    command = [sys.executable, "-m", "behave", "--no-capture", "-f", "json", "-o", str(report)]
    command += ["-f", "plain", str(path)]
    environment = {**os.environ, PORT_BASE_VARIABLE: str(first_port)}
    log = LOGS / f"{path.stem}.log"
    try:
        with log.open("w") as output_file:
            done = subprocess.run(
                command,
                cwd=HERE,
                env=environment,
                stdout=output_file,
                stderr=subprocess.STDOUT,
                timeout=FEATURE_LIMIT_S,
            )
        crashed = done.returncode not in (0, 1)
    except subprocess.TimeoutExpired:
        crashed = True
    output = log.read_text(errors="replace")
    scenarios = read_report(report)
    if crashed or not scenarios:
        scenarios.append(ScenarioResult(path.name, "the run itself failed", False))
    result = FeatureResult(path.name, scenarios, output)
    print(f"{path.name}: {result.passed} passed, {len(result.failed)} failed", flush=True)
    return result


def read_report(report):
    """Return the result of every scenario in a behave report."""
    if not report.exists():
        return []
    return [
        ScenarioResult(
            feature["name"],
            element["name"],
            element.get("status") == "passed",
            failure_reason(element),
        )
        for feature in json.loads(report.read_text() or "[]")
        for element in feature.get("elements", [])
        if element["type"] != "background"
    ]


def failure_reason(element):
    """Return the message of an element's failed step, else the last line of its traceback."""
    for step in element.get("steps", []):
        text = step.get("result", {}).get("error_message", "")
        lines = text.splitlines() if isinstance(text, str) else text
        lines = [line for line in lines if line.strip()]
        if lines:
            message = next((line for line in lines if line.startswith("ASSERT")), lines[-1])
            return message[:MAX_REASON_CHARACTERS]
    return ""


def known_red():
    """Return the scenario names that are known to fail."""
    if not KNOWN_RED.exists():
        return []
    return [line.split(";")[0].strip() for line in KNOWN_RED.read_text().splitlines() if line]


def main():
    names = sys.argv[1:]
    features = sorted(HERE.glob("*.feature"))
    wanted = [f"{name}.feature" for name in names] or ["*.feature"]
    chosen = [path for path in features if any(path.match(name) for name in wanted)]
    LOGS.mkdir(parents=True, exist_ok=True)
    # A simulated network assigns ports from its own first one on, whatever the kernel has.
    port_blocks = PortBlocks(min(first_ephemeral_port(), FIRST_SIMULATED_PORT))
    alone = [path for path in chosen if path.match(RUN_ALONE)]
    together = [path for path in chosen if path not in alone]
    with ThreadPoolExecutor(WORKERS) as workers:
        results = list(workers.map(lambda path: run_feature(path, port_blocks), together))
    results += [run_feature(path, port_blocks) for path in alone]
    failed = print_failures(results)
    print_matrix(results)
    reasons = {s.full_name: s.reason for result in results for s in result.scenarios if s.reason}
    for failure in failed:
        print(f"FAILED {failure}")
        print(f"  {reasons.get(failure, 'no step failed; see the log')}")
    print(f"{sum(result.passed for result in results)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


def print_failures(results):
    """Print the output of every feature with a failure; return all that is not known red."""
    failed, red = [], known_red()
    for result in results:
        fresh = [name for name in result.failed if name not in red]
        failed += fresh
        if fresh:
            print(f"=== {result.name}\n{result.output}")
        for scenario in result.scenarios:
            if not scenario.is_passed and scenario.full_name in red:
                print(f"known red: {scenario.full_name}: {scenario.reason}")
    return failed


def print_matrix(results):
    """Print the fault matrix as a table, and how often callers were told what."""
    cells = [(s.scenario, s.is_passed) for result in results for s in result.scenarios]
    tables = matrix_tables(cells)
    if tables:
        print(tables)
        told = outcome_counts([result.output for result in results])
        counts = ", ".join(f"{outcome} {count}" for outcome, count in told.most_common())
        print(f"callers in the cells were told: {counts}")


if __name__ == "__main__":
    main()
