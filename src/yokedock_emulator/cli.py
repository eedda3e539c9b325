"""The command line of the emulator: stand-ins, load and experiments."""

from __future__ import annotations

import signal
import threading
from pathlib import Path

import cyclopts

from yokedock.process.bundle_files import read_signed
from yokedock.process.cli import run_app
from yokedock.process.logs import set_up_logs

app = cyclopts.App(name="yokedock-emulator", help="Stand-ins, load and experiments.")
REREAD_S = 0.5


def _serve(name: str, url: str) -> threading.Event:
    """Say where a stand-in listens; the event is set by SIGTERM or SIGINT."""
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    print(f"{name} at {url}", flush=True)
    return stopped


@app.command
def engine(
    *,
    listen: str = "127.0.0.1:0",
    role: str = "decode",
    slots: int = 32,
    step_base_ms: float = 15.0,
    prefill_tokens_per_s: float = 8000.0,
    kept_ms: int = 3000,
    link_bytes_per_s: float = 2e9,
    checks_fencing: bool = True,
) -> None:
    """Run a model engine."""
    from yokedock_emulator.model_engine import EngineProfile
    from yokedock_emulator.model_engine_http import ModelEngineServer

    set_up_logs("warning")
    profile = EngineProfile(
        role=role,
        slots=slots,
        step_base_ms=step_base_ms,
        prefill_tokens_per_s=prefill_tokens_per_s,
        kept_ms=kept_ms,
        link_bytes_per_s=link_bytes_per_s,
        checks_fencing=checks_fencing,
    )
    _serve("engine", ModelEngineServer(profile, listen).url).wait()


@app.command
def service(*, listen: str = "127.0.0.1:0", duration_ms: float = 5.0) -> None:
    """Run a plain service."""
    from yokedock_emulator.plain_service import PlainService

    set_up_logs("warning")
    _serve("service", PlainService(listen, duration_ms).url).wait()


@app.command
def platform(*, listen: str = "127.0.0.1:0", bundle: Path | None = None) -> None:
    """Run the configuration service and the machine list.

    BUNDLE is a directory written by ``yokedock bundle sign``; it is published, and again whenever
    it changes.
    """
    from yokedock_emulator.platform import Platform

    set_up_logs("warning")
    stand_in = Platform(listen)
    stopped = _serve("platform", stand_in.url)
    published = b""
    while not stopped.wait(REREAD_S if published else 0):
        if bundle is None:
            stopped.wait()
            return
        signed = read_signed(bundle)
        if signed.envelope != published:
            stand_in.publish_bundle(signed)
            published = signed.envelope


def main() -> None:
    """Entry point of ``yokedock-emulator``."""
    run_app(app)
