"""Formats the fault matrix (faults by steps) from the names and results of scenarios."""

import collections
import re

from yokedock.process.tables import format_table

CELL_SCENARIO = re.compile(r"^(?P<fault>.+) at the step (?P<step>[a-z ]+)[:,]")
OUTCOME_LINE = re.compile(r"^\s*told: (\w+)$", re.MULTILINE)
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
    """Return the tables of all cells in ``results``, pairs of scenario name and success."""
    cells = collections.defaultdict(dict)
    for name, is_passed in results:
        found = CELL_SCENARIO.match(name)
        if found is None or " and " in found["fault"]:
            continue
        cells[table_of(name)][found["fault"], found["step"]] = "pass" if is_passed else "FAIL"
    steps = {MODEL: MODEL_STEPS, CALLS: CALL_STEPS, UNFENCED: MODEL_STEPS}
    return "\n\n".join(
        format_cells(table, cells[table], steps[table]) for table in steps if cells[table]
    )


def table_of(name):
    if "without fencing" in name:
        return UNFENCED
    return CALLS if "the call runs at most once" in name else MODEL


def format_cells(table, cells, steps):
    faults = sorted({fault for fault, _ in cells})
    rows = [
        (fault, *(cells.get((fault, step), NOT_APPLICABLE) for step in steps)) for fault in faults
    ]
    return format_table((table, *steps), rows)


def outcome_counts(outputs):
    """Count the outcomes that callers got, from the printed output of scenarios."""
    return collections.Counter(
        outcome for output in outputs for outcome in OUTCOME_LINE.findall(output)
    )
