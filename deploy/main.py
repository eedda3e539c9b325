"""Entry point on the users' machines: the sources beside this file, the libraries of the build."""

import os
import signal
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def run():
    """Listen first, then load the program: callers may be waiting for this machine."""
    # Loading takes a while, and news of new settings must not end the process meanwhile.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path.insert(0, os.path.join(ROOT, "src"))
    from yokedock.base.early_sockets import listen_early
    from yokedock.platform.settings_variable import SETTINGS_VARIABLE

    sockets = listen_early(os.environ[SETTINGS_VARIABLE])
    from yokedock.platform.main import main

    main(sockets)


run()
