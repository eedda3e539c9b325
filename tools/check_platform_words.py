"""Lint: the words of the users' platform stand in its own package and nowhere else."""

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
OWN = "src/yokedock/platform/"
WORDS = re.compile(
    r"X-Yokedock|Kv-Fetch|/kv-|/hold-|op/config|servers/|YOKEDOCK_SETTINGS|boot\.yaml|"
    r"pathPrefix|routeType|trafficSplit|maxAttempts|targetLatencyMs|itlTargetMs|kvHandle|"
    r"fencingToken|tokenCount|privateKey|waitMs|slotCount|kvCapacity|stageSwitchS|non_idempotent"
)


def main():
    """Print every line that speaks the platform's words elsewhere; return the exit status."""
    found = []
    for path in sorted((ROOT / "src").rglob("*.py")):
        name = str(path.relative_to(ROOT))
        if name.startswith(OWN):
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if WORDS.search(line):
                found.append(f"{name}:{number}: {line.strip()}")
    print("\n".join(found) or "no word of the platform outside its package")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
