"""The command line of operators and daemons."""

from __future__ import annotations

import signal
import sys
import threading
from pathlib import Path
from typing import Annotated, Any, Protocol

import cyclopts
import msgspec
import urllib3
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from yokedock.base.clock import wall_clock_ms
from yokedock.base.histograms import EncodedHistogram, Histograms
from yokedock.base.logs import logger, set_up_logs
from yokedock.base.options import Problems, read_ini
from yokedock.errors import LogsUnreadable, PlatformUnavailable, YokedockError
from yokedock.process.admin_http import ProcessStatus
from yokedock.process.bundle_diff import diff_bundles
from yokedock.process.bundle_files import (
    open_signed,
    parse_public_key,
    public_text,
    read_private_key,
    read_signed,
    write_private_key,
    write_signed,
)
from yokedock.process.exit import exit_now
from yokedock.process.settings import (
    read_agent_settings,
    read_any_settings,
    read_gateway_settings,
)
from yokedock.process.tables import format_table
from yokedock.version.bundle_codec import sign_bundle, with_previous_pools
from yokedock.version.bundle_source import read_bundle_source

app = cyclopts.App(name="yokedock", help="Router for language-model traffic.")
settings_app = cyclopts.App(name="settings", help="Check settings files.")
logs_app = cyclopts.App(name="logs", help="Read structured logs.")
bundle_app = cyclopts.App(name="bundle", help="Check, sign and read bundles.")
app.command(settings_app)
app.command(logs_app)
app.command(bundle_app)

_log = logger("main")
EXIT_ERROR = 1
EXIT_BAD_INPUT = 2
"""What was named cannot be read."""
EXIT_NOT_FOUND = 1
"""It was read, and what was asked for is not there."""
QUERY_TIMEOUT_S = 3.0

SettingsOption = Annotated[Path, cyclopts.Parameter(name="--settings")]


class Daemon(Protocol):
    """What a daemon's main function drives."""

    def start(self) -> None:
        """Begin to serve."""

    def drain(self) -> bool:
        """Planned stop: let all work in flight end."""

    def stop(self) -> None:
        """Stop at once."""


def run_daemon(daemon: Daemon) -> None:
    """Serve until SIGTERM or SIGINT, then make a planned stop. A second signal stops at once."""
    signals = threading.Semaphore(0)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: signals.release())
    daemon.start()
    signals.acquire()
    drain = threading.Thread(target=daemon.drain, name="drain", daemon=True)
    drain.start()
    while drain.is_alive() and not signals.acquire(timeout=0.05):
        pass
    daemon.stop()
    _log.info("stopped")
    exit_now(0)


@app.command
def gateway(settings: SettingsOption) -> None:
    """Run a gateway: takes callers' requests."""
    from yokedock.process.gateway import Gateway

    checked = read_gateway_settings(settings)
    set_up_logs(checked.log.level)
    run_daemon(Gateway(checked))


@app.command
def agent(settings: SettingsOption) -> None:
    """Run an agent: gives orders to the back end beside it."""
    from yokedock.process.agent import Agent

    checked = read_agent_settings(settings)
    set_up_logs(checked.log.level)
    run_daemon(Agent(checked))


@app.command
def router(settings: SettingsOption) -> None:
    """Run a router on its own routes file: passes requests on by host and path."""
    from yokedock.connection.header_dialect import HeaderDialect
    from yokedock.connection.routes_file import RoutesFile
    from yokedock.process.router_main import run_router
    from yokedock.process.router_settings import read_router_settings

    checked = read_router_settings(settings)
    run_router(checked, RoutesFile(Path(checked.state.source)), HeaderDialect())


@app.command
def demo(*, keep: bool = False) -> None:
    """Run everything in one process on loopback, send requests, and check what happened."""
    from yokedock_emulator.demo import run_demo

    exit_now(run_demo(keep))


@settings_app.command(name="check")
def check_settings(file: Path) -> None:
    """Check a settings or routes file and print every error with its remedy."""
    sections = read_ini(file, Problems()).sections()
    if "table" in sections:
        from yokedock.connection.routes_file import read_routes

        read_routes(file)
    elif "callers" in sections:
        from yokedock.process.router_settings import read_router_settings

        read_router_settings(file)
    else:
        read_any_settings(file)
    print(f"{file}: no errors")


@bundle_app.command(name="check")
def check_bundle(source: Path) -> None:
    """Check a bundle's source and print every error with its remedy."""
    bundle = read_bundle_source(source)
    print(
        f"{source}: no errors; {len(bundle.models)} models, {len(bundle.engines)} engines, "
        f"{len(bundle.replicas)} replicas, {len(bundle.tenants)} tenants"
    )


@bundle_app.command(name="keygen")
def keygen(file: Path) -> None:
    """Make a signing key: writes the private key to FILE and prints the public one."""
    key = Ed25519PrivateKey.generate()
    write_private_key(key, file)
    print(public_text(key.public_key()))


@bundle_app.command(name="sign")
def sign(source: Path, *, version: int, key: Path, out: Path, previous: Path | None = None) -> None:
    """Sign SOURCE as VERSION into directory OUT.

    PREVIOUS is the directory of the version in force: name it when there is one, so that homes
    that move are known.
    """
    bundle = read_bundle_source(source)
    private_key = read_private_key(key)
    now_ms = wall_clock_ms()
    if previous is not None:
        before = open_signed(read_signed(previous), private_key.public_key())
        if version <= before.version:
            print(f"the version in force is {before.version}; use a higher one", file=sys.stderr)
            sys.exit(EXIT_ERROR)
        bundle = with_previous_pools(bundle, before, now_ms)
    signed = sign_bundle(bundle, version, now_ms, private_key)
    write_signed(signed, out)
    print(f"version {version}: {len(signed.sections)} sections in {out}; publish them")


@bundle_app.command(name="show")
def show(directory: Path, *, public_key: str) -> None:
    """Check a signed bundle and print it as JSON."""
    bundle = open_signed(read_signed(directory), parse_public_key(public_key))
    print(msgspec.json.format(msgspec.json.encode(bundle)).decode())


@bundle_app.command(name="diff")
def diff(old: Path, new: Path, *, public_key: str) -> None:
    """Print what changed between two signed bundles."""
    key = parse_public_key(public_key)
    before, after = open_signed(read_signed(old), key), open_signed(read_signed(new), key)
    print(f"version {before.version} -> {after.version}")
    for line in diff_bundles(before, after):
        print(line)


@app.command
def status(*admin: str, json: bool = False) -> None:
    """Print what one or several daemons are doing. ADMIN: admin addresses, IP:port."""
    found = [_query(address, "/status", ProcessStatus) for address in admin]
    if json:
        print(msgspec.json.format(msgspec.json.encode(found)).decode())
        return
    header = ("name", "kind", "zone", "version", "role", "ready", "stopping", "in flight")
    rows = [
        (s.name, s.kind, s.zone, s.version, s.role, s.ready, s.stopping, s.in_flight) for s in found
    ]
    print(format_table(header, rows))
    for process in found:
        if process.peers:
            print(f"\npeers of {process.name}")
            peer_header = ("name", "connected", "role", "ready", "leaving", "slots", "version")
            peer_rows = [
                (
                    p.name,
                    p.connected,
                    p.role,
                    p.ready,
                    p.leaving,
                    f"{p.slots_taken}/{p.slots}",
                    p.version,
                )
                for p in process.peers
            ]
            print(format_table(peer_header, peer_rows))


@app.command
def histograms(*admin: str, json: bool = False) -> None:
    """Print latencies and prefill work by tenant and class, merged over gateways."""
    merged = Histograms()
    for address in admin:
        merged.merge(_query(address, "/histograms", list[EncodedHistogram]))
    rows = merged.rows()
    if json:
        print(msgspec.json.format(msgspec.json.encode(rows)).decode())
        return
    header = ("tenant", "class", "measure", "count", "p50", "p95", "p99", "max", "total")
    table = [
        (
            r.tenant,
            r.request_class,
            r.measure,
            r.count,
            r.p50,
            r.p95,
            r.p99,
            r.highest,
            round(r.total),
        )
        for r in rows
    ]
    print(format_table(header, table))


@logs_app.command
def explain(*files: Path, window_s: float = 2.0) -> None:
    """Tell where requests lost their time or their answer, from the logs of routers (FILES).

    Prints a row for each window of WINDOW_S seconds and route, and how well waits were predicted.
    """
    from yokedock.process.log_explain import LogBook, prediction_text, window_table

    book = LogBook()
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as lines:
            book.read(lines)
    print(window_table(book.explained(), window_s))
    print(prediction_text(book))
    if book.skipped:
        print(f"{book.skipped} lines are none of a router's and were passed over")


@logs_app.command(name="request")
def request_story(request: str, *paths: Path) -> None:
    """Tell which route, router, backends and zones REQUEST took, how long each held it, if late.

    PATHS are routers' log files, or directories with files named *.log. REQUEST is the caller's id.
    """
    from yokedock.process.request_story import log_files, stories, story_text

    files = log_files(paths)
    found = stories(request, files)
    for story in found:
        print(story_text(story))
    if not found:
        print(f"no line names {request} in {len(files)} files; look whether older logs are kept")
        sys.exit(EXIT_NOT_FOUND)


def _query(address: str, path: str, kind: Any) -> Any:
    """Read one JSON document from a daemon's admin address."""
    url = f"http://{address}{path}"
    try:
        response = urllib3.request("GET", url, timeout=QUERY_TIMEOUT_S, retries=False)
        return msgspec.json.decode(response.data, type=kind)
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
        message = f"no daemon answers at {address}; name the [admin] listen address of one"
        raise PlatformUnavailable(message) from None


def run_app(application: cyclopts.App) -> None:
    """Run a command line; a typed error is printed with its code, and the exit status is 1."""
    try:
        application()
    except YokedockError as error:
        print(f"{error.code}:\n{error.message}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT if isinstance(error, LogsUnreadable) else EXIT_ERROR)


def main() -> None:
    """Entry point of ``yokedock``."""
    run_app(app)
