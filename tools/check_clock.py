"""Lint: ages and deadlines are read from ``yokedock.base.clock`` alone.

The monotonic clock stands still while the machine is suspended, and the time of day jumps.
"""

import re
import sys
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src" / "yokedock"
CLOCK = SOURCE / "base" / "clock.py"
OTHER_CLOCK = re.compile(r"time\.(monotonic|time_ns|perf_counter|clock_gettime|process_time)\b")


def main():
    """Print the lines that read another clock; return the exit status."""
    wrong = []
    for path in sorted(SOURCE.rglob("*.py")):
        if path == CLOCK:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            if OTHER_CLOCK.search(line):
                wrong.append(f"{path.relative_to(SOURCE.parent)}:{number}: {line.strip()}")
    for line in wrong:
        print(line)
    print(f"{len(wrong)} lines read a clock past base/clock.py" if wrong else "one clock")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
