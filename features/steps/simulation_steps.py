"""Steps that run simulated soaks through the command line."""

import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when

from yokedock_emulator.process_group import program
from yokedock_emulator.simulation.simulate import HASH_SEED, HASH_SEED_VARIABLE

FEATURES = Path(__file__).resolve().parents[1]

TIMEOUT_S = 400.0
BUSY_PROGRAM = "while True: pass"
BUSY_PROCESSES = 3
DIGEST = re.compile(r"digest ([0-9a-f]{16})")
RESUMED = re.compile(r"of (\d+) resumed streams went on")
BESIDE_ROLLOUTS = re.compile(r"of (\d+) went on at routers out of step, .* of (\d+) judged")
JUDGED_AFTER_ALL_KILLED = re.compile(r"after the loss of all routers \((\d+) judged\)")


def simulate(seed, seconds, *options):
    """Run one simulation in a separate process; return its exit status and output."""
    command = [program("yokedock-emulator"), "simulate", "--seed", str(seed)]
    command += ["--seconds", str(seconds), "--out", tempfile.mkdtemp(), *options]
    environment = {name: text for name, text in os.environ.items() if name != "PYTHONHASHSEED"}
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_S, env=environment
    )
    return done.returncode, done.stdout + done.stderr


def digest(seed, seconds):
    """Return the digest of a simulation, which must not break a rule."""
    status, output = simulate(seed, seconds)
    assert status == 0, output
    return DIGEST.search(output)[1]


def digest_under_load(seed, seconds):
    """Return the digest of a simulation that competes with busy processes."""
    busy = [subprocess.Popen([sys.executable, "-c", BUSY_PROGRAM]) for _ in range(BUSY_PROCESSES)]
    try:
        return digest(seed, seconds)
    finally:
        for process in busy:
            process.kill()
            process.wait()


@when("seed {seed:d} is simulated for {seconds:d} s, and again under processor load")
def simulate_twice(context, seed, seconds):
    context.seconds = seconds
    context.digests = [digest(seed, seconds), digest_under_load(seed, seconds)]


@then("both runs have the same digest")
def digests_are_equal(context):
    assert len(set(context.digests)) == 1, context.digests


@then("a run with seed {seed:d} has a different digest")
def digest_differs(context, seed):
    assert digest(seed, context.seconds) not in context.digests


@when("seed {seed:d} is simulated for {seconds:d} s")
def simulate_once(context, seed, seconds):
    context.status, context.output = simulate(seed, seconds)


@when(
    "seed {seed:d} is simulated for {seconds:d} s, and each router stands still for {length_s:g} s "
    "in every {period_s:g} s, first at {first_s:g} s"
)
def simulate_stalls(context, seed, seconds, length_s, period_s, first_s):
    arguments = [str(each) for each in (seed, seconds, length_s, period_s, first_s)]
    done = subprocess.run(
        [sys.executable, "-m", "support.stalling_soak", *arguments],
        cwd=FEATURES,
        env={**os.environ, HASH_SEED_VARIABLE: HASH_SEED},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    context.status, context.output = done.returncode, done.stdout + done.stderr


@when("seed {seed:d} is simulated for {seconds:d} s with prompt parts that crash engines")
def simulate_crashing_parts(context, seed, seconds):
    context.status, context.output = simulate(seed, seconds, "--crashing-parts")


@then("no harmless request was refused as one that crashes engines")
def no_harmless_refused(context):
    assert ", 0 harmless ones refused for it" in context.output, context.output
    assert " 0 under one part" not in context.output, "no engine has crashed"


@when("seed {seed:d} is simulated for {seconds:d} s with engines of two software versions")
def simulate_two_versions(context, seed, seconds):
    context.status, context.output = simulate(seed, seconds, "--two-versions")


OPTIONS = {
    "stops in turn": ["--stops-in-turn"],
    "silent moments": ["--silent-moments"],
    "stops in turn and silent moments": ["--stops-in-turn", "--silent-moments"],
    "endless bytes": ["--endless-bytes"],
    "uneven balancing": ["--uneven-balancing"],
    "version rollouts": ["--version-rollouts"],
    "two software versions and all routers killed": ["--two-versions", "--all-routers-killed"],
}


@when("seed {seed:d} is simulated for {seconds:d} s, with {what}")
def simulate_with_options(context, seed, seconds, what):
    context.status, context.output = simulate(seed, seconds, *OPTIONS[what])


@then("at least {count:d} streams were resumed")
def were_resumed(context, count):
    resumed = int(RESUMED.search(context.output)[1])
    assert resumed >= count, context.output


@then("at least {count:d} streams were judged that were resumed after the loss of all routers")
def were_judged_after_all_killed(context, count):
    judged = int(JUDGED_AFTER_ALL_KILLED.search(context.output)[1])
    assert judged >= count, context.output


@then("at least {resumed:d} streams were resumed at routers out of step, {judged:d} were judged")
def were_judged_beside_rollouts(context, resumed, judged):
    found = BESIDE_ROLLOUTS.search(context.output)
    assert int(found[1]) >= resumed and int(found[2]) >= judged, context.output


@then("clients and backends have seen no rule broken in the simulation")
def no_rule_broken(context):
    assert context.status == 0, context.output
