import subprocess
import sys
from pathlib import Path

from behave import then

FEATURES = Path(__file__).resolve().parents[1]


@then("a {process} exits wherever SIGTERM interrupts it")
def exits_at_each_step(context, process):
    program = [sys.executable, "-m", "support.stop_sweep", process]
    done = subprocess.run(program, cwd=FEATURES, capture_output=True, text=True)
    assert done.returncode == 0, done.stdout + done.stderr
