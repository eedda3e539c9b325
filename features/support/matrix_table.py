"""The fault matrix as a table, fault by step, made from the names and results of scenarios."""

import collections
import re

from yokedock.process.tables import format_table

CELL = re.compile(r"^(?P<fault>.+) at the step (?P<step>[a-z ]+)[:,]")
TOLD = re.compile(r"^\s*told: (\w+)$", re.MULTILINE)
MODEL_STEPS = (
    "admitted",
    "reserved",
    "prefilling",
    "prefilled",
    "transferring",
    "first token out",
    "decoding",
    "releasing",
)
CALL_STEPS = ("admitted", "sent", "executing", "executed")
MODEL, CALLS, UNFENCED = "model requests", "calls", "engines without fencing"
NOT_APPLICABLE = "-"


def matrix_tables(results):
    """Return the tables of all cells in ``results``: (scenario name, whether it passed)."""
    cells = collections.defaultdict(dict)
    for name, is_passed in results:
        found = CELL.match(name)
        if found is None or " and " in found["fault"]:
            continue
        cells[part_of(name)][found["fault"], found["step"]] = "pass" if is_passed else "FAIL"
    steps = {MODEL: MODEL_STEPS, CALLS: CALL_STEPS, UNFENCED: MODEL_STEPS}
    return "\n\n".join(one_table(part, cells[part], steps[part]) for part in steps if cells[part])


def part_of(name):
    if "without fencing" in name:
        return UNFENCED
    return CALLS if "the call runs at most once" in name else MODEL


def one_table(part, cells, steps):
    faults = sorted({fault for fault, _ in cells})
    rows = [
        (fault, *(cells.get((fault, step), NOT_APPLICABLE) for step in steps)) for fault in faults
    ]
    return format_table((part, *steps), rows)


def told_counts(outputs):
    """Count what callers were told in the cells, by outcome."""
    return collections.Counter(told for output in outputs for told in TOLD.findall(output))
