import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from behave import then, when
from support.router_world import free_address

FEATURES = Path(__file__).resolve().parents[1]
EXIT_LIMIT_S = 20.0


@then("a {process} exits wherever SIGTERM interrupts it")
def exits_at_each_step(context, process):
    program = [sys.executable, "-m", "support.stop_sweep", process]
    done = subprocess.run(program, cwd=FEATURES, capture_output=True, text=True)
    assert done.returncode == 0, done.stdout + done.stderr


SLOW_SHUTDOWN = "import atexit, time; atexit.register(time.sleep, {seconds})"
RUN_ROUTER = "from yokedock.process.cli import main; main()"
SETTINGS = """[process]
name = router-1
[callers]
listen = {callers}
ready_listen = {ready}
[fleet]
address = {fleet}
[state]
source = {routes}
"""


@when("a router is stopped whose interpreter needs {seconds:d} s to shut down")
def stop_slow_interpreter(context, seconds):
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "router.ini"
        addresses = {name: free_address() for name in ("callers", "ready", "fleet")}
        routes = FEATURES.parent / "examples" / "routes.ini"
        settings.write_text(SETTINGS.format(routes=routes, **addresses))
        program = f"{SLOW_SHUTDOWN.format(seconds=seconds)}; {RUN_ROUTER}"
        process = subprocess.Popen(
            [sys.executable, "-c", program, "router", "--settings", str(settings)],
            stdout=subprocess.PIPE,
            text=True,
        )
        _read_until(process, '"started"')
        process.send_signal(signal.SIGTERM)
        _read_until(process, '"stopped"')
        since_s = time.monotonic()
        context.status = process.wait(seconds + EXIT_LIMIT_S)
        context.exit_s = time.monotonic() - since_s
        process.stdout.close()


def _read_until(process, text):
    for line in process.stdout:
        if text in line:
            return
    raise AssertionError(f"the router ended without {text}")


@then('it exits within {limit_s:d} s of the line "stopped", with status {status:d}')
def exits_at_once(context, limit_s, status):
    assert context.status == status, context.status
    assert context.exit_s < limit_s, context.exit_s
