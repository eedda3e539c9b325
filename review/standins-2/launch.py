"""Runs the case of a script; whatever is no verdict of the case ends with 2, never with 1."""

import runpy
import sys
import traceback

COULD_NOT_RUN = 2


def main() -> None:
    """Run the file that is named, and exit with its status."""
    try:
        runpy.run_path(sys.argv[1], run_name="__main__")
    except SystemExit as end:
        sys.exit(end.code if end.code in (0, 1, COULD_NOT_RUN) else COULD_NOT_RUN)
    except BaseException:
        traceback.print_exc()
    sys.exit(COULD_NOT_RUN)


main()
