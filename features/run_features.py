"""Runs all features in parallel behave processes and ends with ``N passed, N failed``.

Arguments are names of feature files without their ending; ``*`` stands for anything. Scenarios
named in KNOWN-RED.txt are run and printed, and do not fail the run.
"""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

HERE = Path(__file__).resolve().parent
KNOWN_RED = HERE.parent / "KNOWN-RED.txt"
LOGS = HERE.parent / "build" / "test-logs"
WORKERS = 3
FIRST_PORT = 11000
PORTS_A_FEATURE = 200
FEATURE_LIMIT_S = 3000


def run_feature(numbered):
    """Run one feature file; return (name, passed, failed scenario names, output)."""
    number, path = numbered
    report = Path(tempfile.mkdtemp()) / "report.json"
    command = [sys.executable, "-m", "behave", "--no-capture", "-f", "json", "-o", str(report)]
    command += ["-f", "plain", str(path)]
    environment = {
        **os.environ,
        "YOKEDOCK_TEST_PORT_BASE": str(FIRST_PORT + number * PORTS_A_FEATURE),
    }
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
    passed, failed = read_report(report)
    if crashed or not passed + len(failed):
        failed.append(f"{path.name}: the run itself failed")
    print(f"{path.name}: {passed} passed, {len(failed)} failed", flush=True)
    return path.name, passed, failed, output


def read_report(report):
    """Return how many scenarios passed, and the names of all others."""
    if not report.exists():
        return 0, []
    passed, failed = 0, []
    for feature in json.loads(report.read_text() or "[]"):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            if element.get("status") == "passed":
                passed += 1
            else:
                failed.append(f"{feature['name']}: {element['name']}")
    return passed, failed


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
    with ThreadPoolExecutor(WORKERS) as workers:
        results = list(workers.map(run_feature, enumerate(chosen)))
    passed, failed, red = 0, [], known_red()
    for name, count, failures, output in results:
        passed += count
        fresh = [failure for failure in failures if failure not in red]
        failed += fresh
        if fresh:
            print(f"=== {name}\n{output}")
        for failure in set(failures) & set(red):
            print(f"known red: {failure}")
    for failure in failed:
        print(f"FAILED {failure}")
    print(f"{passed} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
