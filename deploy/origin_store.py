"""Entry point of the origin stores of a deployment."""

import os
import signal
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def run():
    """Load the program and run it."""
    # By default, SIGHUP ends the process. The program installs its own handler later.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path.insert(0, os.path.join(ROOT, "src"))
    from yokedock.platform.origin_store_main import main

    main()


run()
