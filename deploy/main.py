"""Entry point of a deployment; imports yokedock from ``src`` and libraries from the build."""

import os
import signal
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def run():
    """Open the listening sockets, then load the program: clients may already be connecting."""
    # SIGHUP announces new settings. By default it ends the process, so it is ignored while the
    # program is loading, which takes a while; the program installs its own handler later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path.insert(0, os.path.join(ROOT, "src"))
    from yokedock.base.early_sockets import listen_early
    from yokedock.platform.settings_variable import SETTINGS_VARIABLE

    sockets = listen_early(os.environ[SETTINGS_VARIABLE])
    from yokedock.platform.main import main

    main(sockets)


run()
