"""Lint: names defined by the deployment platform occur in the platform package only."""

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PLATFORM_PACKAGE = "src/yokedock/platform/"
PLATFORM_NAMES = re.compile(
    r"X-Yokedock|Kv-Fetch|/kv-|/hold-|op/config|servers/|YOKEDOCK_SETTINGS|boot\.yaml|"
    r"pathPrefix|routeType|trafficSplit|maxAttempts|targetLatencyMs|itlTargetMs|kvHandle|"
    r"fencingToken|tokenCount|privateKey|waitMs|slotCount|kvCapacity|stageSwitchS|non_idempotent"
)


def main():
    """Print every other line that contains a platform name; return the exit status."""
    violations = []
    for path in sorted((ROOT / "src").rglob("*.py")):
        name = str(path.relative_to(ROOT))
        if name.startswith(PLATFORM_PACKAGE):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if PLATFORM_NAMES.search(line):
                violations.append(f"{name}:{number}: {line.strip()}")
    print("\n".join(violations) or "no platform names outside the platform package")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
