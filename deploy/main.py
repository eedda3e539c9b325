"""Entry point on the users' machines: the sources beside this file, the libraries of the build."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from yokedock.platform.main import main

main()
