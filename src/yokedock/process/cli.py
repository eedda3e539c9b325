"""Command line for operators and for starting the daemons.

A command imports its modules only when it is called, to keep startup fast.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import cyclopts

from yokedock.errors import LogsUnreadable, YokedockError
from yokedock.process.exit import EXIT_BAD_INPUT, EXIT_ERROR, exit_now

app = cyclopts.App(name="yokedock", help="Router for language-model traffic.")
app.command(
    "yokedock.process.settings_commands:app", name="settings", help="Validate settings files."
)
app.command("yokedock.process.log_commands:app", name="logs", help="Read structured logs.")
app.command(
    "yokedock.process.bundle_commands:app", name="bundle", help="Validate, sign and show bundles."
)

SettingsOption = Annotated[Path, cyclopts.Parameter(name="--settings")]


@app.command
def gateway(settings: SettingsOption) -> None:
    """Run a gateway, which accepts callers' requests."""
    from yokedock.base.logs import set_up_logs
    from yokedock.process.daemon import run_daemon
    from yokedock.process.gateway import Gateway
    from yokedock.process.settings import read_gateway_settings

    checked = read_gateway_settings(settings)
    set_up_logs(checked.log.level)
    run_daemon(Gateway(checked))


@app.command
def agent(settings: SettingsOption) -> None:
    """Run an agent, which sends commands to the backend next to it."""
    from yokedock.base.logs import set_up_logs
    from yokedock.process.agent import Agent
    from yokedock.process.daemon import run_daemon
    from yokedock.process.settings import read_agent_settings

    checked = read_agent_settings(settings)
    set_up_logs(checked.log.level)
    run_daemon(Agent(checked))


@app.command
def router(settings: SettingsOption) -> None:
    """Run a router, which forwards requests by host and path according to its routes file."""
    from yokedock.connection.header_dialect import HeaderDialect
    from yokedock.connection.routes_file import RoutesFile
    from yokedock.process.router_main import run_router
    from yokedock.process.router_settings import read_router_settings

    checked = read_router_settings(settings)
    run_router(settings, checked, RoutesFile(Path(checked.state.source)), HeaderDialect())


@app.command(name="origin-store")
def origin_store(settings: SettingsOption) -> None:
    """Run an origin store, which keeps beside an engine what began its streams."""
    from yokedock.process.origin_store import run_origin_store
    from yokedock.process.origin_store_settings import read_origin_store_settings

    run_origin_store(read_origin_store_settings(settings))


@app.command
def demo(*, keep: bool = False) -> None:
    """Run all components in one process on loopback, send requests and verify the results."""
    from yokedock_emulator.demo import run_demo

    exit_now(run_demo(keep))


@app.command
def status(*admin: str, json: bool = False) -> None:
    """Print the status of one or more daemons. ADMIN: admin addresses, IP:port."""
    from yokedock.process.admin_commands import print_status

    print_status(admin, json)


@app.command
def histograms(*admin: str, json: bool = False) -> None:
    """Print latencies and prefill work by tenant and class, merged across gateways."""
    from yokedock.process.admin_commands import print_histograms

    print_histograms(admin, json)


def run_app(application: cyclopts.App) -> None:
    """Run a command line; a typed error is printed with its code and ends it with status 1 or 2."""
    try:
        application()
    except YokedockError as error:
        print(f"{error.code}:\n{error.message}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT if isinstance(error, LogsUnreadable) else EXIT_ERROR)


def main() -> None:
    """Entry point of ``yokedock``."""
    run_app(app)
