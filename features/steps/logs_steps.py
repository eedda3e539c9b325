import shutil
import subprocess
import sys
import tempfile
import time
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


OTHER_LINE = (
    '{{"time":"2026-08-02T08:00:00.000","level":"info","channel":"router","event":"request",'
    '"request":"r-{number:08x}","route":"digest","outcome":"answered","status":200,"held_ms":40}}'
)
"""A line of another request, as long as most lines are."""


@given("the logs of {routers:d} routers with {count:d} lines each, and these lines of a request")
def logs_of_many(context, routers, count):
    context.directory = Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, context.directory)
    others = "\n".join(OTHER_LINE.format(number=n) for n in range(count)) + "\n"
    told = [line.split(" ", 1) for line in context.text.splitlines()]
    for number in range(routers):
        own = "".join(f"{text}\n" for name, text in told if name == f"router-{number}")
        log = context.directory / f"zone-{number % 5}" / f"router-{number}.log"
        log.parent.mkdir(exist_ok=True)
        log.write_text(others + own + others)


def ask_for_story(context, request, directory):
    command = [program("yokedock"), "logs", "request", request, str(directory)]
    began_s = time.monotonic()
    context.done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    context.took_s = time.monotonic() - began_s
    context.told = context.done.stdout


@when('an operator asks for the story of "{request}" in their directory')
def story(context, request):
    ask_for_story(context, request, context.directory)


@when('an operator asks for the story of "{request}" in a directory that is not there')
def story_nowhere(context, request):
    ask_for_story(context, request, "/nowhere/at/all")


@when('an operator asks for the story of "{request}" in an empty directory')
def story_empty(context, request):
    ask_for_story(context, request, tempfile.mkdtemp())


@then("it is told within {limit_s:g} s")
def told_within(context, limit_s):
    assert context.done.returncode == 0, context.done
    assert context.took_s < limit_s, context.took_s


@then('the explanation has the line "{text}"')
def has_line(context, text):
    lines = [" ".join(line.split()) for line in context.told.splitlines()]
    assert text in lines, context.told


@then("the command ends with {status:d} and tells what to name")
def names_remedy(context, status):
    assert context.done.returncode == status, context.done
    assert "name" in context.done.stderr and "Traceback" not in context.done.stderr


@then("the command ends with {status:d} and tells how many files were searched")
def tells_searched(context, status):
    assert context.done.returncode == status, context.done
    assert "in 2 files" in context.told, context.told


@then("the log commands import none of {names}")
def imports_none_of(context, names):
    """Guards against slow startup of the log commands on a loaded machine."""
    modules = "yokedock.process.cli, yokedock.process.log_commands"
    code = f"import sys, {modules}; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done
    imported = set(done.stdout.split())
    assert "yokedock.process.request_trace" in imported, imported
    assert not imported & set(names.split(", ")), imported & set(names.split(", "))
