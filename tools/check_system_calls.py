"""Lint: clocks, random numbers and sockets are each accessed through one replaceable module.

Ages and deadlines need a clock that includes suspend time: the monotonic clock stops while the
machine is suspended, and the wall clock can jump.
"""

import dataclasses
import re
import sys
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src" / "yokedock"


@dataclasses.dataclass(frozen=True)
class Rule:
    """A pattern of calls that is allowed in one module only."""

    module: str
    pattern: re.Pattern[str]


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
    """Print all lines that bypass these modules; return the exit status."""
    violations = []
    for path in sorted(SOURCE.rglob("*.py")):
        module = str(path.relative_to(SOURCE))
        for number, line in enumerate(path.read_text().splitlines(), 1):
            for rule in RULES:
                if module != rule.module and rule.pattern.search(line):
                    violations.append(f"{module}:{number}: {line.strip()}: use {rule.module}")
    print(
        "\n".join(violations)
        or "clocks, random numbers and sockets are accessed through one module each"
    )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
