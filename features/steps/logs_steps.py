import subprocess
import tempfile
from pathlib import Path

from behave import given, then, when

from yokedock_emulator.process_group import program


@given("these lines of two routers' logs")
def lines(context):
    context.file = Path(tempfile.mkdtemp()) / "routers.log"
    context.file.write_text(context.text)


@when("an operator asks to explain them")
def explain(context):
    command = [program("yokedock"), "logs", "explain", str(context.file)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done
    context.told = done.stdout


@then('the explanation has the row "{row}" with the cause "{cause}"')
def has_row(context, row, cause):
    rows = [" ".join(line.split()) for line in context.told.splitlines()]
    assert any(line.startswith(f"{row} ") and cause in line for line in rows), context.told


@then('the explanation says "{text}"')
def says(context, text):
    assert text in context.told, context.told
