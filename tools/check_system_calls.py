"""Lint: clocks, random numbers and sockets are each obtained from one replaceable module.

Ages and deadlines need the clock that counts suspensions: the monotonic one stands still while the
machine is suspended, and the time of day jumps.
"""

import dataclasses
import re
import sys
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src" / "yokedock"


@dataclasses.dataclass(frozen=True)
class Rule:
    """A pattern of calls that only one module may contain."""

    module: str
    call: re.Pattern[str]


RULES = (
    Rule(
        "base/clock.py",
        re.compile(r"time\.(monotonic|time_ns|perf_counter|clock_gettime|process_time)\b"),
    ),
    Rule(
        "base/randomness.py",
        re.compile(r"\brandom\.(Random\(|random\(|uniform|choice|choices|sample|shuffle|rand)"),
    ),
    Rule("base/sockets.py", re.compile(r"\bsocket\.socket\(")),
)


def main():
    """Print the lines that bypass these modules; return the exit status."""
    wrong = []
    for path in sorted(SOURCE.rglob("*.py")):
        module = str(path.relative_to(SOURCE))
        for number, line in enumerate(path.read_text().splitlines(), 1):
            for rule in RULES:
                if module != rule.module and rule.call.search(line):
                    wrong.append(f"{module}:{number}: {line.strip()}: use {rule.module}")
    print("\n".join(wrong) or "clocks, random numbers and sockets come from one module each")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
