"""Soaks in simulated time: the same seed gives the same history."""

from __future__ import annotations

import dataclasses
import hashlib
import os
import sys
from pathlib import Path

from yokedock_emulator.router_soak.router_soak import RouterSoak
from yokedock_emulator.router_soak.soak_plan import DEFAULT_OPTIONS, SoakOptions
from yokedock_emulator.router_soak.soak_records import SoakHistory
from yokedock_emulator.router_soak.soak_report import SoakReport, keep_report, print_report
from yokedock_emulator.simulation.simulated_routers import SimulatedLauncher
from yokedock_emulator.simulation.simulation import simulation

HASH_SEED_VARIABLE = "PYTHONHASHSEED"
HASH_SEED = "0"
"""A fixed hash seed makes the iteration order of sets of strings repeatable."""
DIGEST_CHARACTERS = 16


@dataclasses.dataclass(frozen=True)
class SimulationResult:
    """The result of one simulated soak."""

    report: SoakReport
    digest: str
    """Digest of the history; runs with the same history have the same digest."""


def ensure_fixed_hash_seed() -> None:
    """Re-execute this program with a fixed hash seed unless it already has one."""
    if os.environ.get(HASH_SEED_VARIABLE) != HASH_SEED:
        environment = {**os.environ, HASH_SEED_VARIABLE: HASH_SEED}
        os.execve(sys.executable, [sys.executable, *sys.argv], environment)


def simulate_soak(
    seed: int, seconds: float, out: Path, options: SoakOptions = DEFAULT_OPTIONS
) -> SimulationResult:
    """Run one soak in simulated time; logs and report go to a folder in ``out``.

    Two processes produce the same digest only if both have called ``ensure_fixed_hash_seed``.
    """
    folder = out / f"simulation-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    with simulation(str(seed)) as loop:
        launcher = SimulatedLauncher(loop, folder)
        soak = RouterSoak(seed, seconds, launcher, options)
        with launcher.logs.applicationbound():
            report = loop.run_until_complete(soak.run())
    keep_report(report, folder)
    print_report(report, folder)
    digest = history_digest(soak.history)
    print(f"  digest {digest}", flush=True)
    return SimulationResult(report, digest)


def history_digest(history: SoakHistory) -> str:
    """Return a digest of all requests that callers and backends saw and of all faults."""
    lines = [
        f"{each.request_id} {each.router} {each.life} {each.sent_s!r} {each.end_s!r} "
        f"{each.outcome} {each.status} {each.events}"
        for each in history.records.values()
    ]
    lines += [
        f"{each.request_id} {each.instance} {each.at_s!r} {each.outcome}"
        for each in history.arrivals
    ]
    lines += [f"{at_s!r} {text}" for at_s, text in history.story]
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()[:DIGEST_CHARACTERS]
