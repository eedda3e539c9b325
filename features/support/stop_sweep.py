"""Sends SIGTERM to a process at each step of its program until it waits for a signal.

Run as a program, since it forks: ``python -m support.stop_sweep PROCESS``, where PROCESS is a key
of ``PROGRAMS``. It prints which processes did not exit in order, and ends with status 1 if any
did not or if the sweep did not get as far as the wait.
"""

import os
import select
import signal
import sys
import time

from yokedock.process.daemon import run_daemon
from yokedock_emulator import cli

EXIT_LIMIT_S = 2.0
"""Time within which a process without work must exit."""
STEP_LIMIT_S = 0.5
"""A process that has not reached the step after this time waits for a signal."""
POLL_INTERVAL_S = 0.0005
MIN_STEPS = 20
"""A sweep of fewer steps did not get as far as the wait."""


class SignalAtStep:
    """Sends SIGTERM to its own process at the given step, counted in byte codes."""

    def __init__(self, step, reached_fd):
        self._remaining = step
        self._reached_fd = reached_fd

    def begin(self, frame):
        """Trace ``frame`` from now on, and all that it calls."""
        sys.settrace(self._trace)
        frame.f_trace = self._trace
        frame.f_trace_opcodes = True

    def _trace(self, frame, event, argument):
        frame.f_trace_opcodes = True
        self._remaining -= 1
        if self._remaining:
            return self._trace
        sys.settrace(None)
        os.write(self._reached_fd, b"r")
        os.kill(os.getpid(), signal.SIGTERM)
        return None


class IdleDaemon:
    """A daemon without work, whose program is traced once it has started."""

    def __init__(self, signal_at_step):
        self._signal_at_step = signal_at_step

    def start(self):
        self._signal_at_step.begin(sys._getframe(1))

    def drain(self):
        return True

    def stop(self):
        """Do nothing: there is nothing to stop."""


def run_idle_daemon(signal_at_step):
    """Run a daemon as the gateway and the agent are run."""
    run_daemon(IdleDaemon(signal_at_step))


def run_stand_in(signal_at_step):
    """Wait for a signal as the stand-ins of the emulator do."""
    signal_at_step.begin(sys._getframe())
    cli._serve("stand-in", "http://127.0.0.1")


PROGRAMS = {"daemon": run_idle_daemon, "stand-in": run_stand_in}


def start_process(program, step):
    """Run ``program`` in a child process; return its process id and whether it reached the step."""
    reader, writer = os.pipe()
    process_id = os.fork()
    if not process_id:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        program(SignalAtStep(step, writer))
        os._exit(0)
    os.close(writer)
    is_reached = bool(select.select([reader], [], [], STEP_LIMIT_S)[0])
    if is_reached:
        is_reached = os.read(reader, 1) == b"r"
    os.close(reader)
    return process_id, is_reached


def exit_status(process_id):
    """Return the exit status of the process, None if it does not exit within the limit."""
    until_s = time.monotonic() + EXIT_LIMIT_S
    while time.monotonic() < until_s:
        ended_id, status = os.waitpid(process_id, os.WNOHANG)
        if ended_id:
            return os.waitstatus_to_exitcode(status)
        time.sleep(POLL_INTERVAL_S)
    os.kill(process_id, signal.SIGKILL)
    os.waitpid(process_id, 0)
    return None


def main(program):
    statuses, is_reached = [], True
    while is_reached:
        process_id, is_reached = start_process(program, len(statuses) + 1)
        if not is_reached:
            os.kill(process_id, signal.SIGTERM)
        statuses.append(exit_status(process_id))
    # A process that has not replaced the default action yet is ended by the signal.
    failed = {n: s for n, s in enumerate(statuses, 1) if s not in (0, -signal.SIGTERM)}
    print(f"{len(failed)} of {len(statuses)} processes did not exit in order: {failed}")
    # The last process was not interrupted: it must have reached its wait, and exited from there.
    is_complete = len(statuses) > MIN_STEPS and statuses[-1] == 0
    sys.exit(0 if is_complete and not failed else 1)


if __name__ == "__main__":
    main(PROGRAMS[sys.argv[1]])
